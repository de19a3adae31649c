"""Where a prompt is read and where its answer is generated.

Either an engine that only reads does it and the engine that generates fetches the
result, or the generating engine reads the prompt itself, more slowly and at the cost
of those that it serves. Prompts share long parts, so it matters most which engine has
read those before: all caches together hold far more than one does.
"""

import random
from dataclasses import dataclass

from robinspindle.core.engines import (
    Engine,
    count_cached,
    count_shared,
    estimate_read,
)
from robinspindle.core.forwarding import Prompt
from robinspindle.core.targets import Target

FETCH_S = 0.008
"""Seconds that reading apart adds: one more call and the fetch of about a gigabyte."""

FAR_S = 0.004
"""Seconds that another availability zone counts for: a round trip of about 3 ms, and
bytes that have a price."""

REREAD_WEIGHT = 2.0
"""How much more reading a shared part again weighs than the time that it takes: it
also pushes other parts out of the cache."""

SLOT_S = 0.002
"""Seconds that each request in flight counts for at a generating engine: its share of
the steps that it slows down."""

FAULT_S = 0.3
"""Seconds that a target which only fails counts for; longer than a usual aim."""

IN_TIME_SHARE = 0.7
"""Share of the time to the aim that a plan may fill by its estimate and still count as
in time; the rest is for the way to the caller and for what was misjudged."""

MOST_WAIT_SHARE = 0.55
"""Share of the aim that a prompt may wait for others, whatever its own length: so that
long prompts are not refused for being long."""


@dataclass(frozen=True)
class Plan:
    """Where a request goes.

    Attributes:
        target: Where its answer is generated.
        reader: Where its prompt is read; None to read it at the target.
        unread: Tokens that have to be read.
        wait_s: Estimated wait for other prompts, seconds.
        first_s: Estimated seconds until the first event.
        cost_s: What it counts for against other plans, seconds.
    """

    target: Target
    reader: Target | None
    unread: int
    wait_s: float
    first_s: float
    cost_s: float


def choose_plan(
    candidates: list[tuple[Target, Engine]],
    prompt: Prompt,
    left_s: float,
    zone: str,
    rng: random.Random,
) -> Plan | None:
    """Choose where a prompt is read and its answer generated.

    Args:
        candidates: The engines that may get work.
        prompt: The prompt.
        left_s: Seconds until the first event should have come.
        zone: The entry's availability zone.
        rng: Breaks ties.

    Returns:
        The cheapest plan that is in time; else the soonest; None without an engine
        that generates.
    """
    generating = [pair for pair in candidates if not pair[1].reads_only]
    if not generating:
        return None
    plans = [_plan_local(pair, prompt, zone, rng) for pair in generating]
    readers = [pair for pair in candidates if pair[1].reads_only]
    if readers:
        target, engine = min(
            generating, key=lambda pair: _weigh_target(pair, zone) + rng.random() * 1e-4
        )
        end_s = _weigh_target((target, engine), zone)
        plans += [
            _plan_apart(pair, target, end_s, prompt, zone, rng) for pair in readers
        ]
    in_time = [plan for plan in plans if plan.first_s <= left_s * IN_TIME_SHARE]
    if in_time:
        return min(in_time, key=lambda plan: plan.cost_s)
    return min(plans, key=lambda plan: plan.first_s)


def is_hopeless(plan: Plan, left_s: float, aim_s: float) -> bool:
    """Whether a request had better be refused than sent on.

    Answers after the aim are worth little, and each makes the next ones late too.
    """
    if plan.first_s <= left_s * IN_TIME_SHARE:
        return False
    return plan.wait_s > aim_s * MOST_WAIT_SHARE


def _weigh_target(pair: tuple[Target, Engine], zone: str) -> float:
    target, engine = pair
    requests = target.in_flight + engine.others_in_flight
    return requests * SLOT_S + engine.unread / engine.pace + _weigh_place(target, zone)


def _weigh_place(target: Target, zone: str) -> float:
    far_s = FAR_S if target.announced.zone != zone else 0.0
    return far_s + FAULT_S * target.faults


def _plan_local(
    pair: tuple[Target, Engine], prompt: Prompt, zone: str, rng: random.Random
) -> Plan:
    target, engine = pair
    cached = count_cached(engine, prompt)
    unread = prompt.tokens - cached
    wait_s = engine.unread / engine.pace
    requests = target.in_flight + engine.others_in_flight
    first_s = (
        estimate_read(engine, unread) + requests * SLOT_S + _weigh_place(target, zone)
    )
    return Plan(
        target,
        None,
        unread,
        wait_s,
        first_s,
        first_s + _weigh_reread(engine, prompt, cached) + rng.random() * 1e-4,
    )


def _plan_apart(
    pair: tuple[Target, Engine],
    target: Target,
    end_s: float,
    prompt: Prompt,
    zone: str,
    rng: random.Random,
) -> Plan:
    reader, engine = pair
    cached = count_cached(engine, prompt)
    unread = prompt.tokens - cached
    place_s = _weigh_place(reader, zone)
    # The target reads other prompts meanwhile, but lets a fetched one in between.
    first_s = estimate_read(engine, unread) + place_s + FETCH_S + min(end_s, 0.05)
    return Plan(
        target,
        reader,
        unread,
        engine.unread / engine.pace,
        first_s,
        first_s + _weigh_reread(engine, prompt, cached) + rng.random() * 1e-4,
    )


def _weigh_reread(engine: Engine, prompt: Prompt, cached: int) -> float:
    missing = max(0, count_shared(prompt) - cached)
    return REREAD_WEIGHT * missing / engine.pace
