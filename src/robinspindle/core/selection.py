"""Selects the target of a plain service that gets a request."""

import random

from robinspindle.core.health import find_slowness
from robinspindle.core.targets import Target

FAULT_WEIGHT = 4.0
"""Cost of a target all of whose answers are faulty, in requests in flight per slot: a
target that fails a quarter of its requests counts as full."""

CROSS_ZONE_WEIGHT = 0.5
"""Cost of another availability zone, in requests in flight: its round trip, and the
charge for traffic between zones."""


def choose_target(
    targets: list[Target], zone: str, now: float, rng: random.Random
) -> Target:
    """Choose the target with the least cost, as seen from one availability zone.

    Args:
        targets: The targets that may get the request; at least one.
        zone: The gateway's availability zone.
        now: The current time, monotonic seconds.
        rng: Chooses among targets of equal cost.
    """
    least = min(compute_cost(target, zone, now) for target in targets)
    return rng.choice(
        [target for target in targets if compute_cost(target, zone, now) <= least]
    )


def compute_cost(target: Target, zone: str, now: float) -> float:
    """Compute the cost of a target as seen from a zone, in requests in flight."""
    announced = target.announced
    cross_zone = CROSS_ZONE_WEIGHT if announced.zone != zone else 0.0
    busy = (target.in_flight + 1) * find_slowness(target, now)
    return busy + cross_zone + FAULT_WEIGHT * target.faults * announced.slots
