import pytest

from robinspindle.core.taskfailures import (
    MAX_PAUSE_S,
    STEADY_S,
    FailureHistory,
    find_failing_s,
    note_failure,
)


def test_pauses_grow_up_to_a_bound_and_begin_anew_after_a_steady_run():
    history, now, pauses = FailureHistory(), 10.0, []
    for _ in range(8):
        pauses.append(note_failure(history, now))
        now += pauses[-1] + 0.01
    assert pauses[:4] == [0.1, 0.2, 0.4, 0.8]
    assert pauses[-1] == MAX_PAUSE_S
    assert note_failure(history, now + STEADY_S) == 0.1


def test_a_task_fails_until_it_has_run_steadily():
    history = FailureHistory()
    assert find_failing_s(history, 10.0) == 0.0
    pause_s = note_failure(history, 10.0)
    assert find_failing_s(history, 10.0) > 0.0
    assert find_failing_s(history, 14.0) == pytest.approx(4.0)
    assert find_failing_s(history, 10.0 + pause_s + STEADY_S) == 0.0
