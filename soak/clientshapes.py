"""What clients send that don't behave: shapes of requests, piece by piece."""

import itertools
import random
from collections.abc import Iterator
from functools import partial

HOST = "shop.example"
"""The host of the configured routes."""

PIECE_BYTES = 65536
"""Bytes that are written at a time."""

LEFT_OUT_BYTES = 16
"""By how much unfinished bodies are short of their end."""

TRICKLE_BYTES = 100
"""By how much bodies are short whose clients go on with single bytes."""

EMPTY_HEADER = b"a:\r\n"

Pieces = Iterator[bytes]
"""What one client writes; between the pieces it waits until they are taken."""


def write_head(id: str, *lines: str, path: str = "/safe/x") -> bytes:
    """Write the head of a request.

    Args:
        id: The request's id.
        lines: Further headers.
        path: The path.
    """
    first = (f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}")
    return "\r\n".join((*first, *lines)).encode() + b"\r\n\r\n"


def send_body(id: str, length: int, left_out: int, piece: int = 0) -> Pieces:
    """Send a body with its length.

    Args:
        id: The request's id.
        length: The length that the head names, bytes.
        left_out: How many bytes of it are never sent.
        piece: Bytes that are written at a time; 0 for all at once.
    """
    yield write_head(id, f"Content-Length: {length}")
    sent = length - left_out
    for start in range(0, sent, piece or max(1, sent)):
        yield b"b" * min(piece or sent, sent - start)


def send_chunks(id: str, length: int, chunk: int) -> Pieces:
    """Send a body in chunks, without its last chunk.

    Args:
        id: The request's id.
        length: Bytes of the body, without framing.
        chunk: Bytes of one chunk.
    """
    yield write_head(id, "Transfer-Encoding: chunked")
    data = b"%x\r\n%s\r\n" % (chunk, b"c" * chunk)
    at_once = max(1, PIECE_BYTES // len(data))
    left = length // chunk
    while left > 0:
        yield data * min(at_once, left)
        left -= at_once


def send_headers(id: str, count: int) -> Pieces:
    """Send an unfinished head of many empty headers."""
    yield write_head(id)[:-2] + EMPTY_HEADER * count


def send_ahead(id: str, length: int) -> Pieces:
    """Send a request, and many more behind it before it is answered.

    Args:
        id: The id of the first request.
        length: How much comes behind it, bytes.
    """
    yield write_head(id, "Content-Length: 0")
    for number in itertools.count():
        more = write_head(f"{id}-{number}", f"Content-Length: {PIECE_BYTES}")
        more += b"d" * PIECE_BYTES
        yield more[:length]
        length -= len(more)
        if length <= 0:
            return


def send_shortest(id: str, count: int) -> Pieces:
    """Send many of the shortest requests in a row."""
    yield b"GET / HTTP/1.1\r\n\r\n" * count


def send_gets(id: str, path: str, count: int) -> Pieces:
    """Ask for a page again and again without waiting for answers."""
    yield f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * count


def mix(id: str, seed: int, body_bytes: int) -> Pieces:
    """Send one of the other shapes, of a random size up to the limits.

    Args:
        id: The request's id, from which the choice is drawn too.
        seed: The seed of all choices.
        body_bytes: Longest body that callers may send.
    """
    rng = random.Random(f"{seed} {id}")
    length = rng.randint(1, body_bytes)
    shapes = (
        partial(send_body, length=length, left_out=min(length, LEFT_OUT_BYTES)),
        partial(send_body, length=length, left_out=0),
        partial(send_chunks, length=length, chunk=rng.choice((1, 7, 100, PIECE_BYTES))),
        partial(send_headers, count=rng.randint(1, 3200)),
        partial(send_ahead, length=rng.randint(1, 4 * PIECE_BYTES)),
        partial(send_shortest, count=rng.randint(1, 5000)),
        say_nothing,
    )
    yield from rng.choice(shapes)(id)


def say_nothing(id: str) -> Pieces:
    """Connect, and send nothing."""
    yield from ()
