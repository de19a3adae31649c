"""Answers of upstreams stay within a bound on their sum."""

from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.upstreamaccount import (
    UpstreamAccount,
    UpstreamHolding,
    note_ended,
    note_read,
)

BOUND = 100


def test_an_answer_without_end_costs_no_other_answer():
    account = UpstreamAccount(BOUND)
    endless, sound = UpstreamHolding(), UpstreamHolding()
    note_read(account, sound, 30)
    for count in range(0, BOUND, 10):
        note_read(account, endless, count)
    assert endless.has_given_way and not sound.has_given_way
    assert account.total == 30


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 60)), max_size=60))
def test_the_sum_is_within_its_bound_and_is_that_of_its_parts(steps):
    account = UpstreamAccount(BOUND)
    holdings = [UpstreamHolding() for _ in range(10)]
    for index, more in steps:
        holding = holdings[index]
        if more:
            note_read(account, holding, holding.bytes + more)
        else:
            note_ended(account, holding)
            holdings[index] = UpstreamHolding()
        assert account.total == sum(held.bytes for held in account.holdings) <= BOUND
        assert not any(held.has_given_way for held in account.holdings)
