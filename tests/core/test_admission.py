"""Admission: what is taken in, what goes next, when to come back."""

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


def test_who_would_wait_for_nothing_is_never_told_to_come_back():
    endless = make_queued_request(service_s=100.0)
    assert admission.decide_admission(endless, 0.0, 0.0, 10.0).reason == ""


def test_a_first_token_that_would_be_late_is_refused():
    verdict = admission.decide_admission(
        make_queued_request(first_token_deadline=2.0), 0.0, 1.9, 10.0
    )
    assert verdict.reason == "late"
    assert verdict.retry_s > 0


def test_a_wait_over_the_bound_is_refused():
    waiting = make_queued_request(first_token_deadline=99.0, deadline=99.0)
    assert admission.decide_admission(waiting, 0.0, 11.0, 10.0).reason == "full"


def test_callers_refused_together_are_told_different_times():
    times = {admission.add_retry_jitter(f"r{number}", 1.0) for number in range(50)}
    assert len(times) > 40
    assert all(1.0 <= seconds <= 1.5 for seconds in times)


def test_urgent_work_always_finds_a_slot_kept_free():
    assert admission.count_usable_slots(8, 0) == 8
    assert admission.count_usable_slots(8, 5) == 7


def test_priority_goes_before_fairness_before_slack():
    urgent = make_queued_request(priority=0, deadline=99.0)
    greedy = make_queued_request(deadline=5.0)
    modest = make_queued_request(deadline=50.0)
    keys = [
        admission.make_queue_key(urgent, {"": 9}),
        admission.make_queue_key(modest, {"": 0}),
        admission.make_queue_key(greedy, {"": 3}),
    ]
    assert keys == sorted(keys)


def test_queued_work_is_given_up_once_its_promise_is_lost():
    waiting = make_queued_request(first_token_deadline=2.0)
    assert not admission.cannot_meet_deadline(waiting, 1.0)
    assert admission.cannot_meet_deadline(waiting, 1.9)


def test_a_loaded_moment_does_not_mark_a_target_as_slow():
    """Found on real processes: a target was shunned for the load it once had."""
    pace = admission.TargetSpeed()
    admission.note_steps(pace, 0.9, 100)
    for _ in range(5):
        admission.note_steps(pace, 6.0, 100)
    assert pace.step_s > 0.03
    assert pace.fastest_step_s < 0.015


def test_the_usual_length_of_answers_is_learnt():
    pace = admission.TargetSpeed()
    for _ in range(30):
        admission.note_answer_length(pace, "w", 10)
    work = Work(
        request="r", kind="generate", pool="m", workspace="w", max_tokens=30_000
    )
    assert admission.estimate_service(pace, work) < 1.0
