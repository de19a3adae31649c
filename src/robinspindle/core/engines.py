"""What one entry believes of a model engine: its cache, its work, its pace.

An engine's own report is late by some hundred milliseconds, longer than it takes to
read a prompt. What entries send is known at once and told to the other entries, so the
belief is built from that: a replay of the engine's cache, least recently used first
out, and the sum of what is still to be read.
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
"""Weight of the newest reading in what one engine takes against all of its service:
about the last five count, so that a slow one is known within a second."""

SLOWNESS_BOUNDS = (0.25, 16.0)
"""One reading counts for no less and no more than these ratios: beyond, it waited."""

UNKNOWN_CACHE_S = 10.0
"""How long after an entry's start a cache of which nothing was told is not learnt from,
seconds: what matters of it has been placed anew by then."""

WAITED_SMOOTHING = 0.05
WAITED_BOUNDS = (0.5, 2.0)
"""Weight and bounds of a reading that waited for others."""

CACHE_SHARE = 0.85
"""Share of an engine's memory that is believed to hold cached parts; the rest is what
runs."""


SHORT_PREFILL_SHARE = 0.6
"""Share of a gap in which an engine may read beside answers that are short: the rest is
for the steps that make the next event, about a fifth of a gap on today's engines."""

RECENT_WINDOW_S = 1.0
"""How long a reading that was placed is remembered, seconds: several gaps and as many
readings, so that the share of time that work in time takes can be told."""

LEAST_IDLE_SHARE = 0.1
"""Least share of its time that an engine is believed to have for less urgent work."""


@dataclass(frozen=True)
class PrefillStart:
    """A reading that was placed at an engine.

    Attributes:
        at: When, steady seconds.
        seconds: How long it should take.
        level: How urgent it is.
    """

    at: float
    seconds: float
    level: int


@dataclass
class Engine:
    """One engine as one entry believes it to be.

    Attributes:
        prefill_only: Whether it only reads prompts and generates nothing.
        cache_tokens: Tokens that its memory holds.
        prefill_model: How fast engines of its service read in its role; shared by all
            of them.
        slowness: How many times longer than that this one takes.
        cached: Parts in its cache, by id, with their tokens; oldest first.
        cached_tokens: Their sum.
        ready_at: From when parts that are being read may be fetched, steady seconds.
        is_cache_known: Whether it was told what the cache held before this entry began.
        own_backlog_s: Seconds of reading that this entry sent and that is not done, by
            level.
        peer_backlogs_s: The same of the other entries, by name; see
            `note_peer_backlog`.
        peers_backlog_s: Its sum over them, by level.
        peers_in_flight: Requests of the other entries there, by name.
        slot_hold_s: How long an answer holds its slot there, seconds; 0 for not known.
        own_long_answers: Long answers of this entry that it generates.
        peers_long_answers: The same of the other entries, by name.
        recent_prefills: Readings that were lately placed there.
        placed: How many prompts were placed there by all entries.
        event_s: Seconds from event to event of its long answers, as this entry saw.
        event_at: When that was last seen, steady seconds.
        own_answers: Answers of this entry that it generates.
        answer_at: When one of them last got an event, or began, steady seconds.
        prefill_share: Share of its pace that it may spend on prompts while it
            generates long answers; follows the pauses that are seen.
        short_prefill_share: The same while it generates short answers alone.
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
    event_s: float = 0.0
    event_at: float = -math.inf
    own_answers: int = 0
    answer_at: float = -math.inf
    prefill_share: float = 0.4
    short_prefill_share: float = SHORT_PREFILL_SHARE

    @property
    def backlog_s(self) -> float:
        """Seconds of reading that is still to be done for all entries."""
        return sum_backlog_s(self, LATE_LEVEL)

    @property
    def others_in_flight(self) -> int:
        """Requests of the other entries."""
        return sum(self.peers_in_flight.values())

    @property
    def long_answers(self) -> int:
        """Long answers that it generates for all entries."""
        return self.own_long_answers + sum(self.peers_long_answers.values())


def make_engine(
    prefill_only: bool, cache_tokens: int, prefill_model: PrefillModel | None = None
) -> Engine:
    """Make the belief about an engine of which nothing is known.

    Args:
        prefill_only: Whether it only reads prompts.
        cache_tokens: Tokens that its memory holds.
        prefill_model: How fast its service's engines read in its role; None for a new
            belief.
    """
    return Engine(
        prefill_only,
        cache_tokens,
        prefill_model or prefillmodel.make_prefill_model(prefill_only),
    )


def count_cached(engine: Engine, prompt: Prompt, ready_by: float = math.inf) -> int:
    """Count the tokens of a prompt that an engine need not read again.

    A part is of use only if all before it are kept too.

    Args:
        engine: The engine.
        prompt: The prompt.
        ready_by: When the parts have to have been read, steady seconds: what is still
            being read can't be fetched by another engine yet.
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

    The last part is the request's own.
    """
    return sum(part.tokens for part in prompt.parts[:-1])


def note_placed(
    engine: Engine, parts: Iterable[Part], ready_at: float | None = None
) -> None:
    """Take note that an engine reads parts, which its cache then holds.

    Args:
        engine: The engine.
        parts: The parts.
        ready_at: When they will have been read, steady seconds; None for at once.
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
    """Take note of what a cache held before this entry began to place prompts.

    What was placed since was used later, so it stays the longest.
    """
    placed = [Part(id, tokens) for id, tokens in engine.cached.items()]
    engine.cached.clear()
    engine.cached_tokens = 0
    note_placed(engine, parts)
    note_placed(engine, placed)
    engine.is_cache_known = True


