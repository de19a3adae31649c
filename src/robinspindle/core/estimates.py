"""Estimates the prefill time of a prompt at an engine, and its effect on caches.

An engine skips the parts of a prompt that its own cache holds, and may transfer parts
from another engine's cache.
"""

from dataclasses import dataclass

from robinspindle.core.engines import Engine, count_cached, count_shared
from robinspindle.core.forwarding import Prompt
from robinspindle.core.health import find_slowness
from robinspindle.core.prefillspeed import estimate_busy_s, estimate_prefill_s
from robinspindle.core.targets import Target

RECOMPUTE_WEIGHT = 2.0
"""Cost of prefilling a shared part again, relative to its prefill time: it also evicts
other parts from the cache."""

TRANSFER_WEIGHT = 0.5
"""Cost of transferring parts to a prefill-only engine, relative to their prefill time:
a second copy evicts other parts from a cache. A decode engine gets a copy no matter
where its prompts are prefilled."""

MIN_SAVING_S = 0.002
"""Least time that a transfer has to save, seconds: about its setup and the network
delay between availability zones."""

CROSS_ZONE_FACTOR = 2.0
"""Ratio of the time of a transfer between availability zones to that within one."""

Pair = tuple[Target, Engine]


@dataclass(frozen=True)
class PrefillEstimate:
    """The estimated prefill of a prompt at one engine.

    Attributes:
        uncached_tokens: Uncached tokens, which it has to prefill.
        seconds: Duration with the cache transfer, without the wait, seconds.
        prefill_s: Time for which the prefill occupies the engine, seconds.
        fetch_s: Duration of the cache transfer, seconds.
        fetched_tokens: Tokens that it transfers.
        penalty_s: Additional cost of the effect on caches, seconds.
        missing_share: Share of the shared parts that it has to prefill again.
        cache_source: Where the parts are transferred from; None for no transfer.
    """

    uncached_tokens: int
    seconds: float
    prefill_s: float
    penalty_s: float
    missing_share: float
    fetch_s: float = 0.0
    cache_source: Target | None = None
    fetched_tokens: int = 0


@dataclass(frozen=True)
class CacheTransfer:
    """A possible transfer of parts of a prompt from another engine's cache.

    Attributes:
        cache_source: The engine whose cache holds most of the prompt.
        held: Tokens of the prompt in its cache.
        token_transfer_s: Transfer time per token within an availability zone, seconds.
    """

    cache_source: Pair
    held: int
    token_transfer_s: float


def find_cache_transfer(
    candidates: list[Pair], prompt: Prompt, token_transfer_s: float, now: float
) -> CacheTransfer:
    """Find the engine from whose cache most of a prompt can be transferred.

    Args:
        candidates: The engines.
        prompt: The prompt.
        token_transfer_s: Transfer time per token within an availability zone, seconds.
        now: The current time, monotonic seconds.
    """
    held = [count_cached(engine, prompt, now) for _, engine in candidates]
    most = max(held)
    return CacheTransfer(candidates[held.index(most)], most, token_transfer_s)


def estimate_prefill(
    pair: Pair, prompt: Prompt, now: float, transfer: CacheTransfer | None
) -> PrefillEstimate:
    """Estimate the prefill at an engine, with a cache transfer if that saves time.

    Args:
        pair: The target and the engine.
        prompt: The prompt.
        now: The current time, monotonic seconds.
        transfer: The possible transfer; None for none.
    """
    target, engine = pair
    slowness = find_slowness(target, now)
    cached = count_cached(engine, prompt)
    without = _estimate(engine, prompt, cached, slowness)
    if (
        transfer is None
        or transfer.cache_source[0] is target
        or transfer.held <= cached
    ):
        return without
    with_transfer = _estimate(engine, prompt, cached, slowness, transfer, target)
    return (
        with_transfer
        if with_transfer.seconds + MIN_SAVING_S < without.seconds
        else without
    )


def _estimate(
    engine: Engine,
    prompt: Prompt,
    cached: int,
    slowness: float,
    transfer: CacheTransfer | None = None,
    target: Target | None = None,
) -> PrefillEstimate:
    """Estimate a prefill with the engine's own cache alone, or with a transfer.

    Prefilling shared parts again costs more than its time, because it evicts other
    parts from the cache. A second copy of them has a cost for the same reason.

    Args:
        engine: The engine.
        prompt: The prompt.
        cached: Tokens of it in the engine's own cache.
        slowness: Current ratio of the target's response time to that of a warm one.
        transfer: The transfer; None for none.
        target: The engine's target; needed for a transfer only.
    """
    held = cached if transfer is None else transfer.held
    transferred = held - cached
    shared = count_shared(prompt)
    missing = max(0, shared - held)
    uncached_tokens = prompt.tokens - held
    duration_s = estimate_prefill_s(engine, uncached_tokens, held) * slowness
    prefill_s = estimate_busy_s(engine, uncached_tokens, held) * slowness
    copy_s = estimate_busy_s(engine, min(transferred, shared), cached) * slowness
    fetch_s = _estimate_transfer_s(transfer, transferred, target) if transfer else 0.0
    missing_s = prefill_s * missing / max(1, uncached_tokens)
    transfer_weight = TRANSFER_WEIGHT if engine.prefill_only else 0.0
    return PrefillEstimate(
        uncached_tokens=uncached_tokens,
        seconds=duration_s + fetch_s,
        prefill_s=prefill_s,
        penalty_s=RECOMPUTE_WEIGHT * missing_s + transfer_weight * copy_s,
        missing_share=missing / max(1, shared),
        fetch_s=fetch_s,
        cache_source=transfer.cache_source[0] if transfer else None,
        fetched_tokens=transferred,
    )


def _estimate_transfer_s(
    transfer: CacheTransfer, transferred: int, target: Target
) -> float:
    """Estimate the time of a transfer to a target, seconds."""
    is_cross_zone = transfer.cache_source[0].announced.zone != target.announced.zone
    return (
        transferred
        * transfer.token_transfer_s
        * (CROSS_ZONE_FACTOR if is_cross_zone else 1.0)
    )
