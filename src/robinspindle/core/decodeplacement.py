"""Chooses the decode engine of an answer."""

import math
import random

from robinspindle.core.engines import Engine
from robinspindle.core.estimates import Pair
from robinspindle.core.forwarding import Prompt
from robinspindle.core.interference import (
    PAUSE_LIMIT_SHARE,
    find_current_pause,
    find_event_s,
)
from robinspindle.core.room import estimate_memory_wait_s
from robinspindle.core.targets import Target
from robinspindle.core.zonecosts import CONSTANT_COSTS, CrossingCosts

COST_JITTER_SHARE = 0.2
"""Largest random addition to a decode engine's cost, as a share of the age of the known
state: some of the requests sent to an engine meanwhile are not yet known, and each of
them slows it down by a few milliseconds."""

REQUEST_COST_S = 0.002
"""Cost of each request in flight at a decode engine, seconds, so that answers are
spread over the engines: its share of the time of the decode steps that it slows
down."""

LONG_ANSWER_SLOT_SHARE = 0.3
"""Share of its slots that long answers may fill before they go to the next engine."""

UNEVEN_LOAD_COST_S = 0.02
"""Cost of an engine without long answers, or with too many, for one more long answer,
seconds. It is above the cost of another zone and below the prefill time of a prompt."""

LONGEST_TO_MEAN_RATIO = 2.5
"""Assumed ratio of the longest answers of a kind to their mean length."""

CAPACITY_SHARE = 0.85
"""An engine takes no more long answers once its time per event exceeds this share of
what the longest answers tolerate: the time per event rises as answers grow."""

SLOW_ENGINE_FACTOR = 1.25
"""An engine whose time per event exceeds this multiple of what the longest answers
tolerate is slow for another reason than its number of answers, and takes only shorter
ones. Between CAPACITY_SHARE and this factor, it is assumed to have too many answers."""

LENGTH_SAFETY_FACTOR = 2.0
"""Factor by which an answer may exceed its caller's guess and still meet its deadline:
the median guess is right, but many are far off."""

SLOW_EVENT_FACTOR = 2.5
"""Multiple of the time per event of the fastest engine above which the cost of an
engine rises: its long answers are then slow for another reason than their number."""

MAX_SLOWDOWN = 4.0
"""Upper limit of the slowdown that costs include: an engine that gets no requests
because of its cost cannot show that it has recovered."""

FAULT_COST_S = 0.3
"""Cost of a target that only fails, seconds; above a usual latency objective."""


def choose_long_decode_pair(
    pairs: list[Pair],
    zone: str,
    now: float,
    max_event_s: float = math.inf,
    longest_answer_event_s: float = math.inf,
    tokens: int | None = None,
    crossing: CrossingCosts = CONSTANT_COSTS,
) -> Pair:
    """Choose the engine that generates a long answer.

    The longest answers need short times per event, as they are otherwise cut at their
    callers' time limits; shorter ones tolerate a slower engine. If all answers were
    spread alike, the longest ones alone would be lost.

    Args:
        pairs: The decode engines, at least one.
        zone: The gateway's availability zone.
        now: The current time, monotonic seconds.
        max_event_s: The longest time per event with which the answer ends before its
            deadline, seconds.
        longest_answer_event_s: The same for the longest answers of its kind, seconds.
            Answers that tolerate an engine which is too slow for those leave the fast
            engines to them.
        tokens: Memory that the request takes, tokens; None if it doesn't count.
        crossing: What another zone costs.
    """

    def compute_late_cost_s(pair: Pair) -> float:
        target_cost_s = estimate_target_cost_s(pair[0], zone, crossing)
        return (
            _find_event_s_or_zero(pair[1], now)
            + target_cost_s
            + estimate_entry_wait_s(pair, tokens)
        )

    with_capacity = [
        p
        for p in pairs
        if has_long_capacity(p, now, max_event_s, longest_answer_event_s)
    ]
    fast_enough = [
        pair
        for pair in with_capacity
        if _find_event_s_or_zero(pair[1], now) <= max_event_s
    ]
    if not fast_enough:
        return min(with_capacity or pairs, key=compute_late_cost_s)
    slow_event_s = longest_answer_event_s * SLOW_ENGINE_FACTOR
    too_slow_for_longest = [
        pair
        for pair in fast_enough
        if _find_event_s_or_zero(pair[1], now) > slow_event_s
        and not estimate_entry_wait_s(pair, tokens)
    ]
    fastest_s = find_fastest_event_s(pairs, now)
    return min(
        too_slow_for_longest or fast_enough,
        key=lambda p: _compute_long_cost_s(p, zone, now, fastest_s, tokens, crossing),
    )


