"""Servers with a thread a request, held to what callers may make the process hold.

A thread that reads is the caller's: it reads as slowly as bytes come. Where all threads
are taken and a connection waits for one, the connection that has been read for longest
gives its thread up. What is read is counted in the process's account (`calleraccount`).
"""

import io
import socket
import threading
from collections.abc import Callable

from cheroot.makefile import MakeFile, StreamReader
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

LOOK_S = 0.1
LAST_LOOK_S = 0.001
"""How long a thread waits for bytes until it looks whether it still may, and how long
it looks for bytes that have come if it may not, seconds."""

STOP_WAITS_S = 1.0
"""How long after a stop began threads still wait for their callers, seconds."""

WHOLE_BODY_COPIES = 3
"""How often a whole body is in memory while its request is under way: as it came, as it
was decoded, and as it is sent on."""


class Reading:
    """A connection that has a thread.

    Attributes:
        server: Whose thread it is.
        holding: What it holds; None before it is counted.
        has_given_way: Whether nothing more is read.
        may_wait: Whether more is waited for; else only what has come is read.
        has_head: Whether the head of a request has come.
    """

    def __init__(self, server: "CallerThreads"):
        self.server = server
        self.holding: CallerHolding | None = None
        self.has_given_way = False
        self.may_wait = True
        self.has_head = False

    def give_way(self) -> Relief:
        """End the thread's wait for more; its request is refused.

        What it holds counts no more, as its thread drops it at once.
        """
        self.give_place()
        self.server.limits.drop(self)
        return Relief.REFUSED

    def give_place(self) -> None:
        """End the thread's wait for more."""
        self.has_given_way = True


class CallerInput(io.RawIOBase):
    """What comes from a caller, until its connection has given way.

    A socket whose reading half is closed would wake its thread too, but after that TLS
    gives its caller no answer any more, or one in plain text.
    """

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection

    def readable(self) -> bool:
        """Whether there is something to read."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """Wait for bytes; returns their number, 0 for the end.

        Raises:
            TimeoutError: If none came for as long as the server waits.
        """
        reading, sock = self._connection.reading, self._connection.socket
        limit_s = self._connection.server.timeout
        until = read_steady() + limit_s
        try:
            while not reading.has_given_way:
                sock.settimeout(LOOK_S if reading.may_wait else LAST_LOOK_S)
                try:
                    return sock.recv_into(buffer)
                except TimeoutError:
                    if reading.may_wait and read_steady() >= until:
                        raise
                    reading.has_given_way |= not reading.may_wait
            return 0
        finally:
            sock.settimeout(limit_s)


class CallerReader(StreamReader):
    """Reads what comes from a caller, buffered."""

    def __init__(self, source: CallerInput, length: int):
        # Past its own constructor, which makes a source that waits in the socket.
        super(StreamReader, self).__init__(source, length)
        self.bytes_read = 0


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
        if not reading.has_given_way:
            self._record(reading, Held(reading.holding.since, loose_bytes=count))

    def note_whole(self, reading: Reading, count: int) -> None:
        """Record that a request of a length, in bytes, has come and is under way."""
        held = Held(reading.holding.since, 1 + WHOLE_BODY_COPIES * count)
        self._record(reading, held)

    def drop(self, reading: Reading) -> None:
        """Count what a connection holds no more, as others are being recorded."""
        self._limits.record(reading.holding, Held(reading.holding.since))

    def free_thread(self, server: "CallerThreads") -> None:
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

    def has_requests(self, server: "CallerThreads") -> bool:
        """Whether a server has requests, from the heads to the ends of the answers."""
        with self._lock:
            return any(reading.has_head for reading in self._list(server))

    def refuse_unread(self, server: "CallerThreads") -> None:
        """Have a server wait for no more of requests that aren't whole."""
        with self._lock:
            for reading in self._list(server):
                reading.may_wait = False

    def end_waits(self, server: "CallerThreads") -> None:
        """End the waits of all of a server's threads for more from their callers."""
        with self._lock:
            for reading in self._list(server):
                reading.give_place()

    def _list(self, server: "CallerThreads") -> list[Reading]:
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


class CallerConnection(HTTPConnection):
    """A connection that is counted while it has a thread."""

    reading: Reading | None = None

    def __init__(
        self,
        server: "CallerThreads",
        sock: socket.socket,
        makefile: Callable[..., io.BufferedIOBase] = MakeFile,
    ):
        super().__init__(server, sock, makefile)
        self.rfile = CallerReader(CallerInput(self), self.rbufsize)

    @property
    def has_given_way(self) -> bool:
        """Whether nothing more is read."""
        return self.reading is not None and self.reading.has_given_way

    def communicate(self) -> bool:
        """Read a request and answer it."""
        limits = self.server.limits
        self.reading = Reading(self.server)
        limits.begin(self.reading)
        self.reading.may_wait = not self.server.is_stopping
        try:
            return super().communicate() and not self.has_given_way
        finally:
            limits.end(self.reading)


class CallerThreads(Server):
    """A server whose threads don't wait for slow callers while others wait for them.

    Attributes:
        limits: The account of its process; set before it serves.
        is_stopping: Whether requests that aren't whole are refused.
    """

    ConnectionClass = CallerConnection
    limits: ThreadLimits
    is_stopping = False

    def has_requests(self) -> bool:
        """Whether it has requests, from the heads to the ends of the answers."""
        return self.limits.has_requests(self)

    def stop(self) -> None:
        """Refuse what isn't whole, answer the rest, and end the threads.

        The base class is not told to end waits itself: it closes the reading halves of
        sockets, see `CallerInput`.
        """
        self.is_stopping = True
        self.limits.refuse_unread(self)
        ending = threading.Timer(STOP_WAITS_S, self.limits.end_waits, [self])
        ending.start()
        super().stop()
        ending.cancel()

    def process_conn(self, conn: HTTPConnection) -> None:
        """Give a connection to a thread as soon as one is free."""
        waiting = self.requests.qsize
        if waiting >= MOST_QUEUED:
            conn.close()
            return
        if waiting >= self.requests.idle:
            self.limits.free_thread(self)
        super().process_conn(conn)
