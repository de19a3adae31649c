"""Judges suspects: which requests, or parts of prompts, probably cause crashes.

A suspect is a probable cause if it was running at three or more crashes, succeeded
nowhere since the first of them, and would very improbably have been running at all of
them by coincidence. Suspects that have always come together can't be told apart: only
requests that contain all of them are then affected.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from robinspindle.core.causes import Cause
from robinspindle.core.crashes import (
    Crash,
    Evidence,
    count_crashes,
    is_established,
    list_contents,
    list_crashes,
    list_suspects,
)
from robinspindle.core.crashincidents import (
    CountTargets,
    Incident,
    find_holders,
    list_events,
    list_incidents,
)
from robinspindle.core.fingerprints import Fingerprint

MIN_CRASHES = 3
"""Minimum number of crashes at which a suspect was running before it is taken as their
cause: the fewest that distinguish the cause from what else was running."""

TIED_CRASHES = 4
"""The same if something in other requests was running at all of these crashes too,
because it was retried on the same targets: one more crash shows which is the cause."""

ESTABLISHED_EVENTS = 5
"""Minimum number of crashes at different times under an established suspect, with no
success between them. It runs on most targets, so it is there when they crash for
reasons of their own."""

MAX_COINCIDENCE_PROBABILITY = 1e-3
"""A suspect is taken as the cause if the probability that an innocent one would have
been running at the same crashes is at most this."""

MAX_SUSPECTED_PROBABILITY = 1e-2
"""The same for a suspect that lacks one crash, which then runs once at a time."""


@dataclass(frozen=True)
class Verdicts:
    """What the evidence says now.

    Attributes:
        causes: The probable causes.
        suspected: Suspects that one more crash may show to be a probable cause. They
            should run one at a time, where a crash affects the fewest other requests.
    """

    causes: tuple[Cause, ...] = ()
    suspected: frozenset[Fingerprint] = frozenset()


def judge(
    evidence: Evidence,
    known_causes: Iterable[Cause],
    count_targets: CountTargets,
    now: float,
) -> Verdicts:
    """Judge all suspects.

    Those that few runs contain are judged first: what is part of many requests was
    usually also part of theirs.

    Args:
        evidence: The known crashes.
        known_causes: What is known to crash targets.
        count_targets: Counts the targets of a service.
        now: The current time, monotonic seconds.
    """
    known = list(known_causes)
    causes: list[Cause] = []
    suspected: dict[Fingerprint, Cause] = {}
    for fingerprint in _list_candidates(evidence):
        cause = find_cause(evidence, fingerprint, now)
        if cause in causes or any(one.members < cause.members for one in known):
            continue
        incidents = list_incidents(evidence, cause, known, count_targets)
        if _is_probable(evidence, cause, incidents, now):
            causes.append(cause)
            known.append(cause)
            continue
        contained = _list_contained(evidence, cause) & suspected.keys()
        if contained:
            inside = [suspected[one] for one in contained]
            incidents = list_incidents(evidence, cause, known + inside, count_targets)
        if _is_suspected(evidence, cause, incidents, now):
            suspected[fingerprint] = cause
    return Verdicts(tuple(causes), frozenset(suspected))


def is_cleared(
    evidence: Evidence,
    cause: Cause,
    lifetimes: Collection[str],
    known_causes: Iterable[Cause],
    count_targets: CountTargets,
) -> bool:
    """Whether nothing is left by now of what a cause was blamed for.

    Args:
        evidence: The known crashes.
        cause: The cause that was blamed.
        lifetimes: The lifetimes of targets that it was blamed for.
        known_causes: The other causes that are known.
        count_targets: Counts the targets of a service.
    """
    if not lifetimes:
        return False
    left = set(lifetimes) - _list_refuted(evidence, cause, lifetimes)
    if not left:
        return True
    counted = evidence.crashes_by_suspect.get(cause.fingerprint, set())
    if not left <= counted:
        return False
    return _is_explained(evidence, cause, known_causes, count_targets)


def _list_refuted(
    evidence: Evidence, cause: Cause, lifetimes: Iterable[str]
) -> set[str]:
    """List the crashes after which a suspect succeeded.

    The success may have been under way when the verdict was made elsewhere.
    """
    if cause.companions:
        return set()
    succeeded_at = evidence.successes.get(cause.fingerprint, -math.inf)
    crashes = evidence.crashes
    return {
        one for one in lifetimes if one in crashes and crashes[one].at <= succeeded_at
    }


def _is_explained(
    evidence: Evidence,
    cause: Cause,
    known_causes: Iterable[Cause],
    count_targets: CountTargets,
) -> bool:
    """Whether other known causes explain the crashes of a cause.

    A harmless part may have come with several parts that crash targets before each of
    these had enough crashes of its own. Most of its crashes must be in requests that
    contain another cause: two causes may also run beside each other.
    """
    incidents = list_incidents(evidence, cause, known_causes, count_targets)
    inside = count_crashes(evidence, cause.fingerprint) - len(incidents)
    is_unexplained = any(incident.is_unexplained for incident in incidents)
    return inside > len(incidents) and not is_unexplained


def find_cause(evidence: Evidence, fingerprint: Fingerprint, now: float) -> Cause:
    """Find the narrowest cause by which a suspect explains all of its crashes.

    A whole request that was retried contains all its parts. Of parts that always came
    together, established ones are left out if others are not.
    """
    together = _find_together(evidence, fingerprint)
    whole = [one for one in together if _is_whole(evidence, one)]
    if whole:
        return Cause(min(whole))
    fresh = {one for one in together if not is_established(evidence, one, now)}
    members = fresh or together
    first = min(members)
    return Cause(first, frozenset(members - {first}))


def _list_candidates(evidence: Evidence) -> list[Fingerprint]:
    """List the suspects with enough crashes, in the order in which they are judged."""
    least = MIN_CRASHES - 1
    by_suspect = evidence.crashes_by_suspect
    found = [one for one, lifetimes in by_suspect.items() if len(lifetimes) >= least]

    def rank(fingerprint: Fingerprint) -> tuple[float, int, Fingerprint]:
        crashes = list_crashes(evidence, fingerprint)
        runs = sum(len(crash.holders[fingerprint]) for crash in crashes)
        return runs / len(crashes), -len(crashes), fingerprint

    return sorted(found, key=rank)


def _is_probable(
    evidence: Evidence, cause: Cause, incidents: list[Incident], now: float
) -> bool:
    events = list_events(incidents)
    if not any(incident.is_unexplained for incident in incidents):
        return False
    if len(incidents) < MIN_CRASHES:
        return False
    least_events = _find_least_events(evidence, cause, now)
    if len(events) < least_events:
        return False
    if math.prod(events) > MAX_COINCIDENCE_PROBABILITY:
        return False
    return len(incidents) >= TIED_CRASHES or not _is_tied(evidence, cause)


def _is_suspected(
    evidence: Evidence, cause: Cause, incidents: list[Incident], now: float
) -> bool:
    events = list_events(incidents)
    least_events = _find_least_events(evidence, cause, now) - 1
    if len(incidents) < MIN_CRASHES - 1 or len(events) < least_events:
        return False
    is_unexplained = any(incident.is_unexplained for incident in incidents)
    return is_unexplained and math.prod(events) <= MAX_SUSPECTED_PROBABILITY


def _find_least_events(evidence: Evidence, cause: Cause, now: float) -> int:
    """Find how many crashes at different times a probable cause must have."""
    is_known_good = is_established(evidence, cause.fingerprint, now)
    return ESTABLISHED_EVENTS if is_known_good else 1


def _find_together(evidence: Evidence, fingerprint: Fingerprint) -> set[Fingerprint]:
    """Find the suspects in all requests that contained a suspect, itself included."""
    together: set[Fingerprint] | None = None
    for crash in list_crashes(evidence, fingerprint):
        for holder in crash.holders[fingerprint]:
            held = _list_held(evidence, crash, holder)
            together = held if together is None else together & held
    return together or {fingerprint}


def _list_held(
    evidence: Evidence, crash: Crash, holder: Fingerprint
) -> set[Fingerprint]:
    """List the suspects that a request at a crash contained."""
    by_suspect = evidence.crashes_by_suspect
    contained = list_contents(crash, holder)
    return {one for one in contained if crash.lifetime in by_suspect.get(one, ())}


def _is_whole(evidence: Evidence, fingerprint: Fingerprint) -> bool:
    """Whether a suspect is a whole request."""
    lifetimes = evidence.crashes_by_suspect[fingerprint]
    return any(fingerprint in evidence.crashes[one].runs for one in lifetimes)


def _list_contained(evidence: Evidence, cause: Cause) -> set[Fingerprint]:
    """List what requests contained that crashed with their targets and with a cause."""
    contained: set[Fingerprint] = set()
    for crash in list_crashes(evidence, cause.fingerprint):
        for holder in find_holders(crash, cause):
            contained |= list_contents(crash, holder)
    return contained


def _is_tied(evidence: Evidence, cause: Cause) -> bool:
    """Whether something in other requests was running at all of these crashes too."""
    crashes = list_crashes(evidence, cause.fingerprint)
    shared = set.intersection(*(list_suspects(evidence, one) for one in crashes))
    return not shared <= _list_contained(evidence, cause)
