"""Whether this gateway may send a target something now, by what is known of its wishes.

Every choice of a target and every send asks here: a target may say what it wants while
a request that was chosen for it waits.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from robinspindle.core import ratelimits
from robinspindle.core.targets import Target, is_gone, is_leaving


class ObstacleReason(Enum):
    """Why a target gets nothing."""

    LEAVING = "leaving"
    GONE = "gone"
    REPLACED = "replaced"
    UNREADABLE = "unreadable"
    RESTING = "resting"
    LIMITED = "limited"


@dataclass(frozen=True)
class Obstacle:
    """What keeps a target from getting anything.

    Attributes:
        reason: Why it gets nothing.
        until: Time from which it may get something, monotonic seconds; infinite if
            never.
    """

    reason: ObstacleReason
    until: float = math.inf


def find_end(target: Target, now: float) -> ObstacleReason | None:
    """Return why a target gets nothing new at all any more; None if it may.

    Args:
        target: The target.
        now: The current time, monotonic seconds.
    """
    if is_leaving(target):
        return ObstacleReason.LEAVING
    if is_gone(target, now):
        return ObstacleReason.GONE
    if target.replaced:
        return ObstacleReason.REPLACED
    return ObstacleReason.UNREADABLE if target.is_unreadable else None


def find_send_obstacle(
    target: Target, now: float, share_per_s: float | None = None
) -> Obstacle | None:
    """Return what keeps this gateway from sending a target something; None if nothing.

    Args:
        target: The target.
        now: The current time, monotonic seconds.
        share_per_s: The share of the target's limit that this gateway may use, requests
            per second; None if the request has its turn already.
    """
    reason = find_end(target, now)
    if reason is not None:
        return Obstacle(reason)
    if now < target.stated.rest_until:
        return Obstacle(ObstacleReason.RESTING, target.stated.rest_until)
    limit = target.stated.limit
    if limit is None or share_per_s is None:
        return None
    wait_s = ratelimits.find_wait(limit, share_per_s, now)
    return Obstacle(ObstacleReason.LIMITED, now + wait_s) if wait_s > 0 else None


def count_send_obstacles(
    found: Iterable[Target], now: float
) -> Counter[ObstacleReason]:
    """Count targets by what keeps this gateway from sending them anything.

    Args:
        found: The targets.
        now: The current time, monotonic seconds.
    """
    obstacles = (find_send_obstacle(target, now) for target in found)
    return Counter(obstacle.reason for obstacle in obstacles if obstacle is not None)
