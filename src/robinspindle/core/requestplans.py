"""Plans of requests: where a prompt is prefilled, where its answer is generated.

A plan tells what it costs and when the first event is expected. Which plan is chosen is
decided in `core/prefillplacement.py`.
"""

import math
import random
from dataclasses import dataclass, replace

from robinspindle.core.decodeplacement import (
    REQUEST_COST_S,
    count_requests,
    estimate_decode_cost_s,
    estimate_move_cost_s,
    estimate_target_cost_s,
    find_event_slowdown,
)
from robinspindle.core.engines import Engine
from robinspindle.core.estimates import (
    CacheTransfer,
    Pair,
    PrefillEstimate,
    estimate_prefill,
)
from robinspindle.core.forwarding import Prompt
from robinspindle.core.policy import Policy
from robinspindle.core.prefillbacklog import estimate_wait, sum_backlog_s
from robinspindle.core.priorities import (
    FIRST_RANK_LEVEL,
    LATE_LEVEL,
    SHORT_LEVEL,
    find_priority_level,
    find_rank_level,
)
from robinspindle.core.room import estimate_memory_wait_s
from robinspindle.core.targets import Target
from robinspindle.core.zonecosts import CONSTANT_COSTS, CrossingCosts

MAX_DECODE_COST_S = 0.05
"""Upper limit on the cost of the decode engine's own load when the prompt is prefilled
on another engine, seconds."""


@dataclass(frozen=True)
class RequestPlan:
    """Where a request is prefilled and decoded.

    Attributes:
        target: The target that generates the answer.
        prefill_target: The target that prefills the prompt; None if `target` does it.
        cache_source: The target from whose cache the prefilling engine first fetches
            the parts that it lacks; None if nothing is fetched.
        uncached_tokens: Tokens that have to be prefilled.
        prefill_s: Estimated time for which the prefill occupies an engine, seconds.
        wait_s: Estimated wait for the prefill of other prompts, seconds.
        first_event_s: Estimated time until the first event, seconds.
        cost_s: Cost by which plans are compared, seconds.
        missing_share: Share of the prompt's shared parts that has to be prefilled
            again.
        fetch_s: Estimated duration of the fetch from `cache_source`, seconds.
        fetched_tokens: Tokens that it fetches.
        level: Priority level of the prefill.
        has_capacity: Whether the target has capacity for one more long answer.
        slot_wait_s: Estimated wait of a long answer for a slot of the target, seconds.
        load_cost_s: Part of the cost that other requests cause, which changes with
            them, seconds.
        leaving: Why it leaves the gateway's availability zone; empty if it stays, or if
            zones aren't weighed.
        home_first_event_s: `first_event_s` of the plan that stays, seconds; None if
            none was compared.
        is_continued: Whether the target goes on with an answer from its copy.
    """

    target: Target
    prefill_target: Target | None
    uncached_tokens: int
    prefill_s: float
    wait_s: float
    first_event_s: float
    cost_s: float
    missing_share: float = 0.0
    cache_source: Target | None = None
    fetch_s: float = 0.0
    fetched_tokens: int = 0
    level: int = FIRST_RANK_LEVEL
    has_capacity: bool = True
    slot_wait_s: float = 0.0
    load_cost_s: float = 0.0
    leaving: str = ""
    home_first_event_s: float | None = None
    is_continued: bool = False


