"""Tells whether a target's life is over, or only a connection to it broke.

Both look alike to whoever waits for an answer. A process that has ended leaves an
address at which nobody listens; one that lives takes a connection.
"""

import asyncio
from enum import Enum

from robinspindle.core.targets import Target

CHECK_TIMEOUT_S = 0.25
"""Longest wait for the connection, seconds: many round trips. A cut says nothing, and
is told apart from an end by that."""


class Life(Enum):
    """What a check found."""

    GOES_ON = "goes on"
    OVER = "over"
    UNKNOWN = "unknown"


class LifeChecks:
    """Checks the lives of targets, each once at a time.

    An engine that ends breaks dozens of connections at the same moment; one check
    answers for all of them.
    """

    def __init__(self):
        self._under_way: dict[str, asyncio.Task[Life]] = {}

    async def check(self, target: Target) -> Life:
        """Find out whether a target's life is over."""
        lifetime = target.announced.lifetime
        task = self._under_way.get(lifetime)
        if task is None:
            coroutine = _connect(target.announced.address)
            task = asyncio.get_running_loop().create_task(coroutine)
            self._under_way[lifetime] = task
            task.add_done_callback(lambda _: self._under_way.pop(lifetime, None))
        # Who leaves must not take the answer from the others.
        return await asyncio.shield(task)


async def _connect(address: str) -> Life:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Life.OVER
    except (OSError, TimeoutError):
        return Life.UNKNOWN
    writer.close()
    return Life.GOES_ON
