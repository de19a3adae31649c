"""Calls that several callers share, where each needs one that began after it asked."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Result = TypeVar("Result")


class SharedCall(Generic[Result]):
    """Makes one call at a time; those that ask meanwhile share the next one."""

    def __init__(
        self,
        call: Callable[[], Awaitable[Result]],
        find_interval: Callable[[], float],
    ):
        """Take what to call, and what tells the least time between calls, seconds."""
        self._call = call
        self._find_interval = find_interval
        self._begun_at = -math.inf
        self._current: asyncio.Task[Result] | None = None
        self._next: asyncio.Task[Result] | None = None

    async def make(self) -> Result:
        """Make a call, or share one that has not begun yet.

        Raises:
            Exception: What the call raises.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._make_after(self._current))
        # The others wait on when one of those that share the call is cancelled.
        return await asyncio.shield(self._next)

    async def _make_after(self, earlier: asyncio.Task[Result] | None) -> Result:
        if earlier is not None:
            await asyncio.wait({earlier})
        loop = asyncio.get_running_loop()
        wait_s = self._begun_at + self._find_interval() - loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._begun_at = loop.time()
        self._current, self._next = self._next, None
        return await self._call()
