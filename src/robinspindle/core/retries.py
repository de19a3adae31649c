"""The retry budget of an entry.

It limits retries to a share of the first attempts, so that they can't multiply the
load.
"""

from dataclasses import dataclass

INITIAL_RETRIES = 3.0
"""Retries available before any first attempt."""

MAX_RETRIES = 50.0
"""Most retries that can accumulate in a budget."""

MAX_ATTEMPTS = 6
"""Most attempts of one request."""


@dataclass
class RetryBudget:
    """Budget of retries of an entry.

    Attributes:
        share: Retries that each first attempt adds.
        left: Retries available.
    """

    share: float
    left: float = INITIAL_RETRIES


def add_first_attempt(budget: RetryBudget) -> None:
    """Add the share of a first attempt to the budget."""
    budget.left = min(MAX_RETRIES, budget.left + budget.share)


def may_retry(
    budget: RetryBudget, attempts: int, left_s: float, min_attempt_s: float
) -> bool:
    """Whether a retry is allowed; for the arguments see `take_retry`."""
    is_worth_it = attempts < MAX_ATTEMPTS and left_s > min_attempt_s
    return is_worth_it and budget.left >= 1.0


def take_retry(
    budget: RetryBudget, attempts: int, left_s: float, min_attempt_s: float
) -> bool:
    """Take one retry from the budget if it is allowed.

    Args:
        budget: The entry's budget.
        attempts: Number of attempts made so far.
        left_s: Time until the request's deadline, seconds.
        min_attempt_s: Shortest useful duration of an attempt, seconds.

    Returns:
        Whether the retry is allowed.
    """
    if not may_retry(budget, attempts, left_s, min_attempt_s):
        return False
    budget.left -= 1.0
    return True
