"""How many targets a service should have in an availability zone.

More are wanted at once, and ahead of what they take to start; fewer only after a while,
one at a time, and never fewer than still serve when one of them is lost. Nothing is
wanted of a service that the operator gave no bounds.
"""

import math
from dataclasses import dataclass, field

PLANNED_UTILIZATION = 0.6
"""Share of their slots up to which targets are meant to be used: queues grow fast
beyond it, and a loss shifts its work to the others."""

SPARE_TARGETS = 1
"""Targets that may be lost without the others being overrun."""

TREND_S = 5.0
"""Time over which the rise of the demand is measured, seconds."""

CALM_S = 20.0
"""Least time for which fewer must have been enough before one is given up, beyond twice
what a new one takes to start, seconds."""


@dataclass(frozen=True)
class Bounds:
    """What the operator allows of a service, in each zone.

    Attributes:
        least: The fewest targets.
        most: The most targets.
        start_s: How long a new target takes to serve, seconds.
    """

    least: int
    most: int
    start_s: float


@dataclass(frozen=True)
class Sample:
    """The demand at one moment.

    Attributes:
        at: When it was seen, steady seconds.
        busy: Slots that requests took, those that waited for one among them.
    """

    at: float
    busy: float


@dataclass
class ZoneDemand:
    """What is known of one service in one zone.

    Attributes:
        samples: The demand of the last seconds, the oldest first.
        desired: What was ordered last; None before.
        fewer_since: Since when fewer have been enough, steady seconds; None if not.
        most_needed: The most that was needed since then.
    """

    samples: list[Sample] = field(default_factory=list)
    desired: int | None = None
    fewer_since: float | None = None
    most_needed: int = 0


def note_busy_slots(demand: ZoneDemand, now: float, busy: float) -> None:
    """Take note of the slots that requests take now, of all entries together."""
    demand.samples.append(Sample(now, busy))
    demand.samples = [s for s in demand.samples if now - s.at <= TREND_S]


def find_needed(demand: ZoneDemand, slots: int, bounds: Bounds) -> int:
    """Find how many targets are needed once a new one could serve.

    Args:
        demand: What is known; at least one sample.
        slots: Slots of one target.
        bounds: What the operator allows.
    """
    first, last = demand.samples[0], demand.samples[-1]
    passed_s = last.at - first.at
    rise = max(0.0, (last.busy - first.busy) / passed_s) if passed_s > 0 else 0.0
    busy = last.busy + rise * bounds.start_s
    needed = math.ceil(busy / (slots * PLANNED_UTILIZATION)) + SPARE_TARGETS
    return min(bounds.most, max(bounds.least, needed))


def decide_desired(
    demand: ZoneDemand, now: float, slots: int, present: int, bounds: Bounds
) -> int:
    """Decide how many targets there should be.

    Args:
        demand: What is known; changed in place.
        now: The present time, steady seconds.
        slots: Slots of one target.
        present: Targets that there are.
        bounds: What the operator allows.
    """
    needed = find_needed(demand, slots, bounds)
    desired = demand.desired if demand.desired is not None else present
    desired = min(bounds.most, max(bounds.least, desired))
    if needed >= desired:
        demand.fewer_since = None
        return needed
    if demand.fewer_since is None:
        demand.fewer_since, demand.most_needed = now, needed
    demand.most_needed = max(demand.most_needed, needed)
    if now - demand.fewer_since < CALM_S + 2 * bounds.start_s:
        return desired
    # Each that is given up is waited after anew.
    fewer = max(desired - 1, demand.most_needed)
    demand.fewer_since = None
    return fewer
