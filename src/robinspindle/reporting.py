"""Reports each window's usage to the platform: one gateway at a time, one value."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinspindle.core import usage, usagereports
from robinspindle.core.usagereports import Spilled, Stage
from robinspindle.dutycalls import DutyOutcome
from robinspindle.dutylog import DutyLog
from robinspindle.dutyranking import DutyRanking
from robinspindle.exceptions import (
    EraChangedError,
    LogConflictError,
    LogServiceError,
)
from robinspindle.logs import Log
from robinspindle.peers import Peers
from robinspindle.usagebook import UsageBook

PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
"""First and longest pause after a call that failed, seconds."""

MOST_TRIES = 5
"""Times that a record is written anew where others write too, before a pause."""

KEPT_WINDOWS = 64
"""Windows of which it is remembered how their reports ended."""


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


SendReport = Callable[[Report], Awaitable[DutyOutcome]]


class Reporter:
    """Decides, stores and sends reports while it is this gateway's turn.

    Attributes:
        missed: Windows that were given up so far.
    """

    def __init__(
        self,
        duties: DutyLog,
        ranking: DutyRanking,
        send: SendReport | None,
        book: UsageBook,
        peers: Peers,
        clock: Callable[[], float],
        log: Log,
    ):
        self._duties = duties
        self._ranking = ranking
        self._reports = duties.reports
        self._send_report = send
        self._book = book
        self._peers = peers
        self._clock = clock
        self._log = log
        self._rests_until = 0.0
        self._pause_s = PAUSE_S
        self._spilled: set[int] = set()
        self.missed = 0
        self._given_up: set[int] = set()
        self._tries: dict[int, int] = {}
        # Windows before this one may have been decided in what the store has lost.
        self._lost_before = -1

    def note_era(self) -> None:
        """Take note that the store has returned from a copy.

        What was decided before is kept here, and written again before it is sent. What
        could have been decided by now, and is not known here, may be gone with the
        store's newest: it is decided by nobody.
        """
        schedule = self._book.schedule
        if schedule is not None:
            wall_s = self._book.read_wall()
            self._lost_before = usage.find_window(wall_s, schedule.window_s)

    def count_reported(self) -> int:
        """Count the windows that are kept as reported."""
        return len(self._reports.acknowledged)

    async def look(self) -> None:
        """Do what is due now."""
        schedule = self._book.schedule
        if schedule is None or self._send_report is None:
            return
        now = self._clock()
        self._book.agree(self._peers.choice.relay, now)
        wall_s = self._book.read_wall()
        if not self._reports.first_window:
            window = usage.find_window(wall_s, schedule.window_s)
            self._reports.first_window = window
        self._forget_old(wall_s)
        try:
            await self._spill(wall_s)
            if now >= self._rests_until:
                await self._report_due(wall_s)
        except EraChangedError:
            # The next look reads all anew.
            self._duties.must_read = True
        except LogConflictError as error:
            self._duties.must_read = True
            self._log("another writes reports too", end=error.end)
        except LogServiceError as error:
            self._duties.must_read = True
            self._log("report not stored yet", error=str(error))
            self._rest()

    # What is due.

    async def _report_due(self, wall_s: float) -> None:
        schedule = self._book.schedule
        counted = usage.list_windows(self._book.ledger)
        due = usagereports.list_due(self._reports, schedule, counted, wall_s)
        place = self._ranking.find_place()
        if place is None:
            return
        hears_most, hears_all = self._ranking.hears_most(), self._ranking.hears_all()
        # A window whose answers are lost must not hold up those after it.
        due = [window for window in due if window not in self._given_up]
        for window in sorted(due, key=lambda w: (self._tries.get(w, 0), w)):
            # What is decided waits for nobody.
            is_open = usagereports.find_stage(self._reports, window) is Stage.OPEN
            is_complete = hears_all or not is_open
            turn_s = usagereports.find_report_delay_s(
                schedule, place, hears_most, is_complete
            )
            ended_at = (window + 1) * schedule.window_s
            if wall_s - ended_at < turn_s:
                continue
            if not await self._report(window):
                return

    async def _report(self, window: int) -> bool:
        """Report a window as far as may be; whether to go on with the next."""
        await self._duties.catch_up()
        if not self._duties.may_claim():
            return False
        stage = usagereports.find_stage(self._reports, window)
        if stage is Stage.ACKNOWLEDGED:
            return True
        if stage is Stage.OPEN:
            if window < self._lost_before:
                self._note_missed(
                    window, "may have been decided before the store's copy"
                )
                return True
            await self._decide(window)
        if window not in self._reports.records:
            return False
        return await self._send(window)

    async def _decide(self, window: int) -> None:
        """Fix what a window's report says, in the store, before it is ever sent."""
        for _ in range(MOST_TRIES):
            counts = usage.sum_by_workspace(self._book.ledger, window)
            try:
                key = usagereports.make_window_key(window)
                await self._duties.append(key, window, counts)
            except LogConflictError:
                # Others may have written counts, or have decided.
                await self._duties.read()
                if usagereports.find_stage(self._reports, window) is not Stage.OPEN:
                    return
                if not self._duties.may_claim():
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

    # Sending.

    async def _send(self, window: int) -> bool:
        claim = await self._duties.hold(window)
        if claim is None:
            return False
        counts = self._reports.records[window].counts
        report = Report(window, counts, self._duties.authority.name, claim.fence)
        self._tries[window] = self._tries.get(window, 0) + 1
        outcome = await self._send_report(report)
        self._log_sent(report, outcome)
        if outcome is DutyOutcome.TAKEN:
            usagereports.note_acknowledged(self._reports, {window})
            self._peers.changed.set()
            self._pause_s = PAUSE_S
            return True
        if outcome is DutyOutcome.FENCED:
            self._duties.note_fenced()
        self._rest()
        return False

    def _log_sent(self, report: Report, outcome: DutyOutcome) -> None:
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
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)

    # Counts that no peer knows.

    async def _spill(self, wall_s: float) -> None:
        """Write counts into the store that no peer has confirmed."""
        book, schedule = self._book, self._book.schedule
        if self._ranking.is_first():
            # Who decides knows them.
            return
        for window in list(usage.list_windows(book.ledger)):
            if window in self._spilled or window in self._reports.acknowledged:
                continue
            if not usagereports.must_spill(schedule, window, wall_s):
                continue
            accounts = usage.list_accounts(book.ledger, book.name, window)
            if not accounts or usage.is_acknowledged(book.ledger, book.name, window):
                continue
            key = usagereports.make_spill_key(book.name, window)
            self._spilled.add(window)
            await self._duties.write_spilled(key, Spilled(accounts))
            self._log("counts written to the store", window=window)

    def _forget_old(self, wall_s: float) -> None:
        schedule = self._book.schedule
        oldest = usagereports.find_oldest(schedule, wall_s)
        for window in range(max(self._reports.first_window, oldest - 1), oldest):
            if window not in self._reports.acknowledged:
                self._note_missed(window, "not taken in time")
        usage.forget_before(self._book.ledger, oldest)
        usage.forget_windows(self._book.ledger, self._reports.acknowledged)
        kept = oldest - KEPT_WINDOWS
        known = self._reports
        known.records = {w: r for w, r in known.records.items() if w >= kept}
        known.acknowledged = {w for w in known.acknowledged if w >= kept}
        self._spilled = {w for w in self._spilled if w >= kept}
        self._given_up = {w for w in self._given_up if w >= kept}
        self._tries = {w: n for w, n in self._tries.items() if w >= kept}

    def _note_missed(self, window: int, why: str) -> None:
        if window in self._given_up:
            return
        self._given_up.add(window)
        self.missed += 1
        self._log("usage missed", window=window, reason=why)
