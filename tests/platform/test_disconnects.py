"""Callers that leave while a gateway is behind with its work."""

import asyncio
import socket
import time

import pytest

from standins.rawhttp import LOOPBACK, reset
from tests.platform.deployment import (
    KINDS,
    deploy,
    make_route,
    run,
    until,
    write_request,
)

BUSY_S = 0.6
"""How long the event loop is kept from looking at its sockets, seconds: longer than the
half second that is allowed between a caller's close and the last send for it."""


def connect(d):
    """Connect a caller whose close takes effect at once."""
    return socket.create_connection((LOOPBACK, d.port))


def make_brief_route(name):
    """Make a route whose callers give up after 2 s without an event."""
    return make_route(
        name, "stream", "lm", TargetLatencyMs=100, TargetGapMs=100, TimeoutMs=60_000
    )


def be_busy():
    """Keep the event loop from looking at its sockets."""
    time.sleep(BUSY_S)


def list_ids(replica):
    return [arrival.headers["x-request-id"] for arrival in replica.arrivals]


def test_a_prefilled_prompt_is_not_sent_on_if_its_caller_left_meanwhile(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            prefill_engine = await d.add("p1", "lm", "prefill")
            decode_engine = await d.add("d1", "lm", "decode")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            assert (await d.call("/digest/x", id="first", **prompt)).is_whole
            caller = connect(d)

            async def answer_as_the_caller_leaves(request, writer):
                await prefill_engine._be_ok(request, writer)
                caller.close()
                be_busy()
                return True

            prefill_engine._be_left = answer_as_the_caller_leaves
            prefill_engine.behaviours.append("left")
            prompt["X-Prompt-Prefix"] = "dd:4000,ee:4000,ff:2000"
            caller.sendall(write_request("POST", "/digest/x", "left", b"", prompt))
            await until(lambda: prefill_engine.freed)
            assert list_ids(prefill_engine) == ["first", "left"]
            assert list_ids(decode_engine) == ["first"]

    run(scenario())


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_request_is_not_sent_if_its_caller_left_before_it_was_read(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1", service, role)
            headers = d.prompt() if role else {}
            # Two kept connections, as the gateway may use one for a call of its own.
            replies = (d.call(path, id=id, **headers) for id in ("r1", "r2"))
            assert all(reply.is_whole for reply in await asyncio.gather(*replies))
            with connect(d) as caller:
                caller.sendall(write_request("POST", path, "left", b"", headers))
            be_busy()
            assert (await d.call(path, id="last", **headers)).is_whole
            await asyncio.sleep(0.1)
            assert sorted(list_ids(target)) == ["last", "r1", "r2"]

    run(scenario())


def test_an_engine_works_no_longer_than_a_caller_waits_for_its_first_event(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=[make_brief_route("chat")])
            engine = await d.add("d1", "lm", "decode")
            engine.behaviours.append("held")
            reply = await d.call("/chat/x", id="r1", **d.prompt())
            assert reply.status == 504
            await until(lambda: engine.closed == ["r1"])

    run(scenario())


def test_a_stream_is_resumed_after_the_wait_for_its_first_event_is_over(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            route = make_brief_route("digest") | {"Resumable": True}
            await d.configure(version=2, routes=[route])
            engines = [await d.add(name, "lm", "decode") for name in ("d1", "d2")]

            async def tear_late(request, writer):
                engine = next(e for e in engines if request in e.arrivals)
                engine._begin_stream(request, writer)
                for number in range(1, 23):
                    engine._write_event(request, writer, number)
                    await asyncio.sleep(0.1)
                reset(writer)
                return False

            for engine in engines:
                engine.events = 30
                engine._be_torn_late = tear_late
                engine.behaviours.append("torn_late")
            call = asyncio.create_task(d.call("/digest/x", **d.prompt("30")))
            await until(lambda: any(engine.arrivals for engine in engines))
            (other,) = (engine for engine in engines if not engine.arrivals)
            other.behaviours.clear()
            assert (await call).is_whole
            assert other.arrivals[0].headers["last-event-id"] == "22"

    run(scenario())


def test_a_prompt_is_prefilled_no_longer_than_its_caller_waits(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=[make_brief_route("digest")])
            prefill_engine = await d.add("p1", "lm", "prefill")
            decode_engine = await d.add("d1", "lm", "decode")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            assert (await d.call("/digest/x", **prompt)).is_whole
            deadlines_ms = [
                int(engine.arrivals[0].headers["x-deadline-ms"])
                for engine in (prefill_engine, decode_engine)
            ]
            assert deadlines_ms[0] <= 2_000 < deadlines_ms[1]

    run(scenario())


def test_a_request_that_waits_for_the_link_is_dropped_when_its_caller_leaves(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1")
            set_link(d, bytes_per_s=50_000.0)
            body = b"x" * 20_000
            callers = [connect(d) for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.sendall(write_request("POST", "/safe/x", f"r{number}", body, {}))
            await until(lambda: len(target.arrivals) == 1)
            # The second and the third have left before the first is on its way.
            callers[1].close()
            callers[2].close()
            await until(lambda: len(target.arrivals) == 2)
            assert list_ids(target) == ["r0", "r3"]

    run(scenario())


def test_a_request_that_the_link_can_not_send_in_time_is_refused_at_once(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1")
            set_link(d, bytes_per_s=5_000.0)
            reply = await d.call(
                "/once/x", body=b"x" * 20_000, **{"X-Deadline-Ms": "900"}
            )
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert not target.arrivals

    run(scenario())


def set_link(d, bytes_per_s):
    """Tell the gateway that its link is slow."""
    d.gateway.link.uplink.bytes_per_s = bytes_per_s
