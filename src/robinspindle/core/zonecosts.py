"""What it costs a request to leave its gateway's availability zone.

Without the operator's terms, another zone costs a constant. With them, it costs the
time on the way, the bytes of the request, of its answer and of the prompt's KV cache
at the operator's price, and the risk of the link as it is now.
"""

import math
from dataclasses import dataclass, fields

from robinspindle.core.forwarding import Prompt

CROSS_ZONE_COST_S = 0.010
"""Cost of a target in another availability zone without terms, seconds: its round trip,
and the charge for the transferred bytes."""

EVENT_BYTES = 100
"""Assumed size of one event of an answer, bytes."""

BYTES_PER_MB = 1e6
BYTES_PER_GB = 1e9

CROSS_ZONE_LEGS = 2
"""A round trip passes between the zones twice."""


@dataclass(frozen=True)
class ZoneTerms:
    """The operator's terms for traffic between availability zones.

    A price is an exchange rate: the milliseconds of a caller's wait that are worth as
    much as the bytes.

    Attributes:
        delay_ms: One-way network delay to another zone, milliseconds.
        mb_cost_ms: Price of a megabyte of requests and answers, milliseconds.
        memory_gb_cost_ms: Price of a gigabyte of KV cache that moves between two
            zones, milliseconds.
        least_gain_ms: Gain below which a request stays, milliseconds.
        most_share: Largest share of a gateway's requests to a service that leave the
            zone while targets at home may get them.
        guest_load_share: Share of a target's slots, and of the latency objective as a
            wait, up to which it is sent requests from other zones.
        least_engines: Engines of the gateway's zone from which on zones are weighed. A
            smaller zone has too few for both roles, and for the caches of its callers.
    """

    delay_ms: float = 1.5
    mb_cost_ms: float = 300.0
    memory_gb_cost_ms: float = 20.0
    least_gain_ms: float = 2.0
    most_share: float = 1.0
    guest_load_share: float = 0.5
    least_engines: float = 0.0


TERM_LIMITS = {
    "delay_ms": 1e4,
    "mb_cost_ms": 1e6,
    "memory_gb_cost_ms": 1e6,
    "least_gain_ms": 1e4,
    "most_share": 1.0,
    "guest_load_share": 1.0,
    "least_engines": 1e6,
}
"""The largest valid value of each term; the least is 0."""


@dataclass(frozen=True)
class CrossingCosts:
    """What each part of one request costs in another zone.

    Attributes:
        delay_s: Time on the way there and back, seconds.
        prefill_price_s: Price of the request that is sent to be prefilled, seconds.
        decode_price_s: Price of the request and its answer, seconds.
        memory_delay_s: Additional time for its KV cache between two zones, seconds.
        memory_price_s: Price of its KV cache between two zones, seconds.
    """

    delay_s: float
    prefill_price_s: float = 0.0
    decode_price_s: float = 0.0
    memory_delay_s: float = 0.0
    memory_price_s: float = 0.0


CONSTANT_COSTS = CrossingCosts(CROSS_ZONE_COST_S)


def find_term_fault(name: str, text: str) -> str:
    """Find what is wrong with the text of a term; empty if nothing is."""
    try:
        value = float(text)
    except ValueError:
        return f"`{text}` is not a number"
    if not math.isfinite(value) or not 0 <= value <= TERM_LIMITS[name]:
        return f"`{text}` is not between 0 and {TERM_LIMITS[name]:g}"
    return ""


def list_term_names() -> list[str]:
    """List the names of the operator's terms."""
    return [field.name for field in fields(ZoneTerms)]


def find_crossing_costs(
    terms: ZoneTerms,
    request_bytes: int,
    prompt: Prompt,
    event_tokens: int,
    token_transfer_s: float | None,
    token_bytes: float,
) -> CrossingCosts:
    """Find what the parts of a request cost in another zone.

    Args:
        terms: The operator's terms.
        request_bytes: Size of the request.
        prompt: Its prompt.
        event_tokens: Tokens per event of its answer.
        token_transfer_s: Transfer time per token within a zone, seconds; None if not
            known. Between zones it takes twice as long.
        token_bytes: Size of the KV cache of a token, bytes; 0 if not known.
    """
    answer_tokens = prompt.expected_answer_tokens or prompt.max_answer_tokens
    answer_bytes = answer_tokens / event_tokens * EVENT_BYTES
    byte_s = terms.mb_cost_ms / 1000 / BYTES_PER_MB
    memory_gb = prompt.tokens * token_bytes / BYTES_PER_GB
    return CrossingCosts(
        delay_s=CROSS_ZONE_LEGS * terms.delay_ms / 1000,
        prefill_price_s=request_bytes * byte_s,
        decode_price_s=(request_bytes + answer_bytes) * byte_s,
        memory_delay_s=prompt.tokens * (token_transfer_s or 0.0),
        memory_price_s=memory_gb * terms.memory_gb_cost_ms / 1000,
    )
