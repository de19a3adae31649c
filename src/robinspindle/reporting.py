"""Reports each window's usage to the platform: one gateway at a time, one value."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from robinspindle.calls import CallLimits, call_once
from robinspindle.core import authority as claims
from robinspindle.core import reports, usage
from robinspindle.core.authority import Authority, Claim
from robinspindle.core.eras import make_fence
from robinspindle.core.reports import CLAIM_KEY, Record, Reports, Spilled, Stage
from robinspindle.exceptions import (
    EraChangedError,
    LogConflictError,
    LogServiceError,
    RecordsTrimmedError,
)
from robinspindle.following import KeyedStore
from robinspindle.httpclient import ConnectionBrokenError, ConnectionPool
from robinspindle.logs import Log
from robinspindle.peers import Peers, list_heard
from robinspindle.usagebook import UsageBook

LOOK_S = 0.25
"""How often it is looked for what is due, seconds."""

PAUSE_S = 0.5
MOST_PAUSE_S = 2.0
"""First and longest pause after a call that failed, seconds."""

REPORT_LIMITS = CallLimits(connect_s=0.5, first_s=1.0, silence_s=0.5)
"""How long the platform's answer to a report is waited for."""

MOST_TRIES = 5
"""Times that a record is written anew where others write too, before a pause."""

HEARD_S = 10.0
"""Peers that were heard within this are those that a gateway should hear, seconds."""

KEPT_WINDOWS = 64
"""Windows of which it is remembered how their reports ended."""


class ReportOutcome(Enum):
    """How the platform took a report."""

    TAKEN = "taken"
    FENCED = "a newer claim has been used"
    BUSY = "too many calls"
    REFUSED = "refused"
    UNSURE = "no answer"


@dataclass(frozen=True)
class Report:
    """A report of one window's usage.

    Attributes:
        window: The window's number.
        counts: Requests that began to run in it, by workspace.
        holder: The gateway that sends it.
        fence: Its fencing number.
    """

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


class DutyDialect(Protocol):
    """How reports are written on the wire."""

    def encode_report(self, report: Report) -> bytes:
        """Write a report."""

    def decode_report_outcome(self, status: int) -> ReportOutcome:
        """Read how it was taken."""


SendReport = Callable[[Report], Awaitable[ReportOutcome]]


def make_sender(
    pool: ConnectionPool, dialect: DutyDialect, clock: Callable[[], float], log: Log
) -> SendReport:
    """Make what sends reports to the platform.

    Args:
        pool: Connections to where it takes them.
        dialect: How they are written.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
    """

    async def send(report: Report) -> ReportOutcome:
        data = dialect.encode_report(report)
        try:
            head, _ = await call_once(pool, clock, data, REPORT_LIMITS)
        except (ConnectionBrokenError, TimeoutError) as error:
            window = report.window
            log("report without an answer", window=window, error=str(error))
            return ReportOutcome.UNSURE
        return dialect.decode_report_outcome(head.status)

    return send


