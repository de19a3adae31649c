"""Agrees on a time of day between gateways, one of whose clocks may be set wrongly.

A relay receives the clocks of its group and of the other relays, and uses the median.
The gateways of its group use the relay's result. Clocks that differ by no more than the
delay of a datagram count as equal, and then the gateway's own clock is used. A clock is
expressed as its offset from the monotonic clock, which can't be set: a step of the own
clock has no effect until it has been compared with the others.
"""

import statistics
from collections.abc import Iterable

NOISE_S = 0.25
"""Differences up to this are attributed to network and scheduling delay, seconds: at a
busy sender on a small machine a datagram waits behind other work."""

MIN_CLOCKS = 3
"""With fewer clocks there is no majority that shows which of them is wrong."""

MAX_CLOCK_AGE_S = 0.5
"""A received clock that may be older than this isn't compared, seconds: its datagram
waited unread in a buffer."""

TRUST_S = 60.0
"""Time for which a gateway that receives nothing keeps the agreed time of day if its
own clock steps away from it, seconds."""


def find_agreed_clock(own: float, others: Iterable[float]) -> float:
    """Return the agreed clock, as an offset from the own monotonic clock in seconds.

    Args:
        own: The own clock, as such an offset.
        others: The clocks of peers, as such offsets.
    """
    known = [own, *others]
    if len(known) < MIN_CLOCKS:
        return own
    return choose_clock(own, statistics.median_low(known))


def choose_clock(own: float, agreed: float) -> float:
    """Choose the own clock if it matches the agreed one, otherwise the agreed one."""
    return own if abs(agreed - own) <= NOISE_S else agreed
