"""Turns new connections away while the event loop can't serve all of them."""

import math
from collections.abc import Callable

from prometheus_client import Counter

from robinspindle.core import acceptance
from robinspindle.core.acceptance import Acceptance
from robinspindle.logs import Log


class ConnectionLimit:
    """The limit on new connections of one gateway's callers."""

    def __init__(self, clock: Callable[[], float], log: Log, turned_away: Counter):
        """Begin without a limit.

        Args:
            clock: Tells the present time, monotonic seconds.
            log: Takes log lines.
            turned_away: Counts connections that were closed unread.
        """
        self._acceptance = Acceptance()
        self._clock = clock
        self._log = log
        self._turned_away = turned_away

    def take_connection(self) -> bool:
        """Take a new connection; returns whether it may be read."""
        is_taken = acceptance.take_connection(self._acceptance, self._clock())
        if not is_taken:
            self._turned_away.inc()
        return is_taken

    def note_tick(self, now: float, delay_s: float) -> None:
        """Adapt the limit to how much later than planned a tick comes, seconds."""
        before = self._acceptance.per_s
        acceptance.note_tick(self._acceptance, now, delay_s)
        after = self._acceptance.per_s
        if math.isinf(before) != math.isinf(after):
            self._log(
                "new connections limited" if math.isinf(before) else "limit ended",
                at=round(now, 4),
                delay_ms=round(delay_s * 1000),
                per_s=round(min(before, after), 1),
                turned_away=self._acceptance.turned_away,
            )
