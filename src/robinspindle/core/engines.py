"""A gateway's local view of a model engine: its KV cache, prefill backlog and speed.

An engine's own report is late by some hundred milliseconds, longer than the prefill of
a prompt. A gateway knows at once which prompts it places, and sends that to the other
gateways, so the view is built from placements: a simulated LRU cache of the engine, and
the sum of the prefills that are not done yet (`core/prefillbacklog.py`).
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core import prefillmodel
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.prefillmodel import PrefillModel
from robinspindle.core.priorities import make_level_sums
from robinspindle.core.roomclaims import Room
from robinspindle.core.targetspeeds import TargetSpeed

CACHE_SHARE = 0.85
"""Share of an engine's KV cache assumed to hold cached prompt parts; running requests
occupy the rest."""

SHORT_PREFILL_SHARE = 0.6
"""Share of the gap between two events that an engine may spend on prefills while it
generates short answers only. The rest is for the decode steps of the next event."""


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
        speed: What all gateways have measured of that ratio.
        scales_base: Whether that ratio counts for the base time of a prefill too.
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
        room: Who takes its memory, and slots that are not in flight.
    """

    prefill_only: bool
    cache_tokens: int
    prefill_model: PrefillModel
    slowness: float = 1.0
    speed: TargetSpeed = field(default_factory=TargetSpeed)
    scales_base: bool = True
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
    room: Room = field(default_factory=Room)

    @property
    def backlog_s(self) -> float:
        """Prefill backlog from all gateways, seconds."""
        return sum(self.own_backlog_s) + sum(self.peers_backlog_s)

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
