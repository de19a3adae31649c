"""Calls that several callers share, where each needs one that began after it asked."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Result = TypeVar("Result")


class SharedCall(Generic[Result]):
    """Makes one call at a time; those that ask meanwhile share the next one."""

    def __init__(self, call: Callable[[], Awaitable[Result]]):
        self._call = call
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
        self._current, self._next = self._next, None
        return await self._call()
