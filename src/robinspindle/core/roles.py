"""Role policy: when a changed mix of prompts and answers is worth a role change.

Only inside a confirmed standing intent, and never for less than the change costs.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.plans import ROLE_CHANGE_S
from robinspindle.core.records import RoleActed
from robinspindle.core.state import Envelope, State, Target
from robinspindle.messages import Report

SUSTAINED_S = 3.0
PAYBACK_S = 30.0
BUSY_SHARE = 0.5


@dataclass
class PendingChanges:
    """How long a change has been worth while, by model.

    Attributes:
        wanted: The change that has been worth while, by model.
        since: Since when.
    """

    wanted: dict[str, tuple[str, str]] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PoolDemand:
    """Work asked of a pool, in engines that it keeps busy.

    Attributes:
        prefill: Engines busy with prompts, which are read one after the other.
        decode: Engines busy with answers, which share an engine's slots.
    """

    prefill: float
    decode: float


def measure_demand(reports: list[Report]) -> PoolDemand:
    """Turn the reports of one pool into engines kept busy by each kind of work."""
    prefill = sum(report.prompt_rate * report.prefill_s for report in reports)
    decode = sum(report.token_rate * report.step_s / report.slots for report in reports)
    return PoolDemand(prefill, decode)


def estimate_load(demand: PoolDemand, roles: list[str]) -> float:
    """Estimate how loaded the busiest part of a pool is; 1 is full."""
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
    watch: PendingChanges,
    state: State,
    envelope: Envelope,
    reports: dict[str, Report],
    now: float,
) -> tuple[str, str] | None:
    """Decide whether one target of a model should change its role.

    Args:
        watch: What was worth while before; brought up to date.
        state: The folded control stream.
        envelope: The standing intent.
        reports: Last reports by target.
        now: The present time, monotonic seconds.

    Returns:
        The target and its new role, or None.
    """
    model = envelope.intent.model
    pool = [target for target in state.targets.values() if target.pool == model]
    heard = [reports[target.name] for target in pool if target.name in reports]
    if len(heard) < len(pool) or any(target.order for target in pool):
        return None
    best = _find_best(pool, envelope, measure_demand(heard))
    if best is None:
        watch.wanted.pop(model, None)
        return None
    if watch.wanted.get(model) != best:
        watch.wanted[model] = best
        watch.since[model] = now
    if now - watch.since[model] < SUSTAINED_S:
        return None
    return best


def make_role_change(
    state: State, holder: str, change: tuple[str, str], id: str, wall: float
) -> RoleActed:
    """Make the record of an automatic change; ``wall`` is seconds since the epoch."""
    target, role = change
    return RoleActed(
        id=id,
        holder=holder,
        fence=state.lease.fence,
        target=target,
        role=role,
        at=wall,
    )


def _find_best(
    pool: list[Target], envelope: Envelope, demand: PoolDemand
) -> tuple[str, str] | None:
    intent = envelope.intent
    roles = {target.name: target.role for target in pool}
    now_load = estimate_load(demand, list(roles.values()))
    if now_load < BUSY_SHARE:
        return None
    lost = ROLE_CHANGE_S / (PAYBACK_S * len(pool))
    best, best_gain = None, intent.gain + lost
    for target in sorted(pool, key=lambda target: target.name):
        for role in ("prefill", "decode"):
            after = list((roles | {target.name: role}).values())
            prefill = after.count("prefill")
            if role == target.role or target.drained:
                continue
            if not intent.least_prefill <= prefill <= intent.most_prefill:
                continue
            load = estimate_load(demand, after)
            gain = 1.0 - load / now_load if now_load < math.inf else float(load < 9)
            if gain > best_gain + 1e-9:
                best, best_gain = (target.name, role), gain
    return best
