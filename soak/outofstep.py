"""Puts gateways out of step while engines of newer software versions come."""

import asyncio
import itertools
import random
import signal
from collections.abc import Awaitable, Callable
from functools import partial

from soak.gateways import GatewayProcess
from soak.releases import SETTLE_S, Release, await_gateway, drain, leave, list_engines
from soak.replicas import SoakReplica
from soak.world import World, cancel_all

APART_S = (0.3, 4.5)
APART_PAUSE_S = (0.2, 1.5)
"""How long a gateway is out of step; time until the next one is; seconds."""

HEAL_S = (0.0, 3.0)
"""How long after all gateways were killed one of them is still kept from the others,
seconds."""

NEW_ENGINES = 3
JOIN_S = (0.0, 0.5)
BESIDE_S = (1.0, 4.0)
LEAVE_S = (0.1, 1.0)
"""Engines of each newer version; time until the next one joins; how long the versions
serve beside each other; time until the next old one goes; seconds."""

LAPSE_S = 1.5
"""How long the entry of an engine that crashed stays, seconds."""

RESET_S = (0.3, 1.5)
"""Time between two resets of all connections to an engine, seconds."""

FIRST_APART_S = (2.0, 4.5)
SERVED_S = (0.8, 2.0)
"""How long a gateway is out of step as the first newer version comes; how long that
version serves until the other gateways are killed; seconds."""

KILLED_S = (5.0, 9.0)
DOWN_S = (0.0, 0.6)
"""Time between two kills of many gateways; how long each is down after it; seconds."""

ALL_SHARE = 0.5
"""Share of these kills that take all, not only those that are in step."""

Apart = Callable[[World, GatewayProcess, float], Awaitable[None]]
"""Puts a gateway out of step for some seconds."""


async def release_out_of_step(release: Release) -> None:
    """Have engines of newer versions come while gateways are put out of step.

    All engines are of one version at the start.
    """
    apart: set[asyncio.Task] = set()
    try:
        await _meet_first_release(release, apart)
        async with asyncio.TaskGroup() as group:
            group.create_task(_put_out_of_step(release, apart))
            group.create_task(_join_newer(release))
    finally:
        await cancel_all(list(apart))


async def _meet_first_release(release: Release, apart: set[asyncio.Task]) -> None:
    """Have the first newer version come while one gateway is out of step.

    The others die then: nobody remembers the streams of that version.
    """
    world, rng = release.world, release.world.rng
    await asyncio.sleep(rng.uniform(*APART_PAUSE_S))
    gateway = rng.choice(world.gateways)
    task = asyncio.create_task(_put_out(release, gateway, rng.uniform(*FIRST_APART_S)))
    await asyncio.sleep(rng.uniform(*JOIN_S))
    await _join(release, 2)
    await asyncio.sleep(rng.uniform(*SERVED_S))
    await _kill(release, [g for g in world.gateways if g is not gateway], apart)
    await task


async def _put_out_of_step(release: Release, apart: set[asyncio.Task]) -> None:
    """Put gateways out of step, also several at once, and kill many now and then."""
    world, rng = release.world, release.world.rng
    loop = asyncio.get_running_loop()
    while True:
        kill_at = loop.time() + rng.uniform(*KILLED_S)
        while loop.time() < kill_at:
            await asyncio.sleep(rng.uniform(*APART_PAUSE_S))
            in_step = _list_in_step(world)
            # One stays in step, as callers need one.
            if len(in_step) > 1:
                put = _put_out(release, rng.choice(in_step), rng.uniform(*APART_S))
                apart.add(asyncio.create_task(put))
        is_all = rng.random() < ALL_SHARE
        await _kill(release, world.gateways if is_all else _list_in_step(world), apart)


async def _join_newer(release: Release) -> None:
    """Have engines of one newer version after the other join, and older ones go."""
    world, rng = release.world, release.world.rng
    for number in itertools.count(3):
        newest = release.version
        await asyncio.sleep(rng.uniform(*BESIDE_S))
        versions = {r.software_version for r in list_engines(world)}
        for version in sorted(versions - {newest}):
            for replica in list_engines(world, version):
                await rng.choice([drain, leave, _vanish])(world, replica)
                await asyncio.sleep(rng.uniform(*LEAVE_S))
        await _join(release, number)


