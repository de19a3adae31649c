"""Plays releases of engines while gateways die: ``python -m soak.versions --seed N``.

Engines of two software versions serve side by side; those of one are replaced by the
other, one after the other, and then the other way round. Gateways are killed in series
and overlapping. Callers take each broken stream up at another gateway.
"""

import argparse
import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from soak.gateways import GatewayProcess
from soak.oracle import Oracle
from soak.replicas import SoakReplica
from soak.resuming import call_streams
from soak.seeds import add_seed_options, list_seeds
from soak.versionaccount import Try, VersionAccount
from soak.world import World, cancel_all
from standins.replica import USUAL_VERSION

GATEWAYS = 3
CALLERS = 18
ENGINES = 6

VERSIONS = (USUAL_VERSION, "v2")

READY_S = 20.0
SETTLE_S = 1.5
"""Longest wait until a gateway serves; then how long until it has read the
configuration and entries, seconds."""

EVENTS = 8
EVENT_S = 0.15
"""Events of a whole stream, and the time between two, seconds."""

DRAIN_S = 1.0
SERVES_ON_S = 0.5
AWAY_S = (0.05, 0.5)
"""How long an engine serves on after it says that it leaves, or after its entry is
gone; how long a crashed one is away, seconds."""

PAUSE_S = (0.1, 1.0)
"""Time between the replacements of two engines, seconds."""

KILL_S = (0.4, 2.5)
DOWN_S = (0.0, 1.0)
"""Time between two kills, and between a kill and the next start, seconds."""


@dataclass
class Release:
    """A release of engines.

    Attributes:
        version: The version of engines that begin now.
    """

    version: str


async def play(seed: int, seconds: float, folder: Path) -> VersionAccount:
    """Play one seed.

    Args:
        seed: Chooses what is asked, which engines are replaced how, and who dies.
        seconds: How long.
        folder: Where settings and logs go.

    Returns:
        What became of the streams.
    """
    rng = random.Random(seed)
    world = World(folder, rng, Oracle())
    world.vary = _vary
    release = Release(VERSIONS[0])
    world.prepare = lambda replica: _prepare(replica, release.version)
    account, serving, tasks = VersionAccount(), set(), []
    await world.start(GATEWAYS)
    try:
        release.version = VERSIONS[1]
        for _ in range(ENGINES // 2):
            await world.add_replica("lm", "decode")
        for gateway in world.gateways:
            await _await_gateway(gateway, serving)
        for number in range(CALLERS):
            call = call_streams(world, account, serving, f"c{number}")
            tasks.append(asyncio.create_task(call))
        tasks.append(asyncio.create_task(_replace_engines(world, release)))
        tasks.append(asyncio.create_task(_kill_gateways(world, serving)))
        await asyncio.sleep(seconds)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        await cancel_all(tasks)
        await world.stop()
    return account


def _prepare(replica: SoakReplica, version: str) -> None:
    replica.software_version = version
    replica.tells_oracle = False
    replica.events = EVENTS
    replica.event_s = EVENT_S
    replica.born_ms = time.time_ns() // 1_000_000
    replica.began_at = asyncio.get_running_loop().time()


def _vary(configuration: dict) -> None:
    for route in configuration["Routes"]:
        route["TimeoutMs"] = 5000


async def _await_gateway(gateway: GatewayProcess, serving: set[str]) -> None:
    async with asyncio.timeout(READY_S):
        while not gateway.has_started():
            gateway.check()
            await asyncio.sleep(0.05)
    await asyncio.sleep(SETTLE_S)
    serving.add(gateway.name)


async def _replace_engines(world: World, release: Release) -> None:
    """Replace all engines of one version by the other, and then the other way round."""
    old, new = world.rng.sample(VERSIONS, 2)
    while True:
        release.version = new
        for replica in _list_engines(world, old):
            replace = world.rng.choice([_drain, _leave, _crash])
            await replace(world, replica)
            await asyncio.sleep(world.rng.uniform(*PAUSE_S))
        old, new = new, old


def _list_engines(world: World, version: str) -> list[SoakReplica]:
    engines = [r for r in world.replicas.values() if r.role == "decode"]
    return [r for r in engines if r.software_version == version]


async def _drain(world: World, replica: SoakReplica) -> None:
    replica.is_leaving = True
    await world.announce(replica, "draining")
    await world.add_replica(replica.service, replica.role)
    await asyncio.sleep(DRAIN_S)
    await world.store.put("keyed.servers", replica.lifetime, None)
    await world.remove_replica(replica.lifetime)


async def _leave(world: World, replica: SoakReplica) -> None:
    """Replace an engine that goes without having said so."""
    replica.is_leaving = True
    await world.add_replica(replica.service, replica.role)
    await world.store.put("keyed.servers", replica.lifetime, None)
    await asyncio.sleep(SERVES_ON_S)
    await world.remove_replica(replica.lifetime)


async def _crash(world: World, replica: SoakReplica) -> None:
    """Replace an engine by one under its id, in the midst of its streams."""
    await world.restart_replica(replica.lifetime, world.rng.uniform(*AWAY_S))


async def _kill_gateways(world: World, serving: set[str]) -> None:
    """Kill one gateway after the other, also while another one starts."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(world.rng.uniform(*KILL_S))
            # One gateway serves on, as callers need one.
            if len(serving) > 1:
                gateway = world.rng.choice([g for g in world.gateways if _is_sound(g)])
                group.create_task(_kill(gateway, world.rng, serving))


def _is_sound(gateway: GatewayProcess) -> bool:
    return not gateway.lock.locked()


async def _kill(gateway: GatewayProcess, rng: random.Random, serving: set[str]) -> None:
    async with gateway.lock:
        serving.discard(gateway.name)
        await gateway.end(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(*DOWN_S))
        await gateway.start()
        await _await_gateway(gateway, serving)


def main() -> int:
    """Play seeds and print what became of their streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=20.0, help="of each seed")
    args = parser.parse_args()
    failed = 0
    for seed, folder in list_seeds(args):
        account = asyncio.run(play(seed, args.seconds, folder))
        print(f"seed {seed}: {account.streams} streams, of two versions:")
        print(f"  {len(account.mixed)} {account.mixed}")
        for kind in Try:
            done, tries = account.successes[kind], account.tries[kind]
            found = {s: n for (k, s), n in account.statuses.items() if k is kind}
            print(f"  {kind}: {done} of {tries} get an event; answers: {found}")
        print(f"  logs: {folder}", flush=True)
        failed += bool(account.mixed or account.loses_streams())
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
