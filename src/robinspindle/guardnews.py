"""What the guards of gateways tell each other, with the datagrams of peers."""

from robinspindle.core.crashes import Crash
from robinspindle.core.crashupdates import (
    MAX_AGO_MS,
    ClearedUpdate,
    CrashUpdate,
    PendingUpdates,
    QuarantineUpdate,
    RequestUpdates,
    read_crash,
    read_entry,
    write_crash,
    write_entry,
)
from robinspindle.core.fingerprints import Fingerprint
from robinspindle.core.retransmission import take_due
from robinspindle.guard import Guard


def take_news(guard: Guard, news: RequestUpdates, now: float) -> None:
    """Take in what a peer tells; it must be believable."""
    for cleared in news.cleared:
        at = now - cleared.ago_ms / 1000
        guard.take_cleared(Fingerprint(cleared.fingerprint), at)
    for crash in news.crashes:
        guard.take_crash(read_crash(crash, now))
    for entry in news.quarantine:
        guard.merge_entry(read_entry(entry))


def list_news(guard: Guard, now: float) -> RequestUpdates:
    """List what is to be told now."""
    told = guard.pending_updates
    news = RequestUpdates(
        _list_crashes(guard, now),
        _list_cleared(guard, now),
        _list_entries(guard, now),
    )
    _drop_told_runs(told)
    return news


def _list_crashes(guard: Guard, now: float) -> list[CrashUpdate]:
    found = []
    for lifetime in take_due(guard.pending_updates.crashes, now):
        known = guard.evidence.crashes.get(lifetime)
        if known is not None:
            runs = guard.pending_updates.own_runs.get(lifetime, {})
            own = Crash(lifetime, known.service, known.at, runs)
            found.append(write_crash(own, now))
    return found


def _list_cleared(guard: Guard, now: float) -> list[ClearedUpdate]:
    successes = guard.evidence.successes
    due = take_due(guard.pending_updates.cleared, now)
    return [
        ClearedUpdate(f, min(MAX_AGO_MS, max(0, round((now - successes[f]) * 1000))))
        for f in due
        if f in successes
    ]


def _list_entries(guard: Guard, now: float) -> list[QuarantineUpdate]:
    entries = guard.quarantine.entries
    due = take_due(guard.pending_updates.entries, now)
    return [write_entry(entries[f]) for f in due if f in entries]


def _drop_told_runs(told: PendingUpdates) -> None:
    for lifetime in told.own_runs.keys() - told.crashes.due.keys():
        del told.own_runs[lifetime]
