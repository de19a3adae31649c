"""HTTP server on an event loop: callers' connections, one request at a time.

Unlike a thread a request, it notices at once when a caller hangs up, and it passes the
pieces of an answer on as they come.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from robinspindle.core.forwarding import Refusal
from robinspindle.hangups import is_closed_by_peer
from robinspindle.linkqueue import ignore_sent
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming, Limits, RequestParser

MOST_WAITING_BYTES = 65536
"""Bytes that a caller may send ahead of its answers before reading pauses."""

UNACKED_MS = 5000
"""Sent bytes that a caller does not acknowledge end its connection after this,
milliseconds; callers may sit behind slow links."""

BACKLOG = 1024
"""Connections that the system holds until they are accepted."""

STOPPING = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "stopping", 0.05)
"""Answers a request that a stopping server does not take."""

HANDLER_FAILED = Refusal(HTTPStatus.INTERNAL_SERVER_ERROR, "failed")
"""Answers a request whose handler failed; nothing is said of whether it ran."""


Handle = Callable[[Incoming, Reply], Awaitable[None]]


async def refuse_stopping(incoming: Incoming, reply: Reply) -> None:
    """Refuse a request that came behind the announced close of its connection."""
    reply.refuse(STOPPING)


def take_all() -> bool:
    """Stand for a limit on new connections that takes all."""
    return True


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
    ):
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
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG
        )

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

    def close_all(self) -> None:
        """Close all connections that have nothing under way."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: CallerServer):
        self.server = server
        self.is_lost = False
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(server.limits, server.clock, self._ask_for_body)
        self._task: asyncio.Task | None = None
        self._replied_at = server.clock()
        self._unparsed = b""
        self._is_closing = False
        self._has_announced_close = False
        self._caller_keeps = True
        self._rejected: HTTPStatus | None = None
        self._is_slow = False
        self._on_pause: Callable[[], None] | None = None
        self._on_resume: Callable[[], None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is coming in or under way, or its answer going out."""
        if self._task is not None or self._has_next or self._parser.is_in_message:
            return True
        return (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_stopping(self) -> bool:
        """Whether it is to be closed after the answer under way."""
        return self.server.is_stopping and not self._has_next

    @property
    def _has_next(self) -> bool:
        """Whether anything has come after the request under way."""
        return bool(self._parser.ready or self._unparsed)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def is_closed_by_caller(self) -> bool:
        """Whether the caller has closed it, also if that was not handled yet."""
        if self.is_lost or self._transport.is_closing():
            return True
        return is_closed_by_peer(self._transport.get_extra_info("socket").fileno())

    def set_flow(
        self, on_pause: Callable[[], None] | None, on_resume: Callable[[], None] | None
    ) -> None:
        """Set what to call when the caller takes bytes too slowly, and again.

        What was set for an answer before is told that it is over.
        """
        if self._on_resume is not None and self._on_resume != on_resume:
            self._on_resume()
        is_new = self._on_pause != on_pause
        self._on_pause, self._on_resume = on_pause, on_resume
        if is_new and self._is_slow and on_pause is not None:
            on_pause()

    def write(self, data: bytes) -> None:
        """Write, unless the caller has left."""
        if not self.is_lost and not self._transport.is_closing():
            self._transport.write(data)
            self.server.note_sent(len(data))

    def close(self) -> None:
        """Close after what is written has gone out."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self, now: float) -> None:
        """Close when nothing came for longer than the limits allow."""
        limits = self.server.limits
        if self._task is not None or self._parser.ready:
            return
        allowed_s = limits.header_s if self._parser.is_in_message else limits.idle_s
        if now - max(self._replied_at, self._parser.heard_at) > allowed_s:
            self.close()
        elif self._parser.is_too_slow:
            self.abort()

    def finish_reply(self, keep: bool) -> None:
        """Note that an answer has been written whole."""
        self._replied_at = self.server.clock()
        if not self.unsent_bytes:
            self.set_flow(None, None)
        if keep:
            return
        if self.server.is_stopping and self._caller_keeps and self._has_next:
            # Nothing of it may run, as its caller may already try another gateway.
            self._has_announced_close = True
            return
        self._is_closing = True
        self.close()

    # Callbacks of the event loop.

    def connection_made(self, transport) -> None:
        """Note the transport."""
        self._transport = transport
        if not self.server.take_connection():
            # Nothing is read, so its caller may safely try another gateway.
            self._is_closing = True
            transport.abort()
            return
        self.server.connections.add(self)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what is under way for the caller."""
        self.is_lost = True
        self.server.connections.discard(self)
        self.set_flow(None, None)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold the source back."""
        self._is_slow = True
        if self._on_pause is not None:
            self._on_pause()

    def resume_writing(self) -> None:
        """Let the source go on."""
        self._is_slow = False
        if self._on_resume is not None:
            self._on_resume()

    def data_received(self, data: bytes) -> None:
        """Parse what came, or keep it while a request is under way."""
        if self._is_closing:
            return
        if self._task is not None or self._parser.ready:
            self._unparsed += data
            if len(self._unparsed) > MOST_WAITING_BYTES:
                self._transport.pause_reading()
            return
        self._feed(data)

    def _ask_for_body(self) -> None:
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _feed(self, data: bytes) -> None:
        status = self._parser.feed(data)
        if status is not None:
            # Nothing after it can be trusted.
            self._is_closing = True
            self._rejected = status
        self._start_next()

    def _start_next(self) -> None:
        if self._task is not None or self.is_lost:
            return
        if self._parser.ready:
            incoming = self._parser.ready.popleft()
            self._caller_keeps = incoming.keep
            reply = Reply(self, incoming.keep)
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve(incoming, reply))
            return
        if self._rejected is not None:
            status, self._rejected = self._rejected, None
            Reply(self, keep=False).refuse(Refusal(status, "bad-request"))
            return
        if self._unparsed and not self._is_closing:
            data, self._unparsed = self._unparsed, b""
            self._transport.resume_reading()
            self._feed(data)
            return
        if self._has_announced_close and not self._parser.is_in_message:
            self.close()

    async def _serve(self, incoming: Incoming, reply: Reply) -> None:
        handle = refuse_stopping if self._has_announced_close else self.server.handle
        try:
            await handle(incoming, reply)
        except Exception:
            if not reply.has_begun:
                reply.refuse(HANDLER_FAILED)
            raise
        finally:
            self._task = None
            if not reply.is_ended:
                reply.break_off()
            else:
                self._start_next()
