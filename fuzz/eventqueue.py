"""What happens in virtual time, in the order of its times."""

from collections.abc import Callable
from heapq import heappop, heappush


class EventQueue:
    """Events to come, and the time.

    Attributes:
        now: The present time, seconds.
    """

    def __init__(self, now: float = 0.0):
        self.now = now
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = 0

    def take_number(self) -> int:
        """Take a number that no event has."""
        self._numbers += 1
        return self._numbers

    def add(self, delay_s: float, act: Callable[[], None]) -> None:
        """Have something happen after a delay, seconds; at one time in their order."""
        heappush(self._events, (self.now + delay_s, self.take_number(), act))

    def run(self, until: float) -> None:
        """Let all happen that is due until a time; the time is that of the last."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heappop(self._events)
            act()
