"""Token buckets: how many requests a rate allows by now."""


def find_capacity(per_s: float, burst_s: float) -> float:
    """Find the most tokens that a bucket holds: those of a burst, and at least one."""
    return max(1.0, burst_s * per_s)


def count_tokens(
    tokens: float, refilled_at: float, per_s: float, burst_s: float, now: float
) -> float:
    """Count the tokens that a bucket holds.

    Args:
        tokens: Tokens that it held when it was last refilled.
        refilled_at: When that was, monotonic seconds.
        per_s: Tokens that are added per second.
        burst_s: Time for whose tokens it has room, seconds.
        now: The current time, monotonic seconds.
    """
    refill = per_s * max(0.0, now - refilled_at)
    return min(find_capacity(per_s, burst_s), tokens + refill)
