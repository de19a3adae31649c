"""HTTP client on an event loop: one connection, one answer at a time.

The answer is handed on as it comes. Bytes that belong to no request, answers to
earlier requests and answers that break off are told apart here, so that nothing of
them reaches a caller.
"""

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import httptools

from robinspindle.clocks import read_steady
from robinspindle.core import framing
from robinspindle.core.answerheads import HeadKind, judge_head
from robinspindle.core.bodies import Body, list_pieces
from robinspindle.core.forwarding import AnswerHead, Headers
from robinspindle.core.framing import Framing
from robinspindle.core.obstacles import Obstacle
from robinspindle.sendwatch import SendWatch
from robinspindle.sharedreads import SharedReads
from robinspindle.zonetraffic import Meter

UNACKED_MS = 4000
"""A peer that owes an acknowledgement for this long is gone, milliseconds: one that is
suspended for a second or two goes on afterwards."""

DEFAULT_IDLE_S = 2.0
"""How long an idle connection is used where the target does not say, seconds."""

SHORT_BODY_BYTES = 16384
"""Longest body that is sent at once with its head. Of a longer one no more than that
waits at the connection, as it is a copy of its own."""

MOST_FOREIGN_BYTES = 4 << 20
"""Longest body of answers to earlier requests that is passed over while an answer is
due; nobody needs them."""

DecodeHead = Callable[[int, bytes, Headers], AnswerHead]


class Traffic(Protocol):
    """What is told of all that passes on the connections to one address."""

    def note_head(self, head: AnswerHead, sent_at: float) -> None:
        """Take note of the head of an answer.

        Args:
            head: The head.
            sent_at: When its request was sent, steady seconds; -inf if not known.
        """

    def note_surplus(self, head: AnswerHead, due_id: str, sent_at: float) -> None:
        """Take note of an answer that does not belong to the request under way.

        Args:
            head: Its head.
            due_id: The id of the request whose answer is due.
            sent_at: When that request was sent, steady seconds; -inf if not known.
        """

    def find_obstacle(self) -> Obstacle | None:
        """Find what keeps anything from being sent now; None if nothing."""


class ConnectionBrokenError(Exception):
    """No answer, or not a whole one.

    Attributes:
        was_sent: Whether anything may have reached the target.
        was_refused: Whether nobody listens at the target's address.
    """

    def __init__(self, text: str, was_sent: bool = True, was_refused: bool = False):
        super().__init__(text)
        self.was_sent = was_sent
        self.was_refused = was_refused


class NotSentError(ConnectionBrokenError):
    """Nothing was sent, as the target is to get nothing now.

    Attributes:
        obstacle: What keeps it from getting anything.
    """

    def __init__(self, obstacle: Obstacle):
        super().__init__(f"not sent: {obstacle.reason.value}", was_sent=False)
        self.obstacle = obstacle


@dataclass
class Exchange:
    """One request and its answer on one connection.

    Attributes:
        request_id: Id that the answer has to carry; empty accepts any.
        sent_at: When the request was sent, steady seconds; -inf if not known.
        head: The answer's head, when it has come.
        is_whole: Whether the whole answer has come.
        error: Why it will not come.
        ended_with_connection: Whether nothing but the end of its connection says that
            it is whole.
    """

    request_id: str
    sent_at: float = -math.inf
    head: AnswerHead | None = None
    is_whole: bool = False
    error: ConnectionBrokenError | None = None
    ended_with_connection: bool = False

    def __post_init__(self):
        self._chunks: deque[bytes] = deque()
        self._waiter: asyncio.Future | None = None

    @property
    def is_drained(self) -> bool:
        """Whether the whole answer has come and been read."""
        return self.is_whole and not self._chunks

    def put(self, chunk: bytes) -> None:
        """Add a piece of the body."""
        self._chunks.append(chunk)

    def wake(self) -> None:
        """Wake whoever waits for news."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def fail(self, error: ConnectionBrokenError) -> None:
        """Note that the answer will not come whole."""
        if not self.is_whole and self.error is None:
            self.error = error
            self.wake()

    async def read_head(self) -> AnswerHead:
        """Wait for the head.

        Raises:
            ConnectionBrokenError: When it does not come.
        """
        while self.head is None:
            if self.error is not None:
                raise self.error
            await self._wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Wait for the next piece of the body; empty at its end.

        Raises:
            ConnectionBrokenError: When the answer breaks off.
        """
        while not self._chunks:
            if self.is_whole:
                return b""
            if self.error is not None:
                raise self.error
            await self._wait()
        chunk = b"".join(self._chunks)
        self._chunks.clear()
        return chunk

    async def read_body(self, most_bytes: float = math.inf) -> bytes:
        """Wait for the whole body.

        Args:
            most_bytes: Longest body that a proper answer has.

        Raises:
            ConnectionBrokenError: When the answer breaks off, or is longer.
        """
        chunks, received = [], 0
        while chunk := await self.read_chunk():
            chunks.append(chunk)
            received += len(chunk)
            if received > most_bytes:
                raise ConnectionBrokenError("a body without end")
        return b"".join(chunks)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


