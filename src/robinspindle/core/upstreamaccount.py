"""An account of the answers that a process reads of its upstreams: whomever it calls.

An answer may be as long as its kind allows, and many may come at once. Beyond the bound
on their sum the largest gives way, so that a few without end cost the others nothing.
What is read for callers is counted with the callers (`heldbytes`).
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.heldbytes import BYTES_PER_MB

UPSTREAM_SHARE = 0.1
"""Share of the process's memory that such answers may take: one stands up to three
times while it is joined and decoded."""


@dataclass(eq=False, slots=True)
class UpstreamHolding:
    """What is held of one answer.

    Attributes:
        bytes: Bytes of it that have come.
        has_given_way: Whether it is to be read no further.
    """

    bytes: int = 0
    has_given_way: bool = False


@dataclass
class UpstreamAccount:
    """All answers that are being read.

    Attributes:
        max_bytes: Bound on their sum.
        total: Their sum.
        holdings: What is held of each.
    """

    max_bytes: float = math.inf
    total: int = 0
    holdings: set[UpstreamHolding] = field(default_factory=set)


def find_bound(memory_mb: float) -> float:
    """Return how much such answers may take together, bytes.

    Args:
        memory_mb: Memory at which the process is killed, MB.
    """
    return UPSTREAM_SHARE * memory_mb * BYTES_PER_MB


def note_read(account: UpstreamAccount, holding: UpstreamHolding, count: int) -> None:
    """Record how many bytes of an answer have come; the largest may give way to it."""
    if holding.has_given_way:
        return
    account.holdings.add(holding)
    account.total += count - holding.bytes
    holding.bytes = count
    while account.total > account.max_bytes:
        largest = max(account.holdings, key=lambda held: held.bytes)
        largest.has_given_way = True
        note_ended(account, largest)


def note_ended(account: UpstreamAccount, holding: UpstreamHolding) -> None:
    """Count an answer no more; one that isn't counted changes nothing."""
    if holding in account.holdings:
        account.holdings.remove(holding)
        account.total -= holding.bytes
