from robinspindle.core import health, silence
from robinspindle.core.silence import ExpectedResponse, Liveness
from robinspindle.core.targets import Announcement, Target


def make_target():
    return Target(Announcement("t1", "s", "x:1", "a", 8))


def test_a_target_without_expected_responses_is_not_silent():
    assert not silence.is_overdue(Liveness(heard_at=0.0), 100.0)


def test_data_for_one_request_counts_for_all():
    liveness = Liveness(expected={ExpectedResponse(0.0, 0.6)})
    silence.note_heard(liveness, 0.5)
    assert not silence.is_overdue(liveness, 1.0)
    assert silence.is_overdue(liveness, 1.2)


def test_the_timeout_grows_with_the_prefill_backlog():
    liveness = Liveness(expected={ExpectedResponse(0.0, 0.6)})
    assert silence.is_overdue(liveness, 1.0)
    assert not silence.is_overdue(liveness, 1.0, backlog_s=0.3)
    assert silence.is_overdue(liveness, 1.3, backlog_s=0.3)


def test_a_silent_target_is_in_backoff_until_data_comes():
    target = make_target()
    health.note_silent(target, 1.0)
    assert not health.is_healthy(target, 1.1)
    health.note_heard(target, 1.2)
    assert health.is_healthy(target, 1.2)
    assert target.liveness.silent_since is None


def test_data_from_before_the_silence_does_not_end_it():
    target = make_target()
    health.note_silent(target, 1.0)
    health.note_heard(target, 0.4)
    assert target.liveness.silent_since == 1.0
    assert not health.is_healthy(target, 1.1)


def test_for_a_silent_target_only_requests_sent_since_count():
    liveness = Liveness(expected={ExpectedResponse(0.0, 0.6)})
    silence.note_silent(liveness, 1.0)
    assert not silence.is_overdue(liveness, 5.0)
    liveness.expected.add(ExpectedResponse(2.0, 0.6))
    assert silence.is_overdue(liveness, 5.0)


def test_a_peers_report_counts_unless_data_came_recently():
    target = make_target()
    target.liveness.heard_at = 1.0
    assert not health.note_reported_silent(target, 1.5)
    assert health.is_healthy(target, 1.5)
    assert health.note_reported_silent(target, 1.7)
    assert not health.is_healthy(target, 1.7)


def test_requests_that_may_be_sent_elsewhere_are_listed():
    abandoned = []
    liveness = Liveness()
    liveness.expected = {
        ExpectedResponse(0.0, 0.6),
        ExpectedResponse(0.0, 0.6, lambda: abandoned.append("resumable")),
    }
    for abandon in silence.list_abandon_callbacks(liveness):
        abandon()
    assert abandoned == ["resumable"]


def test_timeouts_grow_with_the_planned_time():
    assert silence.find_first_event_timeout(0.01) == silence.MIN_SILENCE_S
    assert silence.find_first_event_timeout(1.0) == 2.0
    assert silence.find_next_event_timeout(0.1) == silence.MIN_SILENCE_S
    assert silence.find_next_event_timeout(1.0) == 2.5


def test_a_long_overdue_answer_is_lost_though_data_comes_from_its_target():
    abandoned = []
    liveness = Liveness(heard_at=9.9)
    liveness.expected = {
        ExpectedResponse(0.0, 99.0, lambda: abandoned.append("lost"), lost_after_s=1.0),
        ExpectedResponse(
            9.5, 99.0, lambda: abandoned.append("young"), lost_after_s=1.0
        ),
        ExpectedResponse(0.0, 99.0, None, lost_after_s=1.0),
    }
    assert not silence.is_overdue(liveness, 10.0)
    for abandon in silence.list_lost_callbacks(liveness, 10.0):
        abandon()
    assert abandoned == ["lost"]
    assert silence.find_lost_timeout(0.2) > silence.find_first_event_timeout(0.2)


def test_an_answer_that_a_slow_caller_holds_back_is_not_taken_for_silence():
    liveness = Liveness(heard_at=0.0)
    answer = ExpectedResponse(0.0, 0.6, abandon=lambda: None, lost_after_s=1.0)
    liveness.expected.add(answer)
    assert silence.is_overdue(liveness, 2.0)
    answer.is_held = True
    assert not silence.is_overdue(liveness, 2.0)
    assert not silence.list_lost_callbacks(liveness, 2.0)


def test_an_answer_that_a_slow_caller_holds_back_does_not_leave_a_silent_target():
    liveness = Liveness(heard_at=0.0)
    answer = ExpectedResponse(0.0, 0.6, abandon=lambda: None, is_held=True)
    liveness.expected.add(answer)
    assert silence.list_abandon_callbacks(liveness) == []
