"""Faults of a run of sizes, from outside the processes; each ends after a while."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.sizesworld import SizesWorld

Fault = Callable[[SizesWorld, float], Awaitable[None]]

SLOWNESS = 3.0
"""How many times longer a slow engine takes."""

SLOW_LINK_BYTES_PER_S = 625_000
"""5 Mbit/s: the link of a small gateway's machine, shared by all its callers."""


async def slow_engines(world: SizesWorld, seconds: float) -> None:
    """Have a third of the engines take three times as long."""
    slow = world.rng.sample(world.engines, max(1, len(world.engines) // 3))
    for engine in slow:
        engine.slowness = SLOWNESS
    await asyncio.sleep(seconds)
    for engine in slow:
        engine.slowness = 1.0


async def silence_engine(world: SizesWorld, seconds: float) -> None:
    """Have an engine say nothing for a while."""
    engine = world.rng.choice(world.engines)
    engine.is_silent = True
    await asyncio.sleep(seconds)
    engine.is_silent = False


async def kill_gateway(world: SizesWorld, seconds: float) -> None:
    """Kill a gateway and start it again."""
    gateway = world.rng.choice(world.gateways)
    await gateway.end(signal.SIGKILL)
    await asyncio.sleep(seconds / 4)
    await gateway.start()


async def lose_store(world: SizesWorld, seconds: float) -> None:
    """Have the store fall silent."""
    world.store.trouble = "silent"
    await asyncio.sleep(seconds)
    world.store.trouble = ""
    world.store.server.reset_all()


async def slow_links(world: SizesWorld, seconds: float) -> None:
    """Have what callers send come over links of 5 Mbit/s, one for each gateway."""
    for link in world.links:
        link.bytes_per_s_in = SLOW_LINK_BYTES_PER_S
    await asyncio.sleep(seconds)
    for link in world.links:
        link.bytes_per_s_in = 0


FAULTS: dict[str, Fault] = {
    "slow-engines": slow_engines,
    "silent-engine": silence_engine,
    "killed-gateway": kill_gateway,
    "lost-store": lose_store,
    "slow-links": slow_links,
}
