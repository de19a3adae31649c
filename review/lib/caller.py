"""A requester: one request on a new connection, answered whole or not."""

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field

from review.lib.deployment import now

_numbers = itertools.count(1)
_run = secrets.token_hex(3)


@dataclass
class Answer:
    """What a requester saw of one request.

    Attributes:
        id: Its id.
        sent_at: When its last byte was written.
        status: The status; 0 for none.
        headers: The headers, names in lower case.
        body: The body, as far as it came.
        is_whole: Whether it came whole.
        ended_at: When it ended.
        error: Why it did not come whole.
    """

    id: str
    sent_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0
    error: str = ""


def make_id() -> str:
    """Make the id of one try."""
    return f"{_run}{next(_numbers):010x}"


async def call(
    ip: str,
    port: int,
    host: str,
    path: str,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    wait_ms: int = 2000,
    id: str = "",
) -> Answer:
    """Send one request and read its answer until the requester's time is over."""
    answer = Answer(id or make_id())
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {answer.id}",
        f"X-Deadline-Ms: {wait_ms}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer = None
    try:
        async with asyncio.timeout(wait_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            answer.sent_at = now()
            writer.write(data)
            await writer.drain()
            await _read(reader, answer)
            answer.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = repr(error)
    finally:
        answer.ended_at = now()
        if writer is not None:
            writer.close()
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    answer.status = int(first.split(" ")[1])
    pairs = (line.partition(":") for line in lines)
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return
    length = int(answer.headers.get("content-length", "0"))
    answer.body = await reader.readexactly(length)
