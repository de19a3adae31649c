import pytest

from robinspindle.core.uplink import (
    MAX_BACKLOG_S,
    USABLE_SHARE,
    Uplink,
    estimate_arrival,
    find_delay,
    note_sent,
)

RATE = 1_000_000.0 / USABLE_SHARE


def test_delay_until_the_backlog_is_short_again():
    link = Uplink(RATE)
    note_sent(link, 10.0, 60_000)
    assert find_delay(link, 10.0) == 0.0
    note_sent(link, 10.0, 60_000)
    assert find_delay(link, 10.0) == pytest.approx(0.12 - MAX_BACKLOG_S)
    assert find_delay(link, 10.05) == 0.0
    # A link that was idle has no credit.
    note_sent(link, 20.0, 100_000)
    assert link.free_at == pytest.approx(20.1)


def test_a_new_request_leaves_behind_all_that_wait():
    link = Uplink(RATE, waiting_bytes=300_000)
    note_sent(link, 10.0, 100_000)
    assert estimate_arrival(link, 10.0, 50_000) == pytest.approx(0.45)


def test_nothing_waits_for_a_link_of_unknown_rate():
    link = Uplink(waiting_bytes=1 << 40)
    note_sent(link, 10.0, 1 << 40)
    assert find_delay(link, 10.0) == 0.0
    assert estimate_arrival(link, 10.0, 1 << 40) == 0.0
