"""Detects retries of callers after a refusal by the time they will still wait.

A request does not say whether it is the caller's first attempt. Callers of one route
start with the same timeout, and a caller that was refused retries with the rest of it.
"""

from dataclasses import dataclass, field

RETRY_TIMEOUT_SHARE = 0.97
"""An attempt whose caller waits for less than this share of the longest timeout of its
route is a retry: a refusal and the delay before the retry take more of the timeout than
the network delay to the gateway does."""


@dataclass
class RetryDetector:
    """The longest timeout of the callers of each route.

    Attributes:
        longest_s: The longest timeout by route, seconds.
    """

    longest_s: dict[str, float] = field(default_factory=dict)

    def note(self, route: str, timeout_s: float | None) -> bool:
        """Record a caller's attempt and check whether it is a retry.

        Args:
            route: Its route.
            timeout_s: How long its caller will wait, seconds; None if not given.

        Returns:
            Whether the caller retries after a refusal.
        """
        if timeout_s is None:
            return False
        longest_s = max(timeout_s, self.longest_s.get(route, 0.0))
        self.longest_s[route] = longest_s
        return timeout_s < longest_s * RETRY_TIMEOUT_SHARE
