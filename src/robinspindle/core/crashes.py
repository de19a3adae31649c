"""Crashes of targets, and which requests probably cause them.

A request may crash each target that runs it. Up to a hundred other requests run on a
target when it crashes, so a single crash is weak evidence. This module keeps which
requests were running at each crash and finds the probable causes: a request that was
running at three or more crashes, succeeded nowhere, and would very improbably have
been running at all of them by coincidence.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.fingerprints import Fingerprint, get_head_hash

MIN_CRASHES = 3
"""Minimum number of crashes at which a request was running before it is taken as their
cause: the platform's own number, and the fewest that distinguish the cause from the
other requests that were running."""

TIED_CRASHES = 4
"""The same if another request was running at all of these crashes too, because it was
retried on the same targets: one more crash shows which of the two is the cause."""

MAX_COINCIDENCE_PROBABILITY = 1e-3
"""A request is taken as the cause if the probability that an innocent one would have
been running at the same crashes is at most this."""

EXPLAINED_CRASH_PROBABILITY = 0.3
"""Assumed probability that an innocent request is running at a crash that has another
known cause; less than 1, as two requests that crash targets may run on the same
target."""

MIN_RUN_S = 0.05
"""Minimum run time that is assumed for a request at a crash, seconds: a request that is
sent to a crashed target before the crash is known is affected however briefly it
ran."""

MIN_CRASH_RATE = 1e-3
"""Minimum crash rate of one target that is assumed, crashes per second: one in a
quarter of an hour, far more than targets crash in normal operation."""

CRASH_RATE_SPAN_S = 30.0
"""Time before and after a crash in which the crashes are counted to estimate the crash
rate, seconds: several times as long as a series of crashes takes to be noticed."""

CRASH_RETENTION_S = 3600.0
MAX_CRASHES = 256
"""How long a crash is kept, seconds, and the maximum number of crashes that are kept.
This is long enough to find a cause that is requested only once in 20 minutes."""

MAX_RUNS = 128
MAX_REQUESTS = 1024
"""Maximum number of requests that are kept for one crash, and for all crashes. If there
are more, the requests with a single crash are removed first, from the oldest crash
on."""

SUCCESS_RETENTION_S = 60.0
MAX_SUCCESSES = 1024
"""How long a success clears a request, seconds, and the maximum number of successes
that are kept. A request that many callers send is running somewhere whenever a target
crashes, and succeeds on another target within seconds."""


@dataclass
class Crash:
    """One crash of a target.

    Attributes:
        lifetime: The lifetime of the target that it ended.
        service: The target's service.
        at: When it was first detected, monotonic seconds.
        runs: The run time of each request that was running, by fingerprint, seconds:
            its usual run time, or its run time until the crash if that was longer.
    """

    lifetime: str
    service: str
    at: float
    runs: dict[Fingerprint, float] = field(default_factory=dict)


@dataclass
class Evidence:
    """All known crashes, and which requests are cleared.

    Attributes:
        crashes: By lifetime, the oldest first.
        crashes_by_request: Lifetimes of the targets that crashed while a request was
            running there, by its fingerprint.
        head_hashes: Number of fingerprints in `crashes_by_request` with each head hash.
        successes: When a request last succeeded, monotonic seconds; the latest last.
    """

    crashes: OrderedDict[str, Crash] = field(default_factory=OrderedDict)
    crashes_by_request: dict[Fingerprint, set[str]] = field(default_factory=dict)
    head_hashes: Counter[bytes] = field(default_factory=Counter)
    successes: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)


def note_crash(evidence: Evidence, crash: Crash, now: float) -> bool:
    """Add a crash, or more requests to a known crash.

    Args:
        evidence: The known crashes; changed in place.
        crash: The crash, with the requests that were running.
        now: The current time, monotonic seconds.

    Returns:
        Whether the crash, or one of its requests, was not known before.
    """
    known = evidence.crashes.get(crash.lifetime)
    is_new = known is None
    if known is None:
        known = Crash(crash.lifetime, crash.service, crash.at)
        evidence.crashes[crash.lifetime] = known
    for fingerprint, seconds in crash.runs.items():
        if fingerprint in known.runs or len(known.runs) >= MAX_RUNS:
            continue
        if not is_cleared(evidence, fingerprint, now):
            _add_run(evidence, known, fingerprint, seconds)
            is_new = True
    _limit_size(evidence, now)
    return is_new


def note_success(evidence: Evidence, fingerprint: Fingerprint, now: float) -> bool:
    """Note that a request succeeded, so that it is not the cause of the crashes.

    Returns:
        Whether there was evidence against it.
    """
    evidence.successes[fingerprint] = now
    evidence.successes.move_to_end(fingerprint)
    while len(evidence.successes) > MAX_SUCCESSES:
        evidence.successes.popitem(last=False)
    return discard_evidence(evidence, fingerprint)


def discard_evidence(evidence: Evidence, fingerprint: Fingerprint) -> bool:
    """Discard the evidence against a request.

    Returns:
        Whether there was any.
    """
    lifetimes = evidence.crashes_by_request.pop(fingerprint, None)
    if lifetimes is None:
        return False
    _drop_head_hash(evidence, fingerprint)
    for lifetime in lifetimes:
        evidence.crashes[lifetime].runs.pop(fingerprint, None)
    return True


def is_cleared(evidence: Evidence, fingerprint: Fingerprint, now: float) -> bool:
    """Whether a request succeeded within `SUCCESS_RETENTION_S`."""
    succeeded_at = evidence.successes.get(fingerprint)
    return succeeded_at is not None and now - succeeded_at <= SUCCESS_RETENTION_S


def count_crashes(evidence: Evidence, fingerprint: Fingerprint) -> int:
    """Count the crashes at which a request was running."""
    return len(evidence.crashes_by_request.get(fingerprint, ()))


def find_service(evidence: Evidence, fingerprint: Fingerprint) -> str:
    """Find the service whose targets crashed under a request; empty if none."""
    lifetimes = evidence.crashes_by_request.get(fingerprint)
    return evidence.crashes[min(lifetimes)].service if lifetimes else ""


def is_suspected(evidence: Evidence, fingerprint: Fingerprint) -> bool:
    """Whether one more crash may show that a request is a probable cause.

    Such a request should run where a crash affects the fewest other requests.
    """
    return count_crashes(evidence, fingerprint) >= MIN_CRASHES - 1


def is_probable_cause(
    evidence: Evidence,
    fingerprint: Fingerprint,
    known_causes: Iterable[Fingerprint],
    targets: int,
) -> bool:
    """Whether a request is taken as the cause of the crashes at which it was running.

    Args:
        evidence: The known crashes.
        fingerprint: The request.
        known_causes: Requests that are known to crash targets.
        targets: Number of targets of its service.
    """
    lifetimes = evidence.crashes_by_request.get(fingerprint, set())
    if len(lifetimes) < MIN_CRASHES:
        return False
    is_tied = _is_tied(evidence, fingerprint, lifetimes)
    if is_tied and len(lifetimes) < TIED_CRASHES:
        return False
    others = set(known_causes) - {fingerprint}
    return (
        find_coincidence_probability(evidence, fingerprint, others, targets)
        <= MAX_COINCIDENCE_PROBABILITY
    )


def find_coincidence_probability(
    evidence: Evidence,
    fingerprint: Fingerprint,
    others: set[Fingerprint],
    targets: int,
) -> float:
    """Find the probability that an innocent request runs at the same crashes, 0 to 1.

    A long run coincides with a crash more often than a short one, and more often where
    targets crash frequently. The calculation uses the usual run time: the run time
    until the crash is shorter, and with it innocent requests would look guilty.

    Args:
        evidence: The known crashes.
        fingerprint: The request.
        others: Other requests that are known to crash targets.
        targets: Number of targets of its service.
    """
    probability = 1.0
    for lifetime in evidence.crashes_by_request.get(fingerprint, ()):
        crash = evidence.crashes[lifetime]
        if others.isdisjoint(crash.runs):
            rate = _find_other_rate(evidence, crash, {fingerprint, *others}, targets)
            seconds = max(MIN_RUN_S, crash.runs[fingerprint])
            probability *= 1.0 - math.exp(-rate * seconds)
        else:
            probability *= EXPLAINED_CRASH_PROBABILITY
    return probability


def _find_other_rate(
    evidence: Evidence, crash: Crash, causes: set[Fingerprint], targets: int
) -> float:
    """Estimate the crash rate of a target around a crash, per second.

    Crashes at which one of the causes was running are not counted.
    """
    count = sum(
        other.service == crash.service
        and abs(other.at - crash.at) <= CRASH_RATE_SPAN_S
        and causes.isdisjoint(other.runs)
        for other in evidence.crashes.values()
    )
    return max(MIN_CRASH_RATE, count / (CRASH_RATE_SPAN_S * max(1, targets)))


def _is_tied(evidence: Evidence, fingerprint: Fingerprint, lifetimes: set[str]) -> bool:
    """Whether another request was running at all of these crashes too."""
    runs = [set(evidence.crashes[lifetime].runs) for lifetime in lifetimes]
    return len(set.intersection(*runs)) > 1


def _add_run(
    evidence: Evidence, crash: Crash, fingerprint: Fingerprint, seconds: float
) -> None:
    crash.runs[fingerprint] = seconds
    if fingerprint not in evidence.crashes_by_request:
        evidence.crashes_by_request[fingerprint] = set()
        evidence.head_hashes[get_head_hash(fingerprint)] += 1
    evidence.crashes_by_request[fingerprint].add(crash.lifetime)


def _limit_size(evidence: Evidence, now: float) -> None:
    for crash in list(evidence.crashes.values()):
        is_old = (
            now - crash.at > CRASH_RETENTION_S or len(evidence.crashes) > MAX_CRASHES
        )
        if not is_old:
            break
        _forget_crash(evidence, crash)
    for crash in list(evidence.crashes.values()):
        if len(evidence.crashes_by_request) <= MAX_REQUESTS:
            return
        _discard_single(evidence, crash)
    while len(evidence.crashes_by_request) > MAX_REQUESTS:
        _forget_crash(evidence, next(iter(evidence.crashes.values())))


def _discard_single(evidence: Evidence, crash: Crash) -> None:
    """Discard the requests whose only crash is this one, until few enough are left."""
    for fingerprint in list(crash.runs):
        if len(evidence.crashes_by_request) <= MAX_REQUESTS:
            return
        if len(evidence.crashes_by_request[fingerprint]) == 1:
            discard_evidence(evidence, fingerprint)


def _forget_crash(evidence: Evidence, crash: Crash) -> None:
    del evidence.crashes[crash.lifetime]
    for fingerprint in crash.runs:
        _forget_run(evidence, fingerprint, crash.lifetime)


def _forget_run(evidence: Evidence, fingerprint: Fingerprint, lifetime: str) -> None:
    lifetimes = evidence.crashes_by_request[fingerprint]
    lifetimes.discard(lifetime)
    if not lifetimes:
        del evidence.crashes_by_request[fingerprint]
        _drop_head_hash(evidence, fingerprint)


def _drop_head_hash(evidence: Evidence, fingerprint: Fingerprint) -> None:
    head_hash = get_head_hash(fingerprint)
    evidence.head_hashes[head_hash] -= 1
    if not evidence.head_hashes[head_hash]:
        del evidence.head_hashes[head_hash]
