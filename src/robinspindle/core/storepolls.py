"""How long the store may hold a poll, so that a silent connection is noticed in time.

A connection may go silent for good while new ones work. A gateway that reads for its
group notices that when a held poll brings nothing in time, and reads again on a new
connection; then its peers hear of it. All that has to be done within the time after
which gateways are held to what the store says.
"""

MAX_HOLD_S = 2.0
"""How long the store holds a poll at most, seconds: a cut is noticed at most this much
later, so that a healed link is read soon after."""

MIN_HOLD_S = 0.2
"""Shortest hold, seconds, whatever was promised: each call has its price."""

LATE_S = 0.3
"""How much later than its hold a poll may be answered before it is doubted, seconds:
longer than a store takes that is slow by a hundred times."""

SPREAD_S = 1.0
"""Time kept for a poll's second try and for telling the peers, seconds: two datagrams,
one of them lost, the peer's look at its own poll, and two reads on new connections."""


def find_hold_s(contact_s: float, rest_s: float) -> float:
    """Find how long the store may hold a poll of a gateway that reads for others.

    Args:
        contact_s: How soon after a silence gateways are held to what the store says,
            seconds.
        rest_s: The rest before the poll, seconds; its connection may go silent then.

    Returns:
        Seconds.
    """
    hold_s = contact_s - rest_s - LATE_S - SPREAD_S
    return min(MAX_HOLD_S, max(MIN_HOLD_S, hold_s))
