"""Tells callers that come back from new ones, by how long they will still wait.

An attempt does not say whether it is the first. Callers of one route begin with the
same patience, and who was refused comes back with what is left of it.
"""

from dataclasses import dataclass, field

RETURN_SHARE = 0.97
"""Who has less than this share of the longest patience that was seen comes back: the
way to the entry takes a few milliseconds, a refusal and the pause after it more than a
twentieth of any patience that was seen."""


@dataclass
class RetryDetector:
    """The longest patience of each route's callers.

    Attributes:
        longest_s: By route, seconds.
    """

    longest_s: dict[str, float] = field(default_factory=dict)

    def note(self, route: str, wait_s: float | None) -> bool:
        """Take note of an attempt and tell whether its caller comes back.

        Args:
            route: Its route.
            wait_s: How long its caller will wait, seconds; None if not told.
        """
        if wait_s is None:
            return False
        longest_s = max(wait_s, self.longest_s.get(route, 0.0))
        self.longest_s[route] = longest_s
        return wait_s < longest_s * RETURN_SHARE