class ClientConnection(SharedReads):
    """One connection to a target or to the store.

    Attributes:
        opened_at: When it was opened, steady seconds.
        idle_since: Since when nothing is under way on it, steady seconds.
        idle_s: How long it may be idle, seconds.
        is_open: Whether it is open.
    """

    def __init__(
        self,
        decode_head: DecodeHead,
        traffic: Traffic | None = None,
        meter: Meter | None = None,
    ):
        self._decode_head = decode_head
        self._traffic = traffic
        self._meter = meter
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._unsent: deque[bytes] = deque()
        self._is_full = False
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_ours = False
        self._keep = True
        self._framed = True
        self._saw_eof = False
        self._framing = Framing()
        self._has_body = False
        self._foreign_bytes = 0
        self._is_in_head = False
        self._fault: str | None = None
        self._watch = SendWatch(UNACKED_MS, lambda loss: self._break(loss.value))
        self.opened_at = 0.0
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since = 0.0
        self.is_open = False

    @property
    def is_framed(self) -> bool:
        """Whether the end of the answer under way is told by its own bytes."""
        return self._framed

    @property
    def can_be_reused(self) -> bool:
        """Whether another request may be sent."""
        if not self.is_open or not self._keep or self._exchange is not None:
            return False
        if self._unsent:
            return False
        return self._transport.get_write_buffer_size() == 0

    def send(self, exchange: Exchange, data: bytes, body: Body = b"") -> None:
        """Send a request whose answer goes to an exchange.

        Args:
            exchange: Takes the answer.
            data: The request, or its head.
            body: Its body, sent as fast as the other end takes it.

        Raises:
            NotSentError: If the target is to get nothing now.
        """
        obstacle = self._traffic.find_obstacle() if self._traffic else None
        if obstacle is not None:
            raise NotSentError(obstacle)
        self._exchange = exchange
        if self._meter is not None:
            self._meter.note_sent(len(data) + len(body))
        framing.reset(self._framing)
        self._foreign_bytes = 0
        self._watch.note_written()
        if len(body) <= SHORT_BODY_BYTES:
            self._transport.write(data + bytes(body))
            return
        self._transport.set_write_buffer_limits(high=SHORT_BODY_BYTES)
        self._unsent.extend(list_pieces(body))
        self._transport.write(data)
        self._send_on()

    def _send_on(self) -> None:
        """Send what the other end takes of the rest of a body."""
        while self._unsent and not self._is_full and self.is_open:
            self._transport.write(self._unsent.popleft())
            self._watch.note_written()

    def abort(self) -> None:
        """End the connection at once, with whatever is under way."""
        self.is_open = False
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop reading, because the caller does not take what comes."""
        if self.is_open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.is_open:
            self._transport.resume_reading()

    # Callbacks of the event loop.

    def connection_made(self, transport) -> None:
        """Note the transport."""
        self._transport = transport
        self.opened_at = read_steady()
        self.is_open = True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch.begin(sock)

    def pause_writing(self) -> None:
        """Wait until the other end has taken what was sent."""
        self._is_full = True

    def resume_writing(self) -> None:
        """Send the next part of a body."""
        self._is_full = False
        self._send_on()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._meter is not None:
            self._meter.note_received(len(data))
        if self._exchange is None:
            self._break("bytes that belong to no request")
            return
        self._has_body = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._break(f"not an answer: {error}")
            return
        if self._fault is not None:
            self._break(self._fault)
            return
        excess = None
        if self._has_body:
            self._framing.framing_bytes = 0
        if not self._has_body or self._foreign_bytes:
            excess = self._find_excess(len(data))
        if excess is not None:
            self._break(excess)
        elif self._exchange is not None:
            self._exchange.wake()

    def eof_received(self) -> bool:
        """Note a clean end, which completes an answer without a length."""
        self._saw_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is under way."""
        self._watch.end()
        self.is_open = False
        self._unsent.clear()
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        clean = exc is None and self._saw_eof
        if clean and self._is_ours and exchange.head and not self._framed:
            exchange.ended_with_connection = True
            exchange.is_whole = True
            exchange.wake()
            return
        exchange.fail(ConnectionBrokenError(str(exc or "closed by the target")))

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._reason = b""
        self._is_ours = False
        self._is_in_head = True
        if self._exchange is None or self._exchange.is_whole:
            self._keep = False

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand on the head, unless it belongs to no request or to another."""
        status, headers = self._parser.get_status_code(), tuple(self._headers)
        exchange = self._exchange
        self._is_in_head = False
        self._framing.head_since = None
        kind = judge_head(status, headers)
        if kind is HeadKind.MALFORMED:
            self._fault = self._fault or f"not an answer: a head with status {status}"
            return
        if kind is HeadKind.INTERIM or exchange is None or exchange.head is not None:
            return
        head = self._decode_head(status, self._reason, headers)
        if exchange.request_id and head.request_id != exchange.request_id:
            # An answer to an earlier request, or without an id and so to none: ours
            # may still follow it.
            self._keep = False
            self._note_surplus(head, exchange)
            return
        self._note_head(head, exchange.sent_at)
        names = {name.lower() for name, _ in headers}
        self._framed = b"content-length" in names or b"transfer-encoding" in names
        self._is_ours = True
        exchange.head = head
        if head.idle_s is not None:
            self.idle_s = head.idle_s

    def on_body(self, body: bytes) -> None:
        """Hand on a piece of the body."""
        self._has_body = True
        if self._is_ours and self._exchange is not None:
            self._exchange.put(body)
        else:
            self._foreign_bytes += len(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        exchange = self._exchange
        if not self._is_ours or exchange is None:
            return
        self._is_ours = False
        exchange.is_whole = True
        exchange.wake()
        self._exchange = None
        if not self._parser.should_keep_alive():
            self._keep = False

    def _find_excess(self, count: int) -> str | None:
        """Find what has come that no proper answer has; None if nothing.

        Args:
            count: Bytes that have just been parsed.
        """
        if not self._has_body and framing.note_received(self._framing, count):
            return "an answer's framing without end"
        if self._foreign_bytes > MOST_FOREIGN_BYTES:
            return "answers to earlier requests without end"
        if self._is_in_head and framing.note_unfinished_head(
            self._framing, read_steady()
        ):
            return "a head that takes too long"
        return None

    def _note_surplus(self, head: AnswerHead, exchange: Exchange) -> None:
        if self._traffic is not None:
            self._traffic.note_surplus(head, exchange.request_id, exchange.sent_at)
            self._traffic.note_head(head, -math.inf)

    def _note_head(self, head: AnswerHead, sent_at: float) -> None:
        if self._traffic is not None:
            self._traffic.note_head(head, sent_at)

    def _break(self, text: str) -> None:
        exchange, self._exchange = self._exchange, None
        self.abort()
        if exchange is not None:
            exchange.fail(ConnectionBrokenError(text))
