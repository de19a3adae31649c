"""Decides when room at an engine is set aside for a prompt that is read elsewhere.

Load that this answers: requests whose prompts take long to read come to an engine that
others have filled meanwhile, so they wait there although their reading is paid for.
Room that is set aside serves nobody until they come, so this is done only where it may
be gone by then, and never where the engine would refuse.
"""

import math
from dataclasses import dataclass

from robinspindle.core.room import RoomView

SHORTAGE_SPREAD = 2.0
"""Standard deviations of change during a reading for which room has to suffice: one
prompt in some forty then finds none, which leaves most callers in time."""

LEASE_SLACK_S = 0.3
"""Time that a lease lasts beyond the expected end of a reading, seconds: readings end
late by some tenths of a second where others are put before them."""

MIN_READING_S = 0.05
"""Readings shorter than this need no lease, seconds: the calls take as long."""


@dataclass(frozen=True)
class Wanted:
    """Room that a request needs when its prompt has been read.

    Attributes:
        tokens: Memory, tokens.
        reading_s: Expected time until then, seconds.
    """

    tokens: int
    reading_s: float


def should_reserve(view: RoomView, wanted: Wanted) -> bool:
    """Decide whether to set room aside.

    While an engine is busy, as many requests begin as end. Over a reading their
    difference has no trend, and its variance is that of both together.

    Args:
        view: The room of the engine.
        wanted: What the request needs.
    """
    if wanted.reading_s < MIN_READING_S:
        return False
    running = max(1.0, view.running)
    request_tokens = view.taken_tokens / running
    if view.free_slots < 1 or view.free_tokens < wanted.tokens:
        return False
    time_s = wanted.reading_s + view.age_s
    swing = SHORTAGE_SPREAD * math.sqrt(2 * view.turnover_per_s * time_s)
    return (
        view.free_slots < 1 + swing
        or view.free_tokens < wanted.tokens + swing * request_tokens
    )


def find_lease_s(wanted: Wanted, max_lease_s: float) -> float:
    """Find how long a lease lasts, seconds; 0 if the engines grant none that suffices.

    A lease that ends before the reading does protects nobody.

    Args:
        wanted: What the request needs.
        max_lease_s: The longest lease that the engines grant, seconds.
    """
    lease_s = wanted.reading_s + LEASE_SLACK_S
    return lease_s if lease_s <= max_lease_s else 0.0
