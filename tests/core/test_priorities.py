from robinspindle.core import priorities
from robinspindle.core.priorities import (
    FIRST_RANK_LEVEL,
    LAST_RANK_LEVEL,
    SHORT_LEVEL,
    find_priority_level,
)


def test_a_reading_that_holds_nobody_up_goes_first():
    assert find_priority_level(0.005, 0.2, 3) == SHORT_LEVEL
    assert find_priority_level(0.007, 0.2, 3) > SHORT_LEVEL


def test_the_operators_rank_decides_among_the_others():
    levels = [find_priority_level(0.05, 0.2, rank) for rank in range(8)]
    assert levels[0] == FIRST_RANK_LEVEL
    assert levels == sorted(levels)
    assert levels[-1] == LAST_RANK_LEVEL < priorities.LATE_LEVEL


def test_engines_are_told_of_each_level_in_order():
    told = priorities.REQUEST_PRIORITIES
    assert len(told) == priorities.LEVELS == len(priorities.make_level_sums())
    assert list(told) == sorted(set(told))
    assert 0 <= told[0] <= told[-1] <= 9
