"""Routing decisions with outdated reports, partly in a small simpy simulation."""

import random

from benches.queueing import run_model
from robinspindle.core.routing import (
    Candidate,
    count_compared_targets,
    estimate_answer,
    make_estimate_policy,
)
from robinspindle.messages import Report, Work


def make_candidate(name, running=0, own=0, in_flight=0, **fields):
    values = {"prefill_s": 0.0001, "step_s": 0.02, "slots": 4} | fields
    report = Report(target=name, incarnation="i", running=running, own=own, **values)
    return Candidate(name, report, in_flight=in_flight)


WORK = Work(request="r", kind="generate", pool="m", prompt_tokens=100, max_tokens=50)


def test_own_requests_count_before_the_report_includes_them():
    fresh = make_candidate("a", running=0, own=0, in_flight=6)
    busy = make_candidate("b", running=4, own=0, in_flight=0)
    assert estimate_answer(fresh, WORK) > estimate_answer(busy, WORK)


def test_own_requests_in_the_report_are_not_counted_twice():
    shown = make_candidate("a", running=3, own=3, in_flight=3)
    others = make_candidate("b", running=3, own=0, in_flight=0)
    assert estimate_answer(shown, WORK) == estimate_answer(others, WORK)


def test_a_cached_prefix_outweighs_a_small_load():
    work = Work(
        request="r",
        kind="generate",
        pool="m",
        prompt_tokens=5000,
        prefix="p",
        prefix_tokens=4500,
        max_tokens=10,
    )
    candidates = [make_candidate(name) for name in "abcdef"]
    candidates[3] = Candidate(
        "d", make_candidate("d", running=1).report, prefixes=("p",)
    )
    chosen = {
        make_estimate_policy(2)(candidates, work, random.Random(n)).target
        for n in range(9)
    }
    assert chosen == {"d"}


def test_a_long_prompt_waits_for_other_long_prompts():
    long = Work(request="r", kind="generate", pool="m", prompt_tokens=9000)
    prefilling = make_candidate("a", prefill_wait_s=2.0)
    assert (
        estimate_answer(prefilling, long)
        > estimate_answer(make_candidate("b"), long) + 1.9
    )
    assert (
        estimate_answer(prefilling, WORK)
        < estimate_answer(make_candidate("b"), WORK) + 1
    )


def test_own_long_prompts_count_once_whether_reported_or_not():
    long = Work(request="r", kind="generate", pool="m", prompt_tokens=9000)
    shown = make_candidate("a", prefill_wait_s=2.0, own_prefill_s=2.0)
    shown.pending_prefill_s = 2.0
    fresh = make_candidate("b")
    fresh.pending_prefill_s = 2.0
    assert estimate_answer(shown, long) == estimate_answer(fresh, long)


def test_few_entries_compare_all_targets_and_many_compare_two():
    assert count_compared_targets(6, 2) == 6
    assert count_compared_targets(6, 8) == 2
    assert count_compared_targets(680, 420) == 3


def test_comparing_two_targets_beats_random_and_all_targets_with_late_reports():
    answers = {
        name: run_model(name, 0.95, 8, 1)["mean_s"]
        for name in ("estimate, two choices", "estimate, all targets", "random")
    }
    assert answers["estimate, two choices"] < answers["estimate, all targets"]
    assert answers["estimate, two choices"] < answers["random"]
