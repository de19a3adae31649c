"""A gateway's local view of a model engine: its KV cache, prefill backlog and speed.

An engine's own report is late by some hundred milliseconds, longer than the prefill of
a prompt. A gateway knows at once which prompts it places, and sends that to the other
gateways, so the view is built from placements: a simulated LRU cache of the engine, and
the sum of the prefills that are not done yet.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core import prefillmodel
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.prefillmodel import PrefillModel, PrefillSample
from robinspindle.core.priorities import LATE_LEVEL, make_level_sums

SLOWNESS_SMOOTHING = 0.2
"""Weight of the latest sample in an engine's slowness: about the last five count, so
that a slow engine is detected within a second."""

SLOWNESS_BOUNDS = (0.25, 16.0)
"""Bounds of the ratio of measured to estimated time that one sample gives: beyond them,
the prefill had to wait."""

UNKNOWN_CACHE_S = 10.0
"""Time after the start of a gateway during which engines whose cache contents it hasn't
received give no samples, seconds: the parts that matter have been placed again by
then."""

QUEUED_SMOOTHING = 0.05
QUEUED_BOUNDS = (0.5, 2.0)
"""Weight of a sample whose prefill waited for others, and bounds of its ratio of
measured to planned time."""

CACHE_SHARE = 0.85
"""Share of an engine's KV cache assumed to hold cached prompt parts; running requests
occupy the rest."""


SHORT_PREFILL_SHARE = 0.6
"""Share of the gap between two events that an engine may spend on prefills while it
generates short answers only. The rest is for the decode steps of the next event."""

RECENT_WINDOW_S = 1.0
"""Time for which the start of a prefill is remembered, seconds: several gaps between
events and as many prefills, enough to measure the share of time that prefills of
higher priority take."""

MIN_IDLE_SHARE = 0.1
"""Least share of its time that an engine is assumed to have for prefills of lower
priority."""


@dataclass(frozen=True)
class PrefillStart:
    """The start of a prefill at an engine.

    Attributes:
        at: Time of the start, monotonic seconds.
        seconds: Estimated duration, seconds.
        level: Its priority level.
    """

    at: float
    seconds: float
    level: int


@dataclass
class Engine:
    """A gateway's local view of one engine.

    Attributes:
        prefill_only: Whether it only prefills prompts and generates nothing.
        cache_tokens: Capacity of its KV cache, tokens.
        prefill_model: The prefill model of its service and role; engines of the same
            service and role share it.
        slowness: Ratio of its prefill times to those of the model.
        cached: Tokens of the prompt parts in its cache, by part id; least recently used
            first.
        cached_tokens: Sum of `cached`, tokens.
        ready_at: Time from which a part whose prefill is in progress can be transferred
            to another engine, monotonic seconds, by part id.
        is_cache_known: Whether the contents that its cache had before this gateway
            started were received.
        own_backlog_s: Prefill backlog from this gateway, seconds, by priority level.
        peer_backlogs_s: The same for the other gateways, by name; see
            `note_peer_backlog`.
        peers_backlog_s: Sum of `peer_backlogs_s`, seconds, by priority level.
        peers_in_flight: Requests of the other gateways in progress there, by name.
        slot_hold_s: Mean time that an answer occupies a slot there, seconds; 0 for
            unknown.
        own_long_answers: Long answers that it generates for this gateway.
        peers_long_answers: The same for the other gateways, by name.
        recent_prefills: Prefills that began there recently.
        placed: Number of prompts that all gateways placed there.
        event_interval_s: Mean time between two events of its long answers, seconds, as
            observed by this gateway.
        event_at: Time when that was last observed, monotonic seconds.
        own_answers: Answers that it generates for this gateway.
        answer_at: Time of the last event, or start, of one of those, monotonic seconds.
        prefill_share: Share of its time that it may spend on prefills while it
            generates long answers; adapted to the observed gaps between events.
        short_prefill_share: The same while it generates short answers only.
    """

    prefill_only: bool
    cache_tokens: int
    prefill_model: PrefillModel
    slowness: float = 1.0
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    ready_at: dict[str, float] = field(default_factory=dict)
    is_cache_known: bool = False
    own_backlog_s: list[float] = field(default_factory=make_level_sums)
    peer_backlogs_s: dict[str, list[float]] = field(default_factory=dict)
    peers_backlog_s: list[float] = field(default_factory=make_level_sums)
    peers_in_flight: dict[str, int] = field(default_factory=dict)
    slot_hold_s: float = 0.0
    own_long_answers: int = 0
    peers_long_answers: dict[str, int] = field(default_factory=dict)
    recent_prefills: deque[PrefillStart] = field(default_factory=deque)
    placed: int = 0
    event_interval_s: float = 0.0
    event_at: float = -math.inf
    own_answers: int = 0
    answer_at: float = -math.inf
    prefill_share: float = 0.4
    short_prefill_share: float = SHORT_PREFILL_SHARE

    @property
    def backlog_s(self) -> float:
        """Prefill backlog from all gateways, seconds."""
        return sum_backlog_s(self, LATE_LEVEL)

    @property
    def others_in_flight(self) -> int:
        """Requests of the other gateways in progress there."""
        return sum(self.peers_in_flight.values())

    @property
    def long_answers(self) -> int:
        """Long answers that it generates for all gateways."""
        return self.own_long_answers + sum(self.peers_long_answers.values())


def make_engine(
    prefill_only: bool, cache_tokens: int, prefill_model: PrefillModel | None = None
) -> Engine:
    """Make the view of an engine that nothing is known of.

    Args:
        prefill_only: Whether it only prefills prompts.
        cache_tokens: Capacity of its KV cache, tokens.
        prefill_model: The prefill model of its service and role; None for a new one.
    """
    return Engine(
        prefill_only,
        cache_tokens,
        prefill_model or prefillmodel.make_prefill_model(prefill_only),
    )


def count_cached(engine: Engine, prompt: Prompt, ready_by: float = math.inf) -> int:
    """Count the tokens of a prompt that are in an engine's cache.

    A part can be reused only if all parts before it are cached too.

    Args:
        engine: The engine.
        prompt: The prompt.
        ready_by: Time by which the prefill of the parts must be done, monotonic
            seconds: until then they can't be transferred to another engine.
    """
    count = 0
    for part in prompt.parts:
        if engine.cached.get(part.id, 0) < part.tokens:
            break
        if engine.ready_at.get(part.id, 0.0) > ready_by:
            break
        count += part.tokens
    return count


def count_shared(prompt: Prompt) -> int:
    """Count the tokens of a prompt that other requests may share.

    The last part belongs to this request alone.
    """
    return sum(part.tokens for part in prompt.parts[:-1])


def note_placed(
    engine: Engine, parts: Iterable[Part], ready_at: float | None = None
) -> None:
    """Record that an engine prefills parts, which its cache then holds.

    Args:
        engine: The engine.
        parts: The parts, in the order of the prompt.
        ready_at: Time when their prefill ends, monotonic seconds; None for already
            done.
    """
    for part in parts:
        known = engine.cached.pop(part.id, 0)
        engine.cached[part.id] = max(known, part.tokens)
        engine.cached_tokens += max(known, part.tokens) - known
        if known < part.tokens and ready_at is not None:
            engine.ready_at[part.id] = ready_at
    limit = engine.cache_tokens * CACHE_SHARE
    while engine.cached_tokens > limit and engine.cached:
        id, tokens = engine.cached.popitem(last=False)
        engine.cached_tokens -= tokens
        engine.ready_at.pop(id, None)


def note_earlier_cache(engine: Engine, parts: Iterable[Part]) -> None:
    """Record what a cache held before this gateway began to place prompts.

    Parts placed since then were used more recently, so they are evicted last.
    """
    placed = [Part(id, tokens) for id, tokens in engine.cached.items()]
    engine.cached.clear()
    engine.cached_tokens = 0
    note_placed(engine, parts)
    note_placed(engine, placed)
    engine.is_cache_known = True


def estimate_prefill_s(engine: Engine, new: float, context: float) -> float:
    """Estimate the prefill time of new tokens after cached ones, seconds."""
    return (
        prefillmodel.estimate_seconds(engine.prefill_model, new, context)
        * engine.slowness
    )


def estimate_busy_s(engine: Engine, new: float, context: float) -> float:
    """Estimate the time that the prefill of new tokens occupies an engine, seconds."""
    return (
        prefillmodel.estimate_busy_s(engine.prefill_model, new, context)
        * engine.slowness
    )


def is_useful_sample(engine: Engine, up_s: float) -> bool:
    """Return whether a prefill time may be used as a sample of an engine's speed.

    A gateway that has just started doesn't know what the caches hold. Parts of a prompt
    that seem to be prefilled may be cached already, above all after a caller retry. The
    engine then looks many times as fast as it is, and all prompts are prefilled on
    decode engines.

    Args:
        engine: The engine.
        up_s: Time since this gateway started, seconds.
    """
    return engine.is_cache_known or up_s >= UNKNOWN_CACHE_S


def note_unqueued_prefill(engine: Engine, measured: PrefillSample) -> None:
    """Record the time of a prefill that didn't wait for others."""
    model_s = prefillmodel.estimate_seconds(
        engine.prefill_model, measured.new, measured.context
    )
    if model_s <= 0:
        return
    low, high = SLOWNESS_BOUNDS
    ratio = min(high, max(low, measured.seconds / model_s))
    # The slowness of this one engine is removed from the sample for the shared model.
    normalized = PrefillSample(
        measured.new, measured.context, measured.seconds / engine.slowness
    )
    prefillmodel.note_sample(engine.prefill_model, normalized)
    engine.slowness += SLOWNESS_SMOOTHING * (ratio - engine.slowness)