def estimate_prefill_s(engine: Engine, new: float, context: float) -> float:
    """Estimate how long an engine reads new tokens behind cached ones, seconds."""
    return (
        prefillmodel.estimate_seconds(engine.prefill_model, new, context)
        * engine.slowness
    )


def estimate_busy_s(engine: Engine, new: float, context: float) -> float:
    """Estimate how long a reading of new tokens occupies an engine, seconds."""
    return (
        prefillmodel.estimate_busy_s(engine.prefill_model, new, context)
        * engine.slowness
    )


def is_useful_sample(engine: Engine, up_s: float) -> bool:
    """Whether a reading tells how fast an engine reads.

    After its start an entry does not know what caches hold. A prompt that is believed
    to be read may be there already, most of all that of a caller who comes back; its
    engine looks many times as fast as it is, and then all prompts are sent to be read
    where answers are generated.

    Args:
        engine: The engine.
        up_s: How long ago this entry started, seconds.
    """
    return engine.is_cache_known or up_s >= UNKNOWN_CACHE_S


def note_unqueued_prefill(engine: Engine, measured: PrefillSample) -> None:
    """Take note of how long an engine took for a reading that did not wait."""
    usual_s = prefillmodel.estimate_seconds(
        engine.prefill_model, measured.new, measured.context
    )
    if usual_s <= 0:
        return
    low, high = SLOWNESS_BOUNDS
    ratio = min(high, max(low, measured.seconds / usual_s))
    # The common pace is not to learn from an engine what is its own.
    common = PrefillSample(
        measured.new, measured.context, measured.seconds / engine.slowness
    )
    prefillmodel.note_sample(engine.prefill_model, common)
    engine.slowness += SLOWNESS_SMOOTHING * (ratio - engine.slowness)


def note_prefill_done(engine: Engine, measured: PrefillSample, was_alone: bool) -> None:
    """Take note of how long a reading took that may have waited for others.

    One that waited tells nothing where it took longer than was expected, but all the
    more where it took less: then engines are faster than is believed. Where there is
    work from the first second on, no reading is ever alone.
    """
    expected_s = estimate_prefill_s(engine, measured.new, measured.context)
    if was_alone or measured.seconds < expected_s:
        note_unqueued_prefill(engine, measured)


