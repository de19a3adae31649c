import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import calleraccount
from robinspindle.core.calleraccount import (
    CONNECTION_BYTES,
    CallerAccount,
    Held,
    list_eldest,
    list_excess,
)
from robinspindle.core.heldbytes import HeldBytes, Holding, note_held


def add(account, now, **held):
    holding = calleraccount.add_connection(account, now)
    calleraccount.note_held(account, holding, Held(now, **held))
    return holding


def give_way(account, now):
    """Have all who hold too much drop what they may."""
    gone = []
    for holding in list_excess(account, now):
        gone.append(holding)
        calleraccount.remove_connection(account, holding)
    return gone


def test_a_body_that_stopped_long_ago_gives_way_to_a_larger_one_that_comes_fast():
    account = CallerAccount(max_bytes=10_000_000)
    stalled = [add(account, 0.0, loose_bytes=3_900_000) for _ in range(2)]
    fast = add(account, 5.0, loose_bytes=4_000_000)

    gone = give_way(account, 5.0)

    assert gone
    assert set(gone) <= set(stalled)
    assert fast in account.holdings


def test_what_is_under_way_never_gives_way():
    account = CallerAccount(max_bytes=1_000_000)
    running = add(account, 0.0, busy_bytes=4_000_000)
    assert give_way(account, 100.0) == []
    assert running in account.holdings


def test_what_came_behind_a_request_under_way_may_give_way():
    account = CallerAccount(max_bytes=100_000)
    ahead = add(account, 0.0, busy_bytes=50_000, loose_bytes=60_000)
    assert next(list_excess(account, 1.0)) is ahead


def test_answers_count_with_what_callers_send():
    account = CallerAccount(max_bytes=1_000_000, answers=HeldBytes(1_000_000))
    body = add(account, 0.0, loose_bytes=300_000)
    assert give_way(account, 1.0) == []
    note_held(account.answers, Holding("w", "t"), 800_000)
    assert give_way(account, 1.0) == [body]


def test_no_more_gives_way_than_has_to():
    account = CallerAccount(max_bytes=10_000_000)
    for _ in range(11):
        add(account, 0.0, loose_bytes=1_000_000 - CONNECTION_BYTES)
    assert len(give_way(account, 1.0)) == 2


def test_the_eldest_without_a_request_under_way_gives_its_place():
    account = CallerAccount(max_connections=3)
    add(account, 0.0, busy_bytes=1)
    eldest = add(account, 1.0)
    assert list_eldest(account) == []
    add(account, 2.0)
    assert list_eldest(account) == [eldest]


def test_nobody_gives_a_place_where_all_have_requests_under_way():
    account = CallerAccount(max_connections=1)
    add(account, 0.0, busy_bytes=1)
    assert list_eldest(account) == []


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(200, 8192), (232, 4096), (300, 4100), (552, 8192)]
)
def test_bounds_leave_room_on_the_machines_of_the_pages(memory_mb, descriptors):
    account = CallerAccount()
    calleraccount.set_bounds(account, memory_mb, descriptors)
    unread = account.max_connections * calleraccount.UNREAD_BYTES
    assert account.max_bytes + unread <= 0.55 * memory_mb * 1e6
    backlog = calleraccount.find_backlog(account)
    # Each may need one more descriptor, for its target.
    sockets = descriptors - calleraccount.FILE_DESCRIPTORS
    assert 2 * account.max_connections + backlog < sockets


@given(
    st.lists(
        st.tuples(
            st.integers(0, 10**7),
            st.integers(0, 10**7),
            st.floats(0, 100),
            st.booleans(),
        ),
        max_size=30,
    ),
    st.integers(0, 10**8),
)
def test_the_sum_is_that_of_its_parts_and_only_loose_parts_give_way(parts, most):
    account = CallerAccount(max_bytes=most)
    holdings = []
    for busy, loose, since, is_gone in parts:
        holding = calleraccount.add_connection(account, since)
        held = Held(since, busy_bytes=busy, loose_bytes=loose)
        calleraccount.note_held(account, holding, held)
        if is_gone:
            calleraccount.remove_connection(account, holding)
            calleraccount.remove_connection(account, holding)
        else:
            holdings.append(holding)
    assert account.total_bytes == sum(h.bytes for h in holdings)
    assert all(holding.loose_bytes for holding in give_way(account, 100.0))
    assert account.total_bytes == sum(h.bytes for h in account.holdings)
    loose = [h for h in account.holdings if h.loose_bytes]
    assert account.total_bytes <= most or not loose
