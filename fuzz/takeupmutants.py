"""Deliberate faults in what is known of streams, each to be noticed."""

from fuzz.mutants import Mutant
from robinspindle import originlog, streammemory
from robinspindle.core import versionrecords


async def _find_nothing(*_):
    return None


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
        "read no kept origins", originlog.OriginLog, "look", lambda r: _find_nothing
    ),
)