class Reporter:
    """Decides, stores and sends reports while it is this gateway's turn.

    Attributes:
        authority: What is known of who may send.
        reports: What is known of reports.
    """

    def __init__(
        self,
        authority: Authority,
        topic: str,
        store: KeyedStore,
        send: SendReport | None,
        book: UsageBook,
        peers: Peers,
        clock: Callable[[], float],
        log: Log,
    ):
        self.authority = authority
        self.reports = Reports()
        self._topic = topic
        self._store = store
        self._send_report = send
        self._book = book
        self._peers = peers
        self._clock = clock
        self._log = log
        self._claim: Claim | None = None
        self._must_read = True
        self._rests_until = 0.0
        self._pause_s = PAUSE_S
        self._heard_at: dict[str, float] = {}
        self._spilled: set[int] = set()
        self._missed: set[int] = set()
        self._tries: dict[int, int] = {}
        # Windows before this one may have been decided in what the store has lost.
        self._lost_before = -1

    def note_era(self, era: int) -> None:
        """Take note that the store has returned from a copy.

        What was decided before is kept here, and written again before it is sent.
        """
        claims.note_era(self.authority, self._clock(), era)
        reports.forget_store(self.reports)
        self._must_read = True
        self._claim = None
        schedule = self._book.schedule
        if schedule is not None:
            # What could have been decided by now, and is not known here, may be gone
            # with the store's newest: it is decided by nobody.
            wall_s = self._book.read_wall()
            self._lost_before = usage.find_window(wall_s, schedule.window_s)

    async def run(self) -> None:
        """Look for what is due for as long as the process runs."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self._book.schedule is not None and self._send_report is not None:
                await self._look()

    async def _look(self) -> None:
        schedule, now = self._book.schedule, self._clock()
        self._book.agree(self._peers.choice.relay, now)
        wall_s = self._book.read_wall()
        if not self.reports.first_window:
            window = usage.find_window(wall_s, schedule.window_s)
            self.reports.first_window = window
        self._note_heard(now)
        self._forget_old(wall_s)
        try:
            await self._spill(wall_s)
            if self._peers.is_relay and now >= self._rests_until:
                await self._report_due(wall_s)
        except EraChangedError:
            # The next look reads all anew.
            self._must_read = True
        except LogConflictError as error:
            self._must_read = True
            self._log("another writes reports too", end=error.end)
        except LogServiceError as error:
            self._must_read = True
            self._log("report not stored yet", error=str(error))
            self._rest()

    # Whose turn it is.

    def _note_heard(self, now: float) -> None:
        for name in list_heard(self._peers):
            self._heard_at[name] = now
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if now - at <= HEARD_S
        }

    def _find_place(self) -> int:
        """Find this gateway's place among the relays that are heard."""
        views = self._peers.views
        relays = [name for name, view in views.items() if view.is_relay]
        return sum(name < self._peers.name for name in relays)

    def _hears_most(self) -> bool:
        return len(list_heard(self._peers)) * 2 >= len(self._heard_at)

    # What is due.

    async def _report_due(self, wall_s: float) -> None:
        schedule = self._book.schedule
        counted = usage.list_windows(self._book.ledger)
        due = reports.list_due(self.reports, schedule, counted, wall_s)
        turn_s = reports.find_turn_s(schedule, self._find_place(), self._hears_most())
        # A window whose answers are lost must not hold up those after it.
        for window in sorted(due, key=lambda w: (self._tries.get(w, 0), w)):
            ended_at = (window + 1) * schedule.window_s
            if wall_s - ended_at < turn_s:
                continue
            if not await self._report(window):
                return

    async def _report(self, window: int) -> bool:
        """Report a window as far as may be; whether to go on with the next."""
        if self._must_read:
            await self._read()
        if not claims.may_claim(self.authority, self._clock()):
            return False
        stage = reports.find_stage(self.reports, window)
        if stage is Stage.ACKNOWLEDGED:
            return True
        if stage is Stage.OPEN:
            if window < self._lost_before:
                self._note_missed(
                    window, "may have been decided before the store's copy"
                )
                return True
            await self._decide(window)
        if window not in self.reports.records:
            return False
        return await self._send(window)

    async def _decide(self, window: int) -> None:
        """Fix what a window's report says, in the store, before it is ever sent."""
        for _ in range(MOST_TRIES):
            counts = usage.add_up(self._book.ledger, window)
            try:
                await self._append(reports.make_window_key(window), window, counts)
            except LogConflictError:
                # Others may have written counts, or have decided.
                await self._read()
                if reports.find_stage(self.reports, window) is not Stage.OPEN:
                    return
                if not claims.may_claim(self.authority, self._clock()):
                    return
                continue
            schedule = self._book.schedule
            late_s = self._book.read_wall() - (window + 1) * schedule.window_s
            self._log(
                "usage decided",
                window=window,
                requests=sum(counts.values()),
                workspaces=len(counts),
                gateways=usage.list_gateways(self._book.ledger, window),
                after_ms=round(late_s * 1000),
            )
            return

    async def _append(
        self, key: str, window: int | None, counts: dict[str, int]
    ) -> None:
        """Append a record where the topic still ends as it was read."""
        sent_at, authority = self._clock(), self.authority
        era, end = authority.era, authority.end
        last = self.reports.last
        follows_self = last is not None and last.holder == authority.name
        follows_self = follows_self and authority.holder == authority.name
        fence = last.fence if follows_self else make_fence(self._store.era or 0, end)
        record = Record(authority.name, fence, end, window, counts)
        data = msgspec.json.encode(record)
        # Without an answer it may be done all the same: what there is, is read first.
        self._must_read = True
        await self._store.append_keyed(self._topic, key, data, expected_end=end)
        self._must_read = False
        authority.end = end + 1
        reports.take_record(self.reports, record)
        claims.note_claim(authority, self._clock(), authority.name)
        self._claim = Claim(fence, sent_at, era)

    async def _read(self) -> None:
        """Read what the store holds beyond what is known."""
        end = self.authority.end
        try:
            if end is None:
                records = await self._store.read_newest(self._topic)
            else:
                records = await self._store.read_on(self._topic, end, 0.0)
        except RecordsTrimmedError:
            records = await self._store.read_newest(self._topic)
        for item in records.items:
            self._take(item.key, item.value)
        self.authority.end = records.end
        self._must_read = records.end < records.topic_end

    def _take(self, key: str, value: bytes | None) -> None:
        if value is None:
            return
        kind = Spilled if reports.is_spill_key(key) else Record
        try:
            found = msgspec.json.decode(value, type=kind)
        except msgspec.MsgspecError as error:
            self._log("record of reports can't be read", record=key, error=str(error))
            return
        if isinstance(found, Spilled):
            self._book.take(filter(usage.is_account, found.accounts))
        elif reports.take_record(self.reports, found):
            claims.note_claim(self.authority, self._clock(), found.holder)

    # Sending.

    async def _send(self, window: int) -> bool:
        if not await self._hold_claim(window):
            return False
        record = self.reports.records[window]
        name = self.authority.name
        report = Report(window, record.counts, name, self._claim.fence)
        self._tries[window] = self._tries.get(window, 0) + 1
        outcome = await self._send_report(report)
        self._log_sent(report, outcome)
        if outcome is ReportOutcome.TAKEN:
            reports.note_acknowledged(self.reports, {window})
            self._peers.changed.set()
            self._pause_s = PAUSE_S
            return True
        if outcome is ReportOutcome.FENCED:
            # Whoever has the higher number goes on; this one is not used again.
            claims.note_claim(self.authority, self._clock(), claims.LOST)
            self._claim = None
            self._must_read = True
        self._rest()
        return False

    async def _hold_claim(self, window: int) -> bool:
        """Hold a claim that may still be used, if need be by a new one."""
        claim, now = self._claim, self._clock()
        if claim is None or not claims.may_use(self.authority, claim, now):
            if not claims.may_claim(self.authority, now):
                return False
            record = self.reports.records.get(window)
            counts = record.counts if record else {}
            # A window's record is written again, as a copy of the store may lack it.
            key = reports.make_window_key(window) if record else CLAIM_KEY
            await self._append(key, window if record else None, counts)
            claim = self._claim
        return claims.may_use(self.authority, claim, self._clock())

    def _log_sent(self, report: Report, outcome: ReportOutcome) -> None:
        schedule = self._book.schedule
        late_s = self._book.read_wall() - (report.window + 1) * schedule.window_s
        self._log(
            "usage reported",
            window=report.window,
            fence=report.fence,
            outcome=outcome.value,
            after_ms=round(late_s * 1000),
            in_time=late_s <= schedule.late_s,
        )

    def _rest(self) -> None:
        self._rests_until = self._clock() + self._pause_s
        self._pause_s = min(MOST_PAUSE_S, self._pause_s * 2)

    # Counts that no peer knows.

    async def _spill(self, wall_s: float) -> None:
        """Write counts into the store that no peer has confirmed."""
        book, schedule = self._book, self._book.schedule
        if self._peers.is_relay and self._find_place() == 0 and self._hears_most():
            # Who decides knows them.
            return
        for window in list(usage.list_windows(book.ledger)):
            if window in self._spilled or window in self.reports.acknowledged:
                continue
            if not reports.must_spill(schedule, window, wall_s):
                continue
            accounts = usage.describe_account(book.ledger, book.name, window)
            if not accounts or usage.is_confirmed(book.ledger, book.name, window):
                continue
            data = msgspec.json.encode(Spilled(accounts))
            key = reports.make_spill_key(book.name, window)
            self._spilled.add(window)
            await self._store.append_keyed(self._topic, key, data)
            self._log("counts written to the store", window=window)

    def _forget_old(self, wall_s: float) -> None:
        schedule = self._book.schedule
        oldest = reports.find_oldest(schedule, wall_s)
        for window in range(max(self.reports.first_window, oldest - 1), oldest):
            if window not in self.reports.acknowledged:
                self._note_missed(window, "not taken in time")
        usage.forget_before(self._book.ledger, oldest)
        kept = oldest - KEPT_WINDOWS
        known = self.reports
        known.records = {w: r for w, r in known.records.items() if w >= kept}
        known.acknowledged = {w for w in known.acknowledged if w >= kept}
        self._spilled = {w for w in self._spilled if w >= kept}
        self._missed = {w for w in self._missed if w >= kept}
        self._tries = {w: n for w, n in self._tries.items() if w >= kept}

    def _note_missed(self, window: int, why: str) -> None:
        if window in self._missed:
            return
        self._missed.add(window)
        self._log("usage missed", window=window, reason=why)
        reports.note_acknowledged(self.reports, {window})
