"""Decides how many targets a service should have in an availability zone.

Scaling up is immediate and anticipates the demand by the start time of a target.
Scaling down waits, removes one target at a time, and always leaves enough targets to
serve the demand after the loss of one. A service without bounds from the operator is
not scaled.
"""

import math
from dataclasses import dataclass, field

PLANNED_UTILIZATION = 0.6
"""Planned share of busy slots: beyond it queues grow fast, and the work of a lost
target has to fit on the others."""

SPARE_TARGETS = 1
"""Number of targets that may be lost without overloading the others."""

TREND_WINDOW_S = 5.0
"""Time over which the rise of the demand is measured, seconds."""

SCALE_DOWN_DELAY_S = 20.0
"""Time for which fewer targets must have been enough before one is removed, in addition
to twice the start time of a target, seconds."""


@dataclass(frozen=True)
class Bounds:
    """The operator's bounds for the number of a service's targets in each zone.

    Attributes:
        min_targets: Minimum number of targets.
        max_targets: Maximum number of targets.
        start_s: Time until a new target serves, seconds.
    """

    min_targets: int
    max_targets: int
    start_s: float


@dataclass(frozen=True)
class Sample:
    """The demand at one moment.

    Attributes:
        at: When the demand was measured, monotonic seconds.
        busy: Number of slots that requests occupied or waited for.
    """

    at: float
    busy: float


@dataclass
class ZoneDemand:
    """The demand for one service in one zone, and the scaling orders so far.

    Attributes:
        samples: Samples of the last seconds, the oldest first.
        desired: Number of targets in the last order, None before the first.
        fewer_since: Since when fewer targets have been enough, monotonic seconds; None
            if they are not.
        max_needed: Maximum number of targets that were needed since then.
    """

    samples: list[Sample] = field(default_factory=list)
    desired: int | None = None
    fewer_since: float | None = None
    max_needed: int = 0


def note_busy_slots(demand: ZoneDemand, now: float, busy: float) -> None:
    """Record how many slots requests occupy or wait for now, on all gateways together.

    Args:
        demand: The demand; updated.
        now: The current time, monotonic seconds.
        busy: Number of slots.
    """
    demand.samples.append(Sample(now, busy))
    demand.samples = [s for s in demand.samples if now - s.at <= TREND_WINDOW_S]


def find_needed(demand: ZoneDemand, slots: int, bounds: Bounds) -> int:
    """Find how many targets will be needed at the time when a new one could serve.

    Args:
        demand: The demand, with at least one sample.
        slots: Number of slots of one target.
        bounds: The operator's bounds.
    """
    first, last = demand.samples[0], demand.samples[-1]
    elapsed_s = last.at - first.at
    rise_per_s = (
        max(0.0, (last.busy - first.busy) / elapsed_s) if elapsed_s > 0 else 0.0
    )
    busy = last.busy + rise_per_s * bounds.start_s
    needed = math.ceil(busy / (slots * PLANNED_UTILIZATION)) + SPARE_TARGETS
    return min(bounds.max_targets, max(bounds.min_targets, needed))


def decide_desired(
    demand: ZoneDemand, now: float, slots: int, present: int, bounds: Bounds
) -> int:
    """Decide how many targets a service should have in a zone.

    Args:
        demand: The demand, with at least one sample; updated.
        now: The current time, monotonic seconds.
        slots: Number of slots of one target.
        present: Current number of targets.
        bounds: The operator's bounds.

    Returns:
        The number of targets to order.
    """
    needed = find_needed(demand, slots, bounds)
    desired = demand.desired if demand.desired is not None else present
    desired = min(bounds.max_targets, max(bounds.min_targets, desired))
    if needed >= desired:
        demand.fewer_since = None
        return needed
    if demand.fewer_since is None:
        demand.fewer_since, demand.max_needed = now, needed
    demand.max_needed = max(demand.max_needed, needed)
    if now - demand.fewer_since < SCALE_DOWN_DELAY_S + 2 * bounds.start_s:
        return desired
    # The delay starts again after each removal.
    fewer = max(desired - 1, demand.max_needed)
    demand.fewer_since = None
    return fewer
