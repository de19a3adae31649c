"""Signals to a gateway's process, from its first instruction to its last.

It imports nothing slow, so that a process can hold its signals before it loads the
rest. Before the interpreter runs the first line of ours, signals have their default
effect.
"""

import signal
from collections.abc import Callable

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
HELD_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """The signals that came and were not acted on yet.

    Attributes:
        waiting: Their numbers, in the order in which they came.
        wake: Called after each one, inside the handler; None where nobody waits.
    """

    def __init__(self):
        self.waiting: list[int] = []
        self.wake: Callable[[], None] | None = None

    @property
    def ask_to_stop(self) -> bool:
        """Whether one of them asks the process to stop."""
        return not STOP_SIGNALS.isdisjoint(self.waiting)

    def note(self, number: int, frame: object = None) -> None:
        """Take note of a signal, as its handler."""
        self.waiting.append(number)
        if self.wake is not None:
            self.wake()

    def take(self) -> list[int]:
        """Take what waits, in the order in which it came."""
        taken: list[int] = []
        while self.waiting:
            taken.append(self.waiting.pop(0))
        return taken


_held = ProcessSignals()
"""Handlers belong to the process, and so does what they note."""


def hold_signals() -> ProcessSignals:
    """Have signals noted from now on, in place of their default effect."""
    for number in HELD_SIGNALS:
        signal.signal(number, _held.note)
    return _held


def ignore_signals() -> None:
    """Ignore all further signals: the process ends by itself.

    The interpreter gives handlers of Python code back their default effect as it ends.
    """
    for number in HELD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
