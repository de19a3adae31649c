"""Connections end when their peers are gone, not when they have no room for long."""

import asyncio
import contextlib
import socket
from contextlib import asynccontextmanager

import pytest

from robinspindle import callerconnections, httpclient
from robinspindle.connectionpool import ConnectionPool
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import Exchange
from robinspindle.httpserver import CallerServer
from robinspindle.platform.dialect import decode_answer
from robinspindle.requestparser import Limits

UNACKED_MS = 1000
PAUSE_S = 4.0
"""Several times as long."""

RECEIVE_BUFFER_BYTES = 4096
LARGE = b"x" * 3_000_000
"""More than both systems hold; part of it stays in the process."""

SMALL = b"x" * 40_000
"""What the sending system holds alone."""

TIMEOUT_S = 30.0
"""Time after which a test that hangs fails, seconds."""


@pytest.fixture(autouse=True)
def short_limits(monkeypatch):
    monkeypatch.setattr(callerconnections, "UNACKED_MS", UNACKED_MS)
    monkeypatch.setattr(httpclient, "UNACKED_MS", UNACKED_MS)


@asynccontextmanager
async def serve(body, limits):
    async def answer(incoming, reply):
        reply.begin(200, b"OK", (), len(body))
        reply.write(body)
        reply.end()

    loop = asyncio.get_running_loop()
    server = CallerServer(answer, limits, loop.time)
    await server.start("127.0.0.1", 0)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield server, server._server.sockets[0].getsockname()
    finally:
        server.close_listener()


def test_a_connection_that_is_turned_away_ends_without_an_error():
    # Its watch had not begun, so each one ended in an error of the event loop.
    async def scenario():
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        server = CallerServer(None, Limits(), loop.time, take_connection=lambda: False)
        await server.start("127.0.0.1", 0)
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.suppress(ConnectionError):
            assert not await reader.read()
        writer.close()
        await asyncio.sleep(0.1)
        server.close_listener()
        assert errors == []

    asyncio.run(scenario())


async def ask(address, headers=b""):
    """Send a request, and read nothing of its answer."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    request = b"GET / HTTP/1.1\r\nHost: x\r\n" + headers + b"\r\n"
    await loop.sock_sendall(sock, request)
    return sock


async def read_answer(sock, body):
    """Read an answer; returns whether it came whole."""
    loop, data = asyncio.get_running_loop(), b""
    while not data.endswith(b"\r\n\r\n" + body):
        piece = await loop.sock_recv(sock, 65536)
        if not piece:
            return False
        data += piece
    return True


@pytest.mark.parametrize("headers", [b"", b"Connection: close\r\n"])
@pytest.mark.parametrize("body", [SMALL, LARGE], ids=["small", "large"])
def test_a_caller_that_pauses_reading_does_not_lose_its_answer(body, headers):
    # Its connection was reset once its receive window had been closed for UNACKED_MS.
    async def scenario():
        async with serve(body, Limits()) as (_, address):
            sock = await ask(address, headers)
            with sock:
                await asyncio.sleep(PAUSE_S)
                assert await read_answer(sock, body)

    asyncio.run(scenario())


def test_a_caller_that_never_reads_its_answer_is_closed():
    # Nothing else ends a connection whose caller acknowledges, and takes nothing.
    async def scenario():
        async with serve(LARGE, Limits(idle_s=0.5)) as (server, address):
            with await ask(address):
                while not server.connections:
                    await asyncio.sleep(0.01)
                while server.connections:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_a_target_that_pauses_reading_a_body_answers_all_the_same():
    # Its connection was reset as that of a caller, so its request failed.
    async def scenario():
        async def read_late(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(PAUSE_S)
            await reader.readexactly(len(LARGE))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        target = await asyncio.start_server(read_late, "127.0.0.1", 0, limit=4096)
        host, port = target.sockets[0].getsockname()
        pool = ConnectionPool(HostPort(host, port), decode_answer)
        async with target, asyncio.timeout(TIMEOUT_S):
            connection = await pool.take(0.0, 1.0)
            exchange = Exchange("")
            head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(LARGE)
            connection.send(exchange, head, LARGE)
            assert (await exchange.read_head()).status == 200
            assert await exchange.read_body() == b"ok"
            connection.abort()

    asyncio.run(scenario())