def note_queued_prefill(engine: Engine, seconds: float, planned_s: float) -> None:
    """Take note of how long a reading took with its wait, against what was planned.

    Where an engine always has work no reading is alone, and one that became slow would
    look like all others. What others placed meanwhile is in it too, so that each
    reading counts little.

    Args:
        engine: The engine.
        seconds: How long it took, without what was fetched.
        planned_s: How long it was planned to take.
    """
    if planned_s <= 0:
        return
    low, high = WAITED_BOUNDS
    ratio = min(high, max(low, seconds / planned_s))
    slowness = engine.slowness * (1.0 + WAITED_SMOOTHING * (ratio - 1.0))
    least, most = SLOWNESS_BOUNDS
    engine.slowness = min(most, max(least, slowness))


def sum_backlog_s(engine: Engine, level: int) -> float:
    """Sum the seconds of reading to be done that are as urgent as a level, or more."""
    if level == LATE_LEVEL:
        return sum(engine.own_backlog_s) + sum(engine.peers_backlog_s)
    return sum(engine.own_backlog_s[: level + 1]) + sum(
        engine.peers_backlog_s[: level + 1]
    )


def note_peer_backlog(engine: Engine, peer: str, levels: list[float]) -> None:
    """Take note of the work that another entry has at an engine, by level.

    The sum is kept along: with 22 peers it is asked for far more often than it changes.
    """
    forget_peer_backlog(engine, peer)
    engine.peer_backlogs_s[peer] = levels
    engine.peers_backlog_s = [
        a + b for a, b in zip(engine.peers_backlog_s, levels, strict=True)
    ]


def forget_peer_backlog(engine: Engine, peer: str) -> None:
    """Forget the work of another entry."""
    known = engine.peer_backlogs_s.pop(peer, None)
    if known is None:
        return
    pairs = zip(engine.peers_backlog_s, known, strict=True)
    # Without peers what rounding left over goes too.
    engine.peers_backlog_s = (
        [max(0.0, a - b) for a, b in pairs]
        if engine.peer_backlogs_s
        else make_level_sums()
    )


def estimate_wait(engine: Engine, level: int, now: float) -> float:
    """Estimate the seconds until an engine begins to read a prompt.

    What an engine reads already is not put back for what is more urgent, and more of
    that will come meanwhile.

    Args:
        engine: The engine.
        level: How urgent the prompt is.
        now: The present time, steady seconds.
    """
    work_s = sum_backlog_s(engine, level)
    others_s = max(0.0, sum_backlog_s(engine, LATE_LEVEL) - work_s)
    urgent_s = total_s = squares = 0.0
    # One pass for all sums: this is asked for each engine and request.
    for begun in engine.recent_prefills:
        total_s += begun.seconds
        squares += begun.seconds**2
        if begun.level < level and begun.at > now - RECENT_WINDOW_S:
            urgent_s += begun.seconds
    # What is left on average of a reading under way is half of the lengths, each
    # weighed by its length: the longer, the likelier it is the one under way.
    residual_s = squares / total_s / 2 if total_s > 0 else 0.0
    ahead_s = work_s + min(others_s, residual_s)
    return ahead_s / max(LEAST_IDLE_SHARE, 1.0 - urgent_s / RECENT_WINDOW_S)


def count_recent_prefills(engine: Engine, now: float) -> int:
    """Count the prefills that began at an engine within `RECENT_WINDOW_S`."""
    return sum(begun.at >= now - RECENT_WINDOW_S for begun in engine.recent_prefills)


def note_prefill_start(engine: Engine, now: float, seconds: float, level: int) -> None:
    """Take note of a reading that an engine begins, and how long it should take."""
    while (
        engine.recent_prefills and engine.recent_prefills[0].at < now - RECENT_WINDOW_S
    ):
        engine.recent_prefills.popleft()
    engine.recent_prefills.append(PrefillStart(now, seconds, level))
    engine.placed += 1


def sum_recent_prefill_s(engine: Engine, now: float, window_s: float) -> float:
    """Sum the seconds of reading that an engine began within a window."""
    return sum(
        begun.seconds for begun in engine.recent_prefills if begun.at >= now - window_s
    )
