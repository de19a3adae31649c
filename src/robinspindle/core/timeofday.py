"""The time of day that gateways agree on, where one of their clocks was set wrongly.

A relay hears the clocks of its group and of the other relays, and believes the one in
the middle; its group believes the relay. Clocks that differ by no more than a datagram
takes are as good as each other, and the own one is used.
"""

import statistics
from collections.abc import Iterable

NOISE_S = 0.25
"""Differences up to this are put down to the way of a datagram and to waiting, seconds:
who is heard waits behind up to 0.1 s of other work on a small machine that is busy."""

LEAST_CLOCKS = 3
"""With fewer clocks nobody can tell which of them is wrong."""


def find_correction(offsets: Iterable[float]) -> float:
    """Find what is to be added to the own time of day, seconds.

    Args:
        offsets: The clocks of others against our own, seconds.
    """
    known = [0.0, *offsets]
    if len(known) < LEAST_CLOCKS:
        return 0.0
    return follow_relay(statistics.median_low(known))


def follow_relay(offset: float) -> float:
    """Find what to add for one clock that is believed, seconds."""
    return 0.0 if abs(offset) <= NOISE_S else offset
