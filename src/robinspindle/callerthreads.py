"""Servers with a thread a request, held to what callers may make the process hold.

A thread that reads is the caller's: it reads as slowly as bytes come. Where all threads
are taken and a connection waits for one, the connection that has been read for longest
gives its thread up. What is read is counted in the process's account (`calleraccount`).
"""

import socket
import threading
from collections.abc import Callable

from cheroot.server import HTTPConnection
from cheroot.wsgi import Server

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

MOST_QUEUED = 512
"""Connections that wait for a thread, at most; more are closed unread."""

WHOLE_BODY_COPIES = 3
"""How often a whole body is in memory while its request is under way: as it came, as it
was decoded, and as it is sent on."""


class Reading:
    """A connection that has a thread.

    Attributes:
        server: Whose thread it is.
        holding: What it holds; None before it is counted.
        has_given_way: Whether nothing more is read.
    """

    def __init__(self, server: "CallerThreads", sock: socket.socket):
        self.server = server
        self.holding: CallerHolding | None = None
        self.has_given_way = False
        self._socket = sock

    def give_way(self) -> Relief:
        """End the thread's wait for more; its request is refused."""
        self.give_place()
        return Relief.REFUSED

    def give_place(self) -> None:
        """End the thread's wait for more."""
        self.has_given_way = True
        try:
            # Not the method of a TLS connection, which would go on without TLS.
            socket.socket.shutdown(self._socket, socket.SHUT_RD)
        except OSError:
            # The caller has closed it meanwhile.
            return


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

    def free_thread(self, server: "CallerThreads") -> None:
        """Have the connection give way that a server has been reading for longest."""
        with self._lock:
            reading = [
                r for r in self._readings if r.server is server and _may_give_way(r)
            ]
            if reading:
                eldest = min(reading, key=lambda r: r.holding.since)
                self._limits.evict(eldest.holding)
            self._limits.tell(self._log, self._clock())

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


class CallerConnection(HTTPConnection):
    """A connection that is counted while it has a thread."""

    reading: Reading | None = None

    def communicate(self) -> bool:
        """Read a request and answer it."""
        limits = self.server.limits
        self.reading = Reading(self.server, self.socket)
        limits.begin(self.reading)
        try:
            return super().communicate() and not self.reading.has_given_way
        finally:
            limits.end(self.reading)


class CallerThreads(Server):
    """A server whose threads don't wait for slow callers while others wait for them.

    Attributes:
        limits: The account of its process; set before it serves.
    """

    ConnectionClass = CallerConnection
    limits: ThreadLimits

    def process_conn(self, conn: HTTPConnection) -> None:
        """Give a connection to a thread as soon as one is free."""
        waiting = self.requests.qsize
        if waiting >= MOST_QUEUED:
            conn.close()
            return
        if waiting >= self.requests.idle:
            self.limits.free_thread(self)
        super().process_conn(conn)