async def _join(release: Release, number: int) -> None:
    """Have engines of a newer version join, whose number is given."""
    world = release.world
    release.version = f"v{number}"
    for _ in range(NEW_ENGINES):
        await world.add_replica("lm", "decode")
        await asyncio.sleep(world.rng.uniform(*JOIN_S))


async def reset_engines(release: Release) -> None:
    """Reset all connections to one engine after the other."""
    world = release.world
    while True:
        await asyncio.sleep(world.rng.uniform(*RESET_S))
        engine = world.rng.choice(list_engines(world))
        world.replica_proxies[engine.lifetime].reset_all()


async def freeze(world: World, gateway: GatewayProcess, seconds: float) -> None:
    """Have a gateway stand still."""
    gateway.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        if gateway.process.returncode is None:
            gateway.process.send_signal(signal.SIGCONT)


async def cut_store(world: World, gateway: GatewayProcess, seconds: float) -> None:
    """Cut a gateway off from the store, one way or both."""
    proxy = world.store_proxies[gateway.name]
    proxy.cut = _choose_way(world.rng)
    try:
        await asyncio.sleep(seconds)
    finally:
        proxy.cut = ""


async def cut_peers(world: World, gateway: GatewayProcess, seconds: float) -> None:
    """Cut a gateway off from the others, one way or both."""
    cuts = world.switch.cuts
    cuts[gateway.name] = _choose_way(world.rng)
    heal = partial(cuts.pop, gateway.name, None)
    try:
        await asyncio.sleep(seconds)
        heal()
    except asyncio.CancelledError:
        # The cut outlasts the process that is killed.
        loop = asyncio.get_running_loop()
        loop.call_later(world.rng.uniform(*HEAL_S), heal)
        raise


async def cut_both(world: World, gateway: GatewayProcess, seconds: float) -> None:
    """Cut a gateway off from the store and from the others."""
    async with asyncio.TaskGroup() as group:
        group.create_task(cut_store(world, gateway, seconds))
        group.create_task(cut_peers(world, gateway, seconds))


WAYS: tuple[Apart, ...] = (freeze, cut_store, cut_peers, cut_both)
"""How gateways are put out of step."""


def _choose_way(rng: random.Random) -> str:
    return rng.choice(["in", "out", "both"])


def _list_in_step(world: World) -> list[GatewayProcess]:
    return [g for g in world.gateways if not g.lock.locked()]


async def _put_out(release: Release, gateway: GatewayProcess, seconds: float) -> None:
    world = release.world
    async with gateway.lock:
        release.serving.discard(gateway.name)
        put_out = world.rng.choice(WAYS)
        await put_out(world, gateway, seconds)
        await asyncio.sleep(SETTLE_S)
        if gateway.has_started():
            release.serving.add(gateway.name)


async def _kill(
    release: Release, killed: list[GatewayProcess], apart: set[asyncio.Task]
) -> None:
    """Kill gateways at the same moment; if all, those that are out of step too."""
    for gateway in killed:
        release.serving.discard(gateway.name)
        gateway.kill()
    if killed == release.world.gateways:
        await cancel_all(list(apart))
        apart.clear()
    async with asyncio.TaskGroup() as group:
        for gateway in killed:
            group.create_task(_start_again(release, gateway))


async def _start_again(release: Release, gateway: GatewayProcess) -> None:
    async with gateway.lock:
        await gateway.end(signal.SIGKILL)
        await asyncio.sleep(release.world.rng.uniform(*DOWN_S))
        await gateway.start()
        await await_gateway(gateway, release.serving)


async def _vanish(world: World, replica: SoakReplica) -> None:
    """Crash an engine for good; its entry lapses later, and another one comes."""
    replica.is_leaving = True
    await world.remove_replica(replica.lifetime)
    await world.add_replica(replica.service, replica.role)
    await asyncio.sleep(LAPSE_S)
    await world.store.put("keyed.servers", replica.lifetime, None)
