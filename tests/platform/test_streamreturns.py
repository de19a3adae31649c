"""Callers whose streams can go on at crashed engines alone come when these are back."""

import asyncio
import time

import pytest

from robinspindle.core import health
from standins.replica import USUAL_VERSION, Replica
from tests.platform.deployment import deploy, make_route, run, until
from tests.platform.test_streamversions import (
    OTHER_VERSION,
    add,
    begin_broken,
    is_true_refusal,
    list_ids,
    list_versions,
    make_single,
    start,
    take_up,
)

AWAY_S = 2.5
"""How long the engines of a version are away, seconds."""

CALLER_S = 15.0
"""How long a caller waits for its whole stream, seconds."""

RETRIES = 3

BROKEN = 4
BEGUN_S = 0.2
"""Streams whose connections break together; by when all have begun, seconds."""


async def make_long(d):
    """Let callers wait long for streams, each attempt of which goes to one target."""
    route = make_route(
        "digest",
        "stream",
        "lm",
        Resumable=True,
        MaxAttempts=1,
        TimeoutMs=int(CALLER_S * 1000),
        TargetLatencyMs=200,
    )
    await make_single(d, routes=[route])


async def come_again(d):
    """Take a stream up as callers do: they wait as told, a third of their time at most.

    Returns:
        The last answer.
    """
    begun = time.monotonic()
    for number in range(1 + RETRIES):
        reply, _ = await take_up(d, id=f"t{number}")
        if reply.status == 200:
            break
        assert is_true_refusal(reply)
        left_s = CALLER_S - (time.monotonic() - begun)
        told_s = float(reply.headers["retry-after"])
        await asyncio.sleep(min(told_s, left_s / 3))
    return reply


async def come_back(d, version=USUAL_VERSION):
    """Have an engine of a version begin under an id of its own after a while."""
    await asyncio.sleep(AWAY_S)
    replica = Replica("back", "lm", "decode")
    replica.software_version = version
    await start(d, replica)


@pytest.mark.parametrize("others", [0, 1])
def test_a_stream_is_not_lost_whose_version_is_away_for_a_restart(tmp_path, others):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_long(d)
            begun = await begin_broken(d)
            await add(d, OTHER_VERSION, others)
            await begun.server.stop()
            back = asyncio.create_task(come_back(d))
            reply = await come_again(d)
            await back
            assert reply.status == 200
            assert list_ids(reply) == [2, 3]
            assert list_versions(reply) == {USUAL_VERSION}

    run(scenario())


def test_an_engine_whose_connections_broke_together_counts_as_sound(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_long(d)
            (begun,) = await add(d)
            target = d.gateway.directory.targets[begun.lifetime]
            begun.behaviours.extend(["torn_at_gate"] * BROKEN)
            calls = [
                asyncio.create_task(d.call("/digest/x", id=f"c{n}", **d.prompt()))
                for n in range(BROKEN)
            ]
            await until(lambda: len(begun.arrivals) == BROKEN)
            await asyncio.sleep(BEGUN_S)
            begun.gate.set()
            await asyncio.gather(*calls)
            assert health.is_healthy(target, d.gateway._clock())

    run(scenario())
