"""The soak's own deployment: faults on replicas that overlap."""

import asyncio
import random

import pytest

from soak.crashes import crash_some
from soak.faults import harm_replica, replace_replica, write_garbage
from soak.oracle import Oracle
from soak.selfreporting import restart, restart_and_recall
from soak.world import World, cancel_all


def test_a_replica_that_crashes_while_it_leaves_does_not_come_back(tmp_path):
    """A soak ended with a KeyError: a replica that was being replaced had crashed, and
    was between two lives when it was to be taken away."""

    async def play():
        world = World(tmp_path, random.Random(1), Oracle())
        await world.start(0)
        try:
            replacing = asyncio.create_task(replace_replica(world, 0.0))
            leaving = None
            while leaving is None:
                await asyncio.sleep(0.01)
                leaving = next(
                    (r for r in world.replicas.values() if r.is_leaving), None
                )
            await asyncio.sleep(1.0)
            await world.restart_replica(leaving.lifetime, 2.0)
            await replacing
            assert leaving.lifetime not in world.replicas
            assert leaving.lifetime not in world.replica_proxies
        finally:
            await world.stop()

    asyncio.run(play())


PICKING = (
    harm_replica,
    replace_replica,
    write_garbage,
    lambda world, seconds: restart(world),
    lambda world, seconds: restart_and_recall(world),
    crash_some,
)
"""Faults that pick a replica."""

AWAY_S = 1.0


@pytest.mark.parametrize("fault", PICKING)
def test_a_fault_waits_for_a_replica_while_all_are_between_two_lives(fault, tmp_path):
    """A soak ended with a ValueError: all replicas had crashed within a second, and
    the next fault picked one of none."""

    async def play():
        world = World(tmp_path, random.Random(1), Oracle())
        await world.start(0)
        tasks = []
        try:
            for id in list(world.replicas):
                restarting = world.restart_replica(id, AWAY_S)
                tasks.append(asyncio.create_task(restarting))
            while world.replicas:
                await asyncio.sleep(0.01)
            tasks.append(asyncio.create_task(fault(world, 0.0)))
            await asyncio.sleep(AWAY_S + 0.5)
            assert world.replicas
            assert all(not task.done() or task.result() is None for task in tasks)
        finally:
            await cancel_all(tasks)
            await world.stop()

    asyncio.run(play())