@dataclass(frozen=True)
class PlanningContext:
    """What a plan depends on besides the engines.

    Attributes:
        now: The current time, monotonic seconds.
        left_s: Time until the deadline of the first event, seconds.
        latency_objective_s: Latency objective of the first event, seconds.
        rank: The operator's rank of the route; 0 is the highest.
        is_long: Whether the answer is expected to be long.
        gap_s: The longest allowed pause between two events of an answer, seconds.
        zone: The gateway's availability zone.
        has_pause_sensitive: Whether the service has short answers that are sensitive
            to pauses.
        handoff_s: Delay from the end of a prefill on another engine to the first
            event, seconds.
        late_handoff_s: The same delay for requests that miss their deadline.
        token_transfer_s: Time to transfer the KV cache of a token between engines of
            one availability zone, seconds; None if not known.
        age_s: Maximum age of what other gateways have reported, seconds.
        rng: Source of random choices; None to choose by cost alone.
        policy: The switches of the decisions.
        is_prompt_underserved: Whether prompts of its length are underserved, so that
            it keeps the priority of its rank even if it misses its deadline.
        fastest_s: Time per event of the fastest decode engine, seconds; 0 if not known
            or if no short answers are sensitive to pauses.
        max_event_s: The longest time per event with which the answer ends before its
            deadline, seconds.
        longest_answer_event_s: The same for the longest answers of its kind, seconds.
        slot_wait_s: Estimated wait of a long answer for room at its decode engine,
            seconds.
        is_answer_underserved: Whether answers of its length are underserved, so that
            it is sent even if its decode engine has too many long answers.
        tokens: Memory that the request takes at its decode engine, tokens; None if it
            doesn't count.
        crossing: What another availability zone costs.
    """

    now: float
    left_s: float
    latency_objective_s: float
    gap_s: float
    zone: str
    rank: int = 0
    is_long: bool = False
    has_pause_sensitive: bool = True
    handoff_s: float = 0.0
    late_handoff_s: float = 0.0
    token_transfer_s: float | None = None
    age_s: float = 0.0
    rng: random.Random | None = None
    policy: Policy = Policy()
    is_prompt_underserved: bool = False
    fastest_s: float = 0.0
    max_event_s: float = math.inf
    longest_answer_event_s: float = math.inf
    slot_wait_s: float = 0.0
    is_answer_underserved: bool = False
    tokens: int | None = None
    crossing: CrossingCosts = CONSTANT_COSTS


def plan_local_prefill(
    pair: Pair,
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
    is_late: bool = False,
) -> RequestPlan:
    """Plan to prefill a prompt on its decode engine."""
    target, engine = pair
    estimate = estimate_prefill(pair, prompt, context.now, transfer)
    target_cost_s = estimate_target_cost_s(target, context.zone, context.crossing)
    delay_s = target_cost_s + context.slot_wait_s
    slowdown = find_event_slowdown(engine, context.now, context.fastest_s)
    decode_cost_s = count_requests(pair) * REQUEST_COST_S * slowdown
    price_s = estimate_host_move_cost_s(None, target, context)
    price_s += _estimate_fetch_price_s(target, estimate, prompt, context)
    if context.tokens is not None:
        # As with an answer to a prompt that is prefilled elsewhere.
        memory_wait_s = estimate_memory_wait_s(pair, context.tokens)
        decode_cost_s += min(memory_wait_s, MAX_DECODE_COST_S)
    return _make_plan(
        target,
        None,
        engine,
        estimate,
        delay_s,
        decode_cost_s,
        price_s,
        context,
        is_late,
    )


def plan_remote_prefill(
    pair: Pair,
    decode_pair: Pair,
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
    is_late: bool = False,
) -> RequestPlan:
    """Plan to prefill a prompt on one engine and to decode its answer on another."""
    prefill_target, engine = pair
    estimate = estimate_prefill(pair, prompt, context.now, transfer)
    handoff_s = context.late_handoff_s if is_late else context.handoff_s
    crossing = context.crossing
    is_cross_zone = prefill_target.announced.zone != context.zone
    target_cost_s = estimate_target_cost_s(prefill_target, context.zone, crossing)
    delay_s = target_cost_s + max(handoff_s, context.slot_wait_s)
    price_s = crossing.prefill_price_s if is_cross_zone else 0.0
    # The decode engine may have other prompts to prefill, but it begins the answer to
    # a fetched prompt between two of these prefills.
    decode_cost_s = min(estimate_load_cost_s(decode_pair, context), MAX_DECODE_COST_S)
    price_s += estimate_host_move_cost_s(prefill_target, decode_pair[0], context)
    price_s += _estimate_fetch_price_s(prefill_target, estimate, prompt, context)
    return _make_plan(
        decode_pair[0],
        prefill_target,
        engine,
        estimate,
        delay_s,
        decode_cost_s,
        price_s,
        context,
        is_late,
    )


