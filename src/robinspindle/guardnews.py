"""What the guards of gateways tell each other, with the datagrams of peers."""

from robinspindle.core.crashes import Crash
from robinspindle.core.crashnews import (
    CrashNews,
    CrashTellings,
    QuarantineNews,
    RequestNews,
    read_crash,
    read_entry,
    write_crash,
    write_entry,
)
from robinspindle.core.fingerprints import Fingerprint
from robinspindle.core.tellings import take_due
from robinspindle.guard import Guard


def take_news(guard: Guard, news: RequestNews, now: float) -> None:
    """Take in what a peer tells; it must be believable."""
    for fingerprint in news.cleared:
        guard.take_cleared(Fingerprint(fingerprint))
    for crash in news.crashes:
        guard.take_crash(read_crash(crash, now))
    for entry in news.quarantine:
        guard.take_entry(read_entry(entry))


def list_news(guard: Guard, now: float) -> RequestNews:
    """List what is to be told now."""
    told = guard.tellings
    news = RequestNews(
        _list_crashes(guard, now),
        list(take_due(told.cleared, now)),
        _list_entries(guard, now),
    )
    _drop_told_runs(told)
    return news


def _list_crashes(guard: Guard, now: float) -> list[CrashNews]:
    found = []
    for lifetime in take_due(guard.tellings.crashes, now):
        known = guard.evidence.crashes.get(lifetime)
        if known is not None:
            runs = guard.tellings.own_runs.get(lifetime, {})
            own = Crash(lifetime, known.service, known.at, runs)
            found.append(write_crash(own, now))
    return found


def _list_entries(guard: Guard, now: float) -> list[QuarantineNews]:
    entries = guard.quarantine.entries
    due = take_due(guard.tellings.entries, now)
    return [write_entry(entries[f]) for f in due if f in entries]


def _drop_told_runs(told: CrashTellings) -> None:
    for lifetime in told.own_runs.keys() - told.crashes.due.keys():
        del told.own_runs[lifetime]
