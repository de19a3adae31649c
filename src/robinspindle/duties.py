"""What one gateway does for all, and its parts put together."""

import asyncio
from collections.abc import Awaitable, Callable

from robinspindle.adapters import Adapter
from robinspindle.connectionpool import ConnectionPool
from robinspindle.core.authority import Authority
from robinspindle.core.usagereports import Reports, Schedule
from robinspindle.dutycalls import Call, DutyOutcome, make_sender
from robinspindle.dutylog import DutyLog
from robinspindle.dutyranking import DutyRanking
from robinspindle.fleet import Fleet
from robinspindle.following import KeyedStore
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.logs import make_log
from robinspindle.peers import Peers
from robinspindle.reporting import Reporter
from robinspindle.scaler import Scaler
from robinspindle.usagebook import UsageBook

LOOK_S = 0.25
"""Interval at which it is looked for what is due, seconds."""


class Duties:
    """The duties of a gateway.

    Attributes:
        reports: What is known of reports.
        reporter: Reports usage.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        store: KeyedStore,
        book: UsageBook,
        fleet: Fleet,
        peers: Peers,
        clock: Callable[[], float],
    ):
        self._clock = clock
        self._book = book
        self._pool = None
        if settings.duties is not None:
            decode = adapter.dialect.decode_answer
            self._pool = ConnectionPool(settings.duties.address, decode)
        self._adapter = adapter
        self.reports = Reports()
        self._authority = Authority(settings.name, settings.pledges.lease_s)
        self._log = DutyLog(
            self._authority,
            self.reports,
            adapter.reports_topic,
            store,
            book,
            clock,
            make_log("duties"),
        )
        self._ranking = DutyRanking(peers)
        self.reporter = Reporter(
            self._log,
            self._ranking,
            self._make_sender(adapter.duties.encode_report),
            book,
            peers,
            clock,
            make_log("usage"),
        )
        self._scaler = Scaler(
            self._log,
            self._ranking,
            self._make_sender(adapter.duties.encode_scale_order),
            fleet,
            peers,
            clock,
            make_log("scaling"),
        )

    def _make_sender(
        self, encode: Callable[[Call], bytes]
    ) -> Callable[[Call], Awaitable[DutyOutcome]] | None:
        """Make what sends calls of one kind; None where there are no duties."""
        if self._pool is None:
            return None
        decode = self._adapter.duties.decode_duty_outcome
        return make_sender(self._pool, encode, decode, self._clock, make_log("duties"))

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put in force what was promised."""
        self._authority.lease_s = settings.pledges.lease_s
        asked = settings.duties
        self._book.schedule = (
            None if asked is None else Schedule(asked.window_s, asked.late_s)
        )

    def note_era(self, era: int) -> None:
        """Take note that the store has returned from a copy."""
        self._log.note_era(era)
        self.reporter.note_era()

    def note_pause(self) -> None:
        """Take note that this process was not run for a while."""
        self._ranking.note_pause()

    async def run(self) -> None:
        """Do what is due, while it is this gateway's turn, until the process ends.

        Where the settings at the start name nobody to call, nothing ever is.
        """
        if self._pool is None:
            return
        while True:
            await asyncio.sleep(LOOK_S)
            self._ranking.note_heard(self._clock())
            await self.reporter.look()
            await self._scaler.look()
