"""HTTP server on an event loop: callers' connections, one request at a time.

Unlike a thread a request, it notices at once when a caller hangs up, and it passes the
pieces of an answer on as they come.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack

from robinspindle.callerconnections import CallerConnection, Handle
from robinspindle.callerlimits import CallerLimits
from robinspindle.core import calleraccount
from robinspindle.core.calleraccount import CallerAccount
from robinspindle.core.forwarding import Headers, Refusal
from robinspindle.linkqueue import ignore_sent
from robinspindle.requestparser import Limits


def take_all() -> bool:
    """Stand for a limit on new connections that takes all."""
    return True


def ignore_refused(headers: Headers) -> None:
    """Stand for who logs requests that are refused before they have come whole."""


def make_listener(host: str, port: int) -> socket.socket:
    """Make a socket that callers can be accepted from.

    Its buffers are bounded: what has come and was not read yet counts as the process's.

    Raises:
        OSError: If the port is held by another process.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections have it too, from their first byte on.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, calleraccount.RECEIVE_BUFFER_BYTES
        )
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


class CallerServer:
    """Accepts callers' connections.

    Attributes:
        limits: What callers may send.
        is_stopping: Whether connections are to be closed after their answers.
        connections: All open connections.
    """

    def __init__(
        self,
        handle: Handle,
        limits: Limits,
        clock: Callable[[], float],
        note_sent: Callable[[int], None] = ignore_sent,
        take_connection: Callable[[], bool] = take_all,
        callers: CallerLimits | None = None,
        note_refused: Callable[[Headers], None] = ignore_refused,
    ):
        """Prepare to listen.

        Args:
            handle: Answers a request.
            limits: What callers may send.
            clock: Tells the present time, steady seconds.
            note_sent: Told how many bytes were written.
            take_connection: Tells whether a new connection may be read.
            callers: What callers may make the process hold; None for anything.
            note_refused: Told the headers of a request that is refused before it has
                come whole.
        """
        self.callers = callers or CallerLimits(CallerAccount(), clock)
        self.note_refused = note_refused
        self.take_connection = take_connection
        self.handle = handle
        self.note_sent = note_sent
        self.limits = limits
        self.clock = clock
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        backlog = calleraccount.find_backlog(self.callers.account)
        with ExitStack() as failed:
            sock = failed.enter_context(make_listener(host, port))
            self._server = await loop.create_server(
                lambda: CallerConnection(self), sock=sock, backlog=backlog
            )
            failed.pop_all()

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect."""
        return self._server is not None and self._server.is_serving()

    def count_busy(self) -> int:
        """Count connections on which a request is under way."""
        return sum(connection.is_busy for connection in self.connections)

    def close_idle(self, now: float) -> None:
        """Close connections that rested longer than they may."""
        for connection in list(self.connections):
            connection.close_if_idle(now)

    def close_listener(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    def refuse_coming(self, refusal: Refusal) -> int:
        """Refuse all requests that are not whole yet; returns how many were."""
        return sum(
            connection.refuse_coming(refusal) for connection in list(self.connections)
        )

    def close_all(self) -> None:
        """Close all connections that have nothing under way."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()
