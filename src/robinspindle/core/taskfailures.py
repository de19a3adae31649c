"""When a task that failed is run again, and for how long one has been failing."""

from dataclasses import dataclass

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
"""Shortest and longest pause before a task that failed runs again, seconds."""

STEADY_S = 5.0
"""A task that has run for so long since it failed is well again, seconds."""

UNREADY_AFTER_S = 3.0
"""A gateway whose view of the store is not read on for so long tells the balancer so,
seconds, while other gateways do better."""

HOPELESS_AFTER_S = 60.0
"""After so long its process had better begin anew, seconds: the others do better, so
the cause lies in what it holds in memory."""


@dataclass
class FailureHistory:
    """The failures in a row of one task.

    Attributes:
        count: How many there were; 0 while it is well.
        first_at: When the first of them was, monotonic seconds.
        restarts_at: When it runs again, or did, monotonic seconds.
    """

    count: int = 0
    first_at: float = 0.0
    restarts_at: float = 0.0


def note_failure(history: FailureHistory, now: float) -> float:
    """Take note that a task has failed; returns how long it rests, seconds."""
    if find_failing_s(history, now) == 0.0:
        history.count, history.first_at = 0, now
    pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(history.count, 10))
    history.count += 1
    history.restarts_at = now + pause_s
    return pause_s


def find_failing_s(history: FailureHistory, now: float) -> float:
    """Find for how long a task has failed again and again, seconds; 0 for well."""
    if not history.count or now - history.restarts_at >= STEADY_S:
        return 0.0
    return max(now - history.first_at, 1e-9)
