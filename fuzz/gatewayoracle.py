"""What must hold of gateways, whatever they decide and the store does."""

import random

from fuzz.gatewayworld import (
    DRAWS,
    GATEWAY_MOVES,
    HOLD_S,
    LEASE_S,
    RATIO,
    SLACK,
    WINDOW_S,
    GatewayWorld,
    make_gateway_world,
)
from robinspindle.core.targets import REAPPEARANCE_S

SETTLED_S = HOLD_S + REAPPEARANCE_S
"""After this a missing entry is believed, seconds, also soon after an outage."""

WEIGHTS = {"pass time": 6, "read": 6, "serve": 6, "claim": 4, "order": 4}
"""How often a move is drawn against the others, of which each counts 1."""

STEPS = 200
"""Moves of one seed."""


def play_gateways(seed: int) -> tuple[str, ...]:
    """Play one seed and return the faults, empty for none."""
    rng = random.Random(seed)
    world = make_gateway_world()
    names = [name for name in GATEWAY_MOVES for _ in range(WEIGHTS.get(name, 1))]
    for _ in range(STEPS):
        move = GATEWAY_MOVES[rng.choice(names)]
        move(world, rng.randrange(DRAWS), rng.randrange(DRAWS))
    return find_faults(world)


def find_faults(world: GatewayWorld) -> tuple[str, ...]:
    """Find all broken promises, a sentence each."""
    return (
        *_check_orders(world),
        *_check_versions(world),
        *_check_sendings(world),
        *_check_attempts(world),
        *_check_repeats(world),
    )


def _check_orders(world: GatewayWorld) -> list[str]:
    faults = []
    highest = 0
    for order in world.orders:
        if order.fence < highest:
            faults.append(f"{order.gateway} orders with an old fencing number")
        highest = max(highest, order.fence)
    for first, second in zip(world.orders, world.orders[1:], strict=False):
        is_near = second.at - first.at < LEASE_S
        if is_near and first.gateway != second.gateway:
            faults.append(f"{first.gateway} and {second.gateway} order in one lease")
    return faults


def _check_versions(world: GatewayWorld) -> list[str]:
    return [
        f"{name} went back to an older configuration"
        for name, versions in world.in_force.items()
        if versions != sorted(set(versions))
    ]


def _check_sendings(world: GatewayWorld) -> list[str]:
    faults = []
    for sent in world.sendings:
        if sent.is_leaving:
            faults.append(f"{sent.gateway} sent to {sent.target}, which leaves")
        if sent.is_over:
            faults.append(f"{sent.gateway} sent to {sent.target}, which is over")
        if sent.is_unreadable:
            faults.append(f"{sent.gateway} sent to {sent.target} in spite of garbage")
        since = sent.missing_since
        if since is not None and sent.at - since >= SETTLED_S:
            faults.append(f"{sent.gateway} sent to {sent.target}, which is gone")
    return faults


def _check_attempts(world: GatewayWorld) -> list[str]:
    faults = []
    for attempt in world.attempts:
        if attempt.runs > (attempt.route.attempts if attempt.route.may_rerun else 1):
            faults.append(f"{attempt.route.name} ran {attempt.runs} times")
        if attempt.says_not_run and attempt.runs:
            faults.append(f"{attempt.route.name} ran and its caller is told it did not")
    return faults


def _check_repeats(world: GatewayWorld) -> list[str]:
    for end in world.repeats:
        repeats = sum(end - WINDOW_S < at <= end for at in world.repeats)
        requests = sum(end - WINDOW_S < at <= end for at in world.requests)
        if repeats > RATIO * requests + SLACK:
            return [f"{repeats} repeats of {requests} requests in one window"]
    return []
