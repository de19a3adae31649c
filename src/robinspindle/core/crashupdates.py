"""Updates that gateways exchange on crashes and on what causes them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from robinspindle.core.crashes import MAX_PARTS, MAX_RUNS, Crash, CrashedRun
from robinspindle.core.fingerprints import Fingerprint, is_fingerprint
from robinspindle.core.lifetimes import is_lifetime
from robinspindle.core.quarantine import Entry, Standing, find_fault
from robinspindle.core.retransmission import Retransmissions

MAX_SUSPECTS_PER_DATAGRAM = 512
"""Maximum number of requests that were running at crashes, and of suspected parts of
their prompts, over all crashes in one datagram: 14 KB of its maximum of 64 KB. This is
enough for four engines that crash at once with 128 answers each."""

MAX_RUN_MS = 3_600_000
"""Maximum run time of a request, milliseconds: one hour."""

MAX_AGO_MS = 60_000
"""Maximum age of a crash in an update, milliseconds: one minute."""


Update = TypeVar("Update", "ClearedUpdate", "QuarantineUpdate")


class RunUpdate(msgspec.Struct, array_like=True):
    """A run at a crash; see `robinspindle.core.crashes.CrashedRun`.

    Attributes:
        fingerprint: The whole request.
        ms: Its run time, milliseconds.
        wrote_ms: Time since its answer began, milliseconds.
        parts: Fingerprints of the parts of its prompt that are suspects.
    """

    fingerprint: bytes
    ms: int
    wrote_ms: int = 0
    parts: list[bytes] = []


class ClearedUpdate(msgspec.Struct, array_like=True):
    """A fingerprint that succeeded, and how long ago, milliseconds."""

    fingerprint: bytes
    ago_ms: int


class CrashUpdate(msgspec.Struct, array_like=True):
    """A crash, and the sender's requests that were running there.

    Attributes:
        lifetime: The lifetime of the target that ended.
        service: The target's service.
        ago_ms: Time since the crash was detected, milliseconds.
        runs: The requests.
    """

    lifetime: str
    service: str
    ago_ms: int
    runs: list[RunUpdate]


class QuarantineUpdate(msgspec.Struct, array_like=True):
    """The newest entry of one request; see `robinspindle.core.quarantine.Entry`."""

    fingerprint: bytes
    standing: str
    at_ms: int
    lifetimes: list[str]
    name: str
    trials: int
    companions: list[bytes] = []


class RequestUpdates(msgspec.Struct, array_like=True):
    """All updates on requests that crash targets.

    Attributes:
        crashes: Crashes.
        cleared: What others suspect and what succeeded.
        quarantine: Entries of requests that were quarantined or released.
    """

    crashes: list[CrashUpdate] = []
    cleared: list[ClearedUpdate] = []
    quarantine: list[QuarantineUpdate] = []


@dataclass
class PendingUpdates:
    """The updates that one gateway is still sending.

    Attributes:
        crashes: Lifetimes whose crash is sent.
        cleared: Fingerprints whose success is sent.
        entries: Fingerprints whose entry is sent.
        own_runs: This gateway's requests that were running at each crash, by lifetime.
    """

    crashes: Retransmissions[str] = field(default_factory=Retransmissions)
    cleared: Retransmissions[Fingerprint] = field(default_factory=Retransmissions)
    entries: Retransmissions[Fingerprint] = field(default_factory=Retransmissions)
    own_runs: dict[str, dict[Fingerprint, CrashedRun]] = field(default_factory=dict)


def write_crash(crash: Crash, now: float) -> CrashUpdate:
    """Make the update for a crash."""
    runs = [_write_run(whole, run) for whole, run in crash.runs.items()]
    ago_ms = max(0, round((now - crash.at) * 1000))
    return CrashUpdate(crash.lifetime, crash.service, ago_ms, runs[:MAX_RUNS])


def read_crash(update: CrashUpdate, now: float) -> Crash:
    """Make the crash from a peer's update."""
    runs = {Fingerprint(run.fingerprint): _read_run(run) for run in update.runs}
    return Crash(update.lifetime, update.service, now - update.ago_ms / 1000, runs)


