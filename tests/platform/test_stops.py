"""What a stopping gateway has sent on is answered, and what can't end is not sent."""

import asyncio

import pytest

from robinspindle.gatewaysettings import Pledges
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import KINDS, deploy, read_reply, run, until
from tests.platform.deployment import write_request as write

STOP_S = 4.0
PIECES = 4
LATE_S = 3.1
"""After a stop's request this is within its last third of a second."""

LATE = write("POST", "/once/x", "late", b"hello", {})
HEAD_PART, BODY_PART = LATE[:20], LATE[:-PIECES]
"""A request whose head breaks off, and one whose body does."""

WORK_S = 0.6
"""Time that answers take: more than is left then."""


def deploy_short(tmp_path):
    return deploy(tmp_path, pledges=Pledges(repeat_slack=320.0, stop_s=STOP_S))


async def answer_after(replica, count, seconds):
    """Let a replica answer one request after some time."""
    await until(lambda: len(replica.arrivals) == count)
    await asyncio.sleep(seconds)
    replica.gate.set()


async def stop_within_body(d, writer, path):
    """Send a request slowly, and have the gateway stop before its body is whole."""
    late = write("POST", path, "late", b"hello", {})
    writer.write(late[:-PIECES])
    await asyncio.sleep(0.1)
    d.gateway.begin_stop()
    for byte in late[-PIECES:]:
        await asyncio.sleep(LATE_S / PIECES)
        writer.write(bytes((byte,)))


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_request_at_work_at_the_end_of_a_stop_is_told_so_and_not_cut(
    tmp_path, path, service, role
):
    # Its connection was closed without an answer.
    async def scenario():
        async with deploy_short(tmp_path) as d:
            replica = await d.add("t1", service, role)
            replica.behaviours.append("held")
            prompt = d.prompt() if role else {}
            call = asyncio.create_task(d.call(path, id="r1", **prompt))
            await until(lambda: replica.arrivals)
            d.gateway.begin_stop()
            reply = await call
            assert not d.gateway._stop.ended.is_set()
            assert (reply.status, reply.is_whole) == (504, True)
            await until(d.gateway._stop.ended.is_set)

    run(scenario())


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
def test_a_body_that_is_whole_too_late_in_a_stop_is_refused_and_not_sent(
    tmp_path, path
):
    # It was sent on, and cut off with its answer under way.
    async def scenario():
        async with deploy_short(tmp_path) as d:
            replica = await d.add("t1")
            replica.behaviours.extend(("held", "held"))
            first = asyncio.create_task(d.call(path, id="first"))
            await answer_after(replica, 1, WORK_S)
            assert (await first).status == 200
            replica.gate.clear()
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            await stop_within_body(d, writer, path)
            reply = await read_reply(reader)
            assert (reply.status, reply.is_whole) == (503, True)
            assert [one.headers["x-request-id"] for one in replica.arrivals] == [
                "first"
            ]

    run(scenario())


@pytest.mark.parametrize("part", [HEAD_PART, BODY_PART], ids=["head", "body"])
def test_a_request_that_is_never_whole_in_a_stop_is_refused_and_not_cut(tmp_path, part):
    # Its connection was closed without an answer as the process ended.
    async def scenario():
        async with deploy_short(tmp_path) as d:
            await d.add("t1")
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            d.gateway.begin_stop()
            for some in (part[:-1], part[-1:]):
                await asyncio.sleep(LATE_S / 3)
                writer.write(some)
            reply = await read_reply(reader)
            assert (reply.status, reply.is_whole) == (503, True)
            await until(d.gateway._stop.ended.is_set)

    run(scenario())


def test_a_body_that_is_whole_in_time_in_a_stop_is_served(tmp_path):
    async def scenario():
        async with deploy_short(tmp_path) as d:
            await d.add("t1")
            assert (await d.call("/once/x", id="first")).status == 200
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            await stop_within_body(d, writer, "/once/x")
            assert (await read_reply(reader)).status == 200

    run(scenario())
