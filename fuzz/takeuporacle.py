"""Plays gateways and streams that are taken up, and says what must not be."""

import asyncio
import random
from collections import Counter

from fuzz.takeupworld import TakeUpWorld

SECONDS = 60.0
GATEWAYS = (2, 5)
"""How long a seed is played, in virtual time; fewest and most gateways."""

STREAMS_PER_S = 12.0
RELEASE_S = (2.0, 15.0)
KILL_S = (2.0, 8.0)
CUT_S = (1.0, 6.0)
AWAY_S = (0.2, 6.0)
"""Times between two releases, kills and cuts; how long a cut lasts, seconds."""

ALL_SHARE = 0.4
"""Share of the kills that take all gateways at once."""

LEAST_SHARE = 0.5
FEWEST_TAKE_UPS = 12
"""Least share of the take-ups that go on, where there are so many."""


def play_take_ups(seed: int) -> tuple[str, ...]:
    """Play a seed; returns what was seen that must not be."""
    random.seed(seed)
    world = TakeUpWorld(seed)
    return world.play(_play(world))


async def _play(world: TakeUpWorld) -> tuple[str, ...]:
    _list_version(world, "v1")
    for _ in range(world.rng.randint(*GATEWAYS)):
        world.start_gateway()
    tasks = [asyncio.create_task(run(world)) for run in (_call, _release, _kill, _cut)]
    await asyncio.sleep(SECONDS)
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    for gateway in list(world.gateways):
        world.end_gateway(gateway)
    await asyncio.sleep(1.0)
    return judge(world)


def judge(world: TakeUpWorld) -> tuple[str, ...]:
    """Say what was seen that must not be."""
    faults = [
        f"begun at {one.began}, goes on at {one.found}"
        for one in world.take_ups
        if one.found not in ("", one.began)
    ]
    counted = [bool(one.found) for one in world.take_ups if one.counts]
    if len(counted) >= FEWEST_TAKE_UPS and sum(counted) < LEAST_SHARE * len(counted):
        faults.append(f"{sum(counted)} of {len(counted)} take-ups go on")
    return tuple(faults)


async def _call(world: TakeUpWorld) -> None:
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(world.rng.expovariate(STREAMS_PER_S))
            group.create_task(world.run_stream())


async def _release(world: TakeUpWorld) -> None:
    """Have targets of the next version serve beside those before, and then alone."""
    for number in range(2, 100):
        await asyncio.sleep(world.rng.uniform(*RELEASE_S))
        # Some releases are taken back.
        older = Counter(world.listed.versions.values()).most_common(1)[0][0]
        _list_version(world, f"v{number if world.rng.random() < 0.8 else number - 1}")
        await asyncio.sleep(world.rng.uniform(*RELEASE_S))
        if len(set(world.listed.versions.values())) > 1:
            _unlist_version(world, older)


def _list_version(world: TakeUpWorld, version: str) -> None:
    for _ in range(2):
        world.listed.versions[f"i{world.rng.getrandbits(40):x}"] = version


def _unlist_version(world: TakeUpWorld, version: str) -> None:
    versions = world.listed.versions
    for lifetime in [name for name, v in versions.items() if v == version]:
        del versions[lifetime]


async def _kill(world: TakeUpWorld) -> None:
    while True:
        await asyncio.sleep(world.rng.uniform(*KILL_S))
        is_all = world.rng.random() < ALL_SHARE
        killed = list(world.gateways) if is_all else [world.rng.choice(world.gateways)]
        for gateway in killed:
            world.end_gateway(gateway)
        await asyncio.sleep(world.rng.uniform(0.0, 0.5))
        for _ in killed:
            world.start_gateway()


async def _cut(world: TakeUpWorld) -> None:
    """Cut one gateway off from the store, from the others or from both for a while."""
    while True:
        await asyncio.sleep(world.rng.uniform(*CUT_S))
        gateway = world.find_ready()
        if gateway is not None:
            gateway.store.is_cut = world.rng.random() < 0.5
            gateway.is_mute = not gateway.store.is_cut or world.rng.random() < 0.5
            await asyncio.sleep(world.rng.uniform(*AWAY_S))
            gateway.store.is_cut = gateway.is_mute = False
