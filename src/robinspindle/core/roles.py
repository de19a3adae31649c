"""Role policy: decides when a changed mix of prompts and answers justifies a change.

The policy acts only within a confirmed standing intent, and only if the gain exceeds
the cost of the change.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.plans import ROLE_CHANGE_S
from robinspindle.core.records import RoleActed
from robinspindle.core.state import Envelope, State, Target
from robinspindle.messages import Report

SUSTAINED_S = 3.0
"""Time for which the same change must have been the best one, seconds."""

PAYBACK_S = 30.0
"""Time within which a change must pay for the capacity that it costs, seconds."""

MIN_LOAD = 0.5
"""Load of a pool below which no role changes."""


@dataclass
class PendingChanges:
    """Changes that are not made before they have been the best ones for a while.

    Attributes:
        wanted: Target and new role of the best change, by model.
        since: Since when it has been the best change, by model, monotonic seconds.
    """

    wanted: dict[str, tuple[str, str]] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PoolDemand:
    """The load on a pool, as the number of engines that it keeps busy.

    Attributes:
        prefill: Engines busy with prefill, which an engine runs for one prompt at a
            time.
        decode: Engines busy with decode; answers share an engine's slots.
    """

    prefill: float
    decode: float


def measure_demand(reports: list[Report]) -> PoolDemand:
    """Compute from the reports of one pool how many engines each phase keeps busy."""
    prefill = sum(report.prompt_rate * report.prefill_s for report in reports)
    decode = sum(report.token_rate * report.step_s / report.slots for report in reports)
    return PoolDemand(prefill, decode)


def estimate_load(demand: PoolDemand, roles: list[str]) -> float:
    """Estimate the load of a pool; 1 is full capacity.

    Args:
        demand: The load on the pool.
        roles: The role of each engine of the pool.

    Returns:
        The highest of three loads: on all engines, on those that run prefill and on
        those that run decode. Infinite if no engine can run a phase that has work.
    """
    mixed = roles.count("mixed")
    parts = (
        (demand.prefill + demand.decode, len(roles)),
        (demand.prefill, roles.count("prefill") + mixed),
        (demand.decode, roles.count("decode") + mixed),
    )
    loads = []
    for work, targets in parts:
        if targets:
            loads.append(work / targets)
        elif work > 0:
            return math.inf
    return max(loads, default=0.0)


def decide_role_change(
    pending: PendingChanges,
    state: State,
    envelope: Envelope,
    reports: dict[str, Report],
    now: float,
) -> tuple[str, str] | None:
    """Decide whether one target of a model should change its role.

    Args:
        pending: The best change of each model at the last check; updated.
        state: The replicated state.
        envelope: The standing intent in effect for the model.
        reports: The last report of each target, by the target's name.
        now: The current time, monotonic seconds.

    Returns:
        The target and its new role, or None. None is also returned while a report of
        the pool is missing or an order is being executed.
    """
    model = envelope.intent.model
    pool = [target for target in state.targets.values() if target.pool == model]
    received = [reports[target.name] for target in pool if target.name in reports]
    if len(received) < len(pool) or any(target.order for target in pool):
        return None
    best = _find_best_change(pool, envelope, measure_demand(received))
    if best is None:
        pending.wanted.pop(model, None)
        return None
    if pending.wanted.get(model) != best:
        pending.wanted[model] = best
        pending.since[model] = now
    if now - pending.since[model] < SUSTAINED_S:
        return None
    return best


def make_role_change(
    state: State, holder: str, change: tuple[str, str], id: str, wall_s: float
) -> RoleActed:
    """Make the record of an automatic role change.

    Args:
        state: The replicated state.
        holder: The coordinator.
        change: The target and its new role.
        id: Id of the record.
        wall_s: The current wall-clock time, seconds since the Unix epoch.
    """
    target, role = change
    return RoleActed(
        id=id,
        holder=holder,
        fence=state.lease.fence,
        target=target,
        role=role,
        at=wall_s,
    )


def _find_best_change(
    pool: list[Target], envelope: Envelope, demand: PoolDemand
) -> tuple[str, str] | None:
    """Find the change of one target's role with the largest gain.

    Returns:
        The target and its new role. None if the load is below `MIN_LOAD`, or no gain
        exceeds the minimum gain of the standing intent plus the cost of the change.
    """
    intent = envelope.intent
    roles = {target.name: target.role for target in pool}
    current_load = estimate_load(demand, list(roles.values()))
    if current_load < MIN_LOAD:
        return None
    cost = ROLE_CHANGE_S / (PAYBACK_S * len(pool))
    best, best_gain = None, intent.gain + cost
    for target in sorted(pool, key=lambda target: target.name):
        for role in ("prefill", "decode"):
            roles_after = list((roles | {target.name: role}).values())
            prefill = roles_after.count("prefill")
            if role == target.role or target.drained:
                continue
            if not intent.least_prefill <= prefill <= intent.most_prefill:
                continue
            load = estimate_load(demand, roles_after)
            gain = (
                1.0 - load / current_load
                if current_load < math.inf
                else float(load < 9)
            )
            if gain > best_gain + 1e-9:
                best, best_gain = (target.name, role), gain
    return best
