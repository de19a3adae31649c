"""What replicas say of themselves in a soak: that they leave, rest, or take little."""

import asyncio
from collections.abc import Awaitable, Callable

from soak.replicas import SoakReplica
from soak.world import World
from standins.replica import Refusal

LATE_S = (0.0, 3.0)
LEAVES_S = (2.0, 5.0)
NEVER_SHARE = 0.3
"""How late the entry of a leaving replica says so too; how long one that leaves stays,
seconds; the share of those whose entries never say so."""

RESTS = ("0", "0.2", "1", "1.5", "3", "3", "6", "-1", "soon", "")
ALL_REST = ("1.5", "3", "5")
BUSY_S = (0.05, 2.0)
UNMARKED_SHARE = 0.1
"""What one replica asks for, and what all of a role do, seconds as written; how long
they turn requests away, seconds; share of those that don't say that nothing ran."""

LIMITS_PER_S = (0.5, 5.0, 50.0)
LIMITED_S = (1.0, 4.0)
"""Limits on its request rate that a replica names, and for how long, seconds."""

SILENT_S = (0.3, 1.2)
"""How long a replica is silent, seconds; requests get second attempts meanwhile."""

AWAY_S = (0.0, 0.8)
OLD_S = (0.2, 1.5)
"""How long a replica is away that starts again, and how long an older entry stays,
seconds."""

SERVICES = {"": "push", "prefill": "lm", "decode": "lm"}
"""The roles, each with its service."""

MOST_OF_ROLE = 8
"""Replicas of a role beyond which no others are added."""

Report = Callable[[World], Awaitable[None]]


def find_rest_s(refusal: Refusal) -> float:
    """Find what rest a refusal asks for, seconds; 0 for none or for no number."""
    try:
        return max(0.0, *map(float, refusal.rests), 0.0)
    except ValueError:
        return 0.0


async def leave(world: World) -> None:
    """Have a replica say that it leaves, and replace it."""
    replica = _choose(world)
    if replica is not None:
        await _add_to_role(world, replica.role)
        await _say_leaving(world, replica)


async def leave_together(world: World) -> None:
    """Have all replicas of a role say that they leave, and replace them late."""
    role = world.rng.choice(list(SERVICES))
    leaving = [r for r in _list_staying(world) if r.role == role]
    async with asyncio.TaskGroup() as group:
        for replica in leaving:
            group.create_task(_say_leaving(world, replica))
        await asyncio.sleep(world.rng.uniform(*LEAVES_S) / 2)
        for _ in range(min(3, max(1, len(leaving)))):
            await _add_to_role(world, role)


async def rest(world: World) -> None:
    """Have a replica turn requests away for a while and ask for rest."""
    replica = _choose(world)
    if replica is not None:
        await _refuse(world, [replica], world.rng.choice(RESTS))


async def rest_together(world: World) -> None:
    """Have all replicas of a role do so at once."""
    role = world.rng.choice(list(SERVICES))
    replicas = [r for r in world.replicas.values() if r.role == role]
    await _refuse(world, replicas, world.rng.choice(ALL_REST))


async def name_limit(world: World) -> None:
    """Have a replica name a limit on its request rate for a while."""
    replica = _choose(world)
    if replica is not None:
        replica.limit_per_s = world.rng.choice(LIMITS_PER_S)
        await asyncio.sleep(world.rng.uniform(*LIMITED_S))
        replica.limit_per_s = None


async def fall_silent(world: World) -> None:
    """Have a replica write nothing for a while."""
    replica = _choose(world)
    if replica is not None:
        replica.speaks.clear()
        await asyncio.sleep(world.rng.uniform(*SILENT_S))
        replica.speaks.set()


async def restart(world: World) -> None:
    """Have a replica start again under its id, also one that leaves."""
    await world.await_replicas()
    id = world.rng.choice(list(world.replicas))
    await world.restart_replica(id, world.rng.uniform(*AWAY_S))


async def restart_and_recall(world: World) -> None:
    """The same, and have the entry of its earlier life come again for a while."""
    await world.await_replicas()
    id = world.rng.choice(list(world.replicas))
    older = world.describe(world.replicas[id])
    await world.restart_replica(id, world.rng.uniform(*AWAY_S))
    await world.store.put("keyed.servers", id, older)
    await asyncio.sleep(world.rng.uniform(*OLD_S))
    await _announce_again(world, id)


async def announce_ready(world: World) -> None:
    """Have late entries say of replicas that they are ready, also of leaving ones."""
    for id, replica in list(world.replicas.items()):
        await world.store.put("keyed.servers", id, world.describe(replica))
    await asyncio.sleep(world.rng.uniform(*OLD_S))
    for id in list(world.replicas):
        await _announce_again(world, id)


REPORTS: tuple[Report, ...] = (
    *(leave, rest, rest, rest, leave_together, rest_together, restart) * 2,
    *(name_limit, fall_silent, restart_and_recall, announce_ready),
)
"""What replicas may do; the more frequent ones several times."""


def _choose(world: World) -> SoakReplica | None:
    staying = _list_staying(world)
    return world.rng.choice(staying) if staying else None


def _list_staying(world: World) -> list[SoakReplica]:
    return [r for r in world.replicas.values() if not r.says_leaving]


async def _add_to_role(world: World, role: str) -> None:
    if sum(r.role == role for r in _list_staying(world)) < MOST_OF_ROLE:
        await world.add_replica(SERVICES[role], role)


async def _say_leaving(world: World, replica: SoakReplica) -> None:
    """Say so in all answers, later in the entry too; and then end that life."""
    replica.says_leaving = True
    rng, id = world.rng, replica.lifetime
    late_s, stays_s = rng.uniform(*LATE_S), rng.uniform(*LEAVES_S)
    is_told = rng.random() >= NEVER_SHARE
    await asyncio.sleep(min(late_s, stays_s))
    if is_told and world.replicas.get(id) is replica:
        replica.is_leaving = True
        await world.announce(replica, "draining")
    await asyncio.sleep(max(0.0, stays_s - late_s))
    # Under the same id another life may have begun.
    if world.replicas.get(id) is replica:
        await world.store.put("keyed.servers", id, None)
        await world.remove_replica(id)


async def _refuse(world: World, replicas: list[SoakReplica], text: str) -> None:
    is_marked = world.rng.random() >= UNMARKED_SHARE
    refusal = Refusal((text,) if text else (), is_marked=is_marked)
    for replica in replicas:
        replica.refusal = refusal
    await asyncio.sleep(world.rng.uniform(*BUSY_S))
    for replica in replicas:
        replica.refusal = None


async def _announce_again(world: World, id: str) -> None:
    replica = world.replicas.get(id)
    if replica is not None:
        await world.announce(replica, "draining" if replica.is_leaving else "ready")
