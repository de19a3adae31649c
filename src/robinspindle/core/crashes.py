"""Crashes of targets, and what was running there: the evidence.

A request may crash each target that runs it, and so may one part of a prompt, whatever
else the requests contain that share it. Up to a hundred other requests run on a target
when it crashes, so a single crash is weak evidence. This module keeps which requests
and parts of prompts were running at each crash, and what clears them. Both are suspects
of one kind, known by their fingerprints. `robinspindle.core.crashcauses` judges them.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.fingerprints import Fingerprint, get_head_hash

CRASH_RETENTION_S = 3600.0
MAX_CRASHES = 256
"""How long a crash is kept, seconds, and the maximum number of crashes that are kept.
This is long enough to find a cause that is requested only once in 20 minutes."""

MAX_RUNS = 128
MAX_PARTS = 32
MAX_SUSPECTS = 4096
"""Maximum number of runs that are kept for one crash, of prompt parts for one run, and
of suspects for all crashes. If there are more suspects, those with a single crash are
removed first, from the oldest crash on."""

SUCCESS_RETENTION_S = 60.0
MAX_SUCCESSES = 4096
"""How long a success makes a suspect established, seconds, and the maximum number of
successes that are kept. What many callers send is running somewhere whenever a target
crashes, and succeeds on another target within seconds."""

MIN_SURVIVAL_S = 0.5
SURVIVAL_FACTOR = 3.0
"""An answer clears what it contains before its end if its target has lived on for this
time since the answer began, seconds, and for this multiple of the time that answers of
the suspect were written before the crashes."""


@dataclass(frozen=True)
class CrashedRun:
    """One run that was in progress when its target crashed.

    Attributes:
        seconds: The usual run time of its kind, or its run time until the crash if that
            was longer.
        wrote_s: Time since its answer began, seconds; 0 if it had not begun.
        parts: The parts of its prompt that are suspects.
    """

    seconds: float
    wrote_s: float = 0.0
    parts: frozenset[Fingerprint] = frozenset()


@dataclass
class Crash:
    """One crash of a target.

    Attributes:
        lifetime: The lifetime of the target that it ended.
        service: The target's service.
        at: When it was first detected, monotonic seconds.
        runs: What was running, by the fingerprint of each whole request.
        holders: The requests that contained each fingerprint, whether or not it is
            cleared by now; a whole request contains itself.
    """

    lifetime: str
    service: str
    at: float
    runs: dict[Fingerprint, CrashedRun] = field(default_factory=dict)
    holders: dict[Fingerprint, set[Fingerprint]] = field(default_factory=dict)


@dataclass
class Evidence:
    """All known crashes, and what is cleared.

    Attributes:
        crashes: By lifetime, the oldest first.
        crashes_by_suspect: Lifetimes of the targets that crashed while a suspect was
            running there, by its fingerprint.
        head_hashes: Number of fingerprints in `crashes_by_suspect` with each head hash.
        successes: When a fingerprint last succeeded, monotonic seconds; the latest
            last.
        revision: Changes with everything that changes the evidence.
    """

    crashes: OrderedDict[str, Crash] = field(default_factory=OrderedDict)
    crashes_by_suspect: dict[Fingerprint, set[str]] = field(default_factory=dict)
    head_hashes: Counter[bytes] = field(default_factory=Counter)
    successes: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)
    revision: int = 0


def note_crash(evidence: Evidence, crash: Crash, now: float) -> bool:
    """Add a crash, or more runs to a known crash.

    Args:
        evidence: The known crashes; changed in place.
        crash: The crash, with what was running.
        now: The current time, monotonic seconds.

    Returns:
        Whether the crash, or one of its runs, was not known before.
    """
    known = evidence.crashes.get(crash.lifetime)
    is_new = known is None
    if known is None:
        known = Crash(crash.lifetime, crash.service, crash.at)
        evidence.crashes[crash.lifetime] = known
    for fingerprint, run in crash.runs.items():
        if fingerprint not in known.runs and len(known.runs) < MAX_RUNS:
            known.runs[fingerprint] = run
            is_new |= _add_run(evidence, known, fingerprint)
    _limit_size(evidence, now)
    evidence.revision += is_new
    return is_new


def note_success(evidence: Evidence, fingerprint: Fingerprint, at: float) -> bool:
    """Note that a fingerprint succeeded, so that it did not cause the crashes before.

    Args:
        evidence: The known crashes; changed in place.
        fingerprint: A whole request, or a part of its prompt.
        at: When it succeeded, monotonic seconds.

    Returns:
        Whether there was evidence against it.
    """
    evidence.successes[fingerprint] = max(at, evidence.successes.get(fingerprint, at))
    evidence.successes.move_to_end(fingerprint)
    while len(evidence.successes) > MAX_SUCCESSES:
        evidence.successes.popitem(last=False)
    lifetimes = evidence.crashes_by_suspect.get(fingerprint, set())
    earlier = {life for life in lifetimes if evidence.crashes[life].at <= at}
    _discard(evidence, fingerprint, earlier)
    return bool(earlier)


def discard_evidence(evidence: Evidence, fingerprint: Fingerprint) -> bool:
    """Discard the evidence against a suspect.

    Returns:
        Whether there was any.
    """
    lifetimes = set(evidence.crashes_by_suspect.get(fingerprint, ()))
    _discard(evidence, fingerprint, lifetimes)
    return bool(lifetimes)


def is_established(evidence: Evidence, fingerprint: Fingerprint, now: float) -> bool:
    """Whether a fingerprint succeeded within `SUCCESS_RETENTION_S`."""
    succeeded_at = evidence.successes.get(fingerprint)
    return succeeded_at is not None and now - succeeded_at <= SUCCESS_RETENTION_S


def count_crashes(evidence: Evidence, fingerprint: Fingerprint) -> int:
    """Count the crashes at which a suspect was running."""
    return len(evidence.crashes_by_suspect.get(fingerprint, ()))


def list_crashes(evidence: Evidence, fingerprint: Fingerprint) -> list[Crash]:
    """List the crashes at which a suspect was running, the oldest first."""
    lifetimes = evidence.crashes_by_suspect.get(fingerprint, ())
    return sorted((evidence.crashes[one] for one in lifetimes), key=lambda c: c.at)


def find_service(evidence: Evidence, fingerprint: Fingerprint) -> str:
    """Find the service whose targets crashed under a suspect; empty if none."""
    lifetimes = evidence.crashes_by_suspect.get(fingerprint)
    return evidence.crashes[min(lifetimes)].service if lifetimes else ""


def find_survival_s(evidence: Evidence, fingerprint: Fingerprint) -> float:
    """Find how long a target must live under an answer that clears a suspect, seconds.

    Each crash counts with the answer that was written for the shortest time, as the
    cause is probably that one.
    """
    written = [
        min(crash.runs[holder].wrote_s for holder in crash.holders[fingerprint])
        for crash in list_crashes(evidence, fingerprint)
    ]
    return max(MIN_SURVIVAL_S, SURVIVAL_FACTOR * max(written, default=0.0))


def list_suspects(evidence: Evidence, crash: Crash) -> set[Fingerprint]:
    """List what was running at a crash and was not cleared since."""
    by_suspect = evidence.crashes_by_suspect
    return {one for one in crash.holders if crash.lifetime in by_suspect.get(one, ())}


def list_contents(crash: Crash, whole: Fingerprint) -> set[Fingerprint]:
    """List all fingerprints of a request that was running at a crash, its own too."""
    return {whole, *crash.runs[whole].parts}


def choose_parts(
    evidence: Evidence, parts: Iterable[Fingerprint], now: float
) -> frozenset[Fingerprint]:
    """Choose the parts of a crashed run that are suspects, `MAX_PARTS` at most.

    Those with evidence come first; the others in an order that is the same everywhere,
    so that gateways choose the same ones.
    """
    suspects = [part for part in parts if not is_established(evidence, part, now)]
    suspects.sort(key=lambda part: (-count_crashes(evidence, part), part))
    return frozenset(suspects[:MAX_PARTS])


def _add_run(evidence: Evidence, crash: Crash, whole: Fingerprint) -> bool:
    """Index a run by its suspects; returns whether there are any."""
    added = False
    for fingerprint in list_contents(crash, whole):
        crash.holders.setdefault(fingerprint, set()).add(whole)
        if evidence.successes.get(fingerprint, -math.inf) >= crash.at:
            continue
        if fingerprint not in evidence.crashes_by_suspect:
            evidence.crashes_by_suspect[fingerprint] = set()
            evidence.head_hashes[get_head_hash(fingerprint)] += 1
        evidence.crashes_by_suspect[fingerprint].add(crash.lifetime)
        added = True
    return added


def _limit_size(evidence: Evidence, now: float) -> None:
    for crash in list(evidence.crashes.values()):
        is_old = (
            now - crash.at > CRASH_RETENTION_S or len(evidence.crashes) > MAX_CRASHES
        )
        if not is_old:
            break
        _forget_crash(evidence, crash)
    for crash in list(evidence.crashes.values()):
        if len(evidence.crashes_by_suspect) <= MAX_SUSPECTS:
            return
        _discard_single(evidence, crash)
    while len(evidence.crashes_by_suspect) > MAX_SUSPECTS:
        _forget_crash(evidence, next(iter(evidence.crashes.values())))


def _discard_single(evidence: Evidence, crash: Crash) -> None:
    """Discard the suspects whose only crash is this one, until few enough are left."""
    for fingerprint in list(crash.holders):
        if len(evidence.crashes_by_suspect) <= MAX_SUSPECTS:
            return
        if evidence.crashes_by_suspect.get(fingerprint) == {crash.lifetime}:
            discard_evidence(evidence, fingerprint)


def _forget_crash(evidence: Evidence, crash: Crash) -> None:
    for fingerprint in crash.holders:
        _discard(evidence, fingerprint, {crash.lifetime})
    del evidence.crashes[crash.lifetime]


def _discard(evidence: Evidence, fingerprint: Fingerprint, lifetimes: set[str]) -> None:
    """Discard some of the crashes that are evidence against a suspect."""
    known = evidence.crashes_by_suspect.get(fingerprint, set())
    if known.isdisjoint(lifetimes):
        return
    evidence.revision += 1
    left = known - lifetimes
    if left:
        evidence.crashes_by_suspect[fingerprint] = left
        return
    del evidence.crashes_by_suspect[fingerprint]
    head_hash = get_head_hash(fingerprint)
    evidence.head_hashes[head_hash] -= 1
    if not evidence.head_hashes[head_hash]:
        del evidence.head_hashes[head_hash]
