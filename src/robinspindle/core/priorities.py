"""Priority levels of prefills.

Engines start prefills in the order of their levels. Requests that can meet their
deadlines go before those that cannot, so late work uses only spare time and delays no
other request. Among requests that can meet their deadlines, the operator's ranks
decide, except for prefills so short that they delay no other request.
"""

SHORT_LEVEL = 0
FIRST_RANK_LEVEL = 1
LAST_RANK_LEVEL = 8
LATE_LEVEL = 9
LEVELS = 10
"""Number of levels, the most urgent first: short, eight ranks, late. Engines know as
many priorities. Three priorities of workspaces and three of routes make nine pairs, of
which only the two least urgent share a level."""

SHORT_PREFILL_RATIO = 0.03
"""A prefill that takes at most this share of its latency objective goes first."""

REQUEST_PRIORITIES = tuple(range(LEVELS))
"""Priority sent to an engine for each level, from 0 (highest) to 9."""


def find_priority_level(
    prefill_s: float, latency_objective_s: float, rank: int, follows_ranks: bool = True
) -> int:
    """Find the level of a prefill that can meet its deadline.

    Args:
        prefill_s: Duration of the prefill, seconds.
        latency_objective_s: Latency objective of the first event, seconds.
        rank: The operator's rank of its route; 0 is the highest.
        follows_ranks: Whether ranks count.
    """
    if is_short(prefill_s, latency_objective_s):
        return SHORT_LEVEL
    if not follows_ranks:
        return FIRST_RANK_LEVEL
    return find_rank_level(rank)


def is_short(prefill_s: float, latency_objective_s: float) -> bool:
    """Check whether a prefill is so short that it delays no other request."""
    return prefill_s <= SHORT_PREFILL_RATIO * latency_objective_s


def find_rank_level(rank: int) -> int:
    """Find the level of the operator's rank of a route; 0 is the highest rank."""
    return min(LAST_RANK_LEVEL, FIRST_RANK_LEVEL + max(0, rank))


def make_level_sums() -> list[float]:
    """Make a list of sums by level, all 0."""
    return [0.0] * LEVELS
