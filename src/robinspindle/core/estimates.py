"""How long an engine would read a prompt, and what that does to caches.

An engine skips what its own cache holds of a prompt, and may fetch what another one's
holds.
"""

from dataclasses import dataclass

from robinspindle.core.engines import (
    Engine,
    count_cached,
    count_shared,
    estimate_busy_s,
    estimate_prefill_s,
)
from robinspindle.core.forwarding import Prompt
from robinspindle.core.health import find_slowness
from robinspindle.core.targets import Target

REREAD_WEIGHT = 2.0
"""How much more reading a shared part again weighs than the time that it takes: it
also pushes other parts out of the cache."""

FETCH_WEIGHT = 0.5
"""How much fetching parts from another engine's cache weighs at an engine that only
reads, against the time that reading them would take: a second copy pushes other parts
out of a cache. One that generates gets a copy however its prompts are read."""

LEAST_GAIN_S = 0.002
"""What a fetch has to save, seconds: about what setting it up and its way between zones
take."""

FAR_MOVE = 2.0
"""How many times longer a fetch between availability zones takes."""

Pair = tuple[Target, Engine]


@dataclass(frozen=True)
class PrefillEstimate:
    """How one engine would read a prompt.

    Attributes:
        uncached_tokens: Tokens that it has to read.
        seconds: How long it takes with the fetch, without the wait.
        prefill_s: How long the engine is busy with it, seconds.
        fetch_s: How long the fetch takes, seconds.
        penalty_s: What it counts for besides, seconds.
        missing_share: Share of the shared parts that it has to read again.
        holder: From whose cache it fetches first; None for none.
    """

    uncached_tokens: int
    seconds: float
    prefill_s: float
    penalty_s: float
    missing_share: float
    fetch_s: float = 0.0
    holder: Target | None = None


@dataclass(frozen=True)
class CacheTransfer:
    """How parts of a prompt may come from another engine's cache.

    Attributes:
        holder: The engine whose cache holds most of the prompt.
        held: How many of its tokens.
        token_s: Seconds that a token takes within an availability zone.
    """

    holder: Pair
    held: int
    token_s: float


def find_cache_transfer(
    candidates: list[Pair], prompt: Prompt, token_s: float, now: float
) -> CacheTransfer:
    """Find the engine from whose cache most of a prompt can be fetched.

    Args:
        candidates: The engines.
        prompt: The prompt.
        token_s: Seconds that a token takes within an availability zone.
        now: The present time, steady seconds.
    """
    held = [count_cached(engine, prompt, now) for _, engine in candidates]
    most = max(held)
    return CacheTransfer(candidates[held.index(most)], most, token_s)


def estimate_prefill(
    pair: Pair, prompt: Prompt, now: float, move: CacheTransfer | None
) -> PrefillEstimate:
    """Estimate how an engine reads a prompt, with what another one holds if that helps.

    Args:
        pair: The engine.
        prompt: The prompt.
        now: The present time, steady seconds.
        move: From where it may fetch parts; None where nothing is fetched.
    """
    target, engine = pair
    slowness = find_slowness(target, now)
    cached = count_cached(engine, prompt)
    alone = _estimate(engine, prompt, cached, slowness)
    if move is None or move.holder[0] is target or move.held <= cached:
        return alone
    helped = _estimate(engine, prompt, cached, slowness, move, target)
    return helped if helped.seconds + LEAST_GAIN_S < alone.seconds else alone


def _estimate(
    engine: Engine,
    prompt: Prompt,
    cached: int,
    slowness: float,
    move: CacheTransfer | None = None,
    target: Target | None = None,
) -> PrefillEstimate:
    """Estimate a reading with what the engine holds, or with what it can fetch.

    Reading shared parts again weighs more than its time: it pushes other parts out of
    the cache. A second copy of them weighs too, for the same reason.

    Args:
        engine: The engine.
        prompt: The prompt.
        cached: Tokens of it that the engine's own cache holds.
        slowness: How many times longer its target takes at present.
        move: From where it fetches more than that; None for nothing.
        target: The engine's target, where something is fetched.
    """
    held = cached if move is None else move.held
    fetched = held - cached
    shared = count_shared(prompt)
    missing = max(0, shared - held)
    uncached_tokens = prompt.tokens - held
    answered_s = estimate_prefill_s(engine, uncached_tokens, held) * slowness
    prefill_s = estimate_busy_s(engine, uncached_tokens, held) * slowness
    copied_s = estimate_busy_s(engine, min(fetched, shared), cached) * slowness
    fetch_s = _find_move_s(move, fetched, target) if move else 0.0
    missing_s = prefill_s * missing / max(1, uncached_tokens)
    fetch_weight = FETCH_WEIGHT if engine.prefill_only else 0.0
    return PrefillEstimate(
        uncached_tokens=uncached_tokens,
        seconds=answered_s + fetch_s,
        prefill_s=prefill_s,
        penalty_s=REREAD_WEIGHT * missing_s + fetch_weight * copied_s,
        missing_share=missing / max(1, shared),
        fetch_s=fetch_s,
        holder=move.holder[0] if move else None,
    )


def _find_move_s(move: CacheTransfer, fetched: int, target: Target) -> float:
    """Find how long a target fetches tokens from the holder, seconds."""
    is_far = move.holder[0].announced.zone != target.announced.zone
    return fetched * move.token_s * (FAR_MOVE if is_far else 1.0)
