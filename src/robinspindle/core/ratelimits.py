"""Limits on its request rate that a target in need names in its answers."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class RateLimit:
    """A limit that a target named.

    Attributes:
        per_s: Requests per second that it takes from all gateways together.
        noted_at: When an answer last named it, monotonic seconds.
    """

    per_s: float
    noted_at: float


def note_answer(
    limit: RateLimit | None, per_s: float | None, sent_at: float, now: float
) -> RateLimit | None:
    """Return the limit of a target after one of its answers.

    Args:
        limit: The limit before; None for none.
        per_s: The limit that the answer names; None if it names none.
        sent_at: When the target was sent the request, monotonic seconds.
        now: The current time, monotonic seconds.
    """
    if per_s is None:
        # The answer to an earlier request may be older than the limit.
        is_lifted = limit is None or sent_at > limit.noted_at
        return None if is_lifted else limit
    if limit is None:
        return RateLimit(per_s, now)
    return replace(limit, per_s=per_s, noted_at=now)
