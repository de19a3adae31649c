from robinspindle.core import priorities
from robinspindle.core.priorities import (
    FIRST_RANK_LEVEL,
    LAST_RANK_LEVEL,
    SHORT_LEVEL,
    find_priority_level,
)


def test_short_prefill_goes_first():
    assert find_priority_level(0.005, 0.2, 3) == SHORT_LEVEL
    assert find_priority_level(0.007, 0.2, 3) > SHORT_LEVEL


def test_ranks_decide_among_other_prefills():
    levels = [find_priority_level(0.05, 0.2, rank) for rank in range(8)]
    assert levels[0] == FIRST_RANK_LEVEL
    assert levels == sorted(levels)
    assert levels[-1] == LAST_RANK_LEVEL < priorities.LATE_LEVEL


def test_request_priorities_follow_the_levels():
    sent = priorities.REQUEST_PRIORITIES
    assert len(sent) == priorities.LEVELS == len(priorities.make_level_sums())
    assert list(sent) == sorted(set(sent))
    assert 0 <= sent[0] <= sent[-1] <= 9


def test_urgent_requests_of_most_workspaces_are_not_served_in_turn_with_the_others():
    # Three priorities of workspaces, three of routes: the pairs of the two first ones
    # of the workspaces, and the most urgent ones of the third, are told apart.
    levels = [find_priority_level(0.05, 0.2, rank) for rank in range(9)]
    assert len(set(levels)) >= 8
    assert levels[6] < levels[7]
