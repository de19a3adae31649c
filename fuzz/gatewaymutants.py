"""Deliberate faults in the decisions of gateways, each to be noticed."""

from fuzz.mutants import Mutant
from robinspindle.core import (
    authority,
    forwarding,
    obstacles,
    retrywindows,
    routes,
    targets,
)


def _announce_as_told(right):
    """Forget what was noted of a target at each of its entries."""

    def note(directory, announced, now):
        directory.targets.pop(announced.lifetime, None)
        return right(directory, announced, now)

    return note


def _end_no_life(right):
    """Take lives that are over as they were."""
    return lambda directory, lifetime, now: []


GATEWAY_MUTANTS = (
    Mutant("use a claim for ever", authority, "may_use", lambda r: lambda *_: True),
    Mutant("claim without waiting", authority, "may_claim", lambda r: lambda *_: True),
    Mutant("wait for less than a lease", authority, "CLAIM_WAIT_LEASES", lambda r: 0.5),
    Mutant("go back to any version", routes, "is_newer", lambda r: lambda *_: True),
    Mutant("take a notice back", targets, "note_announced", _announce_as_told),
    Mutant("ignore starts", targets, "is_later", lambda r: lambda *_: False),
    Mutant("keep lives that are over", targets, "end_earlier_lifetimes", _end_no_life),
    Mutant(
        "believe what is over", targets, "is_superseded", lambda r: lambda *_: False
    ),
    Mutant(
        "use garbage for a target",
        targets,
        "note_unreadable",
        lambda r: lambda *_: False,
    ),
    Mutant("never take as gone", obstacles, "is_gone", lambda r: lambda *_: False),
    Mutant(
        "repeat without a budget", retrywindows, "take_retry", lambda r: lambda *_: True
    ),
    Mutant(
        "send again whatever ran",
        forwarding,
        "may_send_again",
        lambda r: lambda route, offers, runs: offers < forwarding.MAX_SENDS,
    ),
)
