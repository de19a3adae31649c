"""Chooses where a prompt is prefilled and where its answer is generated.

Either a prefill engine computes the KV cache of the prompt and the decode engine
fetches it (disaggregated prefill), or the decode engine prefills the prompt itself,
which is slower and delays the answers that it generates. Prompts share long parts, and
all caches together hold far more than one does, so what matters most is which engine
has cached those parts.
"""

import math
import random
from dataclasses import dataclass, replace

from robinspindle.core.decodeplacement import (
    REQUEST_COST_S,
    choose_long_decode_pair,
    count_requests,
    estimate_decode_cost_s,
    estimate_slot_wait_s,
    estimate_target_cost_s,
    find_event_slowdown,
    find_fastest_event_s,
    has_long_capacity,
)
from robinspindle.core.engines import Engine
from robinspindle.core.estimates import (
    CacheTransfer,
    Pair,
    PrefillEstimate,
    estimate_prefill,
    find_cache_transfer,
)
from robinspindle.core.forwarding import Prompt
from robinspindle.core.interference import may_prefill_beside
from robinspindle.core.policy import Policy
from robinspindle.core.prefillbacklog import (
    RECENT_WINDOW_S,
    count_recent_prefills,
    estimate_wait,
    sum_backlog_s,
)
from robinspindle.core.priorities import (
    FIRST_RANK_LEVEL,
    LATE_LEVEL,
    SHORT_LEVEL,
    find_priority_level,
    find_rank_level,
    is_short,
)
from robinspindle.core.targets import Target

COST_JITTER_SHARE = 1.0
"""Largest random addition to the cost of a plan, as a share of the maximum age of what
other gateways have reported."""

SUBSET_SIZE = 2
MAX_SUBSETS = 2
MAX_UNREPORTED_PREFILLS = 0.3
"""Limits the number of engines that are compared when the known state is stale.

If other gateways place more than MAX_UNREPORTED_PREFILLS prompts at an engine, on
average, before they report it, only SUBSET_SIZE randomly chosen engines are compared;
up to MAX_SUBSETS such subsets are tried if no plan of the first meets the deadline.
With stale state, comparing two engines instead of one gives most of the gain
(Mitzenmacher, "How useful is old information?", 2000). Sampling only among the engines
that appear to meet the deadline gains less, as all gateways then choose those."""

MAX_DECODE_COST_S = 0.05
"""Upper limit on the cost of the decode engine's own load when the prompt is prefilled
on another engine, seconds."""

DEADLINE_SHARE = 0.9
"""Share of the time to the deadline that the estimate of a plan may use; the rest
covers estimation errors. With a smaller share, prompts that could have met their
deadlines are treated as late and queued behind all others."""

TIMEOUT_SHARE = 0.8
"""Share of the time until the caller times out that the estimated time to the first
event of a late answer may use; the rest covers estimation errors."""


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
        level: Priority level of the prefill.
        has_capacity: Whether the target has capacity for one more long answer.
        slot_wait_s: Estimated wait of a long answer for a slot of the target, seconds.
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
    level: int = FIRST_RANK_LEVEL
    has_capacity: bool = True
    slot_wait_s: float = 0.0


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
        slot_wait_s: Estimated wait of a long answer for a slot of its decode engine,
            seconds.
        is_answer_underserved: Whether answers of its length are underserved, so that
            it is sent even if its decode engine has too many long answers.
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


def choose_plan(
    candidates: list[Pair], prompt: Prompt, context: PlanningContext
) -> RequestPlan | None:
    """Choose where a prompt is prefilled and where its answer is generated.

    Args:
        candidates: The engines that may get work.
        prompt: The prompt.
        context: What else the choice depends on.

    Returns:
        The cheapest plan that meets the deadline; if there is none, the plan with the
        earliest first event; None if there is no decode engine.
    """
    decode_pairs = [pair for pair in candidates if not pair[1].prefill_only]
    if not decode_pairs:
        return None
    if context.has_pause_sensitive:
        context = replace(
            context, fastest_s=find_fastest_event_s(decode_pairs, context.now)
        )
    transfer = _find_transfer(candidates, prompt, context)
    if context.is_long:
        decode_pair = choose_long_decode_pair(
            decode_pairs,
            context.zone,
            context.now,
            context.max_event_s,
            context.longest_answer_event_s,
        )
        has_capacity = has_long_capacity(
            decode_pair,
            context.now,
            context.max_event_s,
            context.longest_answer_event_s,
        )
        context = replace(context, slot_wait_s=estimate_slot_wait_s(decode_pair))
        plan = _plan_long(decode_pair, candidates, prompt, context, transfer)
        return replace(plan, has_capacity=has_capacity or context.is_answer_underserved)
    subsets = _draw_subsets(candidates, context)
    for subset in subsets:
        plans = _list_plans(subset, decode_pairs, prompt, context, transfer)
        in_time = [
            plan
            for plan in plans
            if plan.first_event_s <= context.left_s * DEADLINE_SHARE
        ]
        if in_time:
            return min(in_time, key=lambda plan: plan.cost_s + _draw_jitter_s(context))
    compared = [pair for subset in subsets for pair in subset]
    is_late = not context.is_prompt_underserved
    late = _list_plans(compared, decode_pairs, prompt, context, transfer, is_late)
    if not late:
        late = _list_plans(candidates, decode_pairs, prompt, context, transfer, is_late)
    return min(late, key=lambda plan: plan.first_event_s + _draw_jitter_s(context))


