"""What the connections hold that have a thread, and who of them gives way.

What is read for callers is counted in the process's account (`calleraccount`). Where
all threads are taken and a connection waits for one, the connection that has been read
for longest gives its thread up.
"""

import threading
from collections.abc import Callable
from typing import Protocol

from robinspindle.callerlimits import CallerLimits, Relief
from robinspindle.clocks import read_steady
from robinspindle.core.calleraccount import (
    DEFAULT_MEMORY_MB,
    CallerAccount,
    CallerHolding,
    Held,
    find_bound,
)
from robinspindle.logs import Log, make_log

WHOLE_BODY_COPIES = 3
"""How often a whole body is in memory while its request is under way: as it came, as it
was decoded, and as it is sent on."""


class ThreadServer(Protocol):
    """A server with a thread a request.

    Attributes:
        limits: The account of its process.
        is_stopping: Whether requests that aren't whole are refused.
    """

    limits: "ThreadLimits"
    is_stopping: bool


class Reading:
    """A connection that has a thread.

    Attributes:
        server: Whose thread it is.
        holding: What it holds; None before it is counted.
        has_given_way: Whether nothing more is read.
        may_wait: Whether more is waited for; else only what has come is read.
        has_head: Whether the head of a request has come.
    """

    def __init__(self, server: ThreadServer):
        self.server = server
        self.holding: CallerHolding | None = None
        self.has_given_way = False
        self.may_wait = True
        self.has_head = False

    def give_way(self) -> Relief:
        """End the thread's wait for more; its request is refused.

        What it holds counts until its thread has dropped it: beside many threads that
        takes a while, in which as much again would come.
        """
        self.give_place()
        return Relief.REFUSED

    def give_place(self) -> None:
        """End the thread's wait for more."""
        self.has_given_way = True


class ThreadLimits:
    """The account of a process whose servers have a thread a request.

    It may be used by several threads at once.
    """

    def __init__(self, limits: CallerLimits, clock: Callable[[], float], log: Log):
        """Begin without connections.

        Args:
            limits: The account, and who gives way.
            clock: Tells the present time, monotonic seconds.
            log: Takes log lines.
        """
        self._limits = limits
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._readings: set[Reading] = set()

    def begin(self, reading: Reading) -> None:
        """Count a connection that got a thread."""
        with self._lock:
            reading.holding = self._limits.add(reading)
            self._readings.add(reading)

    def end(self, reading: Reading) -> None:
        """Count it no more."""
        with self._lock:
            self._readings.discard(reading)
            self._limits.remove(reading.holding)

    def note_coming(self, reading: Reading, count: int) -> None:
        """Record how many bytes of a body have come.

        Args:
            reading: The connection.
            count: The bytes.
        """
        self._record(reading, Held(reading.holding.since, loose_bytes=count))

    def note_whole(self, reading: Reading, count: int) -> None:
        """Record that a request of a length, in bytes, has come and is under way."""
        held = Held(reading.holding.since, 1 + WHOLE_BODY_COPIES * count)
        self._record(reading, held)

    def free_thread(self, server: ThreadServer) -> None:
        """Have the connection give way that a server has been reading for longest."""
        with self._lock:
            unread = [r for r in self._list(server) if _may_give_way(r)]
            if unread:
                eldest = min(unread, key=lambda r: r.holding.since)
                self._limits.evict(eldest.holding)
            self._limits.tell(self._log, self._clock())

    def count_bytes(self) -> int:
        """Count what callers make the process hold, bytes."""
        return self._limits.account.total_bytes

    def has_requests(self, server: ThreadServer) -> bool:
        """Whether a server has requests, from the heads to the ends of the answers."""
        with self._lock:
            return any(reading.has_head for reading in self._list(server))

    def refuse_unread(self, server: ThreadServer) -> None:
        """Have a server wait for no more of requests that aren't whole."""
        with self._lock:
            for reading in self._list(server):
                reading.may_wait = False

    def end_waits(self, server: ThreadServer) -> None:
        """End the waits of all of a server's threads for more from their callers."""
        with self._lock:
            for reading in self._list(server):
                reading.give_place()

    def _list(self, server: ThreadServer) -> list[Reading]:
        return [reading for reading in self._readings if reading.server is server]

    def _record(self, reading: Reading, held: Held) -> None:
        with self._lock:
            self._limits.record(reading.holding, held)
            self._limits.relieve()
            self._limits.tell(self._log, self._clock())


def _may_give_way(reading: Reading) -> bool:
    return not (reading.holding.is_busy or reading.has_given_way)


def make_thread_limits(memory_mb: float = DEFAULT_MEMORY_MB) -> ThreadLimits:
    """Make the account of a process, which its servers share.

    Args:
        memory_mb: Memory that the process may have, MB.
    """
    account = CallerAccount(max_bytes=find_bound(memory_mb))
    limits = CallerLimits(account, read_steady)
    return ThreadLimits(limits, read_steady, make_log("callers"))
