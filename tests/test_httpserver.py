import asyncio
import contextlib
from contextlib import asynccontextmanager

import pytest

from robinspindle.core.forwarding import Refusal
from robinspindle.httpserver import CallerServer, take_all
from robinspindle.requestparser import BODY_S, Limits, RequestParser

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "blank lines": (b"", b"\r\n"),
    "target": (b"GET /", b"x"),
    "header": (b"GET / HTTP/1.1\r\nX-Long: ", b"x"),
    "headers": (b"GET / HTTP/1.1\r\n", b"X-More: 1\r\n"),
    "extension": (CHUNKED + b"5;a=", b"x"),
    "trailer": (CHUNKED + b"2\r\nab\r\n0\r\nX-Long: ", b"x"),
    "trailers": (CHUNKED + b"2\r\nab\r\n0\r\n", b"X-More: 1\r\n"),
    "body": (CHUNKED, b"2\r\nab\r\n"),
}
"""How requests without end begin, and what comes again and again."""

MOST_SENT_BYTES = 40 << 20
"""More than any bound and what two sockets hold."""

TIMEOUT_S = 10.0
"""Time after which a test that hangs fails, seconds."""


@asynccontextmanager
async def serve(handle, take_connection=take_all, is_stopping=False):
    server = CallerServer(
        handle, Limits(), lambda: 0.0, take_connection=take_connection
    )
    server.is_stopping = is_stopping
    await server.start("127.0.0.1", 0)
    host, port = server._server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield reader, writer
    finally:
        writer.close()
        server.close_listener()


async def answer(incoming, reply):
    reply.refuse(Refusal(404, "no-route"))


def test_a_request_whose_handler_fails_is_answered():
    async def fail(incoming, reply):
        raise LookupError("no such service")

    async def scenario():
        async with serve(fail) as (reader, writer):
            writer.write(REQUEST)
            assert b" 500 " in await reader.readline()

    asyncio.run(scenario())


def test_a_bad_request_after_a_good_one_is_answered_and_closes():
    async def scenario():
        async with serve(answer) as (reader, writer):
            writer.write(REQUEST + b"this is no request\r\n\r\n")
            answers = await reader.read()
            assert answers.count(b"HTTP/1.1 404 ") == 1
            assert answers.count(b"HTTP/1.1 400 ") == 1

    asyncio.run(scenario())


def test_a_connection_that_is_not_taken_is_closed_with_its_request_unread():
    async def never(incoming, reply):
        raise AssertionError("it was read")

    async def scenario():
        async with serve(never, lambda: False) as (reader, writer):
            writer.write(REQUEST)
            try:
                assert await reader.read() == b""
            except ConnectionResetError:
                return

    asyncio.run(scenario())


class HeldAnswer:
    """Handles requests: begins an answer, and ends it when its gate opens."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.count = 0
        self.connection = None

    async def handle(self, incoming, reply):
        self.count += 1
        self.connection = reply._connection
        reply.begin(200, b"OK", (), None)
        await self.gate.wait()
        reply.end()


async def ask_behind_close(*pieces, first=REQUEST):
    """Send pieces behind a request whose answer announces the close; returns all."""
    held = HeldAnswer()
    async with serve(held.handle, is_stopping=True) as (reader, writer):
        writer.write(first)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Connection: close" in head
        for piece in pieces[:-1]:
            writer.write(piece)
        while len(held.connection._unparsed) < sum(map(len, pieces[:-1])):
            await asyncio.sleep(0.01)
        held.gate.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
        writer.write(pieces[-1])
        rest += await reader.read()
    return held.count, rest


def test_requests_behind_an_announced_close_are_refused_and_not_run():
    count, rest = asyncio.run(ask_behind_close(2 * REQUEST, b""))
    assert count == 1
    assert rest.count(b"HTTP/1.1 503 ") == 2
    assert rest.endswith(b"stopping\n")


def test_a_request_half_read_behind_an_announced_close_is_refused_once_whole():
    count, rest = asyncio.run(ask_behind_close(REQUEST[:-5], REQUEST[-5:]))
    assert count == 1
    assert rest.count(b"HTTP/1.1 503 ") == 1


def test_a_blank_line_behind_an_announced_close_does_not_keep_the_connection():
    assert asyncio.run(ask_behind_close(b"\r\n", b"")) == (1, b"0\r\n\r\n")


def test_what_comes_behind_a_close_that_the_caller_announced_gets_no_answer():
    first = REQUEST.replace(b"Host", b"Connection: close\r\nHost")
    answered = asyncio.run(ask_behind_close(REQUEST, b"", first=first))
    assert answered == (1, b"0\r\n\r\n")


@pytest.mark.parametrize("name", ENDLESS)
def test_a_request_without_end_is_refused_and_closed(name):
    """Only its time was bounded: a fast caller filled the memory meanwhile."""

    async def scenario():
        async with serve(answer) as (reader, writer):
            begin, piece = ENDLESS[name]
            writer.write(begin)
            sent = 0
            with contextlib.suppress(ConnectionError):
                while not writer.transport.is_closing() and not reader.at_eof():
                    writer.write(piece * 1024)
                    await writer.drain()
                    await asyncio.sleep(0)
                    sent += 1024 * len(piece)
                    assert sent < MOST_SENT_BYTES

    asyncio.run(scenario())


def test_a_body_that_trickles_in_does_not_come_without_end():
    now = 0.0
    parser = RequestParser(Limits(), lambda: now, lambda: None)
    parser.feed(b"POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n")
    while not parser.is_too_slow:
        parser.feed(b"x")
        now += 1.0
        assert now < 2 * BODY_S