def plan_continuation(plan: RequestPlan, target: Target) -> RequestPlan:
    """Plan to go on with an answer at a target that has a copy of its KV cache.

    Args:
        plan: The plan of the run that was lost or stopped.
        target: The target.
    """
    return replace(
        plan,
        target=target,
        prefill_target=None,
        uncached_tokens=0,
        prefill_s=0.0,
        wait_s=0.0,
        cache_source=None,
        fetch_s=0.0,
        fetched_tokens=0,
        leaving="",
        home_first_event_s=None,
        is_continued=True,
    )


def estimate_load_cost_s(pair: Pair, context: PlanningContext) -> float:
    """Estimate the cost of generating an answer beside a decode engine's own load."""
    slowdown = find_event_slowdown(pair[1], context.now, context.fastest_s)
    return estimate_decode_cost_s(
        pair, context.zone, slowdown, context.tokens, context.crossing
    )


def estimate_host_move_cost_s(
    prefill_target: Target | None, target: Target, context: PlanningContext
) -> float:
    """Estimate the cost of generating at a target by the bytes that move, seconds.

    Args:
        prefill_target: The target that prefills the prompt; None if `target` does it.
        target: The target that generates the answer.
        context: What else it depends on.
    """
    prefill_zone = prefill_target.announced.zone if prefill_target else ""
    decode_zone = target.announced.zone
    return estimate_move_cost_s(
        context.zone, prefill_zone, decode_zone, context.crossing
    )


def _estimate_fetch_price_s(
    target: Target,
    estimate: PrefillEstimate,
    prompt: Prompt,
    context: PlanningContext,
) -> float:
    """Estimate the price of the parts that a target fetches from another zone."""
    source = estimate.cache_source
    if source is None or source.announced.zone == target.announced.zone:
        return 0.0
    share = estimate.fetched_tokens / max(1, prompt.tokens)
    return share * context.crossing.memory_price_s


def _make_plan(
    target: Target,
    prefill_target: Target | None,
    engine: Engine,
    estimate: PrefillEstimate,
    delay_s: float,
    decode_cost_s: float,
    price_s: float,
    context: PlanningContext,
    is_late: bool,
) -> RequestPlan:
    """Make a plan, given everything except the priority level and the wait.

    Args:
        target: The target that generates the answer.
        prefill_target: The target that prefills the prompt; None if `target` does it.
        engine: The engine that prefills it.
        estimate: The estimate of the prefill.
        delay_s: Time from the end of the prefill to the first event, seconds.
        decode_cost_s: Cost of the requests at the decode engine, seconds.
        price_s: Price of the bytes between availability zones, seconds.
        context: What else the plan depends on.
        is_late: Whether the prefill gets the level of late requests.
    """
    level = LATE_LEVEL if is_late else _find_level(estimate, context)
    wait_s = estimate_wait(engine, level, context.now)
    first_event_s = wait_s + estimate.seconds + delay_s
    # Prompts queued behind it add to the cost like those that it waits for.
    queued_behind_s = (
        sum_backlog_s(engine, LATE_LEVEL - 1) if context.policy.counts_held_up else 0.0
    )
    queue_cost_s = max(wait_s, queued_behind_s)
    return RequestPlan(
        target=target,
        prefill_target=prefill_target,
        uncached_tokens=estimate.uncached_tokens,
        prefill_s=estimate.prefill_s,
        wait_s=wait_s,
        first_event_s=first_event_s,
        cost_s=first_event_s
        - wait_s
        + queue_cost_s
        + decode_cost_s
        + estimate.penalty_s
        + price_s,
        load_cost_s=queue_cost_s + decode_cost_s,
        missing_share=estimate.missing_share,
        cache_source=estimate.cache_source,
        fetch_s=estimate.fetch_s,
        fetched_tokens=estimate.fetched_tokens,
        level=level,
        slot_wait_s=context.slot_wait_s,
    )


def _find_level(estimate: PrefillEstimate, context: PlanningContext) -> int:
    """Find the priority level of a prefill that is not late."""
    follows_ranks = context.policy.follows_ranks
    level = find_priority_level(
        estimate.prefill_s, context.latency_objective_s, context.rank, follows_ranks
    )
    if level == SHORT_LEVEL and context.is_long:
        # Its prefill delays no other request, but its answer does: it would occupy
        # slots that prefilled prompts with short answers are waiting for.
        return find_rank_level(context.rank)
    return level
