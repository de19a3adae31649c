"""Raw HTTP on an event loop, for stand-ins that have to misbehave on purpose."""

import asyncio
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

LOOPBACK = os.environ.get("STANDIN_ADDRESS", "127.0.0.1")
"""Where stand-ins listen. Processes that serve at the same time need addresses of their
own: a port that one has closed may be opened by another, and still be called."""

PIECE_PAUSE_S = 0.05
"""Pause between two pieces of a slow answer, seconds; silence is judged far later."""


@dataclass
class RawRequest:
    """A request as it came.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names in lower case.
        body: The whole body.
        is_left: Tells whether the sender has closed its side since.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_left: Callable[[], bool]


Answer = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[bool]]
"""Writes an answer; returns whether the connection stays open."""


class RawServer:
    """Listens on the loopback and hands each request to a function.

    Attributes:
        port: The port, once started.
        reads: Set while bodies are read; a head is read at any time.
        waiting: Requests whose heads came while no bodies were read.
    """

    def __init__(self, answer: Answer):
        self.port = 0
        self.reads = asyncio.Event()
        self.reads.set()
        self.waiting = 0
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP:PORT."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on the one given."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset(writer)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_all()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await self._read(reader)) is not None:
                if not await self._answer(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer or the test ended, which is what many tests are about.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader) -> RawRequest | None:
        head = await _read_head(reader)
        if head is None:
            return None
        if not self.reads.is_set():
            self.waiting += 1
            await self.reads.wait()
        return await _read_body(reader, head)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which a plain close would end cleanly."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Write a whole answer."""
    writer.write(_write_head(status, len(body), headers) + body)


def write_half(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> None:
    """Write the head of an answer and the first half of its body."""
    writer.write(_write_head(status, len(body), headers) + body[: len(body) // 2])


async def write_slowly(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    pieces: int,
    headers: dict[str, str] | None = None,
) -> None:
    """Write a whole answer as a slow link brings it: piece by piece."""
    writer.write(_write_head(status, len(body), headers))
    length = -(-len(body) // pieces)
    for start in range(0, len(body), length):
        writer.write(body[start : start + length])
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


def _write_head(
    status: int, length: int, headers: dict[str, str] | None = None
) -> bytes:
    lines = [f"HTTP/1.1 {status} Phrase", f"Content-Length: {length}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def _read_head(reader: asyncio.StreamReader) -> bytes | None:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> RawRequest:
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return RawRequest(method, target, headers, body, reader.at_eof)
