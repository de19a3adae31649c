"""Answers without end, by what of them does not end."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from standins.rawhttp import RawRequest, reset

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
MOST_BYTES = 1 << 34
"""Bytes after which a fast answer ends after all; who takes them all has no bound."""


@dataclass(frozen=True)
class Shape:
    """What an answer without end begins with, and what it repeats.

    Attributes:
        begin: Its first bytes, after the status line and the headers of its target.
        piece: What comes again and again.
        status_line: Its first line.
    """

    begin: bytes
    piece: bytes
    status_line: bytes = b"HTTP/1.1 200 OK\r\n"


FRAMING = {
    "status": Shape(b"", b"x", b"HTTP/1.1 200 "),
    "header": Shape(b"X-Long: ", b"x"),
    "headers": Shape(b"", b"X-More: 1\r\n"),
    "interims": Shape(
        b"X-One: 1\r\n\r\n", b"HTTP/1.1 103 More\r\n\r\n", b"HTTP/1.1 103 More\r\n"
    ),
    "extension": Shape(CHUNKED + b"5;a=", b"x"),
    "trailer": Shape(CHUNKED + b"2\r\nab\r\n0\r\nX-Long: ", b"x"),
    "trailers": Shape(CHUNKED + b"2\r\nab\r\n0\r\n", b"X-More: 1\r\n"),
}
"""What frames a body and does not end."""

BODIES = {
    "chunks": Shape(CHUNKED, b"2\r\nab\r\n"),
    "unframed": Shape(b"\r\n", b"x"),
}
"""Bodies that do not end."""

EVENTS = {
    "line": Shape(CHUNKED, b"2\r\nab\r\n"),
    "unframed_line": Shape(b"\r\n", b"x"),
    "lines": Shape(CHUNKED, b"8\r\ndata: x\n\r\n"),
}
"""Events of a stream that do not end."""

SURPLUS = {
    "past_length": Shape(b"Content-Length: 2\r\n\r\nab", b"x"),
    "past_chunks": Shape(CHUNKED + b"2\r\nab\r\n0\r\n\r\n", b"x"),
}
"""Bytes behind a whole answer that do not end."""


@dataclass
class Endless:
    """Answers without end, until the caller closes.

    Attributes:
        shape: What does not end.
        pause_s: Pause between two pieces, seconds; 0 to send as fast as they are taken.
        sent: Bytes sent.
        is_closed: Whether the caller has closed its connection.
    """

    shape: Shape
    pause_s: float = 0.0
    sent: int = 0
    is_closed: bool = False

    async def send(self, head: dict[str, str], writer) -> bool:
        """Answer with the headers of a target, and without end."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        first = self.shape.status_line
        named = lines.encode() if first.endswith(b"\n") else b""
        writer.write(first + named + self.shape.begin)
        piece = self.shape.piece
        if not self.pause_s:
            piece *= max(1, 16384 // len(piece))
        try:
            while self.sent < MOST_BYTES and not writer.transport.is_closing():
                writer.write(piece)
                await writer.drain()
                self.sent += len(piece)
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            pass  # The caller has closed it, as it should.
        self.is_closed = self.sent < MOST_BYTES
        reset(writer)
        return False


def make_behaviour(
    endless: Endless, make_head: Callable[[RawRequest], dict[str, str]]
) -> Callable:
    """Make what answers requests without end."""

    async def answer(request: RawRequest, writer) -> bool:
        return await endless.send(make_head(request), writer)

    return answer
