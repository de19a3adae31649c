"""A retry budget over sliding windows, shared by all gateways without communication.

Each gateway may retry a ratio of the requests that it received, plus a fixed number per
window. The ratio holds for all gateways together, because each request is received by
one of them. The fixed number is split evenly over the largest possible number of
gateways.
"""

from collections import deque
from dataclasses import dataclass, field

RATIO_MARGIN = 0.8
"""Share of the allowed ratio that is used. The operator's count of requests may not
include the newest ones that a gateway has already counted."""


@dataclass
class ServiceWindow:
    """Requests and retries of one service at one gateway.

    Attributes:
        requests: Times of requests, oldest first, monotonic seconds.
        retries: Times of retries, oldest first, monotonic seconds.
    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass
class WindowedRetryBudget:
    """Retry budgets of all services at one gateway.

    Attributes:
        ratio: Retries allowed per request.
        fixed_retries: Retries allowed per window in addition, this gateway's share.
        window_s: Length of the sliding window, seconds.
        services: Requests and retries by service.
    """

    ratio: float = 0.0
    fixed_retries: float = 0.0
    window_s: float = 0.0
    services: dict[str, ServiceWindow] = field(default_factory=dict)


def count_request(budget: WindowedRetryBudget, now: float, service: str) -> None:
    """Count a request that the gateway received."""
    _get_window(budget, now, service).requests.append(now)


def take_retry(budget: WindowedRetryBudget, now: float, service: str) -> bool:
    """Take one retry from a service's budget, and return whether it is allowed."""
    window = _get_window(budget, now, service)
    allowed = RATIO_MARGIN * budget.ratio * len(window.requests) + budget.fixed_retries
    if len(window.retries) + 1 > allowed:
        return False
    window.retries.append(now)
    return True


def _get_window(budget: WindowedRetryBudget, now: float, service: str) -> ServiceWindow:
    window = budget.services.setdefault(service, ServiceWindow())
    for times in (window.requests, window.retries):
        while times and times[0] <= now - budget.window_s:
            times.popleft()
    return window
