"""Admission decisions, queue order, retry delays and measured speeds."""

from robinspindle.core import admission
from robinspindle.messages import Work


def make_queued_request(
    request="r", priority=5, first_token_deadline=10.0, deadline=20.0, **fields
):
    values = {"service_s": 1.0, "prefill_s": 0.5, "queued_at": 0.0} | fields
    work = Work(request=request, kind="generate", pool="m", priority=priority)
    return admission.QueuedRequest(
        work=work,
        deadline=deadline,
        first_token_deadline=first_token_deadline,
        **values,
    )


def test_a_request_that_need_not_wait_is_never_refused():
    endless = make_queued_request(service_s=100.0)
    assert admission.decide_admission(endless, 0.0, 0.0, 10.0).reason == ""


def test_a_request_is_refused_if_its_first_token_would_be_late():
    decision = admission.decide_admission(
        make_queued_request(first_token_deadline=2.0), 0.0, 1.9, 10.0
    )
    assert decision.reason == "late"
    assert decision.retry_s > 0


def test_a_request_is_refused_if_its_wait_exceeds_the_limit():
    queued_request = make_queued_request(first_token_deadline=99.0, deadline=99.0)
    assert admission.decide_admission(queued_request, 0.0, 11.0, 10.0).reason == "full"


def test_callers_refused_together_get_different_retry_delays():
    times = {admission.add_retry_jitter(f"r{number}", 1.0) for number in range(50)}
    assert len(times) > 40
    assert all(1.0 <= seconds <= 1.5 for seconds in times)


def test_a_slot_is_reserved_for_urgent_requests():
    assert admission.count_usable_slots(8, 0) == 8
    assert admission.count_usable_slots(8, 5) == 7


def test_the_queue_is_ordered_by_priority_then_fairness_then_slack():
    urgent = make_queued_request(priority=0, deadline=99.0)
    greedy = make_queued_request(deadline=5.0)
    modest = make_queued_request(deadline=50.0)
    keys = [
        admission.make_queue_key(urgent, {"": 9}),
        admission.make_queue_key(modest, {"": 0}),
        admission.make_queue_key(greedy, {"": 3}),
    ]
    assert keys == sorted(keys)


def test_a_queued_request_is_dropped_once_it_cannot_meet_its_deadline():
    queued_request = make_queued_request(first_token_deadline=2.0)
    assert not admission.cannot_meet_deadline(queued_request, 1.0)
    assert admission.cannot_meet_deadline(queued_request, 1.9)


def test_a_short_overload_does_not_change_the_fastest_step_time_much():
    """A target that was loaded once got no more requests, as its speed looked low."""
    speed = admission.TargetSpeed()
    admission.note_steps(speed, 0.9, 100)
    for _ in range(5):
        admission.note_steps(speed, 6.0, 100)
    assert speed.step_s > 0.03
    assert speed.fastest_step_s < 0.015


def test_the_average_answer_length_limits_the_estimated_service_time():
    speed = admission.TargetSpeed()
    for _ in range(30):
        admission.note_answer_length(speed, "w", 10)
    work = Work(
        request="r", kind="generate", pool="m", workspace="w", max_tokens=30_000
    )
    assert admission.estimate_service(speed, work) < 1.0
