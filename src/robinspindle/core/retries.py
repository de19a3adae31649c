"""The retry budget: retries are a share of first tries, so they can't multiply load."""

from dataclasses import dataclass

LEAST_BUDGET = 3.0
MOST_BUDGET = 50.0
MAX_ATTEMPTS = 6


@dataclass
class RetryBudget:
    """Retries that an entry may still make.

    Attributes:
        share: Retries earned by each first try.
        left: Retries left.
    """

    share: float
    left: float = LEAST_BUDGET


def add_first_attempt(budget: RetryBudget) -> None:
    """Note a first try."""
    budget.left = min(MOST_BUDGET, budget.left + budget.share)


def take_retry(
    budget: RetryBudget, attempts: int, left_s: float, least_s: float
) -> bool:
    """Decide whether one more try may be made, and take it from the budget.

    Args:
        budget: The entry's budget.
        attempts: Tries made so far.
        left_s: Seconds until the caller's deadline.
        least_s: Seconds that a try takes at the least.

    Returns:
        Whether to try again.
    """
    if attempts >= MAX_ATTEMPTS or left_s <= least_s or budget.left < 1.0:
        return False
    budget.left -= 1.0
    return True
