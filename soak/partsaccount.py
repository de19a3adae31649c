"""What became of prompts with a part that crashes targets, and of those beside them."""

import copy
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from soak.crashaccount import Share

KNOWN_CRASHES = 5
"""Crashes after which gateways have to know a part."""

CONTACT_S = 3.0
"""Time after which a gateway in touch has to know what others know, seconds."""

PROMPTED = ("chat", "digest")
"""Kinds of requests that have a prompt."""

Outcomes = dict[str, Counter[int]]


@dataclass
class PartsAccount:
    """Counts of one run.

    Attributes:
        crashes: When each part ended a target, event loop's seconds.
        sent: When a request with each part reached a target to be run or read.
        statuses: What the callers of such requests got; 0 for a broken answer.
        looks: The outcomes of sound requests by the time at which they were looked at.
    """

    crashes: dict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    sent: dict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    statuses: Counter[int] = field(default_factory=Counter)
    looks: list[tuple[float, Outcomes]] = field(default_factory=list)

    def look(self, now: float, outcomes: Outcomes) -> None:
        """Keep the outcomes of sound requests so far."""
        self.looks.append((now, copy.deepcopy(dict(outcomes))))

    def find_known_at(self, part: bytes) -> float | None:
        """Find when a part had ended as many targets as are allowed, or its last."""
        times = self.crashes[part][:KNOWN_CRASHES]
        return times[-1] if times else None

    def count_late(self, part: bytes) -> int:
        """Count requests with a part that reached targets though all had to know it."""
        times = self.crashes[part]
        if len(times) < KNOWN_CRASHES:
            return 0
        known_at = times[KNOWN_CRASHES - 1] + CONTACT_S
        return sum(at > known_at for at in self.sent[part])

    def find_share(self, kinds: tuple[str, ...], since: float, until: float) -> Share:
        """Find how many sound requests of some kinds were served in a span of time."""
        inside = [outcomes for at, outcomes in self.looks if since <= at <= until]
        if len(inside) < 2:
            return Share()
        ends = [_count(outcomes, kinds) for outcomes in (inside[0], inside[-1])]
        return Share(ends[1].sent - ends[0].sent, ends[1].served - ends[0].served)


def _count(outcomes: Outcomes, kinds: tuple[str, ...]) -> Share:
    total = sum((outcomes.get(kind, Counter()) for kind in kinds), Counter())
    return Share(total.total(), total[200])
