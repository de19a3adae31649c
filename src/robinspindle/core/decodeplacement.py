"""Where answers are generated: the choice among engines that host them."""

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
from robinspindle.core.targets import Target

HOST_SPREAD_SHARE = 0.2
"""By how much the weights of hosts are varied at random, as a share of the age of what
is known: some of what a host is sent meanwhile is not known yet, and each request slows
it down by some milliseconds."""

FAR_S = 0.010
"""Seconds that another availability zone counts for: a round trip of about 3 ms, and
bytes whose price is about that of reading 2,000 shared tokens again."""

SLOT_S = 0.002
"""Seconds that each request in flight counts for at a generating engine, so that
answers are spread: its share of the steps that it slows down."""

HOST_SHARE = 0.3
"""Share of its slots that long answers may fill before the next engine hosts them."""

HOST_S = 0.02
"""Seconds that an engine without long answers, or with too many, counts for as a host
of one more: more than the way to another zone, less than a prompt's reading."""

LONGEST_TIMES = 2.5
"""How many times longer than the mean of its kind a longest answer is."""

CAPACITY_SHARE = 0.85
"""Share of what the longest answers bear at which an engine takes no more of them:
events take longer as answers grow."""

SLOW_ENGINE_FACTOR = 1.25
"""An engine whose events take more than so many times what the longest answers bear is
slow by itself and hosts only shorter ones; below that it has too many."""

LENGTH_RESERVE = 2.0
"""How many times longer than its caller guessed an answer may become and still end in
time: guesses are right in the middle and often far off."""

SLOW_EVENTS = 2.5
"""From so many times the pace of the fastest host on, an engine's long answers are slow
for another reason than that they are many, and that counts against it as their host."""

MOST_SLOWNESS = 4.0
"""The most that this counts for: an engine that gets nothing is not seen to recover."""

FAULT_S = 0.3
"""Seconds that a target which only fails counts for; longer than a usual aim."""


def choose_long_decode_pair(
    hosts: list[Pair],
    zone: str,
    now: float,
    max_event_s: float = math.inf,
    longest_answer_event_s: float = math.inf,
) -> Pair:
    """Choose the engine that hosts a long answer.

    The longest answers need events that come fast, or their callers' limits cut them;
    others bear a slower host. Among all hosts alike the longest alone are lost.

    Args:
        hosts: The engines that generate, at least one.
        zone: The entry's availability zone.
        now: The present time, steady seconds.
        max_event_s: The longest that an event may take for the answer to end in time,
            seconds.
        longest_answer_event_s: The same for the longest answers of its kind,
            seconds. Answers that tolerate an engine which is too slow for those leave
            the fast engines to them.
    """

    def weigh_late(pair: Pair) -> float:
        way_s = estimate_target_cost_s(pair[0], zone)
        return _find_pace(pair[1], now) + way_s + estimate_slot_wait_s(pair)

    borne = [
        p
        for p in hosts
        if has_long_capacity(p, now, max_event_s, longest_answer_event_s)
    ]
    fast = [pair for pair in borne if _find_pace(pair[1], now) <= max_event_s]
    if not fast:
        return min(borne or hosts, key=weigh_late)
    too_slow_s = longest_answer_event_s * SLOW_ENGINE_FACTOR
    spared = [
        pair
        for pair in fast
        if _find_pace(pair[1], now) > too_slow_s and not estimate_slot_wait_s(pair)
    ]
    fastest_s = find_fastest_event_s(hosts, now)
    return min(spared or fast, key=lambda p: _weigh_host(p, zone, now, fastest_s))


def find_max_event_s(prompt: Prompt, event_tokens: int, whole_s: float) -> float:
    """Find how long an event may take for an answer to end in time, seconds.

    Where the caller does not guess any host will do: by the most that it may hold each
    answer would look like the longest, and all would run after the fastest host.

    Args:
        prompt: Its prompt.
        event_tokens: Tokens that an event holds.
        whole_s: Seconds until its caller's limit.
    """
    if not prompt.expected_answer_tokens:
        return math.inf
    tokens = min(prompt.max_answer_tokens, prompt.expected_answer_tokens)
    events = max(1.0, tokens / event_tokens)
    return whole_s / (events * LENGTH_RESERVE)


def find_longest_answer_event_s(
    prompt: Prompt, event_tokens: int, mean_events: float, whole_s: float, gap_s: float
) -> float:
    """Find how long an event may take for the longest answers of a kind, seconds.

    Where callers don't guess nothing is known of those: the most that an answer may
    hold is often far more than any does.

    Args:
        prompt: A prompt of that kind.
        event_tokens: Tokens that an event holds.
        mean_events: Events that answers of the kind are expected to hold on average.
        whole_s: Seconds until its caller's limit.
        gap_s: The longest pause that is in time, seconds.
    """
    if not prompt.expected_answer_tokens:
        return math.inf
    most_events = prompt.max_answer_tokens / event_tokens
    events = max(1.0, min(most_events, mean_events * LONGEST_TIMES))
    return min(gap_s * PAUSE_LIMIT_SHARE, whole_s / events)


