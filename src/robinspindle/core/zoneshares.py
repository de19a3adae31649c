"""How much of a gateway's requests to a service leaves its availability zone.

Each request leaves with a probability that grows with what it gains, and grows the more
slowly the older the known state of the other zones is: many gateways that decide at
once from the same stale state then move a share of their requests, not all of them,
and learn what became of it before they move more. A limit follows the wanted share
with a lag, so that a step of the load does not become a step of the traffic.
"""

import math
import random
from dataclasses import dataclass

from robinspindle.core.zonecosts import ZoneTerms

GAIN_PER_AGE = 3.0
"""Gain at which all requests leave, in ages of the known state, beyond the least one. A
queue reacts to a share with the delay of that age: the loop swings up from a factor of
4/pi on, as both queues move."""

LEAST_FULL_GAIN_S = 0.05
"""The same for a fresh state, seconds: what a gateway has placed itself is known at
once, and what others have a few hops later."""

SHARE_LAG_S = 0.5
"""Time in which the limit follows the wanted share, seconds."""

SHARE_HEADROOM = 0.25
"""How far the share may rise beyond what was wanted lately."""


@dataclass
class ZoneShare:
    """How much of the requests to one service has lately been better off elsewhere.

    Attributes:
        wanted: Moving average of the probability that was wanted, 0 to 1.
        noted_at: When it was last updated, monotonic seconds; None if it never was.
    """

    wanted: float = 0.0
    noted_at: float | None = None


@dataclass(frozen=True)
class Gain:
    """What a request gains by leaving, after all costs.

    Attributes:
        total_s: The whole gain, seconds.
        lasting_s: The part that doesn't come from the load, which is known late, but
            from what differs for this request: a cache that holds its parts, a target
            without faults. Others don't gain by the same choice, so it draws no crowd.
    """

    total_s: float
    lasting_s: float = 0.0


def find_leaving_probability(
    gain: Gain, age_s: float, room: float, terms: ZoneTerms
) -> float:
    """Find with what probability a request leaves its zone, 0 to 1.

    Args:
        gain: What it gains.
        age_s: Age of what is known of the other zone, seconds.
        room: Share of the other zone's room for guests that is left, 0 to 1; fewer
            leave before it is full, as it may be fuller than is known.
        terms: The operator's terms.
    """
    least_s = terms.least_gain_ms / 1000
    if min(gain.total_s, gain.lasting_s) >= least_s:
        return room * terms.most_share
    full_s = LEAST_FULL_GAIN_S + GAIN_PER_AGE * age_s
    return room * min(terms.most_share, max(0.0, gain.total_s - least_s) / full_s)


def find_room(wait_s: float, objective_s: float, terms: ZoneTerms) -> float:
    """Find the share of the room for guests that is left where they wait, 0 to 1.

    Args:
        wait_s: How long a guest would wait there, seconds.
        objective_s: Longest wait that meets the latency objective, seconds.
        terms: The operator's terms.
    """
    limit_s = terms.guest_load_share * objective_s
    return max(0.0, 1.0 - wait_s / limit_s) if limit_s > 0.0 else 0.0


def note_wanted(share: ZoneShare, now: float, probability: float) -> None:
    """Record with what probability a request would leave.

    Args:
        share: The service's share; changed in place.
        now: The current time, monotonic seconds.
        probability: The probability, 0 if it gains nothing.
    """
    noted_at = now if share.noted_at is None else share.noted_at
    # After a rest, one request alone doesn't open the way to all.
    elapsed_s = min(max(0.0, now - noted_at), SHARE_LAG_S / 2)
    weight = 1.0 - math.exp(-elapsed_s / SHARE_LAG_S)
    share.wanted += weight * (probability - share.wanted)
    share.noted_at = now


def draws_leave(
    share: ZoneShare, probability: float, terms: ZoneTerms, rng: random.Random
) -> bool:
    """Draw whether a request leaves its zone.

    Args:
        share: The service's share.
        probability: With what probability it would leave by itself.
        terms: The operator's terms.
        rng: Source of random choices.
    """
    limit = min(terms.most_share, share.wanted + SHARE_HEADROOM)
    return rng.random() < min(probability, limit)
