"""The soak's own deployment: faults on one replica that overlap."""

import asyncio
import random

from soak.faults import replace_replica
from soak.oracle import Oracle
from soak.world import World


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
