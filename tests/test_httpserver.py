import asyncio
from contextlib import asynccontextmanager

from robinspindle.core.forwarding import Refusal
from robinspindle.httpserver import CallerServer, Limits, take_all

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
TIMEOUT_S = 10.0
"""Time after which a test that hangs fails, seconds."""


@asynccontextmanager
async def serve(handle, take_connection=take_all):
    server = CallerServer(
        handle, Limits(), lambda: 0.0, take_connection=take_connection
    )
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
