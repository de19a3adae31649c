"""Crashes of targets and what ran there: evidence against requests that cause them.

A request may crash each target that runs it. Each crash is also met by all others that
run there, up to a hundred, so one says little. This module keeps who met which crash,
and finds who is guilty: a request that met at least three, ended well nowhere, and
would hardly have met so many by chance.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.fingerprints import Fingerprint, get_head_hash

MIN_CRASHES = 3
"""Crashes that a request meets before it is taken as their cause: the platform's own
figure, and the fewest by which one is told from the others that ran there."""

TIED_CRASHES = 4
"""The same where another request met all of these crashes too, as it followed the first
from target to target: one more tells which of the two it was."""

MAX_COINCIDENCE_PROBABILITY = 1e-3
"""A request is taken as the cause if an innocent one would have met its crashes less
often than this. In a storm in which each target crashes every 4 s, 1 in 8,000 innocent
callers is turned away (`tests/core/test_crashes.py`)."""

EXPLAINED_CRASH_PROBABILITY = 0.3
"""How likely an innocent request meets a crash that another one is known to cause; not
1, as two that crash targets may meet there."""

MIN_RUN_S = 0.05
"""The least time that a run counts as under way, seconds: what is sent to a target that
has just crashed, before that is known, meets the crash however short it ran."""

MIN_CRASH_RATE = 1e-3
"""Crashes of one target in a second that are reckoned with where none is seen: one in a
quarter of an hour, far more than targets crash in a quiet hour."""

CRASH_RATE_SPAN_S = 30.0
"""Crashes so long before and after one tell how often targets crash then, seconds:
several times as long as a storm of crashes needs to show itself."""

CRASH_RETENTION_S = 3600.0
MAX_CRASHES = 256
"""How long a crash is kept, seconds, and how many are. A request that comes once in 20
minutes is still found out."""

MAX_RUNS = 128
MAX_REQUESTS = 1024
"""Requests that are kept of one crash, and of all together: 0.7 MB with what is kept of
good ends. Under a flood those that met one crash fall out first, the oldest of them."""

SUCCESS_RETENTION_S = 60.0
MAX_SUCCESSES = 1024
"""How long a run to a good end speaks for a request, seconds, and how many requests are
remembered for one. What many callers ask for runs somewhere whenever a target crashes,
and ends well somewhere else within seconds."""


@dataclass
class Crash:
    """One crash.

    Attributes:
        lifetime: The life of the target that it ended.
        service: The target's service.
        at: When it was noticed first, steady seconds.
        runs: How long each request usually is under way, or was there if longer,
            seconds.
    """

    lifetime: str
    service: str
    at: float
    runs: dict[Fingerprint, float] = field(default_factory=dict)


@dataclass
class Evidence:
    """All crashes that are known, and who is cleared.

    Attributes:
        crashes: By lifetime, the oldest first.
        crashes_by_request: Lifetimes whose crash a request met, by its fingerprint.
        head_hashes: How many fingerprints with each mark have met a crash.
        successes: When a request last ran to a good end, steady seconds; the latest
            last.
    """

    crashes: OrderedDict[str, Crash] = field(default_factory=OrderedDict)
    crashes_by_request: dict[Fingerprint, set[str]] = field(default_factory=dict)
    head_hashes: Counter[bytes] = field(default_factory=Counter)
    successes: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)


def note_crash(evidence: Evidence, crash: Crash, now: float) -> bool:
    """Take note of a crash, or of more that is known of one.

    Args:
        evidence: What is known.
        crash: The crash, with those that met it.
        now: The present time, steady seconds.

    Returns:
        Whether it was news.
    """
    known = evidence.crashes.get(crash.lifetime)
    is_news = known is None
    if known is None:
        known = Crash(crash.lifetime, crash.service, crash.at)
        evidence.crashes[crash.lifetime] = known
    for fingerprint, seconds in crash.runs.items():
        if fingerprint in known.runs or len(known.runs) >= MAX_RUNS:
            continue
        if not is_cleared(evidence, fingerprint, now):
            _add_run(evidence, known, fingerprint, seconds)
            is_news = True
    _forget_old(evidence, now)
    return is_news


def note_success(evidence: Evidence, fingerprint: Fingerprint, now: float) -> bool:
    """Take note that a request ran to a good end: it crashes no target.

    Returns:
        Whether it was suspected until now.
    """
    evidence.successes[fingerprint] = now
    evidence.successes.move_to_end(fingerprint)
    while len(evidence.successes) > MAX_SUCCESSES:
        evidence.successes.popitem(last=False)
    return discard_evidence(evidence, fingerprint)


def discard_evidence(evidence: Evidence, fingerprint: Fingerprint) -> bool:
    """Drop all that speaks against a request; whether there was anything."""
    lifetimes = evidence.crashes_by_request.pop(fingerprint, None)
    if lifetimes is None:
        return False
    _drop_mark(evidence, fingerprint)
    for lifetime in lifetimes:
        evidence.crashes[lifetime].runs.pop(fingerprint, None)
    return True


def is_cleared(evidence: Evidence, fingerprint: Fingerprint, now: float) -> bool:
    """Whether a request lately ran to a good end."""
    good_at = evidence.successes.get(fingerprint)
    return good_at is not None and now - good_at <= SUCCESS_RETENTION_S


def count_crashes(evidence: Evidence, fingerprint: Fingerprint) -> int:
    """Count the crashes that a request met."""
    return len(evidence.crashes_by_request.get(fingerprint, ()))


def find_service(evidence: Evidence, fingerprint: Fingerprint) -> str:
    """Find the service whose targets crashed under a request; empty for none."""
    lifetimes = evidence.crashes_by_request.get(fingerprint)
    return evidence.crashes[min(lifetimes)].service if lifetimes else ""


def is_suspected(evidence: Evidence, fingerprint: Fingerprint) -> bool:
    """Whether a request met as many crashes that one more would tell whether it is it.

    It had better run where it has least to take with it.
    """
    return count_crashes(evidence, fingerprint) >= MIN_CRASHES - 1


def is_probable_cause(
    evidence: Evidence,
    fingerprint: Fingerprint,
    known_causes: Iterable[Fingerprint],
    targets: int,
) -> bool:
    """Whether a request is to be taken as the cause of the crashes that it met.

    Args:
        evidence: What is known.
        fingerprint: The request.
        known_causes: Requests that are known to crash targets.
        targets: Targets of its service.
    """
    lifetimes = evidence.crashes_by_request.get(fingerprint, set())
    if len(lifetimes) < MIN_CRASHES:
        return False
    is_tied = _has_companion(evidence, fingerprint, lifetimes)
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
    """Find how likely an innocent request would have met its crashes, 0 to 1.

    A long run meets a crash more often than a short one, and more where targets crash
    anyway. What counts is how long such runs usually last, not how long this one did:
    in a storm in which each target crashes every 4 s, judged by the time until the
    crash 119 of 461 that met three were taken as guilty, by the usual length 5
    (`tests/core/test_crashes.py`).

    Args:
        evidence: What is known.
        fingerprint: The request.
        others: Other requests that are known to crash targets.
        targets: Targets of its service.
    """
    chance = 1.0
    for lifetime in evidence.crashes_by_request.get(fingerprint, ()):
        crash = evidence.crashes[lifetime]
        if others.isdisjoint(crash.runs):
            rate = _find_other_rate(evidence, crash, {fingerprint, *others}, targets)
            seconds = max(MIN_RUN_S, crash.runs[fingerprint])
            chance *= 1.0 - math.exp(-rate * seconds)
        else:
            chance *= EXPLAINED_CRASH_PROBABILITY
    return chance


def _find_other_rate(
    evidence: Evidence, crash: Crash, causes: set[Fingerprint], targets: int
) -> float:
    """Find how often a target crashes at that time without these causes, per second."""
    count = sum(
        other.service == crash.service
        and abs(other.at - crash.at) <= CRASH_RATE_SPAN_S
        and causes.isdisjoint(other.runs)
        for other in evidence.crashes.values()
    )
    return max(MIN_CRASH_RATE, count / (CRASH_RATE_SPAN_S * max(1, targets)))


def _has_companion(
    evidence: Evidence, fingerprint: Fingerprint, lifetimes: set[str]
) -> bool:
    """Whether another request met all of these crashes too."""
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


def _forget_old(evidence: Evidence, now: float) -> None:
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
        _forget_single(evidence, crash)
    while len(evidence.crashes_by_request) > MAX_REQUESTS:
        _forget_crash(evidence, next(iter(evidence.crashes.values())))


def _forget_single(evidence: Evidence, crash: Crash) -> None:
    """Forget those that met this crash alone, until few enough are left."""
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
        _drop_mark(evidence, fingerprint)


def _drop_mark(evidence: Evidence, fingerprint: Fingerprint) -> None:
    head_hash = get_head_hash(fingerprint)
    evidence.head_hashes[head_hash] -= 1
    if not evidence.head_hashes[head_hash]:
        del evidence.head_hashes[head_hash]
