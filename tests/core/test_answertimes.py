"""What is expected to end by a time."""

from robinspindle.core.answertimes import AnswerTimes, can_end_by, note_answer_time


def test_what_lasts_longer_than_the_time_left_is_not_begun():
    times = AnswerTimes()
    note_answer_time(times, "once", 1.5)
    assert can_end_by(times, "once", 10.0, 11.6)
    assert not can_end_by(times, "once", 10.0, 11.4)
    assert not can_end_by(times, "unknown", 10.0, 10.0)


def test_one_slow_answer_is_no_reason_to_refuse_the_others():
    times = AnswerTimes()
    for _ in range(20):
        note_answer_time(times, "once", 0.1)
    note_answer_time(times, "once", 5.0)
    assert can_end_by(times, "once", 10.0, 11.0)
