"""An event loop in virtual time: who sleeps costs nothing, and runs repeat exactly."""

import asyncio
import selectors
from collections.abc import Coroutine


class VirtualSelector(selectors.SelectSelector):
    """A selector that lets time pass in place of waiting.

    Attributes:
        now: The present time, seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None):
        """Let the time pass for which it would be waited."""
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now += max(0.0, timeout)
        return []


def run_virtually(make: "Coroutine", selector: VirtualSelector):
    """Run a coroutine to its end in virtual time."""
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(make)
