"""Deliberate faults in how usage is counted and reported, each to be noticed."""

from fuzz.mutants import Mutant
from robinspindle import dutylog
from robinspindle.core import authority, timeofday, usage, usagereports
from robinspindle.core.authority import Claim
from robinspindle.core.usagereports import Record, Stage


def _add_counts(right):
    """Add what is told to what is known, each time that it is told."""

    def take(ledger, accounts):
        for account in accounts:
            for workspace, count in account.counts.items():
                place = usage.CountKey(
                    account.gateway, account.incarnation, account.window, workspace
                )
                usage._set(ledger, place, usage._read(ledger, place) + count)

    return take


def _keep_in_memory(right):
    """Decide without storing, and store only by chance."""

    async def append(self, key, window, counts):
        name, end = self.authority.name, self.authority.end
        record = Record(name, end + 1, end, window, counts)
        usagereports.apply_record(self.reports, record)
        self.claim = Claim(end + 1, self._clock(), self.authority.era)

    return append


def _append_anyhow(right):
    """Append wherever the topic ends."""

    async def append(self, key, window, counts):
        store, self._store = self._store, _Careless(self._store)
        try:
            await right(self, key, window, counts)
        finally:
            self._store = store

    return append


class _Careless:
    def __init__(self, store):
        self._store = store
        self.era = store.era

    async def append_keyed(self, topic, key, value, expected_end=None):
        return await self._store.append_keyed(topic, key, value)


def _confirm_all(right):
    """Take all that was changed for confirmed."""

    def note(ledger, neighbour, started, number):
        usage._find_confirmed(ledger, neighbour, started).change = ledger.change

    return note


def _decide_anew(right):
    """Decide a window again for each try to send it."""

    def find(known, window):
        stage = right(known, window)
        return Stage.OPEN if stage is Stage.DECIDED else stage

    return find


DUTY_MUTANTS = (
    Mutant("add counts up twice", usage, "merge_accounts", _add_counts),
    Mutant("send before storing", dutylog.DutyLog, "append", _keep_in_memory),
    Mutant("store over another", dutylog.DutyLog, "append", _append_anyhow),
    Mutant("use old fences", dutylog, "make_fence", lambda r: lambda era, at: 1),
    Mutant("claim without waiting", authority, "may_claim", lambda r: lambda *_: True),
    Mutant("use a claim for ever", authority, "may_use", lambda r: lambda *_: True),
    Mutant("take all for confirmed", usage, "note_received", _confirm_all),
    Mutant("decide anew", usagereports, "find_stage", _decide_anew),
    Mutant("decide at once", usagereports, "DECIDE_SHARE", lambda r: -0.05),
    Mutant("report nothing late", usagereports, "list_due", lambda r: lambda *_: []),
    Mutant(
        "believe a set clock", timeofday, "choose_clock", lambda r: lambda own, _: own
    ),
)
