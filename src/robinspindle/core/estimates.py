"""How long an engine would read a prompt, and what that does to caches.

An engine skips what its own cache holds of a prompt, and may fetch what another one's
holds.
"""

from dataclasses import dataclass

from robinspindle.core.engines import Engine, count_cached, count_shared
from robinspindle.core.forwarding import Prompt
from robinspindle.core.targets import Target, find_slowness

REREAD_WEIGHT = 2.0
"""How much more reading a shared part again weighs than the time that it takes: it
also pushes other parts out of the cache."""

FETCH_WEIGHT = 0.5
"""How much fetching parts from another engine's cache weighs, against the time that
reading them would take: a second copy pushes other parts out of a cache."""

LEAST_FETCH_TOKENS = 500
"""Fewer tokens are not fetched from another engine, tokens: they are read in under
2 ms, about what setting up a fetch and its way between zones take."""

FAR_MOVE = 2.0
"""How many times longer a fetch between availability zones takes."""

Pair = tuple[Target, Engine]


@dataclass(frozen=True)
class Reading:
    """How one engine would read a prompt.

    Attributes:
        unread: Tokens that it has to read.
        seconds: How long it takes, without the wait.
        weight_s: What it counts for besides, seconds.
        missing_share: Share of the shared parts that it has to read again.
        holder: From whose cache it fetches first; None for none.
    """

    unread: int
    seconds: float
    weight_s: float
    missing_share: float
    holder: Target | None = None


@dataclass(frozen=True)
class Move:
    """How parts of a prompt may come from another engine's cache.

    Attributes:
        holder: The engine whose cache holds most of the prompt.
        token_s: Seconds that a token takes within an availability zone.
    """

    holder: Pair
    token_s: float


def find_holder(candidates: list[Pair], prompt: Prompt) -> Pair:
    """Find the engine whose cache holds most of a prompt."""
    return max(candidates, key=lambda pair: count_cached(pair[1], prompt))


def estimate_reading(
    pair: Pair, prompt: Prompt, now: float, move: Move | None
) -> Reading:
    """Estimate how an engine reads a prompt, with what another one holds if that helps.

    Args:
        pair: The engine.
        prompt: The prompt.
        now: The present time, steady seconds.
        move: From where it may fetch parts; None where nothing is fetched.
    """
    target, engine = pair
    pace = engine.pace / find_slowness(target, now)
    cached = count_cached(engine, prompt)
    alone = _estimate_alone(prompt, cached, pace)
    if move is None or move.holder[0] is target:
        return alone
    helped = _estimate_helped(target, prompt, cached, pace, move)
    if helped is None or helped.seconds >= alone.seconds:
        return alone
    return helped


def _estimate_alone(prompt: Prompt, cached: int, pace: float) -> Reading:
    """Estimate a reading at a pace (tokens a second) with what the engine holds.

    Reading shared parts again weighs more than its time: it pushes other parts out of
    the cache.
    """
    shared = count_shared(prompt)
    missing = max(0, shared - cached)
    return Reading(
        unread=prompt.tokens - cached,
        seconds=(prompt.tokens - cached) / pace,
        weight_s=REREAD_WEIGHT * missing / pace,
        missing_share=missing / max(1, shared),
    )


def _estimate_helped(
    target: Target, prompt: Prompt, cached: int, pace: float, move: Move
) -> Reading | None:
    """Estimate the same with what the holder has; None when that is too little.

    A second copy of shared parts weighs too: it also pushes others out of a cache.
    """
    holder, engine = move.holder
    held = count_cached(engine, prompt)
    fetched = held - cached
    if fetched < LEAST_FETCH_TOKENS:
        return None
    shared = count_shared(prompt)
    missing = max(0, shared - held)
    is_far = holder.announced.zone != target.announced.zone
    move_s = fetched * move.token_s * (FAR_MOVE if is_far else 1.0)
    weight = REREAD_WEIGHT * missing + FETCH_WEIGHT * min(fetched, shared)
    return Reading(
        unread=prompt.tokens - held,
        seconds=(prompt.tokens - held) / pace + move_s,
        weight_s=weight / pace,
        missing_share=missing / max(1, shared),
        holder=holder,
    )
