"""A caller's connection: requests come in, one at a time is under way."""

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

from robinspindle.callerlimits import CallerLimits, Relief
from robinspindle.core.calleraccount import CallerHolding, Held
from robinspindle.core.forwarding import STOPPING, Headers, Refusal
from robinspindle.hangups import is_closed_by_peer
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming, Limits, RequestParser
from robinspindle.sendwatch import Loss, SendWatch
from robinspindle.sharedreads import SharedReads

MOST_WAITING_BYTES = 16384
"""Bytes that a caller may send ahead of its answers before reading pauses."""

UNACKED_MS = 5000
"""A caller that owes an acknowledgement for this long is gone, milliseconds; callers
may sit behind slow links."""

LINGER_S = 2.0
"""How long a connection is read on whose request was refused before it had come whole,
seconds: who still sends would lose the answer to a reset. Nothing of it is kept."""

CROWDED_OUT = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "crowded-out", 1.0)
"""Answers a request that is dropped before it has come whole, as callers hold too much:
it has not run."""

HANDLER_FAILED = Refusal(HTTPStatus.INTERNAL_SERVER_ERROR, "failed")
"""Answers a request whose handler failed; nothing is said of whether it ran."""


RELIEFS = {Loss.GONE: Relief.UNREACHABLE, Loss.STUCK: Relief.STALLED}
"""How a connection counts that is closed as its answer can't be delivered."""

Handle = Callable[[Incoming, Reply], Awaitable[None]]


async def refuse_stopping(incoming: Incoming, reply: Reply) -> None:
    """Refuse a request that came behind the announced close of its connection."""
    reply.refuse(STOPPING)


class ConnectionServer(Protocol):
    """What a connection needs of the server that accepted it.

    Attributes:
        handle: Answers a request.
        limits: What callers may send.
        callers: What callers may make the process hold.
        clock: Tells the present time, steady seconds.
        note_sent: Told how many bytes were written.
        note_refused: Told the headers of a request that is refused before it has come
            whole.
        take_connection: Tells whether a new connection may be read.
        is_stopping: Whether connections are to be closed after their answers.
        connections: All open connections.
    """

    handle: Handle
    limits: Limits
    callers: CallerLimits
    clock: Callable[[], float]
    note_sent: Callable[[int], None]
    note_refused: Callable[[Headers], None]
    take_connection: Callable[[], bool]
    is_stopping: bool
    connections: "set[CallerConnection]"


