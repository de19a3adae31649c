import math

import pytest

from robinspindle.core.peerdigests import (
    Cache,
    Digest,
    Placement,
    PrefillStatistics,
    TargetLoad,
)
from robinspindle.core.peervalidation import find_fault
from robinspindle.core.prefillmodel import FitSums
from robinspindle.core.priorities import LEVELS
from robinspindle.core.targetspeeds import SpeedSums

VALID = Digest(
    "g2",
    1.0,
    1,
    [TargetLoad("e1", 1, [0] * LEVELS)],
    [Placement("e1", [("aa", 5)], 10)],
    {"lm": 0.5},
    prefill_statistics=[
        PrefillStatistics("lm", True, FitSums(1.0, [1.0] * 6, [1.0] * 3))
    ],
    caches=[Cache("e1", [("aa", 5)])],
    speeds=[SpeedSums("e1", 8, [8, 16], [8])],
)


def make(**changed):
    return Digest(
        **{
            name: changed.get(name, getattr(VALID, name))
            for name in VALID.__struct_fields__
        }
    )


def test_valid_digest_is_accepted():
    assert find_fault(VALID) is None


@pytest.mark.parametrize(
    "changed",
    [
        {"number": -1},
        {"started": math.nan},
        {"loads": [TargetLoad("e1", 1, [0] * (LEVELS - 1))]},
        {"loads": [TargetLoad("e1", -1, [0] * LEVELS)]},
        {"loads": [TargetLoad("e1", 1, [0] * LEVELS, set_aside=-1)]},
        {"loads": [TargetLoad("e1", 1, [0] * LEVELS, tokens=1 << 50)]},
        {"loads": [TargetLoad("e1", 1, [0, 1 << 40] + [0] * (LEVELS - 2))]},
        {"placements": [Placement("e1", [("aa", -5)])]},
        {"placements": [Placement("e1", [], 0, LEVELS)]},
        {"prefill_loads": {"lm": math.inf}},
        {"prefill_loads": {"lm": -1.0}},
        {
            "prefill_statistics": [
                PrefillStatistics("lm", True, FitSums(math.nan, [1.0] * 6, [1.0] * 3))
            ]
        },
        {"caches": [Cache("e1", [("aa", -1)])]},
        {"speeds": [SpeedSums("e1", -1, [8])]},
        {"speeds": [SpeedSums("e1", 8, [8] * 17)]},
        {"speeds": [SpeedSums("e1", 8, [-8])]},
        {"speeds": [SpeedSums("e1", 8, [1 << 40])]},
        {"speeds": [SpeedSums("e1", 8, [8], [8, 8])]},
        {"speeds": [SpeedSums("e1", 8, [8])] * 49},
    ],
)
def test_values_that_corrupt_totals_are_rejected(changed):
    assert find_fault(make(**changed)) is not None
