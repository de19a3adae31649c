"""What became of prompts with a part that crashes targets, and of those beside them."""

import copy
from collections import Counter
from dataclasses import dataclass, field

from soak.crashaccount import CrashAccount, Share, count_served, subtract

KNOWN_CRASHES = 5
"""Crashes after which gateways have to know a part."""

CONTACT_S = 3.0
"""Time after which a gateway in touch has to know what others know, seconds."""

PROMPTED = ("chat", "digest")
"""Kinds of requests that have a prompt."""

Outcomes = dict[str, Counter[int]]


@dataclass
class PartsAccount(CrashAccount):
    """Counts of one run, by the part that crashes targets.

    Attributes:
        looks: The outcomes of sound requests by the time at which they were looked at.
    """

    looks: list[tuple[float, Outcomes]] = field(default_factory=list)

    def look(self, now: float, outcomes: Outcomes) -> None:
        """Keep the outcomes of sound requests so far."""
        self.looks.append((now, copy.deepcopy(dict(outcomes))))

    def find_known_at(self, part: bytes) -> float | None:
        """Find when a part had ended as many targets as are allowed, or its last."""
        times = self.crashes[part][:KNOWN_CRASHES]
        return times[-1] if times else None

    def count_too_late(self, part: bytes) -> int:
        """Count requests with a part that reached targets though all had to know it."""
        return self.count_late(part, CONTACT_S, KNOWN_CRASHES)

    def find_share(self, kinds: tuple[str, ...], since: float, until: float) -> Share:
        """Find how many sound requests of some kinds were served in a span of time."""
        inside = [outcomes for at, outcomes in self.looks if since <= at <= until]
        if len(inside) < 2:
            return Share()
        first, last = (_choose(outcomes, kinds) for outcomes in (inside[0], inside[-1]))
        return subtract(count_served(last), count_served(first))


def _choose(outcomes: Outcomes, kinds: tuple[str, ...]) -> Outcomes:
    return {kind: found for kind, found in outcomes.items() if kind in kinds}
