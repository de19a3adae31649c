"""A budget of repeats that all entries share without talking about it.

Each entry may repeat its own share of what it took in. The ratio part adds up over
the entries by itself, since each request is taken in by one of them; of the fixed part
each takes an even share of the most entries that there may be.
"""

from collections import deque
from dataclasses import dataclass, field

CAUTION = 0.8
"""Share of the allowed ratio that is used: requests counted by the operator may lack
the newest ones that an entry has already counted."""


@dataclass
class ServiceWindow:
    """Requests and repeats of one service at one entry.

    Attributes:
        requests: Times of requests, oldest first, steady seconds.
        repeats: Times of repeats, oldest first, steady seconds.
    """

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass
class WindowedRetryBudget:
    """Repeats of all services at one entry.

    Attributes:
        ratio: Repeats allowed for each request.
        fixed: Repeats allowed besides in each window, this entry's share.
        window_s: Length of the window, seconds.
        services: By name.
    """

    ratio: float = 0.0
    fixed: float = 0.0
    window_s: float = 0.0
    services: dict[str, ServiceWindow] = field(default_factory=dict)


def count_request(budget: WindowedRetryBudget, now: float, service: str) -> None:
    """Take note of a request that was taken in."""
    _find(budget, now, service).requests.append(now)


def take_retry(budget: WindowedRetryBudget, now: float, service: str) -> bool:
    """Take one repeat from the budget, if there is one."""
    used = _find(budget, now, service)
    allowed = CAUTION * budget.ratio * len(used.requests) + budget.fixed
    if len(used.repeats) + 1 > allowed:
        return False
    used.repeats.append(now)
    return True


def _find(budget: WindowedRetryBudget, now: float, service: str) -> ServiceWindow:
    used = budget.services.setdefault(service, ServiceWindow())
    for times in (used.requests, used.repeats):
        while times and times[0] <= now - budget.window_s:
            times.popleft()
    return used
