"""How urgent the reading of a prompt is, against that of others.

Engines take what is more urgent first. What can still be in time goes before what
can't, so late work uses the time that is left over and makes nothing else late. Among
what can be in time the operator's ranks decide, but for readings so short that they
hold nobody up.
"""

SHORT_LEVEL = 0
FIRST_RANK_LEVEL = 1
LAST_RANK_LEVEL = 4
LATE_LEVEL = 5
LEVELS = 6
"""Levels, the most urgent first: short readings, four ranks, and late ones."""

SHORT_SHARE = 0.03
"""A reading that takes less than this share of its aim goes before all others."""

REQUEST_PRIORITIES = (1, 2, 3, 4, 5, 8)
"""What an engine is told for each level, 0 to 9; 5 is what it takes by itself."""


def find_priority_level(
    prefill_s: float, latency_objective_s: float, rank: int, follows_ranks: bool = True
) -> int:
    """Find the level of a reading that can be in time.

    Args:
        prefill_s: How long it takes, seconds.
        latency_objective_s: The time in which the first event should come, seconds.
        rank: The operator's rank of its route; 0 is the highest.
        follows_ranks: Whether ranks count.
    """
    if is_short(prefill_s, latency_objective_s):
        return SHORT_LEVEL
    if not follows_ranks:
        return FIRST_RANK_LEVEL
    return find_rank_level(rank)


def is_short(prefill_s: float, latency_objective_s: float) -> bool:
    """Whether a reading is so short that it holds nobody up."""
    return prefill_s <= SHORT_SHARE * latency_objective_s


def find_rank_level(rank: int) -> int:
    """Find the level of the operator's rank of a route; 0 is the highest."""
    return min(LAST_RANK_LEVEL, FIRST_RANK_LEVEL + max(0, rank))


def make_level_sums() -> list[float]:
    """Make sums of work by level, all of them 0."""
    return [0.0] * LEVELS
