"""How many new connections a busy gateway takes.

A balancer may send most connections of a region to one gateway. What that gateway reads
it has to serve, and callers that it reads too late get nothing. A connection that it
closes unread costs its caller one more attempt, which meets another gateway. The limit
follows the delay of the event loop: it falls while all work is delayed, and rises again
afterwards.
"""

import math
from dataclasses import dataclass

from robinspindle.core.tokenbuckets import count_tokens

MAX_DELAY_S = 0.15
"""Delay of the event loop from which it counts as overloaded, seconds: more than the
longest time for which a processor quota suspends a process."""

LEAST_DELAYED_TICKS = 2
"""Delayed ticks in a row that count as an overload; a single one may be a suspended
process."""

DECREASE = 0.7
"""The limit is lowered to this share of the connections that could be served."""

INCREASE_PER_S = 0.15
"""Share by which the limit is raised in each second without a delay."""

RELEASE_S = 5.0
"""Time without a connection turned away after which the limit ends, seconds."""

MIN_PER_S = 5.0
"""The least limit, connections per second: a gateway that is ready takes some."""

BURST_S = 0.2
"""Time for whose connections an unused limit is kept, seconds."""


@dataclass
class Acceptance:
    """The limit on new connections of one gateway.

    Attributes:
        per_s: The limit, connections per second; infinite for none.
        served_per_s: Connections that could be served lately, per second.
        taken: Connections taken since the last tick.
        taken_before: Connections taken between the two ticks before: an event loop that
            is late serves these by the next tick.
        turned_away: Connections turned away since the process started.
        delayed_ticks: Delayed ticks in a row.
        ticked_at: When the last tick was, monotonic seconds; None before the first.
        turned_away_at: When a connection was last turned away, monotonic seconds.
        tokens: Connections that might be taken at `refilled_at`.
        refilled_at: When the last connection came, monotonic seconds.
    """

    per_s: float = math.inf
    served_per_s: float = math.inf
    taken: int = 0
    taken_before: int = 0
    turned_away: int = 0
    delayed_ticks: int = 0
    ticked_at: float | None = None
    turned_away_at: float = -math.inf
    tokens: float = 0.0
    refilled_at: float = 0.0


def take_connection(acceptance: Acceptance, now: float) -> bool:
    """Take a new connection, unless there are more than the limit allows.

    Returns:
        Whether it was taken.
    """
    if math.isfinite(acceptance.per_s):
        acceptance.tokens = count_tokens(
            acceptance.tokens, acceptance.refilled_at, acceptance.per_s, BURST_S, now
        )
        acceptance.refilled_at = now
        if acceptance.tokens < 1.0:
            acceptance.turned_away += 1
            acceptance.turned_away_at = now
            return False
        acceptance.tokens -= 1.0
    acceptance.taken += 1
    return True


def note_tick(acceptance: Acceptance, now: float, delay_s: float) -> None:
    """Adapt the limit to the delay of the event loop.

    Args:
        acceptance: The limit; changed in place.
        now: The current time, monotonic seconds.
        delay_s: How much later than planned the tick comes, seconds.
    """
    elapsed_s = _note_taken(acceptance, now)
    if delay_s > MAX_DELAY_S:
        acceptance.delayed_ticks += 1
        if acceptance.delayed_ticks >= LEAST_DELAYED_TICKS:
            _lower_limit(acceptance, now)
        return
    acceptance.delayed_ticks = 0
    acceptance.per_s *= 1.0 + INCREASE_PER_S * elapsed_s
    if now - acceptance.turned_away_at > RELEASE_S:
        acceptance.per_s = math.inf


def _note_taken(acceptance: Acceptance, now: float) -> float:
    """Update what could be served; returns the time since the last tick, seconds."""
    before, acceptance.ticked_at = acceptance.ticked_at, now
    if before is None or now <= before:
        return 0.0
    elapsed_s = now - before
    acceptance.served_per_s = acceptance.taken_before / elapsed_s
    acceptance.taken_before, acceptance.taken = acceptance.taken, 0
    return elapsed_s


def _lower_limit(acceptance: Acceptance, now: float) -> None:
    if not math.isfinite(acceptance.per_s):
        acceptance.refilled_at = acceptance.turned_away_at = now
        acceptance.tokens = 0.0
    lowered = DECREASE * min(acceptance.per_s, acceptance.served_per_s)
    acceptance.per_s = max(MIN_PER_S, lowered)
    acceptance.delayed_ticks = 0
