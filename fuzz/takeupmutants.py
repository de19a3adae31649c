"""Deliberate faults in what is known of streams, each to be noticed."""

from fuzz.mutants import Mutant
from robinspindle import originlog, streammemory, versionkeeping
from robinspindle.core import versionrecords


async def _find_nothing(*_):
    return None


async def _confirm_what_is_known(keeper: versionkeeping.VersionKeeper):
    return set(keeper.records.noted)


TAKE_UP_MUTANTS = (
    Mutant(
        "begin without a record", versionrecords, "may_begin", lambda r: lambda *_: True
    ),
    Mutant(
        "keep no origins",
        streammemory.StreamMemory,
        "_keep",
        lambda r: lambda *_: None,
    ),
    Mutant(
        "confirm what is known",
        versionkeeping.VersionKeeper,
        "_read_on",
        lambda r: _confirm_what_is_known,
    ),
    Mutant(
        "read no kept origins", originlog.OriginLog, "look", lambda r: _find_nothing
    ),
)