def note_prefill_done(engine: Engine, measured: PrefillSample, was_alone: bool) -> None:
    """Record the time of a prefill that may have waited for others.

    If it waited and took longer than estimated, it is no sample. If it took less than
    estimated, it is one: the engine is faster than the model says. Under constant load
    no prefill ever has the engine to itself, so without such samples nothing would be
    learnt.

    Args:
        engine: The engine.
        measured: The sample.
        was_alone: Whether no other prefill was at the engine meanwhile.
    """
    expected_s = estimate_prefill_s(engine, measured.new, measured.context)
    if was_alone or measured.seconds < expected_s:
        note_unqueued_prefill(engine, measured)


def note_queued_prefill(engine: Engine, seconds: float, planned_s: float) -> None:
    """Record the time of a prefill including its wait, compared with the planned time.

    Under constant load every prefill waits, and an engine that became slow would look
    like all others. The time includes prefills that others placed meanwhile, so each
    sample has a low weight.

    Args:
        engine: The engine.
        seconds: Measured time without the cache transfer, seconds.
        planned_s: Planned time, seconds.
    """
    if planned_s <= 0:
        return
    low, high = QUEUED_BOUNDS
    ratio = min(high, max(low, seconds / planned_s))
    slowness = engine.slowness * (1.0 + QUEUED_SMOOTHING * (ratio - 1.0))
    least, most = SLOWNESS_BOUNDS
    engine.slowness = min(most, max(least, slowness))


