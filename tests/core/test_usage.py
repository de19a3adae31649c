from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import usage
from robinspindle.core.usage import Account, Ledger


def count(ledger, workspace, times=1, gateway="a", window=7):
    for _ in range(times):
        usage.count_started_request(ledger, gateway, 1, window, workspace)


def test_counts_received_twice_add_nothing():
    ledger = Ledger()
    sent = [Account("a", 1, 7, {"red": 3}), Account("b", 1, 7, {"red": 2})]
    usage.merge_accounts(ledger, sent + sent)
    assert usage.sum_by_workspace(ledger, 7) == {"red": 5}


def test_two_incarnations_of_a_gateway_both_count():
    ledger = Ledger()
    sent = [Account("a", 1, 7, {"red": 3}), Account("a", 2, 7, {"red": 1})]
    usage.merge_accounts(ledger, sent)
    assert usage.sum_by_workspace(ledger, 7) == {"red": 4}


def test_only_unacknowledged_counts_are_sent_again():
    ledger = Ledger()
    count(ledger, "red")
    first = usage.list_unacknowledged(ledger, "b", 1.0, 10, set())
    count(ledger, "blue")
    usage.note_received(ledger, "b", 1.0, 10)
    second = usage.list_unacknowledged(ledger, "b", 1.0, 11, set())
    assert [a.counts for a in first] == [{"red": 1}]
    assert [a.counts for a in second] == [{"blue": 1}]
    assert not usage.is_acknowledged(ledger, "a", 7)
    usage.note_received(ledger, "b", 1.0, 11)
    assert usage.is_acknowledged(ledger, "a", 7)


def test_restarted_neighbour_is_sent_all_counts():
    ledger = Ledger()
    count(ledger, "red")
    usage.list_unacknowledged(ledger, "b", 1.0, 10, set())
    usage.note_received(ledger, "b", 1.0, 10)
    assert not usage.list_unacknowledged(ledger, "b", 1.0, 11, set())
    assert usage.list_unacknowledged(ledger, "b", 2.0, 12, set())


def test_many_counts_are_sent_in_several_datagrams():
    ledger = Ledger()
    for number in range(3 * usage.MAX_COUNTS_PER_DATAGRAM):
        count(ledger, f"w{number}")
    received = Ledger()
    for number in range(3):
        sent = usage.list_unacknowledged(ledger, "b", 1.0, number, set())
        assert sum(len(a.counts) for a in sent) <= usage.MAX_COUNTS_PER_DATAGRAM
        usage.merge_accounts(received, sent)
        usage.note_received(ledger, "b", 1.0, number)
    assert usage.sum_by_workspace(received, 7) == usage.sum_by_workspace(ledger, 7)


def test_old_windows_are_removed():
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
def test_all_ledgers_converge_although_datagrams_are_lost(steps):
    ledgers = [Ledger() for _ in range(3)]
    number = 0
    for sender, workspace, is_lost in [
        *steps,
        *[(n, "", False) for n in (0, 1, 2) * 2],
    ]:
        if workspace:
            count(ledgers[sender], workspace, gateway=f"g{sender}")
        for receiver in {0, 1, 2} - {sender}:
            number += 1
            sent = usage.list_unacknowledged(
                ledgers[sender], f"g{receiver}", 1.0, number, set()
            )
            if not is_lost:
                usage.merge_accounts(ledgers[receiver], sent)
                usage.note_received(ledgers[sender], f"g{receiver}", 1.0, number)
    totals = [usage.sum_by_workspace(ledger, 7) for ledger in ledgers]
    assert totals[0] == totals[1] == totals[2]
    assert sum(totals[0].values()) == sum(1 for _, workspace, _ in steps if workspace)
