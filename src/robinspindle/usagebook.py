"""Counts the requests that began to run, by workspace and window, and tells peers."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from robinspindle.core import timeofday, usage
from robinspindle.core.reports import Schedule
from robinspindle.core.usage import Account, Ledger
from robinspindle.logs import Log

MOST_CLOCK_AGE_S = 2.0
"""How long a peer's clock is believed after it was heard, seconds."""


@dataclass
class PeerClock:
    """What a peer's clock showed against ours.

    Attributes:
        offset: Its time of day less ours, seconds.
        agreed: What it believes the time of day to be, less ours, seconds.
        heard_at: When it was heard, steady seconds.
    """

    offset: float
    agreed: float
    heard_at: float


@dataclass
class UsageBook:
    """What one gateway counts, and knows of the others' counts.

    Attributes:
        name: This gateway.
        life: When it started, Unix milliseconds.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
        wall: Tells the time of day, Unix seconds.
        schedule: What is promised of reports; None where there are none.
        ledger: All counts that are known.
        clocks: The clocks of peers that were heard, by name.
        correction: What is added to the own time of day, seconds.
    """

    name: str
    life: int
    clock: Callable[[], float]
    log: Log
    wall: Callable[[], float] = time.time
    schedule: Schedule | None = None
    ledger: Ledger = field(default_factory=Ledger)
    clocks: dict[str, PeerClock] = field(default_factory=dict)
    correction: float = 0.0

    def count(self, workspace: str, at: float) -> None:
        """Count a request that began to run.

        Args:
            workspace: Whose it is.
            at: When it began, steady seconds.
        """
        if self.schedule is None:
            return
        wall_s = self.read_wall() - (self.clock() - at)
        window = usage.find_window(wall_s, self.schedule.window_s)
        usage.count_begun(self.ledger, self.name, self.life, window, workspace)

    def read_wall(self) -> float:
        """Read the time of day that gateways agree on, Unix seconds."""
        return self.wall() + self.correction

    def note_clock(self, peer: str, offset: float, agreed: float) -> None:
        """Take note of a peer's clock, and of what it believes, against ours."""
        self.clocks[peer] = PeerClock(offset, agreed, self.clock())

    def agree(self, relay: str, now: float) -> None:
        """Agree with the other gateways on the time of day.

        Args:
            relay: Who speaks for this gateway; its own name where it does itself.
            now: The present time, steady seconds.
        """
        self.clocks = {
            name: peer
            for name, peer in self.clocks.items()
            if now - peer.heard_at <= MOST_CLOCK_AGE_S
        }
        before = self.correction
        if relay in self.clocks:
            self.correction = timeofday.follow_relay(self.clocks[relay].agreed)
        else:
            offsets = [peer.offset for peer in self.clocks.values()]
            self.correction = timeofday.find_correction(offsets)
        if abs(self.correction - before) > timeofday.NOISE_S:
            self.log("time of day corrected", seconds=round(self.correction, 3))

    def list_untold(
        self, peer: str, started: float, number: int, left_out: set[str]
    ) -> list[Account]:
        """List the counts that a peer has not confirmed."""
        if self.schedule is None:
            return []
        return usage.list_untold(self.ledger, peer, started, number, left_out)

    def take(self, accounts: Iterable[Account]) -> None:
        """Take in what a peer tells."""
        usage.take_accounts(self.ledger, accounts)