class CallerConnection(SharedReads):
    """One connection of a caller."""

    def __init__(self, server: ConnectionServer):
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
        self._holding: CallerHolding | None = None
        self._is_serving = False
        self._busy_bytes = 0
        self._ahead_at = 0.0
        self._is_discarding = False
        self._lingers_until: float | None = None
        self._dropped_bytes = 0
        self._watch = SendWatch(UNACKED_MS, self._give_up, self._find_patience_s)

    @property
    def is_busy(self) -> bool:
        """Whether a request is coming in or under way, or its answer going out."""
        if self._lingers_until is not None:
            return False
        if self._task is not None or self._has_next or self._parser.is_in_message:
            return True
        return (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_stopping(self) -> bool:
        """Whether it is to be closed after the answer under way."""
        if self._is_discarding:
            return True
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
            self._watch.note_written()
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
        if self._lingers_until is not None:
            if now > self._lingers_until:
                self.abort()
            return
        if self._task is not None or (self._parser.ready and not self._is_slow):
            return
        allowed_s = limits.header_s if self._parser.is_in_message else limits.idle_s
        if now - max(self._replied_at, self._parser.heard_at) > allowed_s:
            self.close()
        elif self._parser.is_too_slow:
            self.abort()

    def give_way(self) -> Relief:
        """Give up what it holds, apart from a request under way."""
        if self._task is not None:
            # What came behind it is dropped unread, and so is what follows.
            self._discard()
            return Relief.SHORTENED
        if self.refuse_coming(CROWDED_OUT):
            return Relief.REFUSED
        self.give_place()
        return Relief.CLOSED

    def refuse_coming(self, refusal: Refusal) -> bool:
        """Refuse the request that is coming in; what still comes of it is dropped.

        Returns:
            Whether one is, and its caller can be told.
        """
        if self._task is not None or self._is_slow or not self._parser.is_in_message:
            return False
        self.server.note_refused(self._parser.coming_headers)
        self._discard()
        Reply(self, keep=False).refuse(refusal)
        return True

    def give_place(self) -> None:
        """Close at once, as nothing is under way."""
        if self._parser.is_in_message:
            self.server.note_refused(self._parser.coming_headers)
        self._discard()
        self.set_flow(None, None)
        self.abort()

    def _give_up(self, loss: Loss) -> None:
        """Close at once, as what was written can't be delivered."""
        self.server.callers.note(RELIEFS[loss])
        self.abort()

    def _find_patience_s(self) -> float:
        """Find how long the caller may take nothing of its answer, seconds.

        While a request is under way its own time limit applies.
        """
        return math.inf if self._task is not None else self.server.limits.idle_s

    def _discard(self) -> None:
        """Drop what has come and what follows, unread; a request under way goes on."""
        self._is_discarding = True
        self._parser.drop()
        self._unparsed = b""
        self._rejected = None
        self._transport.resume_reading()
        self._record_held()

    def _record_held(self) -> None:
        """Record what it holds now."""
        if self._holding is not None:
            self.server.callers.record(self._holding, self._find_held())

    def _find_held(self) -> Held:
        unsent = 0 if self.is_lost else self.unsent_bytes
        is_counted = self._on_resume is not None
        loose = self._parser.held_bytes + len(self._unparsed)
        if self._task is not None:
            return Held(self._ahead_at, self._busy_bytes, loose)
        is_coming = self._parser.is_in_message
        since = self._parser.begun_at if is_coming else self._replied_at
        if is_counted:
            return Held(since, 0, loose, answer_bytes=unsent)
        return Held(since, 0, loose + unsent)

    def finish_reply(self, keep: bool) -> None:
        """Note that an answer has been written whole."""
        self._replied_at = self.server.clock()
        if not self.unsent_bytes:
            self.set_flow(None, None)
        if keep and not self._is_discarding:
            return
        if self._task is None:
            # Its request is refused before it has come whole.
            self._linger()
            return
        if self.server.is_stopping and self._caller_keeps and self._has_next:
            # Nothing of it may run, as its caller may already try another gateway.
            self._has_announced_close = True
            return
        self._is_closing = True
        self.close()

    def _linger(self) -> None:
        """Close after the caller has read the answer, whatever it still sends."""
        self._discard()
        self._lingers_until = self._replied_at + LINGER_S
        if self._transport.can_write_eof():
            self._transport.write_eof()

    # Callbacks of the event loop.

    def connection_made(self, transport) -> None:
        """Note the transport."""
        self._transport = transport
        is_taken = self.server.take_connection()
        self._holding = self.server.callers.add(self) if is_taken else None
        if self._holding is None:
            # Nothing is read, so its caller may safely try another gateway.
            self._is_closing = True
            transport.abort()
            return
        self.server.connections.add(self)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch.begin(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what is under way for the caller."""
        self.is_lost = True
        self._watch.end()
        self.server.connections.discard(self)
        self.set_flow(None, None)
        # The parser and its connection hold each other, and so do what they hold.
        self._parser.drop()
        self._unparsed = b""
        if self._task is not None:
            self._task.cancel()
        if self._holding is not None and not self._is_serving:
            # A task that has not begun yet never does.
            self.server.callers.remove(self._holding)

    def pause_writing(self) -> None:
        """Hold the source back."""
        self._is_slow = True
        if self._on_pause is not None:
            self._on_pause()

    def resume_writing(self) -> None:
        """Let the source go on, and what came behind the answer."""
        self._is_slow = False
        if self._on_resume is not None:
            self._on_resume()
        if self._task is None:
            self._start_next()
            self._record_held()

    def data_received(self, data: bytes) -> None:
        """Parse what came, or keep it while a request is under way."""
        if self._lingers_until is not None:
            self._count_dropped(len(data))
        if self._is_closing or self._is_discarding:
            return
        if self._task is not None or self._has_next:
            self._keep_ahead(data)
        else:
            self._feed(data)
        self._record_held()
        self.server.callers.relieve()

    def _count_dropped(self, count: int) -> None:
        """Count what comes of a refused request; no proper one has more to come."""
        self._dropped_bytes += count
        if self._dropped_bytes > self.server.limits.body_bytes:
            self.abort()

    def _keep_ahead(self, data: bytes) -> None:
        """Keep what came before the answer to what came earlier."""
        if not self._has_next:
            self._ahead_at = self.server.clock()
        self._unparsed += data
        if len(self._unparsed) > MOST_WAITING_BYTES:
            self._transport.pause_reading()

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
        if self._task is not None or self.is_lost or self._is_slow:
            return
        if self._parser.ready:
            self._start(self._parser.take())
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

    def _start(self, incoming: Incoming) -> None:
        """Have a request served."""
        self._caller_keeps = incoming.keep
        self._busy_bytes = incoming.held_bytes
        self._ahead_at = self.server.clock()
        reply = Reply(self, incoming.keep)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(incoming, reply))

    async def _serve(self, incoming: Incoming, reply: Reply) -> None:
        self._is_serving = True
        handle = refuse_stopping if self._has_announced_close else self.server.handle
        try:
            await handle(incoming, reply)
        except Exception:
            if not reply.has_begun:
                reply.refuse(HANDLER_FAILED)
            raise
        finally:
            self._task = None
            self._is_serving = False
            if not reply.is_ended:
                reply.break_off()
            else:
                self._start_next()
            self._note_served()

    def _note_served(self) -> None:
        """Count off what the request held that was under way."""
        if not self.is_lost:
            self._record_held()
        elif self._holding is not None:
            self.server.callers.remove(self._holding)
            self.server.callers.note_abandoned(self._busy_bytes)