def _plan_long(
    decode_pair: Pair,
    candidates: list[Pair],
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
) -> RequestPlan:
    """Plan the prefill for a long answer whose decode engine has been chosen.

    The decode engine prefills the prompt only if the answers that it generates allow
    it. If it prefilled every prompt, long prompts would slow the answers beside them;
    these would then last long enough to count as long, and their prompts would be
    prefilled there too.
    """
    local_plan = _plan_local_prefill(decode_pair, prompt, context, transfer)
    if is_short(
        local_plan.prefill_s, context.latency_objective_s
    ) or _may_prefill_there(decode_pair[1], local_plan, context):
        return local_plan
    prefill_pairs = [pair for pair in candidates if pair[1].prefill_only]
    plans = [
        _plan_remote_prefill(pair, decode_pair, prompt, context, transfer)
        for pair in prefill_pairs
    ]
    return min(plans, key=lambda plan: plan.cost_s, default=local_plan)


def should_refuse(
    plan: RequestPlan,
    timeout_s: float,
    serves_late: bool = True,
    max_slot_wait_s: float = math.inf,
) -> bool:
    """Check whether to refuse a request rather than send it.

    A late answer is worth a part of one that meets its deadline and a refusal is worth
    nothing. Therefore a request is sent, after all that can meet their deadlines, if
    its answer is estimated to begin before its caller times out.

    This also applies to answers that are expected to be long: if these were never
    refused, the longest prompts would wait until their callers time out. A long answer
    is also refused if it would make others of its kind miss their time limits, or if it
    would wait for a slot: a caller that is refused at once can retry in time, but one
    that waits misses its deadline.

    Args:
        plan: The best plan for the request.
        timeout_s: Time until the caller gives up if it receives no event, seconds.
        serves_late: Whether requests that miss their deadline are sent at all.
        max_slot_wait_s: The longest acceptable wait for a slot of the decode engine,
            seconds.
    """
    if not plan.has_capacity or plan.slot_wait_s > max_slot_wait_s:
        return True
    if plan.level == LATE_LEVEL and not serves_late:
        return True
    return plan.first_event_s > timeout_s * TIMEOUT_SHARE


def _draw_subsets(candidates: list[Pair], context: PlanningContext) -> list[list[Pair]]:
    """Draw the subsets of engines to compare, in the order in which they are tried.

    A later subset is used if no plan of the earlier ones meets the deadline. The more
    prompts other gateways place before they report them, the less reliable the plan
    that looks best: all gateways would choose the engine that appears idle.
    """
    size = SUBSET_SIZE
    if len(candidates) <= size or not _is_view_stale(candidates, context):
        return [candidates]
    subset = context.rng.sample(candidates, min(len(candidates), size * MAX_SUBSETS))
    return [subset[start : start + size] for start in range(0, len(subset), size)]


def _is_view_stale(candidates: list[Pair], context: PlanningContext) -> bool:
    """Check whether too many prompts are placed unreported to compare all engines."""
    if context.rng is None or not context.policy.varies_choices:
        return False
    prefills = sum(
        count_recent_prefills(engine, context.now) for _, engine in candidates
    )
    return (
        prefills / RECENT_WINDOW_S * context.age_s / len(candidates)
        > MAX_UNREPORTED_PREFILLS
    )


def _find_transfer(
    candidates: list[Pair], prompt: Prompt, context: PlanningContext
) -> CacheTransfer | None:
    if context.token_transfer_s is None or not context.policy.fetches_parts:
        return None
    return find_cache_transfer(
        candidates, prompt, context.token_transfer_s, context.now
    )


