"""Targets whose bytes never end are closed, blamed, and left for others.

Each of these answers grew in memory until the caller's time was over.
"""

import asyncio

import pytest

from robinspindle.core.heldbytes import MAX_HOLDER_SHARE
from robinspindle.passing import MOST_GATHERED_BYTES
from standins.endless import BODIES, EVENTS, FRAMING, SURPLUS, Endless, make_behaviour
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import deploy, run, until, write_request

MOST_TAKEN_BYTES = 24 << 20
"""More than a bound and what two sockets hold; far less than what would be sent."""

SLOW_S = 0.2


async def add_pair(d, endless, service="push", role=""):
    """Add two targets of which whichever is asked first answers without end."""
    replicas = [await d.add(name, service, role) for name in ("t1", "t2")]
    replicas[1].behaviours = replicas[0].behaviours
    replicas[0].behaviours.append("endless")
    for replica in replicas:
        replica._be_endless = make_behaviour(endless, replica._head)
    return replicas


@pytest.mark.parametrize("pause_s", [0.0, SLOW_S])
@pytest.mark.parametrize("name", FRAMING)
def test_a_request_goes_on_elsewhere_after_framing_without_end(name, pause_s, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            endless = Endless(FRAMING[name], pause_s)
            await add_pair(d, endless)
            reply = await d.call("/safe/x")
            assert (reply.status, reply.body) == (200, b"body of r1")
            await until(lambda: endless.is_closed)
            assert endless.sent < MOST_TAKEN_BYTES

    run(scenario())


@pytest.mark.parametrize("pause_s", [0.0, SLOW_S])
@pytest.mark.parametrize("name", EVENTS)
def test_a_stream_goes_on_elsewhere_after_an_event_without_end(name, pause_s, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            endless = Endless(EVENTS[name], pause_s)
            await add_pair(d, endless, "lm", "decode")
            reply = await d.call("/digest/x", **d.prompt())
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body.count(b"id: ") == 3
            await until(lambda: endless.is_closed)
            assert endless.sent < MOST_TAKEN_BYTES

    run(scenario())


@pytest.mark.parametrize("name", SURPLUS)
def test_bytes_without_end_behind_a_whole_answer_reach_no_caller(name, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            endless = Endless(SURPLUS[name])
            await add_pair(d, endless)
            reply = await d.call("/safe/x")
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body in (b"ab", b"body of r1")
            await until(lambda: endless.is_closed)
            assert endless.sent < MOST_TAKEN_BYTES

    run(scenario())


BODY_SHARES = {"chunks": 2 / 7, "unframed": 1.0}
"""Share of the bytes on the wire that are the body's."""


@pytest.mark.parametrize("name", BODIES)
@pytest.mark.parametrize("reads", [True, False])
def test_a_body_without_end_ends_with_the_callers_time(name, reads, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            endless = Endless(BODIES[name])
            await add_pair(d, endless)
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            head = {"X-Deadline-Ms": "1500"}
            writer.write(write_request("POST", "/safe/x", "r1", b"", head))
            if reads:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    while True:
                        await reader.readexactly(1 << 16)
            else:
                await until(lambda: endless.sent > MOST_GATHERED_BYTES)
            held = d.gateway.held
            most_held = 0

            def is_closed():
                nonlocal most_held
                most_held = max(most_held, held.total)
                return endless.is_closed

            await until(is_closed)
            # One read beyond the bound may be under way.
            assert most_held <= MAX_HOLDER_SHARE * held.max_bytes + MOST_GATHERED_BYTES
            if not reads:
                assert endless.sent * BODY_SHARES[name] < MOST_TAKEN_BYTES
            writer.close()

    run(scenario())


def test_a_refusal_without_end_is_not_taken_as_an_answer(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            shape = BODIES["chunks"]
            endless = Endless(
                type(shape)(shape.begin, shape.piece, b"HTTP/1.1 500 F\r\n")
            )
            await add_pair(d, endless)
            reply = await d.call("/safe/x")
            assert (reply.status, reply.body) == (200, b"body of r1")
            assert endless.sent < MOST_TAKEN_BYTES

    run(scenario())


def test_a_long_proper_body_arrives_whole(tmp_path):
    """It is passed on as it comes, and not cut for its size."""
    body = b"0123456789abcdef" * (MOST_GATHERED_BYTES // 4)

    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1")

            async def answer_long(request, writer):
                head = target._head(request)
                lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
                writer.write(f"HTTP/1.1 200 OK\r\n{lines}".encode())
                writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
                return True

            target._be_long = answer_long
            target.behaviours.append("long")
            reply = await d.call("/once/x")
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body == body

    run(scenario())


def test_a_target_is_not_held_up_for_a_slow_caller_while_memory_is_free(tmp_path):
    """It cuts an answer that stays unread for some seconds."""
    event = b"id: %d\ndata: " + b"x" * 8192 + b"\n\n"
    count = 1000

    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1", "lm", "decode")
            written = asyncio.Event()

            async def answer_long(request, writer):
                target._begin_stream(request, writer)
                for number in range(1, count + 1):
                    data = event % number
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                written.set()
                return True

            target._be_long = answer_long
            target.behaviours.append("long")
            reader, writer = await asyncio.open_connection(
                LOOPBACK, d.port, limit=1 << 14
            )
            held = d.gateway.held
            writer.write(write_request("POST", "/chat/x", "r1", b"", d.prompt()))
            async with asyncio.timeout(4.0):
                await written.wait()
            assert held.waits == 0
            body = b""
            while not body.endswith(b"\r\n0\r\n\r\n"):
                body += await reader.read(1 << 16)
            assert body.count(b"data: ") == count
            await until(lambda: not held.holdings)
            assert held.total == 0
            writer.close()

    run(scenario())
