"""Chooses where a prompt is prefilled and where its answer is generated.

Either a prefill engine computes the KV cache of the prompt and the decode engine
fetches it (disaggregated prefill), or the decode engine prefills the prompt itself,
which is slower and delays the answers that it generates. Prompts share long parts, and
all caches together hold far more than one does, so what matters most is which engine
has cached those parts.
"""

import math
from dataclasses import replace

from robinspindle.core.decodeplacement import (
    choose_long_decode_pair,
    estimate_entry_wait_s,
    find_fastest_event_s,
    has_long_capacity,
)
from robinspindle.core.engines import Engine
from robinspindle.core.estimates import (
    CacheTransfer,
    Pair,
    find_cache_transfer,
)
from robinspindle.core.forwarding import Prompt
from robinspindle.core.interference import may_prefill_beside
from robinspindle.core.prefillbacklog import (
    RECENT_WINDOW_S,
    count_recent_prefills,
)
from robinspindle.core.priorities import (
    LATE_LEVEL,
    is_short,
)
from robinspindle.core.requestplans import (
    PlanningContext,
    RequestPlan,
    estimate_host_move_cost_s,
    estimate_load_cost_s,
    plan_local_prefill,
    plan_remote_prefill,
)

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

DEADLINE_SHARE = 0.9
"""Share of the time to the deadline that the estimate of a plan may use; the rest
covers estimation errors. With a smaller share, prompts that could have met their
deadlines are treated as late and queued behind all others."""

TIMEOUT_SHARE = 0.8
"""Share of the time until the caller times out that the estimated time to the first
event of a late answer may use; the rest covers estimation errors."""


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
    transfer = find_transfer(candidates, prompt, context)
    return choose_plan_with(candidates, prompt, context, transfer)


def choose_plan_with(
    candidates: list[Pair],
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
) -> RequestPlan | None:
    """Choose the same where the cache to fetch from, of any engine, is known.

    Args:
        candidates: The engines that may get work.
        prompt: The prompt.
        context: What else the choice depends on.
        transfer: The cache from which parts may be fetched; see `find_transfer`.
    """
    decode_pairs = [pair for pair in candidates if not pair[1].prefill_only]
    if not decode_pairs:
        return None
    context = _add_fastest(decode_pairs, context)
    if context.is_long:
        return _choose_long_plan(candidates, decode_pairs, prompt, context, transfer)
    return _choose_short_plan(candidates, decode_pairs, prompt, context, transfer)


def find_transfer(
    candidates: list[Pair], prompt: Prompt, context: PlanningContext
) -> CacheTransfer | None:
    """Find the cache from which parts of a prompt may be fetched; None for none.

    Args:
        candidates: The engines whose caches are looked at.
        prompt: The prompt.
        context: What else it depends on.
    """
    if not candidates or not context.policy.fetches_parts:
        return None
    if context.token_transfer_s is None:
        return None
    return find_cache_transfer(
        candidates, prompt, context.token_transfer_s, context.now
    )


def plan_each(
    candidates: list[Pair],
    prompt: Prompt,
    context: PlanningContext,
    chosen: RequestPlan,
) -> list[RequestPlan]:
    """Plan a prompt at each engine, to show what a chosen plan was compared with.

    Args:
        candidates: The engines that may get work.
        prompt: The prompt.
        context: What else the plans depend on.
        chosen: The chosen plan; its target decodes what others prefill.
    """
    decode_pairs = [pair for pair in candidates if not pair[1].prefill_only]
    context = _add_fastest(decode_pairs, context)
    context = replace(context, slot_wait_s=chosen.slot_wait_s)
    transfer = find_transfer(candidates, prompt, context)
    host = next(pair for pair in decode_pairs if pair[0] is chosen.target)
    is_late = chosen.level == LATE_LEVEL
    return [
        plan_remote_prefill(pair, host, prompt, context, transfer, is_late)
        if pair[1].prefill_only
        else plan_local_prefill(pair, prompt, context, transfer, is_late)
        for pair in candidates
    ]