def _list_plans(
    prefill_candidates: list[Pair],
    decode_pairs: list[Pair],
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
    is_late: bool = False,
) -> list[RequestPlan]:
    """List the plans for a prompt whose answer is short.

    A decode engine prefills it only if the answers beside it may pause for that long,
    unless there would be no plan at all.

    Args:
        prefill_candidates: The engines that may prefill it.
        decode_pairs: All engines that may generate its answer, at least one.
        prompt: The prompt.
        context: What else the plans depend on.
        transfer: The cache from which parts may be fetched.
        is_late: Whether the prefill gets the level of late requests.
    """
    local_pairs = [pair for pair in prefill_candidates if not pair[1].prefill_only]
    prefill_pairs = [pair for pair in prefill_candidates if pair[1].prefill_only]
    local_plans = [
        _plan_local_prefill(pair, prompt, context, transfer, is_late)
        for pair in local_pairs
    ]
    plans = [
        plan
        for plan, (_, engine) in zip(local_plans, local_pairs, strict=True)
        if _may_prefill_there(engine, plan, context)
    ]
    if prefill_pairs:
        decode_pair = min(
            decode_pairs, key=lambda pair: _estimate_decode_cost_s(pair, context)
        )
        plans += [
            _plan_remote_prefill(pair, decode_pair, prompt, context, transfer, is_late)
            for pair in prefill_pairs
        ]
    # Without a prefill engine, a decode engine has to prefill the prompt, unless other
    # decode engines have not been considered yet.
    return plans or (local_plans if len(local_pairs) == len(decode_pairs) else [])


def _may_prefill_there(
    engine: Engine, plan: RequestPlan, context: PlanningContext
) -> bool:
    """Check whether the answers of an engine allow a prefill beside them."""
    has_pauses = engine.long_answers > 0 or context.has_pause_sensitive
    if not has_pauses or not context.policy.limits_reading:
        return True
    return may_prefill_beside(engine, context.now, plan.prefill_s, context.gap_s)


def _draw_jitter_s(context: PlanningContext) -> float:
    """Draw a random addition to the cost of a plan, seconds.

    Gateways with the same stale state would otherwise all choose the same engine until
    they receive each other's reports.
    """
    if context.rng is None or not context.policy.varies_choices:
        return 0.0
    return context.rng.random() * context.age_s * COST_JITTER_SHARE


def _plan_local_prefill(
    pair: Pair,
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
    is_late: bool = False,
) -> RequestPlan:
    """Plan to prefill a prompt on its decode engine."""
    target, engine = pair
    estimate = estimate_prefill(pair, prompt, context.now, transfer)
    delay_s = estimate_target_cost_s(target, context.zone) + context.slot_wait_s
    slowdown = find_event_slowdown(engine, context.now, context.fastest_s)
    decode_cost_s = count_requests(pair) * REQUEST_COST_S * slowdown
    return _make_plan(
        target, None, engine, estimate, delay_s, decode_cost_s, context, is_late
    )


def _plan_remote_prefill(
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
    delay_s = estimate_target_cost_s(prefill_target, context.zone) + max(
        handoff_s, context.slot_wait_s
    )
    # The decode engine may have other prompts to prefill, but it begins the answer to
    # a fetched prompt between two of these prefills.
    decode_cost_s = min(
        _estimate_decode_cost_s(decode_pair, context), MAX_DECODE_COST_S
    )
    return _make_plan(
        decode_pair[0],
        prefill_target,
        engine,
        estimate,
        delay_s,
        decode_cost_s,
        context,
        is_late,
    )


def _estimate_decode_cost_s(pair: Pair, context: PlanningContext) -> float:
    slowdown = find_event_slowdown(pair[1], context.now, context.fastest_s)
    return estimate_decode_cost_s(pair, context.zone, slowdown)


def _make_plan(
    target: Target,
    prefill_target: Target | None,
    engine: Engine,
    estimate: PrefillEstimate,
    delay_s: float,
    decode_cost_s: float,
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
        context: What else the plan depends on.
        is_late: Whether the prefill gets the level of late requests.
    """
    follows_ranks = context.policy.follows_ranks
    level = find_priority_level(
        estimate.prefill_s, context.latency_objective_s, context.rank, follows_ranks
    )
    if level == SHORT_LEVEL and context.is_long:
        # Its prefill delays no other request, but its answer does: it would occupy
        # slots that prefilled prompts with short answers are waiting for.
        level = find_rank_level(context.rank)
    level = LATE_LEVEL if is_late else level
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
        + estimate.penalty_s,
        missing_share=estimate.missing_share,
        cache_source=estimate.cache_source,
        fetch_s=estimate.fetch_s,
        level=level,
        slot_wait_s=context.slot_wait_s,
    )
