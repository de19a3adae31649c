"""What is large arrives over a slow link, however long it takes.

The story: a configuration had grown to 4,200 routes, 0.8 MB, and a new version was
confirmed. VMs with links of 100 Mbit/s had it in 0.3 s. Eight of the seventeen VMs with
links of 6 Mbit/s refused requests for its routes with 404 from the moment it had to be
in force, and went on so to the end of the day.

The order of events: the store holds a poll for up to 2 s, and the whole call was given
3 s from its start. The version came late in a poll that had been held for 1.9 s; 1.1 s
were left for an answer that took 1.5 s beside callers' requests. The call was given up,
and what had come of it was thrown away. The next call was not held, as the store seemed
lost, and so had 1 s for everything; it could never end, nor could any call after it.

The cause: one time limit for silence and for the length of a transfer, and a try that
begins at its first byte.

The evidence: calls for that one topic were given up every 1.1 to 1.7 s, on those VMs
alone, their links full with 633 to 658 KB/s. Played again with 5,600 routes and lines
that tell it, calls were given up with up to 1,032,108 of 1,039,872 bytes received, the
last of them 0 to 77 ms ago; where all of it had come, decoding took 0.08 to 0.19 s.
"""

import asyncio

from standins.rawhttp import PIECE_PAUSE_S
from standins.replica import Replica
from tests.platform.deployment import (
    MOST_S,
    deploy,
    make_configuration,
    make_route,
    read_reply,
    run,
    until,
    write_request,
)
from tests.platform.test_cachelists import regain

MANY = 200
"""Routes of a configuration, or parts of a cache, that are long for the stand-ins."""

LONGER_THAN_A_POLL = 70
"""Pieces that take 3.5 s: longer than a poll with all its time ahead."""

LONGER_THAN_A_CALL = 30
"""Pieces that take 1.5 s: longer than a call that is not held."""


def make_many_routes():
    return [make_route(f"r{n}", "idempotent", "push") for n in range(MANY)]


def test_a_configuration_that_takes_long_to_arrive_comes_into_force(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            d.store.pieces = LONGER_THAN_A_POLL
            await d.configure(version=2, routes=make_many_routes())
            assert (await d.call("/r199/x")).status == 200

    run(play())


def test_a_gateway_that_starts_behind_a_slow_link_gets_its_configuration(tmp_path):
    async def configure(store):
        configuration = make_configuration(version=2, routes=make_many_routes())
        await store.put("keyed.op", "config", configuration)
        store.pieces = LONGER_THAN_A_CALL

    async def play():
        async with deploy(tmp_path, configured=False, prepare=configure) as d:
            await until(lambda: d.gateway.is_ready)
            assert d.version == 2

    run(play())


def test_the_list_of_a_cache_that_takes_long_to_arrive_is_taken():
    async def play():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {f"part{n}": 40 for n in range(MANY)}
        replica.list_pieces = LONGER_THAN_A_CALL
        await replica.server.start()
        engine, _ = await regain(replica)
        assert engine.cached == replica.held
        await replica.server.stop()

    run(play())


def test_a_body_that_takes_long_to_arrive_is_read_to_its_end(tmp_path):
    """The limit is for the head, and for pauses after it."""

    async def play():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            d.gateway._callers.limits.header_s = 1.0
            reader, writer = await asyncio.open_connection("127.0.0.1", d.port)
            data = write_request("POST", "/safe/x", "r1", b"x" * 2000, {})
            for start in range(0, len(data), 100):
                writer.write(data[start : start + 100])
                await asyncio.sleep(PIECE_PAUSE_S * 2)
            assert (await read_reply(reader)).status == 200
            writer.close()

    run(play())


def test_a_body_that_stops_coming_ends_its_connection(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            d.gateway._callers.limits.header_s = 0.2
            reader, writer = await asyncio.open_connection("127.0.0.1", d.port)
            data = write_request("POST", "/safe/x", "r1", b"x" * 1000, {})
            writer.write(data[:-1])
            async with asyncio.timeout(MOST_S):
                assert await reader.read() == b""
            writer.close()

    run(play())
