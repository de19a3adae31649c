"""How a gateway stops: it calls itself unready, takes nothing after a while, and ends.

The balancer needs a moment to send callers elsewhere. What it still sends is served as
long as it can end in time.
"""

import asyncio
import math
from collections.abc import Callable

from robinspindle.core.forwarding import STOPPING
from robinspindle.httpserver import CallerServer
from robinspindle.logs import Log

UNREADY_S = 2.8
"""How long a stopping gateway takes requests, seconds: the balancer asks once a second
and needs two misses; what is taken after three seconds would have to end in time."""

STOP_MARGIN_S = 0.4
"""How long before the kill a stopping gateway ends by itself, seconds."""


LAST_ANSWERS_S = 0.2
"""How long before its end a stopping gateway has given its last answers, seconds: they
need the way to their callers."""


class Stop:
    """The stop of one gateway, from its beginning to its end.

    Attributes:
        ended: Set when the process may end.
    """

    def __init__(
        self,
        callers: CallerServer,
        find_stop_s: Callable[[], float],
        log: Log,
    ):
        """Prepare the stop of a gateway that serves callers.

        Args:
            callers: Takes callers' requests.
            find_stop_s: Tells how long after the request to stop the process is killed,
                seconds.
            log: Takes log lines.
        """
        self.ended = asyncio.Event()
        self._callers = callers
        self._find_stop_s = find_stop_s
        self._log = log
        self._began_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the process was asked to stop."""
        return self._began_at is not None

    def begin(self, now: float) -> None:
        """Become unready; callers are still served."""
        if self._began_at is None:
            self._began_at = now
            self._callers.is_stopping = True
            self._log("stopping", busy=self._callers.count_busy())

    def find_answers_end(self) -> float:
        """Find when all answers have to have ended, steady seconds; inf if no stop."""
        if self._began_at is None:
            return math.inf
        return self._began_at + max(0.0, self._find_end_s() - LAST_ANSWERS_S)

    def is_too_late(self, at: float) -> bool:
        """Whether a request that came at a time, steady seconds, is not taken."""
        return self._began_at is not None and at - self._began_at > UNREADY_S

    def go_on(self, now: float) -> None:
        """Do what is due of the stop by now, steady seconds."""
        if self._began_at is None:
            return
        passed_s = now - self._began_at
        if passed_s >= UNREADY_S:
            self._callers.close_listener()
            self._callers.close_all()
            if self._callers.count_busy() == 0:
                self.ended.set()
        if now >= self.find_answers_end():
            count = self._callers.refuse_coming(STOPPING)
            if count:
                self._log("stopping before requests are whole", refused=count)
        if passed_s >= self._find_end_s():
            busy = self._callers.count_busy()
            self._log("stopping with requests under way", busy=busy)
            self.ended.set()

    def _find_end_s(self) -> float:
        """Find how long after the request to stop the process ends, seconds."""
        return self._find_stop_s() - STOP_MARGIN_S
