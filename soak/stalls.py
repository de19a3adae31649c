"""Whether a play's own process is run at all, as its callers' timers depend on it."""

import asyncio
import math

TICK_S = 0.05
STALL_S = 0.5
"""Interval at which it is looked whether this process is run, and how late that may
come, seconds: callers that are not run send late, and don't read their answers."""


class StallWatch:
    """Sees when this process has not been run for a while.

    Attributes:
        stalled_at: When that was seen last, loop seconds.
    """

    def __init__(self):
        self.stalled_at = -math.inf
        self._ticked_at = math.inf

    async def watch(self) -> None:
        """Look again and again, for as long as it plays."""
        while True:
            self.note_tick(asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_S)

    def note_tick(self, now: float) -> None:
        """Take note that this process runs."""
        if now - self._ticked_at > STALL_S:
            self.stalled_at = now
        self._ticked_at = now

    def has_stalled_since(self, then: float) -> bool:
        """Whether this process has stood still since a time, loop seconds."""
        self.note_tick(asyncio.get_running_loop().time())
        return self.stalled_at >= then
