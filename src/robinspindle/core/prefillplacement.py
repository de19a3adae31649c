"""Where a prompt is read and where its answer is generated.

Either an engine that only reads does it and the engine that generates fetches the
result, or the generating engine reads the prompt itself, more slowly and at the cost
of those that it serves. Prompts share long parts, so it matters most which engine has
read those before: all caches together hold far more than one does.
"""

import math
import random
from dataclasses import dataclass, replace

from robinspindle.core.decodeplacement import (
    SLOT_S,
    choose_long_decode_pair,
    count_requests,
    estimate_decode_cost_s,
    estimate_slot_wait_s,
    estimate_target_cost_s,
    find_event_slowdown,
    find_fastest_event_s,
    has_long_capacity,
)
from robinspindle.core.engines import (
    RECENT_WINDOW_S,
    Engine,
    count_recent_prefills,
    estimate_wait,
    sum_backlog_s,
)
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
from robinspindle.core.priorities import (
    FIRST_RANK_LEVEL,
    LATE_LEVEL,
    SHORT_LEVEL,
    find_priority_level,
    find_rank_level,
    is_short,
)
from robinspindle.core.targets import Target

SPREAD_SHARE = 1.0
"""By how much costs are varied at random, as a share of the age of what is known."""

FEW_CHOICES = 2
DRAWS = 2
MAX_UNREPORTED_PREFILLS = 0.3
"""Where others place more prompts at an engine than this, on average, before they tell
of it, only so many engines are compared, drawn at random; so many draws are made where
none of the first is in time. The choice of two rather than one is what matters where
beliefs are old (Mitzenmacher, "How useful is old information?", 2000). To draw among
those that look in time gains less: all run after those."""

MOST_END_S = 0.05
"""The most that the generating engine's own work counts for when a prompt is read
apart, seconds."""

IN_TIME_SHARE = 0.9
"""Share of the time to the aim that a plan may fill by its estimate and still count as
in time; the rest is for what was misjudged. With less of it prompts that could have
been in time give way to all others."""

HOPE_SHARE = 0.8
"""Share of the time until its caller gives up that the first event of a late answer may
take by its estimate; the rest is for what was misjudged."""


@dataclass(frozen=True)
class RequestPlan:
    """Where a request goes.

    Attributes:
        target: Where its answer is generated.
        reader: Where its prompt is read; None to read it at the target.
        holder: From whose cache the engine that reads it first fetches the parts that
            it lacks; None for none.
        uncached_tokens: Tokens that have to be read.
        prefill_s: Estimated seconds for which they occupy an engine.
        wait_s: Estimated wait for other prompts, seconds.
        first_event_s: Estimated seconds until the first event.
        cost_s: What it counts for against other plans, seconds.
        missing_share: Share of the prompt's shared parts that has to be read again.
        fetch_s: Seconds of fetching from the holder.
        level: How urgent the reading is.
        has_capacity: Whether the target bears a long answer beside those that it has.
        slot_wait_s: Estimated wait of a long answer for a slot of the target, seconds.
    """

    target: Target
    reader: Target | None
    uncached_tokens: int
    prefill_s: float
    wait_s: float
    first_event_s: float
    cost_s: float
    missing_share: float = 0.0
    holder: Target | None = None
    fetch_s: float = 0.0
    level: int = FIRST_RANK_LEVEL
    has_capacity: bool = True
    slot_wait_s: float = 0.0


