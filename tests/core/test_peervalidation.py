import math

import pytest

from robinspindle.core.peerdigests import (
    Cache,
    Digest,
    Load,
    Placement,
    PrefillStatistics,
)
from robinspindle.core.peervalidation import find_fault
from robinspindle.core.prefillmodel import FitSums

GOOD = Digest(
    "g2",
    1.0,
    1,
    [Load("e1", 1, [0] * 6)],
    [Placement("e1", [("aa", 5)], 10)],
    {"lm": 0.5},
    prefill_statistics=[
        PrefillStatistics("lm", True, FitSums(1.0, [1.0] * 6, [1.0] * 3))
    ],
    caches=[Cache("e1", [("aa", 5)])],
)


def make(**changed):
    return Digest(
        **{
            name: changed.get(name, getattr(GOOD, name))
            for name in GOOD.__struct_fields__
        }
    )


def test_what_gateways_tell_is_believed():
    assert find_fault(GOOD) is None


@pytest.mark.parametrize(
    "changed",
    [
        {"number": -1},
        {"started": math.nan},
        {"loads": [Load("e1", 1, [0] * 5)]},
        {"loads": [Load("e1", -1, [0] * 6)]},
        {"loads": [Load("e1", 1, [0, 1 << 40, 0, 0, 0, 0])]},
        {"placements": [Placement("e1", [("aa", -5)])]},
        {"placements": [Placement("e1", [], 0, 6)]},
        {"prefill_loads": {"lm": math.inf}},
        {"prefill_loads": {"lm": -1.0}},
        {
            "prefill_statistics": [
                PrefillStatistics("lm", True, FitSums(math.nan, [1.0] * 6, [1.0] * 3))
            ]
        },
        {"caches": [Cache("e1", [("aa", -1)])]},
    ],
)
def test_what_would_spoil_a_sum_is_not(changed):
    assert find_fault(make(**changed)) is not None
