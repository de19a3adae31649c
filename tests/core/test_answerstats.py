import pytest

from robinspindle.core.answerstats import AnswerStats


def test_answers_are_long_by_their_expected_length_and_not_by_their_maximum():
    stats = AnswerStats()
    for _ in range(50):
        stats.note_expected("chat", "lm", 89.0)
        stats.note_expected("hint", "lm", 19.0)
        stats.note_answer("lm", 20, 19 * 0.06)
    assert stats.is_long("chat", "lm")
    assert not stats.is_long("hint", "lm")


def test_initial_event_time_is_used_before_any_answer():
    stats = AnswerStats()
    assert not stats.is_long("chat", "lm")
    stats.note_expected("chat", "lm", 89.0)
    assert stats.is_long("chat", "lm")


def test_no_answer_is_long_on_a_fast_engine():
    stats = AnswerStats()
    stats.note_expected("chat", "lm", 89.0)
    for _ in range(100):
        stats.note_answer("lm", 90, 89 * 0.006)
    assert not stats.is_long("chat", "lm")


def test_short_answers_do_not_count_for_the_event_time():
    stats = AnswerStats()
    stats.note_expected("chat", "lm", 89.0)
    for _ in range(500):
        stats.note_answer("lm", 1, 0.0)
        stats.note_answer("lm", 2, 0.015)
    assert stats.is_long("chat", "lm")


def test_single_outlier_guess_hardly_counts():
    stats = AnswerStats()
    stats.note_expected("hint", "lm", 19.0)
    stats.note_expected("hint", "lm", 190.0)
    assert stats.events["hint"] == pytest.approx(27.55)


def test_pauses_do_not_make_answers_long():
    stats = AnswerStats()
    stats.note_expected("hint", "lm", 19.0)
    for number in range(200):
        stats.note_answer("lm", 20, 19 * (0.3 if number % 2 else 0.045))
    assert not stats.is_long("hint", "lm")


def test_only_short_answers_of_several_events_are_pause_sensitive():
    stats = AnswerStats()
    stats.note_expected("digest", "lm", 1.5)
    stats.note_expected("chat", "lm", 89.0)
    assert not stats.has_pause_sensitive("lm")
    stats.note_expected("hint", "other", 19.0)
    assert not stats.has_pause_sensitive("lm")
    stats.note_expected("hint", "lm", 19.0)
    assert stats.has_pause_sensitive("lm")


def test_pressure_averages_recent_answers():
    stats = AnswerStats()
    assert stats.find_pressure("s", 0.0) == 0.0
    for share in (0.4, 0.6):
        stats.note_pressure("s", 100.0, share)
    assert stats.find_pressure("s", 100.0) == pytest.approx(0.5)
    stats.note_pressure("s", 130.0, 2.0)
    assert stats.find_pressure("s", 130.0) == pytest.approx(2.0, abs=0.01)
    assert stats.find_pressure("s", 150.0) == 0.0


def test_late_answers_do_not_affect_the_handoff_delay_of_others():
    """Guards against late requests that make all others late.

    With one estimate for both, the wait of late answers at their decode engines made
    all plans late: 300 to 650 ms were planned for the handoff, more than the whole
    latency objective, and 97 to 100 in 100 prompts were sent as late until the end of
    the day.
    """
    stats = AnswerStats()
    for _ in range(100):
        stats.note_handoff("lm", 1.0, 0.008, is_late=False)
        stats.note_handoff("lm", 1.0, 0.7, is_late=True)
    assert stats.find_handoff_s("lm", 1.0) < 0.01
    assert stats.find_handoff_s("lm", 1.0, is_late=True) > 0.5


def test_a_few_stalled_answers_hardly_affect_the_handoff_delay():
    stats = AnswerStats()
    for number in range(100):
        seconds = 1.5 if number % 10 == 0 else 0.008
        stats.note_handoff("lm", 1.0, seconds, is_late=False)
    assert stats.find_handoff_s("lm", 1.0) < 0.015


def test_handoff_delay_decays_while_no_answer_begins():
    stats = AnswerStats()
    for _ in range(100):
        stats.note_handoff("lm", 1.0, 0.5, is_late=False)
    assert stats.find_handoff_s("lm", 1.0) > 0.4
    assert stats.find_handoff_s("lm", 15.0) < 0.02