def _write_run(whole: Fingerprint, run: CrashedRun) -> RunUpdate:
    return RunUpdate(
        whole, round(run.seconds * 1000), round(run.wrote_s * 1000), sorted(run.parts)
    )


def _read_run(update: RunUpdate) -> CrashedRun:
    parts = frozenset(map(Fingerprint, update.parts))
    return CrashedRun(update.ms / 1000, update.wrote_ms / 1000, parts)


def write_entry(entry: Entry) -> QuarantineUpdate:
    """Make the update for the entry of a request."""
    return QuarantineUpdate(
        entry.fingerprint,
        entry.standing.value,
        entry.at_ms,
        list(entry.lifetimes),
        entry.name,
        entry.trials,
        sorted(entry.companions),
    )


def read_entry(update: QuarantineUpdate) -> Entry:
    """Make the entry of a request from a peer's update, which must be valid."""
    return Entry(
        Fingerprint(update.fingerprint),
        Standing(update.standing),
        update.at_ms,
        tuple(update.lifetimes),
        update.name,
        update.trials,
        frozenset(map(Fingerprint, update.companions)),
    )


def merge_updates(first: RequestUpdates, second: RequestUpdates) -> RequestUpdates:
    """Merge the updates of two senders, up to what a datagram may contain.

    Updates of several senders on the same crash or request become one, as many
    gateways may send the same.
    """
    return RequestUpdates(
        _merge_crashes(first.crashes + second.crashes),
        _keep_latest(first.cleared + second.cleared, lambda update: update.ago_ms),
        _keep_latest(first.quarantine + second.quarantine, lambda entry: -entry.at_ms),
    )


def _merge_crashes(updates: list[CrashUpdate]) -> list[CrashUpdate]:
    found: dict[str, CrashUpdate] = {}
    count = 0
    for crash in updates:
        count += sum(1 + len(run.parts) for run in crash.runs)
        if count > MAX_SUSPECTS_PER_DATAGRAM:
            break
        known = found.get(crash.lifetime)
        runs = crash.runs if known is None else known.runs + crash.runs
        found[crash.lifetime] = msgspec.structs.replace(crash, runs=runs)
    return list(found.values())


def _keep_latest(
    updates: list[Update], find_age: Callable[[Update], int]
) -> list[Update]:
    """Keep the latest update of each fingerprint: the one with the least age."""
    found: dict[bytes, Update] = {}
    for update in updates:
        known = found.get(update.fingerprint)
        if known is None or find_age(update) < find_age(known):
            found[update.fingerprint] = update
    return list(found.values())


def are_updates_valid(update: RequestUpdates) -> bool:
    """Whether a peer's updates have valid shapes and ranges."""
    return (
        all(_is_crash_valid(crash) for crash in update.crashes)
        and all(_is_cleared_valid(cleared) for cleared in update.cleared)
        and all(_is_entry_valid(entry) for entry in update.quarantine)
    )


def _is_crash_valid(update: CrashUpdate) -> bool:
    return (
        is_lifetime(update.lifetime)
        and 0 <= update.ago_ms <= MAX_AGO_MS
        and all(_is_run_valid(run) for run in update.runs)
    )


def _is_run_valid(update: RunUpdate) -> bool:
    return (
        all(map(is_fingerprint, [update.fingerprint, *update.parts]))
        and len(update.parts) <= MAX_PARTS
        and 0 <= update.ms <= MAX_RUN_MS
        and 0 <= update.wrote_ms <= MAX_RUN_MS
    )


def _is_cleared_valid(update: ClearedUpdate) -> bool:
    return is_fingerprint(update.fingerprint) and 0 <= update.ago_ms <= MAX_AGO_MS


def _is_entry_valid(update: QuarantineUpdate) -> bool:
    standings = {standing.value for standing in Standing}
    return update.standing in standings and find_fault(read_entry(update)) is None
