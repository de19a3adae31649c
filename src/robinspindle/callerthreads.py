"""Servers with a thread a request, held to what callers may make the process hold.

A thread that reads is the caller's: it reads as slowly as bytes come, until it is told
that nothing more is waited for (`threadlimits`).
"""

import io
import socket
import threading
from collections.abc import Callable

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection
from cheroot.wsgi import Server

from robinspindle.clocks import read_steady
from robinspindle.threadlimits import Reading, ThreadLimits

MOST_QUEUED = 512
"""Connections that wait for a thread, at most; more are closed unread."""

LOOK_S = 0.1
LAST_LOOK_S = 0.001
"""How long a thread waits for bytes until it looks whether it still may, and how long
it looks for bytes that have come if it may not, seconds."""

STOP_WAITS_S = 1.0
"""How long after a stop began threads still wait for their callers, seconds."""


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

    def communicate(self) -> bool:
        """Read a request and answer it."""
        limits = self.server.limits
        self.reading = Reading(self.server)
        limits.begin(self.reading)
        self.reading.may_wait = not self.server.is_stopping
        try:
            return super().communicate() and not self.reading.has_given_way
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
