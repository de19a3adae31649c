"""Requests of one caller's connection, parsed from its bytes and held to limits."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from robinspindle.core import framing
from robinspindle.core.bodies import Body, LongBody
from robinspindle.core.decoding import parse_whole
from robinspindle.core.forwarding import Headers
from robinspindle.core.framing import Framing

HEADER_MARK_BYTES = 4
"""Bytes of a header besides its name and value: colon, blank and the line's end."""

REQUEST_OBJECT_BYTES = 4096
HEADER_OBJECT_BYTES = 384
"""What the objects of a request, and of each of its headers, take in memory besides
what was sent."""

PIECE_BYTES = 16384
"""A body is kept in pieces of this length: each object takes memory too, and what is
left of one body fits another."""

BODY_S = 30.0
LEAST_BODY_BYTES_PER_S = 1024
"""How much of a body has to have come on average once it has been coming for `BODY_S`
seconds: far longer than callers wait for an answer."""


@dataclass
class Limits:
    """What callers may send; changed in place when a configuration does.

    Attributes:
        header_bytes: Longest head.
        body_bytes: Longest body.
        header_s: Longest time for a head, and for each further piece of a body,
            seconds.
        idle_s: Longest rest between requests, seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass
class Incoming:
    """A request that has come whole.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: All headers as sent.
        body: The whole body.
        at: When its head had come, steady seconds.
        keep: Whether the caller keeps its connection.
        held_bytes: What it takes in memory.
    """

    method: str
    target: bytes
    headers: Headers
    body: Body
    at: float
    keep: bool
    held_bytes: int = REQUEST_OBJECT_BYTES


class RequestParser:
    """Parses the bytes of a connection into requests.

    Attributes:
        ready: Requests that have come whole, oldest first; the user takes them out.
        is_in_message: Whether a request has come in part.
        heard_at: When a part of a request came last, steady seconds.
        begun_at: When the request began that is coming in, steady seconds.
    """

    def __init__(
        self,
        limits: Limits,
        clock: Callable[[], float],
        ask_for_body: Callable[[], None],
    ):
        """Prepare to parse.

        Args:
            limits: What callers may send.
            clock: Tells the present time, steady seconds.
            ask_for_body: Called where a caller waits for a sign to send its body.
        """
        self.ready: deque[Incoming] = deque()
        self.heard_at = self.begun_at = clock()
        self._ready_bytes = 0
        self._limits = limits
        self._clock = clock
        self._ask_for_body = ask_for_body
        self._framing = Framing()
        self._parser = httptools.HttpRequestParser(self)
        self._messages = 0
        self._begin_message()

    def feed(self, data: bytes) -> HTTPStatus | None:
        """Parse what came.

        Returns:
            With which status to refuse what is no request, or is too long; None if
            there is no such thing.
        """
        body_bytes = self._body_bytes if self.is_in_message else 0
        messages = self._messages
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            cause = error.__context__
            is_long = isinstance(cause, _TooLongError)
            return self._reject(cause.status if is_long else HTTPStatus.BAD_REQUEST)
        if self._messages != messages:
            # What it begins is counted with the next bytes.
            framing.reset(self._framing)
            return None
        if self._body_bytes != body_bytes:
            framing.reset(self._framing)
        elif framing.note_received(self._framing, len(data)):
            return self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        return None

    @property
    def held_bytes(self) -> int:
        """What all that has come takes in memory."""
        if not self.is_in_message:
            return self._ready_bytes
        return self._ready_bytes + self._count_held() + self._framing.framing_bytes

    @property
    def coming_headers(self) -> Headers:
        """The headers that have come of the request that is coming in."""
        return tuple(self._headers)

    def take(self) -> Incoming:
        """Take the oldest request that has come whole."""
        incoming = self.ready.popleft()
        self._ready_bytes -= incoming.held_bytes
        return incoming

    def drop(self) -> None:
        """Drop all that has come; nothing more may be fed."""
        self.ready.clear()
        self._ready_bytes = 0
        self._begin_message()

    @property
    def is_too_slow(self) -> bool:
        """Whether the request that is coming in takes longer than any proper one."""
        if not self.is_in_message or not self._body_bytes:
            return False
        late_s = self._clock() - self._head_at - BODY_S
        return late_s > self._body_bytes / LEAST_BODY_BYTES_PER_S

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._begin_message()
        self.is_in_message = True
        self.heard_at = self.begun_at = self._clock()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + HEADER_MARK_BYTES)

    def on_headers_complete(self) -> None:
        """Note the head's time and ask for the body if the caller waits for that."""
        self._head_at = self.heard_at = self._clock()
        values = {name.lower(): value for name, value in self._headers}
        length = parse_whole(values.get(b"content-length", b"0"))
        if length is not None and length > self._limits.body_bytes:
            raise _TooLongError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if values.get(b"expect", b"").lower() == b"100-continue":
            self._ask_for_body()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        # A body is judged by its pauses, as it may come over a slow link.
        self.heard_at = self._clock()
        self._piece += body
        while len(self._piece) >= PIECE_BYTES:
            self._body.append(bytes(memoryview(self._piece)[:PIECE_BYTES]))
            del self._piece[:PIECE_BYTES]
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise _TooLongError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Take the request in."""
        self._messages += 1
        incoming = Incoming(
            method=self._parser.get_method().decode(),
            target=self._target,
            headers=tuple(self._headers),
            body=self._make_body(),
            at=self._head_at,
            keep=self._parser.should_keep_alive(),
            held_bytes=self._count_held(),
        )
        self.ready.append(incoming)
        self._ready_bytes += incoming.held_bytes
        self._begin_message()

    def _begin_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._piece = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_at = 0.0
        self.is_in_message = False

    def _make_body(self) -> Body:
        last = bytes(self._piece)
        return LongBody((*self._body, last)) if self._body else last

    def _count_held(self) -> int:
        """Count what the request takes in memory that is coming in."""
        objects = REQUEST_OBJECT_BYTES + HEADER_OBJECT_BYTES * len(self._headers)
        return objects + self._head_bytes + self._body_bytes

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._limits.header_bytes:
            raise _TooLongError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _reject(self, status: HTTPStatus) -> HTTPStatus:
        self.is_in_message = False
        return status


class _TooLongError(Exception):
    """A request is longer than it may be."""

    def __init__(self, status: HTTPStatus):
        super().__init__(status)
        self.status = status
