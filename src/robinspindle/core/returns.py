"""When targets that a request can't be sent to now may serve again, and why not now.

A stream that is taken up has few targets: those of the version that began it. Where all
of them are away, its caller had better come once the first of them is back.
"""

import math
from collections import Counter
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from enum import Enum

from robinspindle.core import health, targets
from robinspindle.core.targets import DECODE_ROLE, PREFILL_ROLE, Directory, Target

RESTART_S = health.MAX_BACKOFF_S
"""Time within which a crashed target usually serves again, seconds."""

MAX_AWAY_S = 60.0
"""After this time a lost target isn't expected back any more, seconds."""


class Condition(Enum):
    """Why a target gets no request now."""

    READY = "ready"
    TRIED = "tried"
    BACKOFF = "backoff"
    LOST = "lost"
    FULL = "full"
    RESTING = "resting"
    SWITCHING = "switching"
    PREFILL = "prefill"
    LEAVING = "leaving"
    REPLACED = "replaced"
    INVALID = "invalid"
    GONE = "gone"


def find_condition(
    target: Target, now: float, tried: AbstractSet[str] = frozenset()
) -> Condition:
    """Find why a target gets no request now.

    Args:
        target: The target.
        now: The current time, monotonic seconds.
        tried: Lifetimes that the request was already sent to.
    """
    if targets.is_leaving(target):
        return Condition.LEAVING
    if target.lost_at is not None:
        return Condition.LOST
    if target.replaced:
        return Condition.REPLACED
    if target.is_unreadable:
        return Condition.INVALID
    if targets.is_gone(target, now):
        return Condition.GONE
    if health.is_switching(target, now):
        return Condition.SWITCHING
    if target.announced.role == PREFILL_ROLE:
        return Condition.PREFILL
    if now < target.stated.rest_until:
        return Condition.RESTING
    if now < target.backoff_until:
        return Condition.BACKOFF
    if now < target.stated.full_until:
        return Condition.FULL
    return Condition.TRIED if target.announced.lifetime in tried else Condition.READY


def list_of_version(
    directory: Directory, service: str, version: str | None
) -> list[Target]:
    """List the targets of a service, of one software version if it is named."""
    return [
        target
        for target in directory.targets.values()
        if target.announced.service == service
        and version in (None, target.announced.software_version)
    ]


def count_conditions(
    found: Iterable[Target], now: float, tried: AbstractSet[str] = frozenset()
) -> dict[str, int]:
    """Count targets by why they get no request now, for logs.

    Args:
        found: The targets.
        now: The current time, monotonic seconds.
        tried: Lifetimes that the request was already sent to.
    """
    counts = Counter(find_condition(target, now, tried).value for target in found)
    return dict(counts)


def find_return_s(target: Target, now: float) -> float:
    """Find when a target, or what takes the place of a lost one, may serve, seconds.

    Args:
        target: The target.
        now: The current time, monotonic seconds.

    Returns:
        0 if it may serve now, as soon as one of its requests ends, or callers of
        another gateway; infinite if that is not to be expected.
    """
    match find_condition(target, now):
        case Condition.READY | Condition.FULL | Condition.BACKOFF:
            return 0.0
        case Condition.LOST:
            return find_restart_s(target.lost_at, now)
        case Condition.RESTING:
            return target.stated.rest_until - now
        case Condition.SWITCHING if target.switching_to == DECODE_ROLE:
            usually_until = target.switching_until - health.SWITCH_SLACK_S
            return max(0.0, usually_until - now)
    return math.inf


def find_restart_s(lost_at: float, now: float) -> float:
    """Find when what takes the place of a lost target may be there, seconds.

    One that is not back in the usual time is expected after twice that time, and so on.

    Args:
        lost_at: Since when nothing answers at its address, monotonic seconds.
        now: The current time, monotonic seconds.

    Returns:
        Infinite if it is not expected back.
    """
    away_s = max(0.0, now - lost_at)
    if away_s >= MAX_AWAY_S:
        return math.inf
    expected_s = RESTART_S
    while expected_s <= away_s:
        expected_s *= 2
    return expected_s - away_s


def find_version_return_s(
    directory: Directory, service: str, version: str | None, now: float
) -> float:
    """Find when an engine that was lost and is listed no longer may be back, seconds.

    Args:
        directory: The known targets.
        service: The service.
        version: The software version; None for any.
        now: The current time, monotonic seconds.

    Returns:
        Infinite if none is expected.
    """
    return min(
        (
            find_restart_s(lost_at, now)
            for (lost_service, lost_version), lost_at in directory.lost.items()
            if lost_service == service and version in (None, lost_version)
        ),
        default=math.inf,
    )