def find_max_event_s(prompt: Prompt, event_tokens: int, left_s: float) -> float:
    """Find the longest time per event that meets an answer's deadline, seconds.

    If the caller gives no guess of the length, any engine will do. Based on the maximum
    length, each answer would look like the longest, and all would choose the fastest
    engine.

    Args:
        prompt: Its prompt.
        event_tokens: Tokens per event.
        left_s: Time until its caller's limit, seconds.
    """
    if not prompt.expected_answer_tokens:
        return math.inf
    tokens = min(prompt.max_answer_tokens, prompt.expected_answer_tokens)
    events = max(1.0, tokens / event_tokens)
    return left_s / (events * LENGTH_SAFETY_FACTOR)


def find_longest_answer_event_s(
    prompt: Prompt, event_tokens: int, mean_events: float, left_s: float, gap_s: float
) -> float:
    """Find the longest time per event for the longest answers of a kind, seconds.

    If callers give no guesses, these lengths are unknown: the maximum that an answer
    may have is often far above all actual lengths.

    Args:
        prompt: A prompt of that kind.
        event_tokens: Tokens per event.
        mean_events: Expected mean number of events of the kind's answers.
        left_s: Time until its caller's limit, seconds.
        gap_s: The longest allowed pause between two events, seconds.
    """
    if not prompt.expected_answer_tokens:
        return math.inf
    max_events = prompt.max_answer_tokens / event_tokens
    events = max(1.0, min(max_events, mean_events * LONGEST_TO_MEAN_RATIO))
    return min(gap_s * PAUSE_LIMIT_SHARE, left_s / events)


def has_long_capacity(
    pair: Pair, now: float, max_event_s: float, longest_answer_event_s: float
) -> bool:
    """Check whether an engine has capacity for one more long answer.

    Args:
        pair: The engine.
        now: The current time, monotonic seconds.
        max_event_s: The longest time per event that this answer tolerates, seconds.
        longest_answer_event_s: The same for the longest of its kind, seconds.
    """
    event_s = _find_event_s_or_zero(pair[1], now)
    if event_s <= longest_answer_event_s * CAPACITY_SHARE:
        return True
    if event_s <= longest_answer_event_s * SLOW_ENGINE_FACTOR:
        return False
    return event_s <= max_event_s


def choose_decode_target(
    candidates: list[Pair],
    zone: str,
    now: float,
    age_s: float,
    rng: random.Random,
    has_pause_sensitive: bool = True,
    tokens: int | None = None,
    crossing: CrossingCosts = CONSTANT_COSTS,
    prefill_zone: str = "",
) -> Target | None:
    """Choose the target that decodes after a prefill on another engine.

    Args:
        candidates: The engines that may get work.
        zone: The gateway's availability zone.
        now: The current time, monotonic seconds.
        age_s: Maximum age of what other gateways have reported, seconds.
        rng: Source of random choices.
        has_pause_sensitive: Whether short answers are sensitive to pauses, so that the
            time per event of a decode engine counts.
        tokens: Memory that the request takes, tokens; None if it doesn't count.
        crossing: What another zone costs.
        prefill_zone: The zone where its KV cache is; empty where that costs nothing.
    """
    decode_pairs = [pair for pair in candidates if not pair[1].prefill_only]
    if not decode_pairs:
        return None

    fastest_s = find_fastest_event_s(decode_pairs, now) if has_pause_sensitive else 0.0

    def compute_cost_s(pair: Pair) -> float:
        slowdown = find_event_slowdown(pair[1], now, fastest_s)
        jitter_s = rng.random() * age_s * COST_JITTER_SHARE
        cost_s = jitter_s + estimate_decode_cost_s(
            pair, zone, slowdown, tokens, crossing
        )
        host_zone = pair[0].announced.zone
        return cost_s + estimate_move_cost_s(zone, prefill_zone, host_zone, crossing)

    return min(decode_pairs, key=compute_cost_s)[0]


def find_fastest_event_s(pairs: list[Pair], now: float) -> float:
    """Find the shortest known time per event, seconds; 0 if none is known."""
    known_s = (find_event_s(engine, now) for _, engine in pairs)
    return min((event_s for event_s in known_s if event_s is not None), default=0.0)


