"""Deliberate faults in what gateways know of crashes, each to be noticed."""

from fuzz import guardworld
from fuzz.mutants import Mutant
from robinspindle import guard
from robinspindle.core import crashcauses, crashes, crashincidents
from robinspindle.core.causes import Cause
from robinspindle.core.crashupdates import RequestUpdates
from robinspindle.core.fingerprints import FingerprintedRequest

GUARD_MUTANTS = (
    Mutant("know whole requests only", FingerprintedRequest, "parts", lambda r: ()),
    Mutant("clear nothing", crashes, "note_success", lambda r: lambda *_: False),
    Mutant(
        "tell nobody",
        guardworld,
        "list_news",
        lambda r: lambda *_: RequestUpdates(),
    ),
    Mutant("blame at one crash", crashcauses, "MIN_CRASHES", lambda r: 1),
    Mutant(
        "ignore coincidence",
        crashcauses,
        "MAX_COINCIDENCE_PROBABILITY",
        lambda r: 1.0,
    ),
    Mutant(
        "blame one of a pair",
        crashcauses,
        "find_cause",
        lambda r: lambda evidence, one, now: Cause(one),
    ),
    Mutant(
        "explain no crash",
        crashincidents,
        "_is_rival",
        lambda r: lambda *_: False,
    ),
    Mutant(
        "hide crashes after a success",
        guard.crashes,
        "choose_parts",
        lambda r: lambda *_: frozenset(),
    ),
    Mutant(
        "take an outage for many crashes",
        crashincidents,
        "SIMULTANEOUS_S",
        lambda r: -1.0,
    ),
)
