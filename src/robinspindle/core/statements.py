"""What one lifetime of a target has said of itself in its answers to this gateway.

It stands beside the target's entry in the platform's list, which another process
writes and which may be late. Neither withdraws what the other says. A lifetime that
begins under the same id has said nothing yet.
"""

from dataclasses import dataclass

from robinspindle.core.ratelimits import RateLimit


@dataclass
class Statements:
    """What a lifetime of a target has said of itself.

    Attributes:
        limit: The limit on its request rate that it named; None if it named none.
        full_until: Time until which it counts as full, monotonic seconds.
        refusals: Consecutive requests that it rejected as full.
    """

    limit: RateLimit | None = None
    full_until: float = 0.0
    refusals: int = 0
