"""Checks whether a target's lifetime has ended, or only a connection to it broke.

Both look alike to whoever waits for an answer. A process that has ended leaves an
address at which nobody listens; one that runs accepts a connection.
"""

import asyncio
from enum import Enum

from robinspindle.core.targets import Target

CHECK_TIMEOUT_S = 0.25
"""Longest wait for the connection, seconds: many round trips. Behind a cut nothing is
received, which distinguishes it from an end."""


class LifetimeState(Enum):
    """What a check found."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


class LifetimeChecks:
    """Checks the lifetimes of targets, each once at a time.

    An engine that ends breaks dozens of connections at the same moment; one check
    answers for all of them.
    """

    def __init__(self):
        self._under_way: dict[str, asyncio.Task[LifetimeState]] = {}

    async def check(self, target: Target) -> LifetimeState:
        """Find out whether a target's lifetime has ended."""
        lifetime = target.announced.lifetime
        task = self._under_way.get(lifetime)
        if task is None:
            coroutine = _connect(target.announced.address)
            task = asyncio.get_running_loop().create_task(coroutine)
            self._under_way[lifetime] = task
            task.add_done_callback(lambda _: self._under_way.pop(lifetime, None))
        # Who leaves must not take the answer from the others.
        return await asyncio.shield(task)


async def _connect(address: str) -> LifetimeState:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return LifetimeState.ENDED
    except (OSError, TimeoutError):
        return LifetimeState.UNKNOWN
    writer.close()
    return LifetimeState.RUNNING
