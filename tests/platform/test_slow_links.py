"""Large messages arrive over slow links, however long the transfer takes.

The tests guard against a time limit for a whole call to the store. A configuration of
4,200 routes (0.8 MB) took 0.3 s over links of 100 Mbit/s, but eight of seventeen VMs
with links of 6 Mbit/s refused requests for its routes with 404 for the rest of the day.

The store holds a poll for up to 2 s, and the whole call had 3 s. The new version came
1.9 s after the start of a poll, so 1.1 s were left for a transfer that took 1.5 s
beside the requests of callers. The call timed out, and the received part was discarded.
The next call was not held, because the store seemed unavailable, and had only 1 s, so
neither it nor any later call could succeed. One limit applied to silence and to the
length of a transfer, and each attempt began at the first byte.

The links were saturated (633 to 658 KB/s), and calls for this topic failed every 1.1 to
1.7 s on those VMs alone. In a reproduction with 5,600 routes, calls failed with up to
1,032,108 of 1,039,872 bytes received, the last of them at most 77 ms before. Decoding a
whole configuration took only 0.08 to 0.19 s.
"""

import asyncio

from standins.rawhttp import LOOPBACK, PIECE_PAUSE_S
from standins.replica import Replica
from tests.platform.deployment import (
    TIMEOUT_S,
    deploy,
    make_configuration,
    make_route,
    read_reply,
    run,
    until,
    write_request,
)
from tests.platform.test_cachelists import restore_caches

ITEM_COUNT = 200
"""Number of routes in a large configuration, or of parts in a large cache."""

PIECES_BEYOND_A_POLL = 70
"""Number of pieces that take 3.5 s, longer than the 3 s of a whole poll."""

PIECES_BEYOND_A_CALL = 30
"""Number of pieces that take 1.5 s, longer than the 1 s of a call that is not held."""


def make_many_routes():
    return [make_route(f"r{n}", "idempotent", "push") for n in range(ITEM_COUNT)]


def test_a_configuration_that_takes_long_to_arrive_is_applied(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            d.store.pieces = PIECES_BEYOND_A_POLL
            await d.configure(version=2, routes=make_many_routes())
            assert (await d.call("/r199/x")).status == 200

    run(scenario())


def test_a_gateway_that_starts_behind_a_slow_link_gets_its_configuration(tmp_path):
    async def configure(store):
        configuration = make_configuration(version=2, routes=make_many_routes())
        await store.put("keyed.op", "config", configuration)
        store.pieces = PIECES_BEYOND_A_CALL

    async def scenario():
        async with deploy(tmp_path, configured=False, prepare=configure) as d:
            await until(lambda: d.gateway.is_ready)
            assert d.version == 2

    run(scenario())


def test_a_cache_list_that_takes_long_to_arrive_is_applied():
    async def scenario():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {f"part{n}": 40 for n in range(ITEM_COUNT)}
        replica.list_pieces = PIECES_BEYOND_A_CALL
        await replica.server.start()
        engine, _ = await restore_caches(replica)
        assert engine.cached == replica.held
        await replica.server.stop()

    run(scenario())


def test_a_body_that_takes_long_to_arrive_is_read_completely(tmp_path):
    """The time limit applies to the head, and to each pause after it."""

    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            d.gateway._callers.limits.header_s = 1.0
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            data = write_request("POST", "/safe/x", "r1", b"x" * 2000, {})
            for start in range(0, len(data), 100):
                writer.write(data[start : start + 100])
                await asyncio.sleep(PIECE_PAUSE_S * 2)
            assert (await read_reply(reader)).status == 200
            writer.close()

    run(scenario())


def test_a_stalled_body_closes_its_connection(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            d.gateway._callers.limits.header_s = 0.2
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            data = write_request("POST", "/safe/x", "r1", b"x" * 1000, {})
            writer.write(data[:-1])
            async with asyncio.timeout(TIMEOUT_S):
                assert await reader.read() == b""
            writer.close()

    run(scenario())
