"""Plays sound replicas that fall silent: ``python -m soak.silences --seed N``.

Each replica serves for a while, writes nothing for 0.5 to 2 s, and goes on where it
was; nothing else goes wrong. Configurations change every 0.8 s, or not at all, in turn.
"""

import argparse
import asyncio
import random
import sys
from pathlib import Path

from soak.ends import End, EndAccount, call_for_ends
from soak.oracle import Oracle
from soak.replicas import SoakReplica
from soak.seeds import add_seed_options, list_seeds
from soak.world import World, cancel_all, run_for

GATEWAYS = 2
CALLERS = 8
"""Callers of each gateway."""

READY_S = 20.0
"""Longest wait until all gateways serve, seconds."""

EVENT_S = 0.25
GAP_MS = 100
"""Time between two events of a stream, and the longest that is in time."""

SERVES_S = (1.0, 4.0)
SILENT_S = (0.5, 2.0)
"""Shortest and longest time for which a replica serves, and is silent, seconds."""

CHANGE_S = 0.8
APPLY_S = 2.0
AFTER_S = 1.0
"""Time between two changes; how long after its acknowledgement the older configuration
may be in force, and how much longer a change excuses nothing, seconds."""


async def play(seed: int, seconds: float, folder: Path) -> tuple[Oracle, EndAccount]:
    """Play one seed.

    Args:
        seed: Chooses what is asked, when replicas are silent and what changes.
        seconds: How long beside changes, and as long apart from them.
        folder: Where settings and logs go.

    Returns:
        What was seen, and how the requests ended.
    """
    rng = random.Random(seed)
    world = World(folder, rng, Oracle())
    world.prepare = _set_pace
    world.vary = lambda configuration: _vary(configuration, rng)
    account = EndAccount()
    await world.start(GATEWAYS)
    tasks: list[asyncio.Task] = []
    try:
        await _wait_until_ready(world)
        for replica in list(world.replicas.values()):
            tasks.append(asyncio.create_task(_fall_silent(replica, world)))
        for number in range(CALLERS * GATEWAYS):
            gateway = world.gateways[number % GATEWAYS]
            call = call_for_ends(gateway, world.oracle, account, rng, f"c{number}")
            tasks.append(asyncio.create_task(call))
        await _change(world, account, seconds)
        await run_for(seconds, tasks)
    finally:
        await cancel_all(tasks)
        await world.stop()
    return world.oracle, account


def _set_pace(replica: SoakReplica) -> None:
    replica.event_s = EVENT_S


def _vary(configuration: dict, rng: random.Random) -> None:
    """Change what an operator changes most: time-outs, weights and the idle limit."""
    for route in configuration["Routes"]:
        route["TimeoutMs"] = rng.choice([4000, 5000])
        route["TargetGapMs"] = GAP_MS
        if rng.random() < 0.5:
            service = route.pop("Service")
            weight = rng.choice([1.0, 2.0])
            route["Backends"] = [{"Service": service, "Weight": weight}]
    configuration["Limits"]["IdleTimeoutMs"] = rng.choice([5000, 15000])


async def _wait_until_ready(world: World) -> None:
    async with asyncio.timeout(READY_S):
        while not all(gateway.has_started() for gateway in world.gateways):
            await asyncio.sleep(0.05)
    # Until the configuration and the replicas' entries have been read.
    await asyncio.sleep(APPLY_S)


async def _fall_silent(replica: SoakReplica, world: World) -> None:
    rng = world.rng
    while True:
        await asyncio.sleep(rng.uniform(*SERVES_S))
        replica.speaks.clear()
        others = [r for r in world.replicas.values() if r.service == replica.service]
        if rng.random() < 0.5:
            rng.choice(others).behaviours.append("full")
        await asyncio.sleep(rng.uniform(*SILENT_S))
        replica.speaks.set()


async def _change(world: World, account: EndAccount, seconds: float) -> None:
    account.is_beside = True
    for _ in range(round(seconds / CHANGE_S)):
        await world.configure()
        await asyncio.sleep(CHANGE_S)
    await asyncio.sleep(APPLY_S + AFTER_S - CHANGE_S)
    account.is_beside = False


def main() -> int:
    """Play seeds and print how requests ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=12.0, help="of each half")
    args = parser.parse_args()
    failed = 0
    for seed, folder in list_seeds(args):
        oracle, account = asyncio.run(play(seed, args.seconds, folder))
        print(f"seed {seed}: {len(oracle.findings)} findings")
        for is_beside in (True, False):
            ends = {end.value: account.count(end, is_beside) for end in End}
            print(f"  {'beside' if is_beside else 'apart from'} changes: {ends}")
        print(f"  closed: {account.closed}", flush=True)
        failed += bool(account.closed or oracle.findings or account.count(End.WRONG))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
