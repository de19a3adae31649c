"""The account of engines' room, through whole gateways."""

import asyncio
import contextlib

import pytest

from robinspindle.core.roomclaims import Use
from tests.platform.deployment import deploy, join, run, until

PROMPT = {"parts": "aa:4000,bb:4000,cc:2000", "tokens": 10000}


def find_room(d, lifetime):
    return d.gateway.fleet.find_engine_of(lifetime).room


def has_read(d):
    uses = {use for _, use in find_room(d, "p1").claims}
    return uses == {Use.READ}


@pytest.mark.parametrize("caller_leaves", [False, True])
def test_nothing_stays_claimed_once_a_request_has_ended(tmp_path, caller_leaves):
    async def scenario():
        async with deploy(tmp_path) as d:
            reader = await d.add("p1", "lm", "prefill")
            await d.add("d1", "lm", "decode")
            reader.behaviours.append("held")
            call = asyncio.create_task(d.call("/digest/x", **d.prompt(**PROMPT)))
            await until(lambda: has_read(d))
            (claim,) = find_room(d, "d1").claims.values()
            assert (claim.use, claim.tokens) == (Use.PROMISED, 2000)
            if caller_leaves:
                call.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await call
            else:
                reader.gate.set()
                assert (await call).is_whole
            rooms = [find_room(d, name) for name in ("p1", "d1")]
            await until(lambda: not any(room.claims for room in rooms))
            assert [(room.set_aside, room.tokens) for room in rooms] == [(0, 0)] * 2

    run(scenario())


def test_claims_of_a_gateway_that_dies_go_with_it(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            reader = await d.add("p1", "lm", "prefill")
            await d.add("d1", "lm", "decode")
            reader.behaviours.append("held")
            async with join(tmp_path, d) as other:
                call = asyncio.create_task(
                    other.call("/digest/x", **other.prompt(**PROMPT))
                )
                await until(lambda: find_room(d, "d1").set_aside == 1)
                assert find_room(d, "d1").tokens == 2000
                await other.gateway.close()
            await until(lambda: find_room(d, "d1").set_aside == 0)
            assert find_room(d, "d1").tokens == 0
            call.cancel()

    run(scenario())


def test_a_prompt_that_no_engine_can_hold_is_refused_at_once(tmp_path):
    """Guards against engines that are left alone for it, as if they were full."""

    async def scenario():
        async with deploy(tmp_path) as d:
            engine = await d.add("d1", "lm", "decode")
            large = d.prompt(parts="aa:100001", tokens=100_001)
            reply = await d.call("/digest/x", **large)
            assert (reply.status, reply.headers.get("retry-after")) == (503, None)
            assert not engine.arrivals
            assert (await d.call("/digest/x", id="r2", **d.prompt())).is_whole

    run(scenario())
