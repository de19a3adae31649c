"""Holds callers' connections to what the process may hold for them."""

import gc
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from robinspindle.core import calleraccount
from robinspindle.core.calleraccount import CallerAccount, CallerHolding, Held
from robinspindle.logs import Log

LOG_INTERVAL_S = 1.0
"""How often it is logged at most that callers gave way, seconds."""


class Relief(StrEnum):
    """How a connection gives way."""

    CLOSED = "closed"
    """It was closed; nothing of it was under way."""

    REFUSED = "refused"
    """The request that came in was refused."""

    SHORTENED = "shortened"
    """What came behind the request under way was dropped, unread."""

    TURNED_AWAY = "turned away"
    """It was closed unread as it came."""

    UNREACHABLE = "unreachable"
    """It was closed, as its caller acknowledged nothing."""

    STALLED = "stalled"
    """It was closed, as its caller took nothing of a whole answer for too long."""


class Connection(Protocol):
    """What is asked of a connection."""

    def give_way(self) -> Relief:
        """Give up what it holds, apart from a request under way."""

    def give_place(self) -> None:
        """Close at once, as nothing is under way."""


def ignore_relief(relief: Relief) -> None:
    """Stand for who counts how connections give way."""


class CallerLimits:
    """The account of one process, and the connections that it counts.

    Attributes:
        account: The account.
    """

    def __init__(
        self,
        account: CallerAccount,
        clock: Callable[[], float],
        count: Callable[[Relief], None] = ignore_relief,
    ):
        """Begin without connections.

        Args:
            account: The account.
            clock: Tells the present time, monotonic seconds.
            count: Counts how connections give way.
        """
        self.account = account
        self._clock = clock
        self._count = count
        self._connections: dict[CallerHolding, Connection] = {}
        self._untold: Counter[str] = Counter()
        self._told_at = clock()

    def add(self, connection: Connection) -> CallerHolding | None:
        """Count a new connection; the eldest that are idle give way to it.

        Returns:
            What it holds; None if there is no place for it.
        """
        for holding in calleraccount.list_eldest(self.account):
            self.evict(holding)
            self.remove(holding)
        if len(self.account.holdings) >= self.account.max_connections:
            self.note(Relief.TURNED_AWAY)
            return None
        holding = calleraccount.add_connection(self.account, self._clock())
        self._connections[holding] = connection
        return holding

    def remove(self, holding: CallerHolding) -> None:
        """Count a connection no more."""
        self._connections.pop(holding, None)
        calleraccount.remove_connection(self.account, holding)

    def note_abandoned(self, count: int) -> None:
        """Count what a request holds, in bytes, that ended as its caller had left."""
        calleraccount.note_abandoned(self.account, count)

    def record(self, holding: CallerHolding, held: Held) -> None:
        """Record what a connection holds now."""
        calleraccount.note_held(self.account, holding, held)

    def relieve(self) -> None:
        """Have connections give way, if callers hold too much."""
        account = self.account
        if account.total_bytes <= account.max_bytes:
            return
        if account.abandoned_bytes:
            # A cancelled task and what it held refer to each other.
            gc.collect()
            account.abandoned_bytes = 0
        for excess in calleraccount.list_excess(account, self._clock()):
            excess.has_given_way = True
            self.note(self._connections[excess].give_way())

    def evict(self, holding: CallerHolding) -> None:
        """Have a connection give its place up that has nothing under way."""
        self._connections[holding].give_place()
        self.note(Relief.CLOSED)

    def note(self, relief: Relief) -> None:
        """Count a connection that was closed or shortened."""
        self._untold[relief] += 1
        self._count(relief)

    def tell(self, log: Log, now: float) -> None:
        """Log how many connections gave way, if any did and it is time.

        Args:
            log: Takes the line.
            now: The present time, monotonic seconds.
        """
        if not self._untold or now - self._told_at < LOG_INTERVAL_S:
            return
        account = self.account
        log(
            "callers gave way",
            at=round(now, 4),
            gave_way=dict(self._untold),
            held_bytes=account.total_bytes,
            answer_bytes=account.answers.total,
            most_bytes=round(account.max_bytes),
            connections=len(account.holdings),
            most_connections=account.max_connections,
        )
        self._untold.clear()
        self._told_at = now
