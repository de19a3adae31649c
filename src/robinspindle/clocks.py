"""The one clock of a gateway, and the event loop that keeps to it.

It counts the time in which the VM was suspended, as leases, deadlines and the age of
beliefs do for everybody else.
"""

import asyncio
import selectors
import time
from collections.abc import Callable

from robinspindle.core.pauses import (
    ClockReadings,
    Pause,
    detect_long_turn,
    detect_pause,
)


def read_steady() -> float:
    """Read the steady clock that counts suspension, seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_clocks() -> ClockReadings:
    """Read the clock that counts suspension, and the one that does not."""
    return ClockReadings(read_steady(), time.monotonic())


class PauseWatch:
    """Tells of pauses before anything else is done after them, and of long turns.

    Attributes:
        note: Told each pause, on the event loop.
        note_long_turn: Told the seconds of each turn of the loop that was long.
    """

    def __init__(self, read: Callable[[], ClockReadings] = read_clocks):
        self.note: Callable[[Pause], None] = lambda pause: None
        self.note_long_turn: Callable[[float], None] = lambda seconds: None
        self._read = read
        self._before: ClockReadings | None = None

    def begin_wait(self) -> None:
        """Look at the clocks before the loop waits."""
        now = self._read()
        if self._before is not None:
            # What was suspended while the loop was at work counts too.
            self._tell(detect_pause(self._before, now, None))
            self._tell_turn(detect_long_turn(self._before, now))
        self._before = now

    def end_wait(self, asked_s: float | None) -> None:
        """Look at them after it, before what came is looked at.

        Args:
            asked_s: How long the wait was to last, seconds; None for no limit.
        """
        now = self._read()
        before, self._before = self._before, now
        if before is not None:
            self._tell(detect_pause(before, now, asked_s))

    def _tell(self, pause: Pause | None) -> None:
        if pause is not None:
            self.note(pause)

    def _tell_turn(self, seconds: float | None) -> None:
        if seconds is not None:
            self.note_long_turn(seconds)


class WatchedSelector(selectors.DefaultSelector):
    """A selector whose waits are watched."""

    def __init__(self, watch: PauseWatch):
        super().__init__()
        self._watch = watch

    def select(self, timeout: float | None = None):
        """Wait for events, and tell of a pause before they are handled."""
        self._watch.begin_wait()
        events = super().select(timeout)
        self._watch.end_wait(timeout)
        return events


def make_loop(watch: PauseWatch) -> asyncio.AbstractEventLoop:
    """Make an event loop whose timers count suspension, and whose waits are watched."""
    loop = asyncio.SelectorEventLoop(WatchedSelector(watch))
    loop.time = read_steady
    return loop