def sum_backlog_s(engine: Engine, level: int) -> float:
    """Sum the prefill backlog of a priority level and all higher ones, seconds."""
    if level == LATE_LEVEL:
        return sum(engine.own_backlog_s) + sum(engine.peers_backlog_s)
    return sum(engine.own_backlog_s[: level + 1]) + sum(
        engine.peers_backlog_s[: level + 1]
    )


def note_peer_backlog(engine: Engine, peer: str, levels: list[float]) -> None:
    """Record the prefill backlog of another gateway at an engine.

    The sum over the peers is updated at once, as it is read far more often than it
    changes.

    Args:
        engine: The engine.
        peer: Name of the other gateway.
        levels: Its backlog by priority level, seconds.
    """
    forget_peer_backlog(engine, peer)
    engine.peer_backlogs_s[peer] = levels
    engine.peers_backlog_s = [
        a + b for a, b in zip(engine.peers_backlog_s, levels, strict=True)
    ]


def forget_peer_backlog(engine: Engine, peer: str) -> None:
    """Remove the prefill backlog of another gateway."""
    known = engine.peer_backlogs_s.pop(peer, None)
    if known is None:
        return
    pairs = zip(engine.peers_backlog_s, known, strict=True)
    # Without peers the sum restarts at zero, which drops rounding errors.
    engine.peers_backlog_s = (
        [max(0.0, a - b) for a, b in pairs]
        if engine.peer_backlogs_s
        else make_level_sums()
    )


def estimate_wait(engine: Engine, level: int, now: float) -> float:
    """Estimate the wait until an engine begins the prefill of a prompt, seconds.

    An engine doesn't preempt the running prefill for one of higher priority, and more
    prefills of higher priority will arrive during the wait.

    Args:
        engine: The engine.
        level: Priority level of the prompt.
        now: The current time, monotonic seconds.
    """
    level_backlog_s = sum_backlog_s(engine, level)
    lower_backlog_s = max(0.0, sum_backlog_s(engine, LATE_LEVEL) - level_backlog_s)
    higher_priority_s = total_s = squares = 0.0
    # One pass computes all sums: this runs for each engine and request.
    for start in engine.recent_prefills:
        total_s += start.seconds
        squares += start.seconds**2
        if start.level < level and start.at > now - RECENT_WINDOW_S:
            higher_priority_s += start.seconds
    # The mean residual time of the running prefill is half of the mean duration with
    # each duration weighted by itself: a longer prefill is more likely the running one.
    residual_s = squares / total_s / 2 if total_s > 0 else 0.0
    ahead_s = level_backlog_s + min(lower_backlog_s, residual_s)
    return ahead_s / max(MIN_IDLE_SHARE, 1.0 - higher_priority_s / RECENT_WINDOW_S)


def count_recent_prefills(engine: Engine, now: float) -> int:
    """Count the prefills that began at an engine within `RECENT_WINDOW_S`."""
    return sum(start.at >= now - RECENT_WINDOW_S for start in engine.recent_prefills)


def note_prefill_start(engine: Engine, now: float, seconds: float, level: int) -> None:
    """Record that an engine begins a prefill of an estimated duration in seconds."""
    while (
        engine.recent_prefills and engine.recent_prefills[0].at < now - RECENT_WINDOW_S
    ):
        engine.recent_prefills.popleft()
    engine.recent_prefills.append(PrefillStart(now, seconds, level))
    engine.placed += 1


def sum_recent_prefill_s(engine: Engine, now: float, window_s: float) -> float:
    """Sum the durations of prefills that an engine began within a window, seconds."""
    return sum(
        start.seconds for start in engine.recent_prefills if start.at >= now - window_s
    )
