from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.heldbytes import (
    HeldBytes,
    Holding,
    find_bound,
    must_wait,
    note_held,
)


def hold(account, workspace, count):
    holding = Holding(workspace, "t1")
    note_held(account, holding, count)
    return holding


def test_a_target_is_read_on_for_a_slow_caller_while_memory_is_free():
    """Engines cut answers that stayed unread for some seconds."""
    account = HeldBytes(find_bound(160.0))
    assert not must_wait(account, hold(account, "a", 4_000_000))


def test_one_answer_does_not_take_all_that_is_free():
    account = HeldBytes(1000)
    assert must_wait(account, hold(account, "a", 200))


def test_the_largest_holder_of_the_largest_workspace_waits_first():
    account = HeldBytes(1000)
    many = [hold(account, "a", 60) for _ in range(9)]
    large, small = hold(account, "b", 90), hold(account, "a", 10)
    assert all(must_wait(account, holding) for holding in many)
    assert not must_wait(account, large)
    assert not must_wait(account, small)


def test_nobody_is_read_on_beyond_the_bound():
    account = HeldBytes(1000)
    holdings = [hold(account, f"w{n}", 100) for n in range(11)]
    assert all(must_wait(account, holding) for holding in holdings)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 500)), max_size=40))
def test_what_is_held_adds_up_and_is_forgotten_with_its_end(steps):
    account = HeldBytes(1000)
    holdings = [hold(account, *step) for step in steps]
    assert account.total == sum(count for _, count in steps)
    if account.total > account.max_bytes:
        assert any(must_wait(account, holding) for holding in holdings)
    for holding in holdings:
        note_held(account, holding, 0)
    assert (account.total, account.holdings, account.by_workspace) == (0, set(), {})
