"""Plays gateways and streams that are taken up, and says what must not be."""

import asyncio
import math
import random
from collections import Counter

from fuzz.takeupworld import (
    BACK_S,
    LATE_SHARE,
    LIMIT_S,
    LOST_SHARE,
    READ_S,
    FuzzGateway,
    TakeUpWorld,
)
from robinspindle.core.versionrecords import (
    FORGET_MARGIN_S,
    RETIRE_AFTER_S,
    STREAM_TIME_LIMITS,
)

SECONDS = 60.0
GATEWAYS = (2, 5)
"""How long a seed is played, in virtual time; fewest and most gateways."""

STREAMS_PER_S = 12.0
RELEASE_S = (2.0, 15.0)
KILL_S = (2.0, 8.0)
APART_S = (0.5, 4.0)
AWAY_S = (0.2, 6.0)
"""Times between two releases, between two kills, and until the next gateway is out of
step; how long one is; seconds."""

JOIN_S = (0.0, 0.5)
SERVED_S = (1.0, 4.0)
FIRST_AWAY_S = (4.0, 8.0)
"""From when a gateway is out of step until the first newer version comes, how long that
serves before the other gateways are killed, and how long it all lasts, seconds."""

TROUBLE_S = (3.0, 15.0)
MANY = 0.8
"""Time between two troubles of the store; share that it loses, or holds up, then."""

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
    calls = asyncio.create_task(_call(world))
    await _meet_first_release(world)
    tasks = [asyncio.create_task(run(world)) for run in _RUNS]
    await asyncio.sleep(SECONDS)
    for task in (calls, *tasks):
        if task.done():
            task.result()
        task.cancel()
    for gateway in list(world.gateways):
        world.end_gateway(gateway)
    await asyncio.sleep(1.0)
    return judge(world)


def play_long_cut(seed: int) -> tuple[str, ...]:
    """Play a gateway that loses the store alone, with the older targets, for long.

    The others hear it; they know the newer version alone once its record is dropped.
    """
    random.seed(seed)
    world = TakeUpWorld(seed)
    return world.play(_play_long_cut(world))


async def _play_long_cut(world: TakeUpWorld) -> tuple[str, ...]:
    _list_version(world, "v1")
    for _ in range(GATEWAYS[1]):
        world.start_gateway()
    await asyncio.sleep(READ_S[1] + 1.0)
    cut = asyncio.create_task(_cut_store(world, world.gateways[0], math.inf))
    _list_version(world, "v2")
    await asyncio.sleep(READ_S[1] + 1.0)
    _unlist_version(world, "v1")
    kept_s = STREAM_TIME_LIMITS * LIMIT_S + FORGET_MARGIN_S
    await asyncio.sleep(RETIRE_AFTER_S + kept_s + 2 * READ_S[1])
    calls = asyncio.create_task(_call(world))
    await asyncio.sleep(LIMIT_S)
    await _kill_gateways(world, list(world.gateways))
    await asyncio.sleep(READ_S[1] + BACK_S[1])
    calls.cancel()
    cut.cancel()
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


async def _meet_first_release(world: TakeUpWorld) -> None:
    """Have a second version come while a gateway is out of step; the others die."""
    await asyncio.sleep(READ_S[1])
    gateway = world.rng.choice(world.gateways)
    await asyncio.sleep(world.rng.uniform(*JOIN_S))
    async with asyncio.TaskGroup() as group:
        put_out = world.rng.choice(_WAYS)
        group.create_task(put_out(world, gateway, world.rng.uniform(*FIRST_AWAY_S)))
        await asyncio.sleep(world.rng.uniform(*JOIN_S))
        _list_version(world, "v2")
        await asyncio.sleep(world.rng.uniform(*SERVED_S))
        await _kill_gateways(world, [g for g in world.gateways if g is not gateway])


async def _release(world: TakeUpWorld) -> None:
    """Have targets of the next version serve beside those before, and then alone."""
    for number in range(3, 100):
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
        await _kill_gateways(world, killed)


async def _kill_gateways(world: TakeUpWorld, killed: list[FuzzGateway]) -> None:
    for gateway in killed:
        world.end_gateway(gateway)
    await asyncio.sleep(world.rng.uniform(0.0, 0.5))
    for _ in killed:
        world.start_gateway()


async def _trouble_store(world: TakeUpWorld) -> None:
    """Have the store lose many writes, or hold many answers up."""
    store = world.store
    while True:
        await asyncio.sleep(world.rng.uniform(*TROUBLE_S))
        if world.rng.random() < 0.5:
            store.lost_share = MANY
        else:
            store.late_share = MANY
        await asyncio.sleep(world.rng.uniform(*AWAY_S))
        store.lost_share, store.late_share = LOST_SHARE, LATE_SHARE


async def _put_out_of_step(world: TakeUpWorld) -> None:
    """Have gateways stand still, or cut them off; also several at once."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(world.rng.uniform(*APART_S))
            gateway = world.find_ready()
            if gateway is not None:
                put_out = world.rng.choice(_WAYS)
                seconds = world.rng.uniform(*AWAY_S)
                group.create_task(put_out(world, gateway, seconds))


async def _freeze(world: TakeUpWorld, gateway: FuzzGateway, seconds: float) -> None:
    gateway.freeze()
    await asyncio.sleep(seconds)
    gateway.thaw()


async def _cut_store(world: TakeUpWorld, gateway: FuzzGateway, seconds: float) -> None:
    gateway.store.cut = world.rng.choice(_CUTS)
    await asyncio.sleep(seconds)
    gateway.store.cut = ""


async def _cut_peers(world: TakeUpWorld, gateway: FuzzGateway, seconds: float) -> None:
    gateway.cut = world.rng.choice(_CUTS)
    await asyncio.sleep(seconds)
    gateway.cut = ""


async def _cut_both(world: TakeUpWorld, gateway: FuzzGateway, seconds: float) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_cut_store(world, gateway, seconds))
        group.create_task(_cut_peers(world, gateway, seconds))


_CUTS = ("in", "out", "both")
_WAYS = (_freeze, _cut_store, _cut_peers, _cut_both)

_RUNS = (_release, _kill, _put_out_of_step, _trouble_store)
