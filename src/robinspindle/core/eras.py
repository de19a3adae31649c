"""Eras of the platform's store: it may return from a copy and have lost the newest.

Each return begins a new era. Offsets go back and are given out again, so what was read
or acknowledged in one era says nothing in the next.
"""

from enum import Enum

MOST_ERA = 2**20
"""No store returns from a copy a million times; larger numbers are no eras."""

FENCES_AN_ERA = 1_000_000
"""Fencing numbers of one era. Offsets go back with an era, and engines refuse a number
lower than one they saw: the era comes first in it. There is at most one claim a second,
so that one era has numbers for 11 days of claims without a pause, and 2,000 eras stay
within 31 bits."""


class EraChange(Enum):
    """What the era of an answer says."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"


def parse_era(value: bytes) -> int | None:
    """Read an era from its header; None for what can't be one."""
    if not value.isdigit() or len(value) > len(str(MOST_ERA)):
        return None
    era = int(value)
    return era if era <= MOST_ERA else None


def compare_eras(known: int | None, told: int) -> EraChange:
    """Compare the era of an answer with the newest that is known; None for none yet."""
    if known is None or told == known:
        return EraChange.SAME
    return EraChange.NEWER if told > known else EraChange.OLDER


def make_fence(era: int, offset: int) -> int:
    """Make the fencing number of a claim: it rises over offsets, and over eras."""
    # Offsets begin at 0, and a fencing number should not.
    return era * FENCES_AN_ERA + offset + 1
