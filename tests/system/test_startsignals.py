"""Signals to real gateway processes at any moment of a start and of a stop."""

import asyncio
import random
import signal
import sys

import pytest

from tests.system.gatewayprocess import prepare

HELD_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

MOMENTS = 9
AT_ONCE = 3
LATEST_S = 0.8
"""Moments of a start at which signals are sent, on how many gateways at once, and the
latest moment, seconds after the process has held its signals."""

EARLY_SHARE = 0.5
"""Share of the time until a process is ready within which it must hold its signals:
before the first instruction of ours they have their default effect."""


def list_words(gateway, way):
    if way == "deploy":
        return gateway.list_words()
    words = [sys.executable, "-m", "robinspindle", "gateway", str(gateway.settings)]
    return [*words, "--metrics-port", str(gateway.metrics)]


def list_moments(seed):
    rng = random.Random(seed)
    return sorted(rng.uniform(0.0, LATEST_S) for _ in range(MOMENTS))


async def try_moments(tmp_path, seed, way, try_one):
    """Try moments of a start on several gateways at once, each with its own ports."""

    async def try_all(number, moments):
        folder = tmp_path / str(number)
        folder.mkdir()
        async with prepare(folder) as gateway:
            for moment in moments:
                await gateway.start(list_words(gateway, way))
                await gateway.wait_caught(signal.SIGHUP)
                await asyncio.sleep(moment)
                await try_one(gateway, moment)

    moments = list_moments(seed)
    parts = [moments[number::AT_ONCE] for number in range(AT_ONCE)]
    await asyncio.gather(*(try_all(*pair) for pair in enumerate(parts)))


@pytest.mark.parametrize("way", ["deploy", "command"])
def test_sighup_during_a_start_ends_no_process(way, tmp_path):
    async def try_one(gateway, moment):
        gateway.send(signal.SIGHUP)
        await asyncio.sleep(0.01)
        gateway.send(signal.SIGHUP)
        await gateway.wait_until(gateway.is_ready)
        assert await gateway.end(signal.SIGKILL) == -signal.SIGKILL

    asyncio.run(try_moments(tmp_path, 1, way, try_one))


@pytest.mark.parametrize("way", ["deploy", "command"])
def test_a_stop_during_a_start_ends_the_process_with_0(way, tmp_path):
    async def try_one(gateway, moment):
        stop = signal.SIGTERM if way == "deploy" else signal.SIGINT
        gateway.send(stop)
        gateway.send(signal.SIGHUP)
        assert await gateway.end(stop) == 0, (moment, gateway.log[-2000:])

    asyncio.run(try_moments(tmp_path, 2, way, try_one))


@pytest.mark.parametrize("way", ["deploy", "command"])
def test_signals_are_held_long_before_the_process_is_ready(way, tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            await gateway.start(list_words(gateway, way))
            await asyncio.gather(
                *(gateway.wait_caught(number) for number in HELD_SIGNALS)
            )
            held_at = loop.time()
            await gateway.wait_until(gateway.is_ready)
            share = (held_at - began_at) / (loop.time() - began_at)
            assert share < EARLY_SHARE

    asyncio.run(scenario())


def test_signals_all_through_a_stop_do_not_change_how_the_process_ends(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            await gateway.start()
            await gateway.wait_served()
            gateway.send(signal.SIGTERM)
            rng = random.Random(3)
            while gateway.process.returncode is None:
                gateway.send(rng.choice(HELD_SIGNALS))
                await asyncio.sleep(0.002)
            assert await gateway.wait() == 0

    asyncio.run(scenario())
