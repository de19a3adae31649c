"""Counts the requests that began to run, by workspace and window, and tells peers."""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from robinspindle.core import timeofday, usage
from robinspindle.core.usage import Account, Ledger
from robinspindle.core.usagereports import Schedule
from robinspindle.logs import Log

MOST_CLOCK_AGE_S = 2.0
"""How long a peer's clock is believed after it was heard, seconds."""


@dataclass(frozen=True)
class PeerClock:
    """What a peer's clock showed, beyond our steady clock.

    Attributes:
        own: Its time of day, seconds.
        agreed: What it believes the time of day to be, seconds.
        heard_at: When it was heard, steady seconds.
    """

    own: float
    agreed: float
    heard_at: float


@dataclass
class UsageBook:
    """What one gateway counts, and knows of the others' counts.

    Attributes:
        name: This gateway.
        incarnation: When it started, Unix milliseconds.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
        wall: Tells the time of day, Unix seconds.
        schedule: What is promised of reports; None where there are none.
        ledger: All counts that are known.
        clocks: The clocks of peers that were heard, by name.
        beyond: The time of day that is believed, beyond the steady clock, seconds.
    """

    name: str
    incarnation: int
    clock: Callable[[], float]
    log: Log
    wall: Callable[[], float] = time.time
    schedule: Schedule | None = None
    ledger: Ledger = field(default_factory=Ledger)
    clocks: dict[str, PeerClock] = field(default_factory=dict)

    def __post_init__(self):
        self.beyond = self._read_own()
        self._agreed_at = -math.inf

    def count(self, workspace: str, at: float) -> None:
        """Count a request that began to run.

        Args:
            workspace: Whose it is.
            at: When it began, steady seconds.
        """
        if self.schedule is None:
            return
        window = usage.find_window(at + self.beyond, self.schedule.window_s)
        usage.count_started_request(
            self.ledger, self.name, self.incarnation, window, workspace
        )

    def read_wall(self) -> float:
        """Read the time of day that gateways agree on, Unix seconds."""
        return self.clock() + self.beyond

    def note_clock(self, peer: str, own_s: float, agreed_s: float) -> None:
        """Take note of a peer's clock, and of what it believes, Unix seconds."""
        now = self.clock()
        self.clocks[peer] = PeerClock(own_s - now, agreed_s - now, now)

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
        own, before = self._read_own(), self.beyond
        if relay in self.clocks:
            self.beyond = timeofday.choose_clock(own, self.clocks[relay].agreed)
            self._agreed_at = now
        elif len(self.clocks) + 1 >= timeofday.MIN_CLOCKS:
            others = [peer.own for peer in self.clocks.values()]
            self.beyond = timeofday.find_agreed_clock(own, others)
            self._agreed_at = now
        elif now - self._agreed_at <= timeofday.TRUST_S:
            self.beyond = timeofday.choose_clock(own, before)
        else:
            self.beyond = own
        if abs(self.beyond - before) > timeofday.NOISE_S:
            self.log("time of day set", seconds=round(self.beyond - before, 3))

    def _read_own(self) -> float:
        return self.wall() - self.clock()

    def list_unacknowledged(
        self, peer: str, started: float, number: int, left_out: set[str]
    ) -> list[Account]:
        """List the counts that a peer has not confirmed."""
        if self.schedule is None:
            return []
        return usage.list_unacknowledged(self.ledger, peer, started, number, left_out)

    def take(self, accounts: Iterable[Account]) -> None:
        """Take in what a peer tells."""
        usage.merge_accounts(self.ledger, accounts)
