"""Weighs crashes: how probably an innocent suspect was running at each of them.

A long run coincides with a crash more often than a short one, and more often where
targets crash frequently. A crash that another known cause explains says little, or
nothing at all.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from robinspindle.core.causes import Cause
from robinspindle.core.crashes import Crash, Evidence, list_crashes
from robinspindle.core.fingerprints import Fingerprint

SIMULTANEOUS_S = 0.5
"""Crashes within this time of each other are one event, seconds: when a zone loses
power, everything that runs on many targets is at all of these crashes."""

EXPLAINED_CRASH_PROBABILITY = 0.5
"""Assumed probability that an innocent suspect is running at a crash that has another
known cause; less than 1, as two causes may run on the same target."""

MIN_RUN_S = 0.05
"""Minimum run time that is assumed for a run at a crash, seconds: a request that is
sent to a crashed target before the crash is known is affected however briefly it
ran."""

MIN_CRASH_RATE = 1e-3
"""Minimum crash rate of one target that is assumed, crashes per second: one in a
quarter of an hour, far more than targets crash in normal operation."""

CRASH_RATE_SPAN_S = 30.0
"""Time before and after a crash in which the crashes are counted to estimate the crash
rate, seconds: several times as long as a series of crashes takes to be noticed."""

CountTargets = Callable[[str], int]
"""Counts the targets of a service."""


@dataclass(frozen=True)
class Incident:
    """One crash as evidence against one cause.

    Attributes:
        at: When it was, monotonic seconds.
        probability: Probability that an innocent suspect was running there, 0 to 1.
        is_unexplained: Whether no other known cause was running there.
    """

    at: float
    probability: float
    is_unexplained: bool


def list_incidents(
    evidence: Evidence,
    cause: Cause,
    known_causes: Iterable[Cause],
    count_targets: CountTargets,
) -> list[Incident]:
    """List the crashes that are evidence against a cause, the oldest first.

    The calculation uses the usual run time: the run time until the crash is shorter,
    and with it innocent requests would look guilty.
    """
    others = [one for one in known_causes if _is_rival(evidence, cause, one)]
    found = []
    unrelated = _list_unrelated(evidence, [cause, *others])
    for crash in list_crashes(evidence, cause.fingerprint):
        holders = crash.holders[cause.fingerprint]
        explaining = [one for one in others if find_holders(crash, one)]
        if any(_contains_all(crash, holders, cause, one) for one in explaining):
            continue
        probability = EXPLAINED_CRASH_PROBABILITY
        if not explaining:
            rate = _find_rate(unrelated, crash, count_targets)
            seconds = sum(max(MIN_RUN_S, crash.runs[one].seconds) for one in holders)
            probability = 1.0 - math.exp(-rate * seconds)
        found.append(Incident(crash.at, probability, not explaining))
    return found


def list_events(incidents: list[Incident]) -> list[float]:
    """List the probability of each event; crashes at the same time are one event."""
    events: list[float] = []
    began_at = -math.inf
    for incident in incidents:
        if incident.at - began_at > SIMULTANEOUS_S:
            began_at = incident.at
            events.append(incident.probability)
        else:
            events[-1] = min(events[-1], incident.probability)
    return events


def find_holders(crash: Crash, cause: Cause) -> set[Fingerprint]:
    """Find the requests at a crash that contained all of a cause."""
    holders = crash.holders.get(cause.fingerprint, set())
    if not cause.companions:
        return holders
    return {one for one in holders if cause.companions <= crash.runs[one].parts}


def _is_rival(evidence: Evidence, cause: Cause, other: Cause) -> bool:
    """Whether another known cause may explain the crashes of a cause.

    One with companions of which some were cleared since is a guess that was too narrow.
    """
    if not other.members >= cause.members:
        return True
    is_open = other.members <= evidence.crashes_by_suspect.keys()
    return other != cause and is_open


def _contains_all(
    crash: Crash, holders: set[Fingerprint], cause: Cause, other: Cause
) -> bool:
    """Whether a cause was running only in requests that contained another cause.

    Its crash then says nothing, unless the other one is a special case of it.
    """
    is_special_case = other.members >= cause.members or other.fingerprint in holders
    return not is_special_case and holders <= find_holders(crash, other)


def _list_unrelated(evidence: Evidence, causes: list[Cause]) -> list[Crash]:
    """List the crashes at which none of some causes was running."""
    return [
        crash
        for crash in evidence.crashes.values()
        if not any(find_holders(crash, cause) for cause in causes)
    ]


def _find_rate(
    unrelated: list[Crash], crash: Crash, count_targets: CountTargets
) -> float:
    """Estimate the crash rate of a target around a crash, per second."""
    count = sum(
        other.service == crash.service and abs(other.at - crash.at) <= CRASH_RATE_SPAN_S
        for other in unrelated
    )
    targets = max(1, count_targets(crash.service))
    return max(MIN_CRASH_RATE, count / (CRASH_RATE_SPAN_S * targets))
