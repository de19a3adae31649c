"""Which target of a plain service gets a request."""

import random

from robinspindle.core.health import find_slowness
from robinspindle.core.targets import Target

FAULT_WEIGHT = 4.0
"""Requests in flight that a target which only fails seems to have more, times its
slots: a target that fails a quarter of its requests counts as full."""

FAR_WEIGHT = 0.5
"""Requests in flight that another availability zone counts for: its round trip of
3 ms is about a seventh of a usual call, and its bytes have a price."""


def choose_target(
    targets: list[Target], zone: str, now: float, rng: random.Random
) -> Target:
    """Choose the target that seems the least busy, seen from one zone.

    Args:
        targets: Those that may get the request; at least one.
        zone: The entry's availability zone.
        now: The present time, steady seconds.
        rng: Chooses among equals.
    """

    def weigh(target: Target) -> float:
        announced = target.announced
        far = FAR_WEIGHT if announced.zone != zone else 0.0
        busy = (target.in_flight + 1) * find_slowness(target, now)
        return busy + far + FAULT_WEIGHT * target.faults * announced.slots

    least = min(weigh(target) for target in targets)
    return rng.choice([target for target in targets if weigh(target) <= least])