def has_long_capacity(
    pair: Pair, now: float, max_event_s: float, longest_answer_event_s: float
) -> bool:
    """Whether an engine bears one more long answer beside those that it generates.

    Args:
        pair: The engine.
        now: The present time, steady seconds.
        max_event_s: The longest that an event may take for this answer, seconds.
        longest_answer_event_s: The same for the longest of its kind, seconds.
    """
    event_s = _find_pace(pair[1], now)
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
) -> Target | None:
    """Choose where the answer to a prompt that was read apart is generated.

    Args:
        candidates: The engines that may get work.
        zone: The entry's availability zone.
        now: The present time, steady seconds.
        age_s: How old what the other entries told may be, seconds.
        rng: Source of random choices.
        has_pause_sensitive: Whether short answers are sensitive to pauses, so that
            the time per event of a decode engine counts.
    """
    generating = [pair for pair in candidates if not pair[1].prefill_only]
    if not generating:
        return None

    fastest_s = find_fastest_event_s(generating, now) if has_pause_sensitive else 0.0

    def weigh(pair: Pair) -> float:
        slowness = find_event_slowdown(pair[1], now, fastest_s)
        spread_s = rng.random() * age_s * HOST_SPREAD_SHARE
        return estimate_decode_cost_s(pair, zone, slowness) + spread_s

    return min(generating, key=weigh)[0]


def find_fastest_event_s(hosts: list[Pair], now: float) -> float:
    """Find the pace of the fastest host that is known, seconds an event; 0 for none."""
    known = (find_event_s(engine, now) for _, engine in hosts)
    return min((event_s for event_s in known if event_s is not None), default=0.0)


def _weigh_host(pair: Pair, zone: str, now: float, fastest_s: float) -> float:
    """Weigh an engine as the host of a long answer.

    Long answers are brought together on few engines, up to a share of their slots, so
    that the others are free to read: reading makes the answers beside it pause.
    """
    target, engine = pair
    room = max(1.0, HOST_SHARE * target.announced.slots)
    used = engine.long_answers / room
    crowded_s = HOST_S * (used if used >= 1.0 else 1.0 - used)
    event_s = _find_pace(engine, now)
    slow_s = max(0.0, event_s - SLOW_EVENTS * fastest_s)
    wait_s = engine.backlog_s + estimate_slot_wait_s(pair)
    return wait_s + crowded_s + slow_s + estimate_target_cost_s(target, zone)


def _find_pace(engine: Engine, now: float) -> float:
    """Find the pace of an engine's answers, seconds an event; 0 where not known."""
    return find_event_s(engine, now) or 0.0


def count_requests(pair: Pair) -> int:
    """Count the requests of all entries that are under way at an engine."""
    target, engine = pair
    return target.in_flight + engine.others_in_flight


def estimate_slot_wait_s(pair: Pair) -> float:
    """Find how long an answer waits for a slot of an engine, seconds.

    An engine makes so many answers at once; one more begins when one of them ends.
    """
    target, engine = pair
    slots = max(1, target.announced.slots)
    beyond = count_requests(pair) + 1 - slots
    return max(0, beyond) * engine.slot_hold_s / slots


def find_event_slowdown(engine: Engine, now: float, fastest_s: float) -> float:
    """Find how many times longer an engine's events take than the fastest host's.

    Args:
        engine: The engine.
        now: The present time, steady seconds.
        fastest_s: Pace of the fastest host, seconds an event; 0 where none is known.
    """
    event_s = max(_find_pace(engine, now), find_current_pause(engine, now))
    if not event_s or not fastest_s:
        return 1.0
    return min(MOST_SLOWNESS, max(1.0, event_s / fastest_s))


def estimate_decode_cost_s(pair: Pair, zone: str, slowness: float = 1.0) -> float:
    """Weigh an engine as the host of a short answer, seconds.

    Where events take longer each answer stays longer and slows more of the others:
    slow hosts get fewer. With as many as others they fill up with answers that pause
    and are cut at their callers' limits.

    Args:
        pair: The engine.
        zone: The entry's availability zone.
        slowness: How many times longer its events take than the fastest host's.
    """
    target, engine = pair
    way_s = estimate_target_cost_s(target, zone)
    return count_requests(pair) * SLOT_S * slowness + engine.backlog_s + way_s


def estimate_target_cost_s(target: Target, zone: str) -> float:
    """Weigh a target's way and its faults, seconds."""
    far_s = FAR_S if target.announced.zone != zone else 0.0
    return far_s + FAULT_S * target.faults
