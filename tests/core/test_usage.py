from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import usage
from robinspindle.core.usage import Account, Ledger


def count(ledger, workspace, times=1, gateway="a", window=7):
    for _ in range(times):
        usage.count_started_request(ledger, gateway, 1, window, workspace)


def test_totals_told_twice_add_nothing():
    ledger = Ledger()
    told = [Account("a", 1, 7, {"red": 3}), Account("b", 1, 7, {"red": 2})]
    usage.merge_accounts(ledger, told + told)
    assert usage.sum_by_workspace(ledger, 7) == {"red": 5}


def test_two_lives_of_one_gateway_both_count():
    ledger = Ledger()
    told = [Account("a", 1, 7, {"red": 3}), Account("a", 2, 7, {"red": 1})]
    usage.merge_accounts(ledger, told)
    assert usage.sum_by_workspace(ledger, 7) == {"red": 4}


def test_what_was_not_confirmed_is_told_again_and_nothing_else():
    ledger = Ledger()
    count(ledger, "red")
    first = usage.list_unconfirmed(ledger, "b", 1.0, 10, set())
    count(ledger, "blue")
    usage.note_confirmed(ledger, "b", 1.0, 10)
    second = usage.list_unconfirmed(ledger, "b", 1.0, 11, set())
    assert [a.counts for a in first] == [{"red": 1}]
    assert [a.counts for a in second] == [{"blue": 1}]
    assert not usage.is_confirmed(ledger, "a", 7)
    usage.note_confirmed(ledger, "b", 1.0, 11)
    assert usage.is_confirmed(ledger, "a", 7)


def test_a_neighbour_that_starts_again_is_told_all():
    ledger = Ledger()
    count(ledger, "red")
    usage.list_unconfirmed(ledger, "b", 1.0, 10, set())
    usage.note_confirmed(ledger, "b", 1.0, 10)
    assert not usage.list_unconfirmed(ledger, "b", 1.0, 11, set())
    assert usage.list_unconfirmed(ledger, "b", 2.0, 12, set())


def test_many_counts_are_told_over_several_datagrams():
    ledger = Ledger()
    for number in range(3 * usage.MAX_COUNTS_PER_DATAGRAM):
        count(ledger, f"w{number}")
    heard = Ledger()
    for number in range(3):
        told = usage.list_unconfirmed(ledger, "b", 1.0, number, set())
        assert sum(len(a.counts) for a in told) <= usage.MAX_COUNTS_PER_DATAGRAM
        usage.merge_accounts(heard, told)
        usage.note_confirmed(ledger, "b", 1.0, number)
    assert usage.sum_by_workspace(heard, 7) == usage.sum_by_workspace(ledger, 7)


def test_old_windows_are_forgotten():
    ledger = Ledger()
    count(ledger, "red", window=3)
    count(ledger, "red", window=8)
    usage.forget_before(ledger, 5)
    assert usage.list_windows(ledger) == {8}
    assert not usage.sum_by_workspace(ledger, 3)


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from(["red", "blue"]), st.booleans()),
        max_size=60,
    )
)
def test_all_know_all_in_the_end_however_many_datagrams_are_lost(steps):
    ledgers = [Ledger() for _ in range(3)]
    number = 0
    for who, workspace, is_lost in [*steps, *[(n, "", False) for n in (0, 1, 2) * 2]]:
        if workspace:
            count(ledgers[who], workspace, gateway=f"g{who}")
        for other in {0, 1, 2} - {who}:
            number += 1
            told = usage.list_unconfirmed(ledgers[who], f"g{other}", 1.0, number, set())
            if not is_lost:
                usage.merge_accounts(ledgers[other], told)
                usage.note_confirmed(ledgers[who], f"g{other}", 1.0, number)
    totals = [usage.sum_by_workspace(ledger, 7) for ledger in ledgers]
    assert totals[0] == totals[1] == totals[2]
    assert sum(totals[0].values()) == sum(1 for _, workspace, _ in steps if workspace)
