import pytest

from robinspindle.core.acknowledgements import (
    SendQueue,
    begin,
    find_owed_s,
    find_stalled_s,
    note_queue,
)

FULL = SendQueue(unsent_bytes=1000, acked_bytes=50)


def look(queues):
    """Look at a peer once a second; returns what was seen, and when last."""
    seen = begin(queues[0], 0.0)
    for now, queue in enumerate(queues):
        note_queue(seen, queue, float(now))
    return seen, float(len(queues) - 1)


def test_a_peer_without_room_owes_nothing_between_probes():
    # The time since its last acknowledgement grows with the intervals of the probes.
    queues = [SendQueue(0, 0, 1000, 50, ack_age_s=age) for age in (0, 1, 2, 3, 4, 5, 6)]
    assert find_owed_s(*look(queues)) == 0.0


def test_a_probe_on_its_way_does_not_count_from_the_answer_to_the_last_one():
    queues = [FULL, FULL, SendQueue(0, 1, 1000, 50, ack_age_s=12.0)]
    assert find_owed_s(*look(queues)) == 0.0


@pytest.mark.parametrize("owes", [SendQueue(1, 0), SendQueue(0, 1, 1000, 50)])
def test_a_peer_that_is_gone_owes_more_and_more(owes):
    queues = [SendQueue(owes.unacked, owes.probes, 9, 50, age) for age in (1, 2, 3, 4)]
    assert find_owed_s(*look(queues)) == 3.0


def test_a_peer_that_acknowledges_slowly_owes_only_what_came_since():
    queues = [SendQueue(3, 0, 0, 50, age) for age in (0.5, 1.5, 0.5, 1.5)]
    assert find_owed_s(*look(queues)) == 1.0


def test_a_peer_takes_nothing_as_long_as_nothing_more_is_acknowledged():
    queues = [SendQueue(0, 0, 9, acked) for acked in (10, 20, 20, 20)]
    assert find_stalled_s(*look(queues)) == 2.0
