"""What gateways tell each other of crashes and of requests that cause them."""

from dataclasses import dataclass, field

import msgspec

from robinspindle.core.crashes import MAX_RUNS, Crash
from robinspindle.core.fingerprints import Fingerprint, is_fingerprint
from robinspindle.core.quarantine import Entry, Standing, find_fault, is_lifetime
from robinspindle.core.retransmission import Retransmissions

MAX_RUNS_PER_DATAGRAM = 512
"""Requests that met crashes in one datagram: 14 KB of the 64 KB that it may have. Four
engines with 128 answers each may crash at once and all be told of."""

MAX_RUN_MS = 3_600_000
"""No request is under way for longer than an hour, milliseconds."""

MAX_AGO_MS = 60_000
"""News of a crash are not older than a minute, milliseconds."""


class CrashUpdate(msgspec.Struct, array_like=True):
    """A crash, and what the sender had under way there.

    Attributes:
        lifetime: The life that ended.
        service: The target's service.
        ago_ms: How long ago it was noticed, milliseconds.
        runs: Fingerprints, with how long each request had been under way, milliseconds.
    """

    lifetime: str
    service: str
    ago_ms: int
    runs: list[tuple[bytes, int]]


class QuarantineUpdate(msgspec.Struct, array_like=True):
    """What was last said of one request; see `robinspindle.core.quarantine.Entry`."""

    fingerprint: bytes
    standing: str
    at_ms: int
    lifetimes: list[str]
    name: str
    trials: int


class RequestUpdates(msgspec.Struct, array_like=True):
    """All that is told of requests that crash targets.

    Attributes:
        crashes: Crashes.
        cleared: Fingerprints of suspected requests that ran to a good end.
        quarantine: Requests that are turned away, or were released.
    """

    crashes: list[CrashUpdate] = []
    cleared: list[bytes] = []
    quarantine: list[QuarantineUpdate] = []


@dataclass
class PendingUpdates:
    """What one gateway still tells of crashes.

    Attributes:
        crashes: Lifetimes whose end is told.
        cleared: Requests of which it is told that they ended well.
        entries: Requests whose entry is told.
        own_runs: What this gateway had under way when a life ended.
    """

    crashes: Retransmissions[str] = field(default_factory=Retransmissions)
    cleared: Retransmissions[Fingerprint] = field(default_factory=Retransmissions)
    entries: Retransmissions[Fingerprint] = field(default_factory=Retransmissions)
    own_runs: dict[str, dict[Fingerprint, float]] = field(default_factory=dict)


def write_crash(crash: Crash, now: float) -> CrashUpdate:
    """Write a crash for the peers."""
    runs = [(f, round(seconds * 1000)) for f, seconds in crash.runs.items()]
    ago_ms = max(0, round((now - crash.at) * 1000))
    return CrashUpdate(crash.lifetime, crash.service, ago_ms, runs[:MAX_RUNS])


def read_crash(news: CrashUpdate, now: float) -> Crash:
    """Read a crash that a peer told."""
    runs = {Fingerprint(f): ms / 1000 for f, ms in news.runs}
    return Crash(news.lifetime, news.service, now - news.ago_ms / 1000, runs)


def write_entry(entry: Entry) -> QuarantineUpdate:
    """Write what is said of a request for the peers."""
    return QuarantineUpdate(
        entry.fingerprint,
        entry.standing.value,
        entry.at_ms,
        list(entry.lifetimes),
        entry.name,
        entry.trials,
    )


def read_entry(news: QuarantineUpdate) -> Entry:
    """Read what a peer says of a request; it must have no fault."""
    return Entry(
        Fingerprint(news.fingerprint),
        Standing(news.standing),
        news.at_ms,
        tuple(news.lifetimes),
        news.name,
        news.trials,
    )


def merge_updates(first: RequestUpdates, second: RequestUpdates) -> RequestUpdates:
    """Put what two senders tell together, as much as a datagram may tell.

    The same thing told by many is told once: of 300 gateways 62 told of one request.
    """
    return RequestUpdates(
        _join_crashes(first.crashes + second.crashes),
        list(dict.fromkeys(first.cleared + second.cleared)),
        _join_entries(first.quarantine + second.quarantine),
    )


def _join_crashes(told: list[CrashUpdate]) -> list[CrashUpdate]:
    found: dict[str, CrashUpdate] = {}
    count = 0
    for crash in told:
        count += len(crash.runs)
        if count > MAX_RUNS_PER_DATAGRAM:
            break
        known = found.get(crash.lifetime)
        runs = crash.runs if known is None else known.runs + crash.runs
        found[crash.lifetime] = msgspec.structs.replace(crash, runs=runs)
    return list(found.values())


def _join_entries(told: list[QuarantineUpdate]) -> list[QuarantineUpdate]:
    found: dict[bytes, QuarantineUpdate] = {}
    for entry in told:
        known = found.get(entry.fingerprint)
        if known is None or known.at_ms < entry.at_ms:
            found[entry.fingerprint] = entry
    return list(found.values())


def are_updates_valid(news: RequestUpdates) -> bool:
    """Whether what a peer tells has the right shapes and ranges."""
    return (
        all(_is_crash(crash) for crash in news.crashes)
        and all(is_fingerprint(fingerprint) for fingerprint in news.cleared)
        and all(_is_entry(entry) for entry in news.quarantine)
    )


def _is_crash(news: CrashUpdate) -> bool:
    return (
        is_lifetime(news.lifetime)
        and 0 <= news.ago_ms <= MAX_AGO_MS
        and all(is_fingerprint(f) and 0 <= ms <= MAX_RUN_MS for f, ms in news.runs)
    )


def _is_entry(news: QuarantineUpdate) -> bool:
    standings = {standing.value for standing in Standing}
    return news.standing in standings and find_fault(read_entry(news)) is None
