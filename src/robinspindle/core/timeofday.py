"""The time of day that gateways agree on, where one of their clocks was set wrongly.

A relay hears the clocks of its group and of the other relays, and believes the one in
the middle; its group believes the relay. Clocks that differ by no more than a datagram
takes are as good as each other, and the own one is used. A clock is told by what it
shows beyond the steady clock, which nobody sets: a step of the own clock changes
nothing before it was compared with the others.
"""

import statistics
from collections.abc import Iterable

NOISE_S = 0.25
"""Differences up to this are put down to the way of a datagram and to waiting, seconds:
who is heard waits behind up to 0.1 s of other work on a small machine that is busy."""

LEAST_CLOCKS = 3
"""With fewer clocks nobody can tell which of them is wrong."""


MAX_CLOCK_AGE_S = 0.5
"""A clock is not compared if what it showed may be older than this, seconds: it lay in
a buffer while nobody read it."""

TRUST_S = 60.0
"""How long a time of day that was agreed on is kept by a gateway that hears nobody,
seconds, where its own clock jumps away from it."""


def find_agreed_clock(own: float, others: Iterable[float]) -> float:
    """Find the clock that is believed, as seconds beyond the own steady clock.

    Args:
        own: The own clock.
        others: The clocks of peers.
    """
    known = [own, *others]
    if len(known) < LEAST_CLOCKS:
        return own
    return choose_clock(own, statistics.median_low(known))


def choose_clock(own: float, believed: float) -> float:
    """Choose between the own clock and one that is believed: the own, if both agree."""
    return own if abs(believed - own) <= NOISE_S else believed
