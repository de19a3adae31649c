"""Harm that is done to engines of two software versions and to gateways."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import cycle

from soak.gateways import GatewayProcess
from soak.replicas import SoakReplica
from soak.world import World
from standins.replica import USUAL_VERSION

VERSIONS = (USUAL_VERSION, "v2")

READY_S = 20.0
SETTLE_S = 1.5
"""Longest wait until a gateway serves; then how long until it has read the
configuration and entries, seconds."""

DRAIN_S = 1.0
SERVES_ON_S = 0.5
AWAY_S = (0.05, 0.5)
"""How long an engine serves on after it says that it leaves, or after its entry is
gone; how long a crashed one is away, seconds."""

PAUSE_S = (0.1, 1.0)
CRASH_PAUSE_S = (0.3, 1.0)
"""Time between the replacements of two engines, and between two crashes, seconds."""

KILL_S = (0.4, 2.5)
ALL_KILLED_S = (3.0, 5.0)
DOWN_S = (0.0, 1.0)
"""Time between two kills; from when all gateways serve until all are killed; between a
kill and the next start; seconds."""

ROLE_CHANGE_S = 0.5
PREFILLING_S = 5.0
GENERATING_S = 1.0
"""How long an engine takes to change its role; how long no engine of one version is
let generate but by orders; how long all do before, seconds."""


def prepare_engine(
    replica: SoakReplica, version: str, events: int, event_s: float
) -> None:
    """Have an engine, before it listens, write streams of a software version.

    Args:
        replica: The engine.
        version: The version.
        events: Number of events of a stream.
        event_s: Time between two of them, seconds.
    """
    replica.software_version = version
    replica.tells_oracle = False
    replica.events = events
    replica.event_s = event_s
    replica.born_ms = time.time_ns() // 1_000_000
    replica.began_at = asyncio.get_running_loop().time()


@dataclass
class Release:
    """A release of engines.

    Attributes:
        world: The deployment.
        version: The version of engines that begin now.
        serving: Names of the gateways that are sound.
    """

    world: World
    version: str = VERSIONS[0]
    serving: set[str] = field(default_factory=set)


async def await_gateway(gateway: GatewayProcess, serving: set[str]) -> None:
    """Wait until a gateway serves, and note that it does.

    Args:
        gateway: The gateway.
        serving: Names of the gateways that are sound; updated.

    Raises:
        TimeoutError: It doesn't serve in time.
    """
    async with asyncio.timeout(READY_S):
        while not gateway.has_started():
            gateway.check()
            await asyncio.sleep(0.05)
    await asyncio.sleep(SETTLE_S)
    serving.add(gateway.name)


async def replace_engines(release: Release) -> None:
    """Replace all engines of one version by the other, and then the other way round."""
    world = release.world
    old, new = world.rng.sample(VERSIONS, 2)
    while True:
        release.version = new
        for replica in list_engines(world, old):
            replace = world.rng.choice([drain, leave, _crash])
            await replace(world, replica)
            await asyncio.sleep(world.rng.uniform(*PAUSE_S))
        old, new = new, old


async def revert_engines(release: Release) -> None:
    """Crash engines that are back under their ids with the other version."""
    world = release.world
    for old, new in cycle([VERSIONS, VERSIONS[::-1]]):
        release.version = new
        await _crash(world, world.rng.choice(list_engines(world, old)))
        await asyncio.sleep(world.rng.uniform(*CRASH_PAUSE_S))


async def take_generating(release: Release) -> None:
    """Have all engines of one version prefill only, and then those of the other.

    An engine that is ordered to generate again does.
    """
    world = release.world
    async with asyncio.TaskGroup() as group:
        for replica in world.replicas.values():
            replica.take_role = _make_role_taker(world, replica, group)
        for version in cycle(VERSIONS):
            await asyncio.sleep(GENERATING_S)
            engines = list_engines(world, version)
            for replica in engines:
                await _give_role(world, replica, "prefill")
            await asyncio.sleep(PREFILLING_S)
            for replica in engines:
                await _give_role(world, replica, "decode")


async def kill_gateways(release: Release) -> None:
    """Kill one gateway after the other, also while another one starts."""
    world, serving = release.world, release.serving
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(world.rng.uniform(*KILL_S))
            # One gateway serves on, as callers need one.
            if len(serving) > 1:
                gateway = world.rng.choice([g for g in world.gateways if _is_sound(g)])
                group.create_task(_kill(gateway, world.rng, serving))


async def kill_all_gateways(release: Release) -> None:
    """Kill all gateways at once, again and again."""
    while True:
        await asyncio.sleep(release.world.rng.uniform(*ALL_KILLED_S))
        async with asyncio.TaskGroup() as group:
            for gateway in release.world.gateways:
                kill = _kill(gateway, release.world.rng, release.serving)
                group.create_task(kill)


def list_engines(world: World, version: str | None = None) -> list[SoakReplica]:
    """List the engines that generate, those of one version or of all."""
    engines = [r for r in world.replicas.values() if r.role == "decode"]
    return [r for r in engines if version in (None, r.software_version)]


async def drain(world: World, replica: SoakReplica) -> None:
    """Replace an engine that says that it leaves."""
    replica.is_leaving = True
    await world.announce(replica, "draining")
    await world.add_replica(replica.service, replica.role)
    await asyncio.sleep(DRAIN_S)
    await world.store.put("keyed.servers", replica.lifetime, None)
    await world.remove_replica(replica.lifetime)


async def leave(world: World, replica: SoakReplica) -> None:
    """Replace an engine that goes without having said so."""
    replica.is_leaving = True
    await world.add_replica(replica.service, replica.role)
    await world.store.put("keyed.servers", replica.lifetime, None)
    await asyncio.sleep(SERVES_ON_S)
    await world.remove_replica(replica.lifetime)


async def _crash(world: World, replica: SoakReplica) -> None:
    """Replace an engine by one under its id, in the midst of its streams."""
    await world.restart_replica(replica.lifetime, world.rng.uniform(*AWAY_S))


def _make_role_taker(
    world: World, replica: SoakReplica, group: asyncio.TaskGroup
) -> Callable[[str], None]:
    """Make what has an engine follow orders to change its role."""

    async def follow(role: str) -> None:
        await asyncio.sleep(ROLE_CHANGE_S)
        await _give_role(world, replica, role)

    return lambda role: group.create_task(follow(role))


async def _give_role(world: World, replica: SoakReplica, role: str) -> None:
    replica.role = role
    await world.announce(replica)


def _is_sound(gateway: GatewayProcess) -> bool:
    return not gateway.lock.locked()


async def _kill(gateway: GatewayProcess, rng: random.Random, serving: set[str]) -> None:
    async with gateway.lock:
        serving.discard(gateway.name)
        await gateway.end(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(*DOWN_S))
        await gateway.start()
        await await_gateway(gateway, serving)


Harm = Callable[[Release], Awaitable[None]]
"""What does harm until it is cancelled."""
