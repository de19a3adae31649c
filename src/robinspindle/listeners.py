"""Opens the ports of a process, and waits for those that another still holds."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from robinspindle.gatewaysettings import HostPort
from robinspindle.logs import Log

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
"""Shortest and longest pause before a port is tried again, seconds."""

LOG_INTERVAL_S = 10.0
"""How often it is logged that a port is still held, seconds."""


@dataclass(frozen=True)
class Listener:
    """What listens at one port.

    Attributes:
        name: What the port is for.
        address: The address.
        open: Opens it.
    """

    name: str
    address: HostPort
    open: Callable[[], Awaitable[None]]


@dataclass
class _Wait:
    since: float
    logged_at: float
    error: str
    is_over: asyncio.Event = field(default_factory=asyncio.Event)


class Listeners:
    """The ports of one process, open or waited for."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: Log,
        tell_waiting: Callable[[int], None] = lambda count: None,
    ):
        """Begin with no port.

        Args:
            clock: Tells the present time, monotonic seconds.
            log: Takes log lines.
            tell_waiting: Told how many ports are waited for, at each change.
        """
        self._clock = clock
        self._log = log
        self._tell_waiting = tell_waiting
        self._waits: dict[str, _Wait] = {}
        self._is_stopping = False

    @property
    def waiting(self) -> list[str]:
        """The names of the ports that are waited for."""
        return list(self._waits)

    async def wait_open(self, name: str) -> None:
        """Wait until a port that was tried is open."""
        wait = self._waits.get(name)
        if wait is not None:
            await wait.is_over.wait()

    def stop(self) -> None:
        """Open nothing more."""
        self._is_stopping = True

    async def try_open(self, listener: Listener) -> bool:
        """Open a port; returns whether nothing is left to do for it."""
        if self._is_stopping:
            return True
        try:
            await listener.open()
        except OSError as error:
            self._note_failure(listener, str(error))
            return False
        wait = self._waits.pop(listener.name, None)
        if wait is not None:
            self._tell_waiting(len(self._waits))
            wait.is_over.set()
            waited_s = round(self._clock() - wait.since, 3)
            self._log("port opened", port=listener.name, waited_s=waited_s)
        return True

    async def open_when_free(self, listener: Listener) -> None:
        """Try a port until it is open."""
        pause_s = FIRST_PAUSE_S
        while not await self.try_open(listener):
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    def _note_failure(self, listener: Listener, error: str) -> None:
        now = self._clock()
        wait = self._waits.get(listener.name)
        if wait is None:
            wait = self._waits[listener.name] = _Wait(now, now, error)
            self._tell_waiting(len(self._waits))
        elif error == wait.error and now - wait.logged_at < LOG_INTERVAL_S:
            return
        wait.logged_at, wait.error = now, error
        self._log(
            "port can't be opened yet",
            port=listener.name,
            address=f"{listener.address.host}:{listener.address.port}",
            error=error,
            waited_s=round(now - wait.since, 3),
        )
