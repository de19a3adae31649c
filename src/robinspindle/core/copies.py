"""Decides which answers have a copy of their KV cache at another engine, and where.

An engine that is lost takes the KV caches of its answers along. A copy that grows with
an answer lets another engine go on without a new prefill, also where a request may not
run again. It costs the time of two links and memory at the other engine, so an answer
gets one only if what would probably be lost without it is more.
"""

import math
import random
from dataclasses import dataclass

from robinspindle.core.decodeplacement import count_requests
from robinspindle.core.estimates import Pair
from robinspindle.core.targets import Target

LOSS_WINDOW_S = 20.0
"""Time constant of the observed rate of losses, seconds. Engines are lost several at a
time, with a fault that lasts seconds."""

PRIOR_RUN_S = 1000.0
"""Time for which an answer is assumed to run until its engine is lost, seconds, as long
as nothing was observed."""

PRIOR_WEIGHT_S = 10.0
"""Time of observed answers that counts as much as that assumption, seconds."""

CROSS_ZONE_FACTOR = 2.0
"""Ratio of the transfer time between availability zones to that within one."""

LINKS = 2
"""Links that a transfer occupies: the source's and the destination's."""

COPY_MEMORY_SHARE = 0.1
"""Share of an engine's KV cache that copies of all gateways may fill; the rest is for
its own answers and for prompt parts that will be used again."""

MAX_LOAD_SHARE = 0.8
"""Share of its slots up to which an engine takes copies: a fuller one has neither the
memory for them nor a slot to go on with."""


@dataclass(frozen=True)
class AnswerCopy:
    """Where the KV cache of an answer is copied to.

    Attributes:
        target: The engine that keeps the copy.
        tokens: The most tokens that the copy may hold.
    """

    target: Target
    tokens: int


@dataclass
class LossRate:
    """How often answers were lost with their engines lately.

    Attributes:
        lost: Number of answers lost after they began, decayed.
        seconds: For how long answers ran, decayed, seconds.
        at: When both were last updated, monotonic seconds.
    """

    lost: float = 0.0
    seconds: float = 0.0
    at: float = 0.0


def note_run(rate: LossRate, now: float, seconds: float, is_lost: bool) -> None:
    """Record an answer that has ended or was lost.

    Args:
        rate: The rate to update.
        now: The current time, monotonic seconds.
        seconds: Time since it began, seconds.
        is_lost: Whether its engine was lost.
    """
    decay = _find_decay(rate, now)
    rate.lost = rate.lost * decay + (1.0 if is_lost else 0.0)
    rate.seconds = rate.seconds * decay + seconds
    rate.at = now


def find_loss_probability(rate: LossRate, now: float, seconds: float) -> float:
    """Find how likely an answer is lost with its engine.

    Args:
        rate: What was observed.
        now: The current time, monotonic seconds.
        seconds: How long the answer will run, seconds.
    """
    decay = _find_decay(rate, now)
    prior_lost = PRIOR_WEIGHT_S / PRIOR_RUN_S
    run_s = rate.seconds * decay + PRIOR_WEIGHT_S
    per_s = (rate.lost * decay + prior_lost) / run_s
    return 1.0 - math.exp(-per_s * max(0.0, seconds))


def _find_decay(rate: LossRate, now: float) -> float:
    return math.exp((rate.at - now) / LOSS_WINDOW_S)


@dataclass(frozen=True)
class AnswerRisk:
    """What decides whether an answer deserves a copy.

    Attributes:
        tokens: Tokens of its prompt and, at most, of the answer.
        loss_probability: How likely it is lost with its engine, 0 to 1.
        lost_s: Time that its caller loses with it, seconds: that of a new prefill, or
            all that the caller would wait if it may not run again.
        token_transfer_s: Transfer time per token of the KV cache within an
            availability zone, seconds.
    """

    tokens: int
    loss_probability: float
    lost_s: float
    token_transfer_s: float


@dataclass(frozen=True)
class CopyChoice:
    """The decision about one answer's copy.

    Attributes:
        target: Where to; None for no copy.
        reason: Why there is none, or ``copied``.
        saved_s: Caller's time that it probably saves, seconds.
        cost_s: Time for which it occupies links, seconds.
    """

    target: Target | None
    reason: str
    saved_s: float = 0.0
    cost_s: float = 0.0


def choose_copy(
    source: Target,
    pairs: list[Pair],
    risk: AnswerRisk,
    copied_tokens: dict[str, int],
    gateways: int,
    rng: random.Random,
) -> CopyChoice:
    """Choose where an answer is copied to, if it deserves a copy.

    Args:
        source: The engine that generates it.
        pairs: The engines that may go on with it.
        risk: What would be lost without a copy, and what the copy moves.
        copied_tokens: Tokens of the copies that this gateway has at each engine, by
            lifetime.
        gateways: Number of gateways that share the engines' memory.
        rng: Source of random choices.
    """
    saved_s = risk.loss_probability * risk.lost_s
    link_s = LINKS * risk.tokens * risk.token_transfer_s
    if saved_s <= link_s:
        return CopyChoice(None, "not worth its transfer", saved_s, link_s)
    with_room = [
        pair
        for pair in pairs
        if pair[0] is not source
        and _has_room(pair, risk.tokens, copied_tokens, gateways)
    ]
    zone = source.announced.zone
    near = [pair for pair in with_room if pair[0].announced.zone == zone]
    cost_s = link_s if near else link_s * CROSS_ZONE_FACTOR
    if not with_room:
        return CopyChoice(None, "no room", saved_s, cost_s)
    if saved_s <= cost_s:
        return CopyChoice(None, "not worth its transfer", saved_s, cost_s)
    # All gateways see the same idle engine; the better of two random ones spreads them.
    sample = rng.sample(near or with_room, min(2, len(near or with_room)))
    best = min(sample, key=lambda pair: _find_fill(pair, copied_tokens))
    return CopyChoice(best[0], "copied", saved_s, cost_s)


def _has_room(
    pair: Pair, tokens: int, copied_tokens: dict[str, int], gateways: int
) -> bool:
    target, engine = pair
    if engine is None or engine.prefill_only:
        return False
    if count_requests(pair) >= MAX_LOAD_SHARE * max(1, target.announced.slots):
        return False
    copied = copied_tokens.get(target.announced.lifetime, 0)
    limit = COPY_MEMORY_SHARE * engine.cache_tokens / max(1, gateways)
    # A single copy larger than a gateway's share is allowed if there is no other.
    return copied + tokens <= limit or (
        copied == 0 and tokens <= COPY_MEMORY_SHARE * engine.cache_tokens
    )


def _find_fill(pair: Pair, copied_tokens: dict[str, int]) -> float:
    """Find how full an engine is: of requests, and of this gateway's copies."""
    target, engine = pair
    copied = copied_tokens.get(target.announced.lifetime, 0)
    load = count_requests(pair) / max(1, target.announced.slots)
    return load + copied / max(1, engine.cache_tokens)
