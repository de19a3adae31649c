from robinspindle.core import urgency
from robinspindle.core.urgency import FIRST_RANK, LAST_RANK, SHORT, find_level


def test_a_reading_that_holds_nobody_up_goes_first():
    assert find_level(0.005, 0.2, 3) == SHORT
    assert find_level(0.007, 0.2, 3) > SHORT


def test_the_operators_rank_decides_among_the_others():
    levels = [find_level(0.05, 0.2, rank) for rank in range(8)]
    assert levels[0] == FIRST_RANK
    assert levels == sorted(levels)
    assert levels[-1] == LAST_RANK < urgency.LATE


def test_engines_are_told_of_each_level_in_order():
    told = urgency.REQUEST_URGENCIES
    assert len(told) == urgency.LEVELS == len(urgency.make_levels())
    assert list(told) == sorted(set(told))
    assert 0 <= told[0] <= told[-1] <= 9
