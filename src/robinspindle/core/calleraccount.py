"""An account of all that callers make a process hold: memory and descriptors.

Callers may send as much as they are allowed, all at once, and stay. Each connection has
a holding in the account, whatever it is that it holds: a head or a body that comes in,
requests sent ahead, a request under way, or nothing but itself. Answers that callers
have not taken are counted with them (`heldbytes`).

Beyond the bound on memory those give way first that have held most for longest: bytes
times seconds. A body that stops short of its end collects them; a request that comes
and goes has hardly any, however large it is. Beyond the bound on connections those give
way that have been without a request under way for longest. What is under way never
gives way, as it may have run.
"""

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from robinspindle.core.heldbytes import BYTES_PER_MB, HeldBytes

DEFAULT_MEMORY_MB = 512.0
"""Memory that a process may have where its settings don't say, MB."""

CALLERS_SHARE = 0.4
"""Share of the process's memory that callers may make it hold, answers among it; the
rest is for the process itself, for what has come unread, and for loose memory between
what is held."""

UNREAD_SHARE = 0.15
"""Share of the process's memory that may have come at all connections unread."""

RECEIVE_BUFFER_BYTES = 16384
"""Receive buffer of a caller's connection, bytes."""

UNREAD_BYTES = RECEIVE_BUFFER_BYTES * 3 // 2
"""What a system that is told of such a buffer takes before it is read, bytes."""

CONNECTION_BYTES = 8192
"""What a connection takes that holds nothing, bytes."""

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""

CONNECTIONS_SHARE = 0.4
"""Share of the other descriptors that callers' connections may take: each request under
way may need one more to its target, and connections are accepted in bursts."""

BACKLOG_SHARE = 0.25
"""Share of all connections that may wait to be accepted; they are accepted at once."""

MAX_BACKLOG = 1024
"""Connections that wait to be accepted, at most."""

RELIEF_SHARE = 0.05
"""Share of a bound that is made free when it is reached: looking for who holds most
takes time."""

LEAST_ABANDONED_BYTES = 65536
"""Less of a request that was abandoned is not counted, bytes: the interpreter frees it
in time by itself."""

LEAST_AGE_S = 0.1
"""Age that even the youngest holding counts with, seconds, so that size decides among
those that came together."""


@dataclass(frozen=True, slots=True)
class Held:
    """What a connection says that it holds, besides itself.

    Attributes:
        since: Since when it holds what may give way, monotonic seconds.
        busy_bytes: What its request under way holds; 0 if none is.
        loose_bytes: What may give way, and is counted with the connection.
        answer_bytes: What may give way, and is counted with the answers.
    """

    since: float
    busy_bytes: int = 0
    loose_bytes: int = 0
    answer_bytes: int = 0


@dataclass(eq=False, slots=True)
class CallerHolding:
    """What one connection makes the process hold.

    Attributes:
        since: Since when it holds what may give way, monotonic seconds.
        bytes: All that it holds, itself included.
        loose_bytes: The part of it that may give way.
        is_busy: Whether a request of it is under way.
        has_given_way: Whether it has given way already.
    """

    since: float
    bytes: int = CONNECTION_BYTES
    loose_bytes: int = CONNECTION_BYTES
    is_busy: bool = False
    has_given_way: bool = False


@dataclass
class CallerAccount:
    """All that the callers of a process make it hold.

    Attributes:
        max_bytes: Bound on what is held.
        max_connections: Bound on connections.
        answers: What is held of answers.
        bytes: What the connections hold.
        abandoned_bytes: What requests hold whose callers have left, until it is freed.
        holdings: The connections.
    """

    max_bytes: float = math.inf
    max_connections: float = math.inf
    answers: HeldBytes = field(default_factory=lambda: HeldBytes(math.inf))
    bytes: int = 0
    abandoned_bytes: int = 0
    holdings: set[CallerHolding] = field(default_factory=set)

    @property
    def total_bytes(self) -> int:
        """All that is held, bytes."""
        return self.bytes + self.abandoned_bytes + self.answers.total


def find_bound(memory_mb: float) -> float:
    """Return how much callers may make a process hold, bytes.

    Args:
        memory_mb: Memory at which it is killed, MB.
    """
    return CALLERS_SHARE * memory_mb * BYTES_PER_MB


def set_bounds(account: CallerAccount, memory_mb: float, descriptors: int) -> None:
    """Set the bounds of an account.

    Args:
        account: The account.
        memory_mb: Memory at which the process is killed, MB.
        descriptors: Descriptors that it may have open.
    """
    memory = memory_mb * BYTES_PER_MB
    sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
    account.max_bytes = find_bound(memory_mb)
    account.max_connections = max(
        1, int(min(CONNECTIONS_SHARE * sockets, UNREAD_SHARE * memory / UNREAD_BYTES))
    )


def find_backlog(account: CallerAccount) -> int:
    """Find how many connections may wait to be accepted."""
    return max(1, int(min(MAX_BACKLOG, BACKLOG_SHARE * account.max_connections)))


def add_connection(account: CallerAccount, now: float) -> CallerHolding:
    """Count a new connection."""
    holding = CallerHolding(now)
    account.holdings.add(holding)
    account.bytes += holding.bytes
    return holding


def remove_connection(account: CallerAccount, holding: CallerHolding) -> None:
    """Count a connection no more; one that isn't counted changes nothing."""
    if holding in account.holdings:
        account.holdings.remove(holding)
        account.bytes -= holding.bytes


def note_held(account: CallerAccount, holding: CallerHolding, held: Held) -> None:
    """Record what a connection holds now."""
    count = CONNECTION_BYTES + held.busy_bytes + held.loose_bytes
    if holding in account.holdings:
        account.bytes += count - holding.bytes
    holding.bytes = count
    holding.since = held.since
    holding.is_busy = held.busy_bytes > 0
    holding.loose_bytes = held.loose_bytes + held.answer_bytes
    if not holding.is_busy:
        holding.loose_bytes += CONNECTION_BYTES


def note_abandoned(account: CallerAccount, count: int) -> None:
    """Count what a request holds, in bytes, that ended as its caller had left."""
    if count >= LEAST_ABANDONED_BYTES:
        account.abandoned_bytes += count


def list_excess(account: CallerAccount, now: float) -> Iterator[CallerHolding]:
    """List who gives way, one after the other, as long as too much is held.

    Args:
        account: The account.
        now: The present time, monotonic seconds.
    """
    if account.total_bytes <= account.max_bytes:
        return
    allowed = (1 - RELIEF_SHARE) * account.max_bytes
    loose = [h for h in account.holdings if h.loose_bytes and not h.has_given_way]
    loose.sort(key=lambda h: h.loose_bytes * (now - h.since + LEAST_AGE_S))
    while loose and account.total_bytes > allowed:
        yield loose.pop()


def list_eldest(account: CallerAccount) -> list[CallerHolding]:
    """List who gives way to a new connection; empty if none has to, or can."""
    if len(account.holdings) < account.max_connections:
        return []
    idle = (h for h in account.holdings if not h.is_busy)
    count = math.ceil(RELIEF_SHARE * account.max_connections)
    return heapq.nsmallest(count, idle, key=lambda h: h.since)
