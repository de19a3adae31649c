"""Waits until gateways do what they must after faults."""

import asyncio
import random

from soak.callers import ask_route, call_on
from soak.gateways import GatewayProcess
from soak.world import World, name_newest

START_S = 20.0
"""Longest wait until all gateways serve, at the start and after the faults, seconds."""

NOT_FOUND = 404


async def wait_until_all_serve(world: World, when: str) -> None:
    """Wait until each gateway answers; a finding for each that does not in time.

    Args:
        world: The deployment.
        when: Names the moment in findings.
    """
    for gateway in world.gateways:
        name = f"{when}-{gateway.name}"
        probe = call_on(gateway, world.oracle, random.Random(0), name, world.keys)
        task = asyncio.create_task(probe)
        try:
            async with asyncio.timeout(START_S):
                while not world.oracle.was_served(name):
                    gateway.check()
                    await asyncio.sleep(0.05)
        except TimeoutError:
            world.oracle.findings.append(f"{gateway.name} does not serve at the {when}")
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def wait_until_all_know_the_newest(world: World) -> None:
    """Wait until each gateway knows the newest configuration; else a finding."""
    route = name_newest(world.version)
    for gateway in world.gateways:
        try:
            async with asyncio.timeout(START_S):
                tries = 0
                while await _is_unknown(world, gateway, route, tries):
                    tries += 1
                    await asyncio.sleep(0.05)
        except TimeoutError:
            text = f"{gateway.name} does not know version {world.version} at the end"
            world.oracle.findings.append(text)


async def _is_unknown(
    world: World, gateway: GatewayProcess, route: str, tries: int
) -> bool:
    id = f"newest-{gateway.name}-{tries}"
    return await ask_route(gateway, world.oracle, id, route) in (0, NOT_FOUND)
