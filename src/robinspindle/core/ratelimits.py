"""Limits on its request rate that a target in need names in its answers.

A limit counts for all gateways together. Each one may use an equal share, which is a
token bucket. If there are more gateways than the limit leaves whole requests for, only
some of them use the target, the same ones at each gateway's reckoning.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.subsets import choose_subset
from robinspindle.core.tokenbuckets import count_tokens

BURST_S = 0.5
"""Time for whose requests a share is kept while it isn't used, seconds. Within 4 s a
target may get half as much again as its limit allows, and 5 requests more."""

SPARE_REQUESTS = 2.0
"""Requests beyond those of one second that the shares' first ones may add up to."""

EXPIRY_S = 10.0
"""How long a limit holds that no answer and no gateway repeats, seconds."""

NEWS_S = 2.0
"""How long a limit that an answer named is told to other gateways, seconds."""

DEFAULT_GATEWAYS = 8
"""Number of gateways that share a limit until they are known."""


@dataclass(frozen=True)
class Sharing:
    """Who shares the limits.

    Attributes:
        own: Name of this gateway.
        gateways: Names of all, this one included; empty until they are known.
    """

    own: str = ""
    gateways: tuple[str, ...] = ()


@dataclass
class RateLimit:
    """A limit that a target named.

    Attributes:
        per_s: Requests per second that it takes from all gateways together.
        noted_at: When it was last named, by an answer or by another gateway, monotonic
            seconds.
        answered_at: When an answer last named it, monotonic seconds.
        tokens: Requests that this gateway might send at `refilled_at`.
        refilled_at: When it last took one, monotonic seconds.
    """

    per_s: float
    noted_at: float
    answered_at: float = -math.inf
    tokens: float = 0.0
    refilled_at: float = field(default=0.0)

    def __post_init__(self):
        self.refilled_at = self.noted_at


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
    limit = limit or RateLimit(per_s, now)
    limit.per_s = per_s
    limit.noted_at = limit.answered_at = now
    return limit


def note_told(limit: RateLimit | None, per_s: float, now: float) -> RateLimit:
    """Return the limit of a target after another gateway has told it."""
    limit = limit or RateLimit(per_s, now)
    if now - limit.answered_at > NEWS_S:
        limit.per_s = per_s
    limit.noted_at = now
    return limit


def is_news(limit: RateLimit, now: float) -> bool:
    """Return whether a limit is told to other gateways."""
    return now - limit.answered_at <= NEWS_S


def has_expired(limit: RateLimit, now: float) -> bool:
    """Return whether nobody has repeated a limit for long."""
    return now - limit.noted_at > EXPIRY_S


def choose_sharing(own: str, heard: list[str], members: list[str]) -> Sharing:
    """Choose who shares the limits.

    Args:
        own: Name of this gateway.
        heard: Names of the others that it hears.
        members: Names of all others that the store knows.

    Returns:
        Those that are heard, as the others don't send; all that are known if a third
        of them is not heard, as those may be cut off and send by themselves.
    """
    hears_most = 3 * (len(heard) + 1) > 2 * (len(members) + 1)
    return Sharing(own, tuple(sorted({own, *(heard if hears_most else members)})))


def find_share(per_s: float, lifetime: str, sharing: Sharing) -> float:
    """Return the requests per second of a limit that this gateway may use.

    Args:
        per_s: The limit.
        lifetime: The lifetime of the target that named it.
        sharing: Who shares it.
    """
    if not sharing.gateways:
        return per_s / DEFAULT_GATEWAYS
    most = max(1, int(per_s + SPARE_REQUESTS))
    sharers = choose_subset(lifetime, list(sharing.gateways), most)
    return per_s / len(sharers) if sharing.own in sharers else 0.0


def find_wait(limit: RateLimit, share_per_s: float, now: float) -> float:
    """Return how long this gateway may send a target nothing, seconds.

    Args:
        limit: The target's limit.
        share_per_s: The share that this gateway may use.
        now: The current time, monotonic seconds.
    """
    missing = 1.0 - _count_tokens(limit, share_per_s, now)
    if missing <= 0 or has_expired(limit, now):
        return 0.0
    return missing / share_per_s if share_per_s > 0 else math.inf


def take(limit: RateLimit, share_per_s: float, now: float) -> None:
    """Take one request out of the share; see `find_wait`."""
    limit.tokens = _count_tokens(limit, share_per_s, now) - 1.0
    limit.refilled_at = now


def _count_tokens(limit: RateLimit, share_per_s: float, now: float) -> float:
    return count_tokens(limit.tokens, limit.refilled_at, share_per_s, BURST_S, now)
