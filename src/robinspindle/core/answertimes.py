"""How long whole answers of each route take, to tell what can still end in time."""

from dataclasses import dataclass, field

SMOOTHING = 0.1
"""Weight of the newest answer: about the last ten count."""


@dataclass
class AnswerTimes:
    """How long answers take from their sending to their end.

    Attributes:
        seconds: The smoothed mean, by route.
    """

    seconds: dict[str, float] = field(default_factory=dict)


def note_answer_time(times: AnswerTimes, route: str, seconds: float) -> None:
    """Record how long an answer took, or was waited for in vain, seconds."""
    previous = times.seconds.setdefault(route, seconds)
    times.seconds[route] = previous + SMOOTHING * (seconds - previous)


def can_end_by(times: AnswerTimes, route: str, now: float, end_at: float) -> bool:
    """Return whether a request sent now is expected to be answered by a time.

    What is not known is expected to.

    Args:
        times: How long answers take.
        route: The request's route.
        now: The present time, monotonic seconds.
        end_at: When its answer has to have ended, monotonic seconds.
    """
    return now + times.seconds.get(route, 0.0) < end_at
