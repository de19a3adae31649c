"""Sees to it that no size of prompts is written off where work is more than engines.

What can't begin in time goes behind all that can. A large prompt can't sooner than a
small one, so that under a lasting load the large ones alone would pay: they wait behind
all that comes meanwhile until their callers give up, or are refused for that wait. A
class of lengths that is served less often than its route by too much is therefore due a
turn: its next prompt is read in the order of its route's rank, like one in time.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.sizeclasses import find_size_class

LEAST_SHARE = 0.6
"""Share of its route's rate at which a class of lengths is to be served at the least.
Turns cost others some of their time, so that it is little more than the half that is
owed to each."""

WINDOW_S = 20.0
"""How long a request counts, seconds: as long as an overload lasts, so that what was
served before it does not hide who is not served now."""

TRUSTED = 2.0
"""Requests of a class that are taken as served like its route before any was seen. Each
entry sees few large ones: without this the first one at each entry has a turn."""


@dataclass
class ServedCounts:
    """Requests lately, as sums that fade.

    Attributes:
        asked: All of them.
        served: Those that were served, or are planned to be.
        at: When the sums were last brought up to date, steady seconds.
    """

    asked: float = 0.0
    served: float = 0.0
    at: float = 0.0


@dataclass
class SizeFairness:
    """What became of requests lately, as one entry saw it.

    Attributes:
        routes: By route.
        classes: By route and the most tokens of the class of length.
    """

    routes: dict[str, ServedCounts] = field(default_factory=dict)
    classes: dict[tuple[str, int], ServedCounts] = field(default_factory=dict)


def note_arrival(turns: SizeFairness, now: float, route: str, tokens: int) -> None:
    """Take note of a request with a prompt of so many tokens."""
    for sums in _find_sums(turns, now, route, tokens):
        sums.asked += 1.0


def note_served(turns: SizeFairness, now: float, route: str, tokens: int) -> None:
    """Take note that a request is served."""
    for sums in _find_sums(turns, now, route, tokens):
        sums.served += 1.0


def note_not_served(turns: SizeFairness, now: float, route: str, tokens: int) -> None:
    """Take note that a request which counts as served was not."""
    for sums in _find_sums(turns, now, route, tokens):
        sums.served = max(0.0, sums.served - 1.0)


def is_underserved(turns: SizeFairness, now: float, route: str, tokens: int) -> bool:
    """Whether prompts of this length are due a turn.

    Args:
        turns: What became of requests.
        now: The present time, steady seconds.
        route: The route of a request that was noted.
        tokens: Tokens of its prompt.
    """
    of_route, of_class = _find_sums(turns, now, route, tokens)
    if of_route.asked <= 0.0:
        return False
    rate = of_route.served / of_route.asked
    served = of_class.served + TRUSTED * rate
    return served < LEAST_SHARE * rate * (of_class.asked + TRUSTED)


def _find_sums(
    turns: SizeFairness, now: float, route: str, tokens: int
) -> tuple[ServedCounts, ServedCounts]:
    """Find the sums of a route and of a class of its lengths, brought up to date."""
    key = (route, find_size_class(tokens))
    of_route = turns.routes.setdefault(route, ServedCounts(at=now))
    of_class = turns.classes.setdefault(key, ServedCounts(at=now))
    for sums in (of_route, of_class):
        kept = math.exp((sums.at - now) / WINDOW_S)
        sums.asked *= kept
        sums.served *= kept
        sums.at = now
    return of_route, of_class