def _compute_long_cost_s(
    pair: Pair,
    zone: str,
    now: float,
    fastest_s: float,
    tokens: int | None,
    crossing: CrossingCosts,
) -> float:
    """Compute the cost of an engine for one more long answer, seconds.

    Long answers are concentrated on few engines, up to a share of their slots, so that
    the other engines are free to prefill: a prefill pauses the answers beside it.
    """
    target, engine = pair
    capacity = max(1.0, LONG_ANSWER_SLOT_SHARE * target.announced.slots)
    load = engine.long_answers / capacity
    load_cost_s = UNEVEN_LOAD_COST_S * (load if load >= 1.0 else 1.0 - load)
    event_s = _find_event_s_or_zero(engine, now)
    slow_s = max(0.0, event_s - SLOW_EVENT_FACTOR * fastest_s)
    wait_s = engine.backlog_s + estimate_entry_wait_s(pair, tokens)
    target_cost_s = estimate_target_cost_s(target, zone, crossing)
    return wait_s + load_cost_s + slow_s + target_cost_s


def _find_event_s_or_zero(engine: Engine, now: float) -> float:
    """Find the time per event of an engine's answers, seconds; 0 if not known."""
    return find_event_s(engine, now) or 0.0


def count_requests(pair: Pair) -> int:
    """Count the requests of all gateways that are in flight at an engine."""
    target, engine = pair
    return target.in_flight + engine.others_in_flight


def estimate_slot_wait_s(pair: Pair) -> float:
    """Estimate how long an answer waits for a slot of an engine, seconds.

    An engine generates a limited number of answers at once; the next one begins when
    one of them ends.
    """
    target, engine = pair
    slots = max(1, target.announced.slots)
    queued = count_requests(pair) + 1 - slots
    return max(0, queued) * engine.slot_hold_s / slots


def estimate_entry_wait_s(pair: Pair, tokens: int | None) -> float:
    """Estimate how long an answer waits for a slot and memory of an engine, seconds.

    Both become free as answers end, so the longer of the two waits counts.

    Args:
        pair: The engine.
        tokens: Memory that the request takes, tokens; None if it doesn't count.
    """
    slot_wait_s = estimate_slot_wait_s(pair)
    if tokens is None:
        return slot_wait_s
    return max(slot_wait_s, estimate_memory_wait_s(pair, tokens))


def find_event_slowdown(engine: Engine, now: float, fastest_s: float) -> float:
    """Find the ratio of an engine's time per event to that of the fastest engine.

    Args:
        engine: The engine.
        now: The current time, monotonic seconds.
        fastest_s: Time per event of the fastest engine, seconds; 0 if not known.
    """
    event_s = max(_find_event_s_or_zero(engine, now), find_current_pause(engine, now))
    if not event_s or not fastest_s:
        return 1.0
    return min(MAX_SLOWDOWN, max(1.0, event_s / fastest_s))


def estimate_decode_cost_s(
    pair: Pair,
    zone: str,
    slowdown: float = 1.0,
    tokens: int | None = None,
    crossing: CrossingCosts = CONSTANT_COSTS,
) -> float:
    """Estimate the cost of an engine for a short answer, seconds.

    Slow engines get fewer answers: where events take longer, each answer stays longer
    and slows more of the others. If they got as many as others, they would fill up with
    answers that pause and are cut at their callers' time limits.

    Args:
        pair: The engine.
        zone: The gateway's availability zone.
        slowdown: Ratio of its time per event to that of the fastest engine.
        tokens: Memory that the request takes, tokens; None if it doesn't count.
        crossing: What another zone costs.
    """
    target, engine = pair
    target_cost_s = estimate_target_cost_s(target, zone, crossing)
    return (
        count_requests(pair) * REQUEST_COST_S * slowdown
        + engine.backlog_s
        + target_cost_s
        + (0.0 if tokens is None else estimate_memory_wait_s(pair, tokens))
    )


def estimate_target_cost_s(
    target: Target, zone: str, crossing: CrossingCosts = CONSTANT_COSTS
) -> float:
    """Estimate the cost of a target's network delay and faults, seconds."""
    zone_cost_s = estimate_zone_cost_s(target, zone, crossing)
    return zone_cost_s + FAULT_COST_S * target.faults


def estimate_zone_cost_s(target: Target, zone: str, crossing: CrossingCosts) -> float:
    """Estimate the cost of the network delay to a target, seconds."""
    return crossing.delay_s if target.announced.zone != zone else 0.0


def estimate_move_cost_s(
    zone: str, prefill_zone: str, decode_zone: str, crossing: CrossingCosts
) -> float:
    """Estimate the cost of a decode engine by the bytes that move, seconds.

    Args:
        zone: The gateway's availability zone.
        prefill_zone: The zone where the KV cache is; empty if it doesn't move.
        decode_zone: The engine's zone.
        crossing: What another zone costs.
    """
    price_s = crossing.decode_price_s if decode_zone != zone else 0.0
    if prefill_zone in ("", decode_zone):
        return price_s
    return price_s + crossing.memory_price_s + crossing.memory_delay_s