@dataclass(frozen=True)
class PlanningContext:
    """What a choice depends on besides the engines.

    Attributes:
        now: The present time, steady seconds.
        left_s: Seconds until the first event should have come.
        latency_objective_s: The time in which the first event should come, seconds.
        rank: The operator's rank of the route; 0 is the highest.
        is_long: Whether the answer is expected to be long.
        gap_s: The longest pause that long answers beside it may have, seconds.
        zone: The entry's availability zone.
        has_pause_sensitive: Whether short answers beside it have pauses at all.
        handoff_s: Seconds from the end of a reading apart to the first event.
        late_handoff_s: The same for what goes after all that can be in time.
        token_transfer_s: Seconds that a token takes from engine to engine within an
            availability zone; None where that is not known.
        age_s: How old what the other entries told may be, seconds.
        rng: Source of random choices; None to choose by cost alone.
        policy: The decisions in force.
        is_prompt_underserved: Whether prompts of its length are underserved, so that
            it keeps the priority of its rank even if it misses its deadline.
        fastest_s: Pace of the fastest host, seconds an event; 0 where none is known
            or short answers have no pauses.
        max_event_s: The longest that an event may take for the answer to end in time,
            seconds.
        longest_answer_event_s: The same for the longest answers of its kind, seconds.
        slot_wait_s: How long a long answer waits for a slot of its host, seconds.
        is_answer_underserved: Whether it is sent also where its host has too many long
            answers, as those of its length are due a turn.
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
    candidates: list[Pair], prompt: Prompt, at: PlanningContext
) -> RequestPlan | None:
    """Choose where a prompt is read and its answer generated.

    Args:
        candidates: The engines that may get work.
        prompt: The prompt.
        at: What else it depends on.

    Returns:
        The cheapest plan that is in time; else the soonest; None without an engine
        that generates.
    """
    generating = [pair for pair in candidates if not pair[1].prefill_only]
    if not generating:
        return None
    if at.has_pause_sensitive:
        at = replace(at, fastest_s=find_fastest_event_s(generating, at.now))
    move = _find_move(candidates, prompt, at)
    if at.is_long:
        host = choose_long_decode_pair(
            generating, at.zone, at.now, at.max_event_s, at.longest_answer_event_s
        )
        has_capacity = has_long_capacity(
            host, at.now, at.max_event_s, at.longest_answer_event_s
        )
        at = replace(at, slot_wait_s=estimate_slot_wait_s(host))
        plan = _plan_long(host, candidates, prompt, at, move)
        return replace(plan, has_capacity=has_capacity or at.is_answer_underserved)
    draws = _draw(candidates, at)
    for drawn in draws:
        plans = _list_plans(drawn, generating, prompt, at, move)
        in_time = [
            plan for plan in plans if plan.first_event_s <= at.left_s * IN_TIME_SHARE
        ]
        if in_time:
            return min(in_time, key=lambda plan: plan.cost_s + _draw_spread(at))
    compared = [pair for drawn in draws for pair in drawn]
    is_late = not at.is_prompt_underserved
    late = _list_plans(compared, generating, prompt, at, move, is_late)
    if not late:
        late = _list_plans(candidates, generating, prompt, at, move, is_late)
    return min(late, key=lambda plan: plan.first_event_s + _draw_spread(at))


def _plan_long(
    host: Pair,
    candidates: list[Pair],
    prompt: Prompt,
    at: PlanningContext,
    move: CacheTransfer | None,
) -> RequestPlan:
    """Plan where the prompt of a long answer is read; its host is chosen already.

    The host reads it only where what it generates bears that. Read there in any case,
    long prompts slow the answers beside them, which then last long and are read there
    too.
    """
    local = _plan_local(host, prompt, at, move)
    if is_short(local.prefill_s, at.latency_objective_s) or _may_read_there(
        host[1], local, at
    ):
        return local
    readers = [pair for pair in candidates if pair[1].prefill_only]
    plans = [_plan_apart(pair, host, prompt, at, move) for pair in readers]
    return min(plans, key=lambda plan: plan.cost_s, default=local)


def should_refuse(
    plan: RequestPlan,
    last_s: float,
    serves_late: bool = True,
    most_slot_wait_s: float = math.inf,
) -> bool:
    """Whether a request had better be refused than sent on.

    A late answer is worth a part of one in time and a refusal nothing, so whatever is
    believed to begin before its caller gives up is sent, after all that can be in time.

    That holds for an answer that is expected to be long too: where those were never
    refused, most of the longest prompts waited in vain. A long one is also refused
    where it would make others of its kind miss their limits, or waits for a slot: who
    is refused at once can come back in time, who waits can't be in time any more.

    Args:
        plan: The best plan for it.
        last_s: Seconds until the caller gives up if no event has come.
        serves_late: Whether what can't be in time is sent at all.
        most_slot_wait_s: The longest wait for a slot of its host that is worth while,
            seconds.
    """
    if not plan.has_capacity or plan.slot_wait_s > most_slot_wait_s:
        return True
    if plan.level == LATE_LEVEL and not serves_late:
        return True
    return plan.first_event_s > last_s * HOPE_SHARE


def _draw(candidates: list[Pair], at: PlanningContext) -> list[list[Pair]]:
    """Draw the engines to compare; the next ones count if none is in time before.

    The more prompts others place before they tell of them, the less the best plan by
    what is known is the best one: all would run after the engine that looks idle.
    """
    few = FEW_CHOICES
    if len(candidates) <= few or not _is_old(candidates, at):
        return [candidates]
    drawn = at.rng.sample(candidates, min(len(candidates), few * DRAWS))
    return [drawn[start : start + few] for start in range(0, len(drawn), few)]


def _is_old(candidates: list[Pair], at: PlanningContext) -> bool:
    """Whether too much is placed before it is told for all engines to be compared."""
    if at.rng is None or not at.policy.varies_choices:
        return False
    placed = sum(count_recent_prefills(engine, at.now) for _, engine in candidates)
    return (
        placed / RECENT_WINDOW_S * at.age_s / len(candidates) > MAX_UNREPORTED_PREFILLS
    )


def _find_move(
    candidates: list[Pair], prompt: Prompt, at: PlanningContext
) -> CacheTransfer | None:
    if at.token_transfer_s is None or not at.policy.fetches_parts:
        return None
    return find_cache_transfer(candidates, prompt, at.token_transfer_s, at.now)


def _list_plans(
    readable: list[Pair],
    generating: list[Pair],
    prompt: Prompt,
    at: PlanningContext,
    move: CacheTransfer | None,
    is_late: bool = False,
) -> list[RequestPlan]:
    """List the plans for a prompt whose answer is short.

    An engine that generates reads it only where answers beside it may pause that long,
    unless there is no plan at all then.

    Args:
        readable: The engines that may read it.
        generating: All engines that may generate its answer, at least one.
        prompt: The prompt.
        at: What else it depends on.
        move: From where parts may be fetched.
        is_late: Whether it can't be in time.
    """
    hosts = [pair for pair in readable if not pair[1].prefill_only]
    readers = [pair for pair in readable if pair[1].prefill_only]
    local = [_plan_local(pair, prompt, at, move, is_late) for pair in hosts]
    plans = [
        plan
        for plan, (_, engine) in zip(local, hosts, strict=True)
        if _may_read_there(engine, plan, at)
    ]
    if readers:
        host = min(generating, key=lambda pair: _weigh_host(pair, at))
        plans += [
            _plan_apart(pair, host, prompt, at, move, is_late) for pair in readers
        ]
    # All that there is may be engines that had better not read.
    return plans or (local if len(hosts) == len(generating) else [])


def _may_read_there(engine: Engine, plan: RequestPlan, at: PlanningContext) -> bool:
    """Whether the answers that an engine generates bear a reading beside them."""
    has_pauses = engine.long_answers > 0 or at.has_pause_sensitive
    if not has_pauses or not at.policy.limits_reading:
        return True
    return may_prefill_beside(engine, at.now, plan.prefill_s, at.gap_s)


def _draw_spread(at: PlanningContext) -> float:
    """Draw what a plan counts for besides its cost, seconds.

    Entries that know the same, and all of it late, would all choose the same engine
    until they hear of one another.
    """
    if at.rng is None or not at.policy.varies_choices:
        return 0.0
    return at.rng.random() * at.age_s * SPREAD_SHARE


def _plan_local(
    pair: Pair,
    prompt: Prompt,
    at: PlanningContext,
    move: CacheTransfer | None,
    is_late: bool = False,
) -> RequestPlan:
    """Plan to read a prompt where its answer is generated."""
    target, engine = pair
    reading = estimate_prefill(pair, prompt, at.now, move)
    after_s = estimate_target_cost_s(target, at.zone) + at.slot_wait_s
    slowness = find_event_slowdown(engine, at.now, at.fastest_s)
    spread_s = count_requests(pair) * SLOT_S * slowness
    return _make_plan(target, None, engine, reading, after_s, spread_s, at, is_late)


def _plan_apart(
    pair: Pair,
    host: Pair,
    prompt: Prompt,
    at: PlanningContext,
    move: CacheTransfer | None,
    is_late: bool = False,
) -> RequestPlan:
    """Plan to read a prompt at one engine and to generate its answer at the host."""
    reader, engine = pair
    reading = estimate_prefill(pair, prompt, at.now, move)
    handoff_s = at.late_handoff_s if is_late else at.handoff_s
    after_s = estimate_target_cost_s(reader, at.zone) + max(handoff_s, at.slot_wait_s)
    # The host reads other prompts meanwhile, but lets a fetched one in between.
    spread_s = min(_weigh_host(host, at), MOST_END_S)
    return _make_plan(host[0], reader, engine, reading, after_s, spread_s, at, is_late)


def _weigh_host(pair: Pair, at: PlanningContext) -> float:
    slowness = find_event_slowdown(pair[1], at.now, at.fastest_s)
    return estimate_decode_cost_s(pair, at.zone, slowness)


def _make_plan(
    target: Target,
    reader: Target | None,
    engine: Engine,
    reading: PrefillEstimate,
    after_s: float,
    spread_s: float,
    at: PlanningContext,
    is_late: bool,
) -> RequestPlan:
    """Make a plan of which all but the level and the wait is known.

    Args:
        target: Where the answer is generated.
        reader: Where the prompt is read apart; None for at the target.
        engine: The engine that reads.
        reading: How it reads.
        after_s: What comes after the reading, seconds.
        spread_s: What the host's requests count for, seconds.
        at: What else the plan depends on.
        is_late: Whether it can't be in time.
    """
    follows_ranks = at.policy.follows_ranks
    level = find_priority_level(
        reading.prefill_s, at.latency_objective_s, at.rank, follows_ranks
    )
    if level == SHORT_LEVEL and at.is_long:
        # Its reading holds nobody up, its answer does: it would take the slots of
        # prompts that were read and whose answers are short.
        level = find_rank_level(at.rank)
    level = LATE_LEVEL if is_late else level
    wait_s = estimate_wait(engine, level, at.now)
    first_event_s = wait_s + reading.seconds + after_s
    # What waits behind it counts like what it waits for itself.
    behind_s = (
        sum_backlog_s(engine, LATE_LEVEL - 1) if at.policy.counts_held_up else 0.0
    )
    held_up_s = max(wait_s, behind_s)
    return RequestPlan(
        target=target,
        reader=reader,
        uncached_tokens=reading.uncached_tokens,
        prefill_s=reading.prefill_s,
        wait_s=wait_s,
        first_event_s=first_event_s,
        cost_s=first_event_s - wait_s + held_up_s + spread_s + reading.penalty_s,
        missing_share=reading.missing_share,
        holder=reading.holder,
        fetch_s=reading.fetch_s,
        level=level,
        slot_wait_s=at.slot_wait_s,
    )
