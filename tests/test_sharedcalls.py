"""Calls that several callers share, in virtual time."""

import asyncio

from fuzz.virtualtime import VirtualSelector, run_virtually
from robinspindle.sharedcalls import SharedCall

CALL_S = 0.001
INTERVAL_S = 0.05


def test_a_flood_of_callers_makes_few_calls_and_each_gets_one_that_began_later():
    selector = VirtualSelector()
    begun = []

    async def call():
        begun.append(selector.now)
        await asyncio.sleep(CALL_S)
        return selector.now

    async def play():
        shared = SharedCall(call, lambda: INTERVAL_S)

        async def ask():
            asked_at = selector.now
            assert await shared.make() >= asked_at + CALL_S

        asks = []
        for _ in range(1000):
            asks.append(asyncio.create_task(ask()))
            await asyncio.sleep(0.001)
        await asyncio.gather(*asks)

    run_virtually(play(), selector)
    assert begun[0] == 0.0
    gaps = [later - earlier for earlier, later in zip(begun, begun[1:], strict=False)]
    assert min(gaps) >= INTERVAL_S - 1e-9
    assert len(begun) >= 0.9 / INTERVAL_S


def test_a_call_after_a_while_is_made_at_once():
    selector = VirtualSelector()
    begun = []

    async def call():
        begun.append(selector.now)

    async def play():
        shared = SharedCall(call, lambda: INTERVAL_S)
        await shared.make()
        await asyncio.sleep(1.0)
        await shared.make()

    run_virtually(play(), selector)
    assert begun == [0.0, 1.0]


def test_a_failed_call_fails_for_those_that_share_it_and_not_for_the_next():
    selector = VirtualSelector()
    outcomes = [OSError("first"), None]

    async def call():
        await asyncio.sleep(CALL_S)
        outcome = outcomes.pop(0)
        if outcome is not None:
            raise outcome

    async def play():
        shared = SharedCall(call, lambda: INTERVAL_S)
        failed = await asyncio.gather(
            shared.make(), shared.make(), return_exceptions=True
        )
        assert [str(error) for error in failed] == ["first"] * 2
        assert await shared.make() is None

    run_virtually(play(), selector)
