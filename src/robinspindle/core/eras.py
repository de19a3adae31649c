"""Eras of the platform's store, which may be restored from a backup.

A restore loses the latest records and begins a new era. Offsets go back and are
assigned again, so what was read or acknowledged in one era is void in the next one.
"""

from enum import Enum

MAX_ERA = 2**20
"""Largest valid era: no store is restored a million times."""

FENCES_PER_ERA = 1_000_000
"""Fencing tokens per era. Offsets go back with a new era, and engines refuse a token
lower than one that they saw, so the era is the high part of the token. There is at most
one claim per second, so an era has tokens for 11 days of claims without a pause, and
2,000 eras fit into 31 bits."""


class EraChange(Enum):
    """How the era of a response compares with the latest known era."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"


def parse_era(value: bytes) -> int | None:
    """Parse an era from its header; return None if it is invalid."""
    if not value.isdigit() or len(value) > len(str(MAX_ERA)):
        return None
    era = int(value)
    return era if era <= MAX_ERA else None


def compare_eras(known: int | None, received: int) -> EraChange:
    """Compare the era of a response with the latest known one.

    Args:
        known: The latest known era; None for none yet.
        received: The era of the response.
    """
    if known is None or received == known:
        return EraChange.SAME
    return EraChange.NEWER if received > known else EraChange.OLDER


def make_fence(era: int, offset: int) -> int:
    """Make the fencing token of a lease claim: it grows with offsets and with eras."""
    # Offsets begin at 0, fencing tokens at 1.
    return era * FENCES_PER_ERA + offset + 1
