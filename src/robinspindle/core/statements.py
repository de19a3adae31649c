"""What one lifetime of a target has said of itself in its answers to this gateway.

It stands beside the target's entry in the platform's list, which another process
writes and which may be late. Neither withdraws what the other says. A lifetime that
begins under the same id has said nothing yet.
"""

import math
from dataclasses import dataclass
from enum import Enum

from robinspindle.core import ratelimits
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.lifetimes import find_id
from robinspindle.core.ratelimits import RateLimit

REST_NEWS_S = 0.5
"""A rest that ends later than before by less is not logged again, seconds: requests
that were under way are turned away one after the other."""


@dataclass
class Statements:
    """What a lifetime of a target has said of itself.

    Attributes:
        leaving: Whether it said that it leaves; it never withdraws that.
        rest_until: Time until which it asked this gateway for nothing, monotonic
            seconds.
        limit: The limit on its request rate that it named; None if it named none.
        full_until: Time until which it counts as full, monotonic seconds.
        refusals: Consecutive requests that it rejected as full.
    """

    leaving: bool = False
    rest_until: float = -math.inf
    limit: RateLimit | None = None
    full_until: float = 0.0
    refusals: int = 0


class Subject(Enum):
    """What a statement is about."""

    LEAVING = "leaving"
    REST = "rest"
    LIMIT = "limit"


@dataclass(frozen=True)
class Change:
    """A statement that differs from what was known before.

    Attributes:
        subject: What it is about.
        value: Seconds of rest, or requests per second; None for no limit or for
            leaving.
        before: The limit before, requests per second; None for none.
    """

    subject: Subject
    value: float | None = None
    before: float | None = None


def is_own(lifetime: str, head: AnswerHead) -> bool:
    """Return whether an answer speaks of the lifetime that it was expected from.

    Args:
        lifetime: The lifetime whose address the request was sent to.
        head: The head of the answer.
    """
    speaks_as_it = head.answered_by in ("", find_id(lifetime))
    return speaks_as_it and not head.is_misdirected


def note_head(
    stated: Statements, head: AnswerHead, sent_at: float, now: float
) -> list[Change]:
    """Record what an answer of a lifetime says of it.

    Args:
        stated: What the lifetime said before.
        head: The head of its answer (see `is_own`).
        sent_at: When it was sent the request, monotonic seconds.
        now: The current time, monotonic seconds.

    Returns:
        What is new.
    """
    changes = [
        _note_leaving(stated, head.leaving),
        _note_rest(stated, head.rest_s, now),
        _note_limit(stated, head.limit_per_s, sent_at, now),
    ]
    return [change for change in changes if change is not None]


def _note_leaving(stated: Statements, leaving: bool) -> Change | None:
    if stated.leaving or not leaving:
        return None
    stated.leaving = True
    return Change(Subject.LEAVING)


def _note_rest(stated: Statements, rest_s: float, now: float) -> Change | None:
    before = stated.rest_until
    if rest_s <= 0 or now + rest_s <= before:
        return None
    stated.rest_until = now + rest_s
    is_new = before <= now or stated.rest_until - before >= REST_NEWS_S
    return Change(Subject.REST, rest_s) if is_new else None


def _note_limit(
    stated: Statements, per_s: float | None, sent_at: float, now: float
) -> Change | None:
    before = _read_limit(stated)
    stated.limit = ratelimits.note_answer(stated.limit, per_s, sent_at, now)
    after = _read_limit(stated)
    return Change(Subject.LIMIT, after, before) if before != after else None


def _read_limit(stated: Statements) -> float | None:
    return stated.limit.per_s if stated.limit else None
