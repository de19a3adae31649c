"""Ensures that prompts of each size class get a minimum share of service in overload.

A request that cannot begin before its deadline is queued behind all that can. A large
prompt meets its deadline less often than a small one, so under lasting overload the
large ones alone would suffer: they would wait behind all newer requests until their
callers time out, or be refused because of that wait. A size class whose share of served
requests is too far below that of its route is therefore underserved: its next prompt
keeps the priority of its route's rank, as if it met its deadline.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.sizeclasses import find_size_class

MIN_FAIR_SHARE = 0.6
"""Minimum ratio of the served share of a size class to that of its route. Each class is
owed a ratio of 0.5; the limit is only a little higher, as serving underserved classes
costs the others some of their time."""

WINDOW_S = 20.0
"""Time constant of the counts, seconds: about the duration of an overload, so that
requests served before it do not hide a class that is not served now."""

PRIOR_REQUESTS = 2.0
"""Number of assumed requests per class that were served at the rate of the route. Each
gateway sees few large prompts: without this prior, the first one at each gateway would
count as underserved."""


@dataclass
class ServedCounts:
    """Recent requests, as exponentially decayed counts.

    Attributes:
        asked: All requests.
        served: Requests that were served, or are planned to be.
        at: When the counts were last updated, monotonic seconds.
    """

    asked: float = 0.0
    served: float = 0.0
    at: float = 0.0


@dataclass
class SizeFairness:
    """Outcomes of recent requests, as one gateway saw them.

    Attributes:
        routes: Counts by route.
        classes: Counts by route and by the maximum tokens of the size class.
    """

    routes: dict[str, ServedCounts] = field(default_factory=dict)
    classes: dict[tuple[str, int], ServedCounts] = field(default_factory=dict)


def note_arrival(fairness: SizeFairness, now: float, route: str, tokens: int) -> None:
    """Record a request whose prompt has this many tokens."""
    for counts in _find_counts(fairness, now, route, tokens):
        counts.asked += 1.0


def note_served(fairness: SizeFairness, now: float, route: str, tokens: int) -> None:
    """Record that a request is served."""
    for counts in _find_counts(fairness, now, route, tokens):
        counts.served += 1.0


def note_not_served(
    fairness: SizeFairness, now: float, route: str, tokens: int
) -> None:
    """Record that a request which was counted as served was not."""
    for counts in _find_counts(fairness, now, route, tokens):
        counts.served = max(0.0, counts.served - 1.0)


def is_underserved(fairness: SizeFairness, now: float, route: str, tokens: int) -> bool:
    """Check whether prompts of this length are underserved.

    Args:
        fairness: Outcomes of recent requests.
        now: The current time, monotonic seconds.
        route: The route of a request whose arrival was recorded.
        tokens: Tokens of its prompt.
    """
    route_counts, class_counts = _find_counts(fairness, now, route, tokens)
    if route_counts.asked <= 0.0:
        return False
    rate = route_counts.served / route_counts.asked
    served = class_counts.served + PRIOR_REQUESTS * rate
    return served < MIN_FAIR_SHARE * rate * (class_counts.asked + PRIOR_REQUESTS)


def _find_counts(
    fairness: SizeFairness, now: float, route: str, tokens: int
) -> tuple[ServedCounts, ServedCounts]:
    """Find the counts of a route and of one of its size classes, decayed until now."""
    key = (route, find_size_class(tokens))
    route_counts = fairness.routes.setdefault(route, ServedCounts(at=now))
    class_counts = fairness.classes.setdefault(key, ServedCounts(at=now))
    for counts in (route_counts, class_counts):
        decay = math.exp((counts.at - now) / WINDOW_S)
        counts.asked *= decay
        counts.served *= decay
        counts.at = now
    return route_counts, class_counts