def _add_fastest(decode_pairs: list[Pair], context: PlanningContext) -> PlanningContext:
    """Add the time per event of the fastest decode engine, where it counts."""
    if not context.has_pause_sensitive:
        return context
    fastest_s = find_fastest_event_s(decode_pairs, context.now)
    return replace(context, fastest_s=fastest_s)


def _choose_long_plan(
    candidates: list[Pair],
    decode_pairs: list[Pair],
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
) -> RequestPlan:
    """Choose the plan of a long answer: first its decode engine, then the prefill."""
    decode_pair = choose_long_decode_pair(
        decode_pairs,
        context.zone,
        context.now,
        context.max_event_s,
        context.longest_answer_event_s,
        context.tokens,
        context.crossing,
    )
    has_capacity = has_long_capacity(
        decode_pair, context.now, context.max_event_s, context.longest_answer_event_s
    )
    wait_s = estimate_entry_wait_s(decode_pair, context.tokens)
    context = replace(context, slot_wait_s=wait_s)
    plan = _plan_long(decode_pair, candidates, prompt, context, transfer)
    return replace(plan, has_capacity=has_capacity or context.is_answer_underserved)


def _choose_short_plan(
    candidates: list[Pair],
    decode_pairs: list[Pair],
    prompt: Prompt,
    context: PlanningContext,
    transfer: CacheTransfer | None,
) -> RequestPlan:
    """Choose the plan of a short answer: the cheapest in time, else the earliest."""
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
    local_plan = plan_local_prefill(decode_pair, prompt, context, transfer)
    if is_short(
        local_plan.prefill_s, context.latency_objective_s
    ) or _may_prefill_there(decode_pair[1], local_plan, context):
        return local_plan
    prefill_pairs = [pair for pair in candidates if pair[1].prefill_only]
    plans = [
        plan_remote_prefill(pair, decode_pair, prompt, context, transfer)
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
        plan_local_prefill(pair, prompt, context, transfer, is_late)
        for pair in local_pairs
    ]
    plans = [
        plan
        for plan, (_, engine) in zip(local_plans, local_pairs, strict=True)
        if _may_prefill_there(engine, plan, context)
    ]
    if prefill_pairs:
        hosts = _list_zone_hosts(decode_pairs, context)
        plans += [
            plan_remote_prefill(
                pair,
                _choose_host(pair, hosts, context),
                prompt,
                context,
                transfer,
                is_late,
            )
            for pair in prefill_pairs
        ]
    # Without a prefill engine, a decode engine has to prefill the prompt, unless other
    # decode engines have not been considered yet.
    return plans or (local_plans if len(local_pairs) == len(decode_pairs) else [])


def _list_zone_hosts(
    decode_pairs: list[Pair], context: PlanningContext
) -> list[tuple[float, Pair]]:
    """List the decode engine with the least load of each zone, and the cost of that.

    Where zones aren't weighed, only the one with the least load of all is listed.
    """
    if not context.policy.weighs_zones:
        pair = min(decode_pairs, key=lambda pair: estimate_load_cost_s(pair, context))
        return [(0.0, pair)]
    hosts: dict[str, tuple[float, Pair]] = {}
    for pair in decode_pairs:
        zone, cost_s = pair[0].announced.zone, estimate_load_cost_s(pair, context)
        if zone not in hosts or cost_s < hosts[zone][0]:
            hosts[zone] = cost_s, pair
    return list(hosts.values())


def _choose_host(
    prefill_pair: Pair, hosts: list[tuple[float, Pair]], context: PlanningContext
) -> Pair:
    """Choose the decode engine for a prompt that an engine prefills.

    The prompt's KV cache moves from one to the other, which is dearer between zones.
    """

    def compute_cost_s(host: tuple[float, Pair]) -> float:
        cost_s, (target, _) = host
        return cost_s + estimate_host_move_cost_s(prefill_pair[0], target, context)

    return min(hosts, key=compute_cost_s)[1]


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
