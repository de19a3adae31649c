"""What became of requests that crash who runs them, and of the others beside them."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

LEAST_CRASHES = 3
"""Crashes after which gateways have to know a request."""

THIRD = 3
"""Of how many parts of a run the last is told apart."""


@dataclass
class CrashAccount:
    """Counts of one run.

    Attributes:
        crashes: When each body ended a target, event loop's seconds.
        sent: When each body reached a target to be run or read.
        statuses: What its callers got; 0 for a broken answer.
    """

    crashes: dict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    sent: dict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    statuses: dict[bytes, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )

    def count_late(
        self, body: bytes, seconds: float, known_crashes: int = LEAST_CRASHES
    ) -> int:
        """Count sendings over so many seconds after the crash by which all know."""
        times = self.crashes[body]
        if len(times) < known_crashes:
            return 0
        known_at = times[known_crashes - 1] + seconds
        return sum(at > known_at for at in self.sent[body])


@dataclass
class Share:
    """How many of the other callers' requests were served.

    Attributes:
        sent: Requests that ended.
        served: Those that got their whole answer.
    """

    sent: int = 0
    served: int = 0

    @property
    def value(self) -> float:
        """The share as a number; 0 if there were none."""
        return self.served / self.sent if self.sent else 0.0

    def __str__(self) -> str:
        """Write the share as a number."""
        return f"{self.value:.2f}" if self.sent else "none"


def count_served(outcomes: dict[str, Counter[int]]) -> Share:
    """Add up the outcomes of all kinds."""
    total = sum(outcomes.values(), Counter())
    return Share(total.total(), total[200])


def subtract(later: Share, earlier: Share) -> Share:
    """Find the share of a part of a run."""
    return Share(later.sent - earlier.sent, later.served - earlier.served)
