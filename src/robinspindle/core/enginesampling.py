"""Bounds how many engines of a large fleet a request compares.

The time of a decision grows with the engines that are compared. Beyond some dozens a
random sample holds engines as good as any but for one thing: what caches hold. Those
that hold most of a prompt are therefore always compared.
"""

import heapq
import random

from robinspindle.core.engines import count_cached
from robinspindle.core.estimates import Pair
from robinspindle.core.forwarding import Prompt

MAX_COMPARED = 64
"""Most engines that a request compares; a smaller fleet is compared whole."""

HOLDERS = 16
"""Of those, how many are the ones whose caches hold most of the prompt."""


def sample_engines(
    pairs: list[Pair], prompt: Prompt, zone: str, rng: random.Random
) -> list[Pair]:
    """Choose the engines that a request compares; all of them in a smaller fleet.

    Args:
        pairs: The engines that may get it.
        prompt: Its prompt.
        zone: The gateway's availability zone, whose engines half of the sample is of.
        rng: Source of random choices.
    """
    if len(pairs) <= MAX_COMPARED:
        return pairs
    cached = [count_cached(engine, prompt) for _, engine in pairs]
    held = [number for number, tokens in enumerate(cached) if tokens > 0]
    chosen = set(heapq.nlargest(HOLDERS, held, key=lambda number: cached[number]))
    share = (MAX_COMPARED - HOLDERS) // 4
    for prefill_only in (True, False):
        of_role = [
            number
            for number, (_, engine) in enumerate(pairs)
            if engine.prefill_only is prefill_only
        ]
        at_home = [n for n in of_role if pairs[n][0].announced.zone == zone]
        for found in (at_home, of_role):
            chosen.update(rng.sample(found, min(share, len(found))))
    return [pairs[number] for number in sorted(chosen)]
