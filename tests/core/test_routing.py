"""Routing: what the choice does with late reports, in a small simpy model."""

import random

from benches.queueing import run_model
from robinspindle.core.routing import (
    Candidate,
    count_compared_targets,
    estimate_answer,
    make_estimate_policy,
)
from robinspindle.messages import Report, Work


def make_view(name, running=0, own=0, in_flight=0, **fields):
    values = {"prefill_s": 0.0001, "step_s": 0.02, "slots": 4} | fields
    report = Report(target=name, incarnation="i", running=running, own=own, **values)
    return Candidate(name, report, in_flight=in_flight)


WORK = Work(request="r", kind="generate", pool="m", prompt_tokens=100, max_tokens=50)


def test_own_requests_count_though_the_report_does_not_show_them_yet():
    fresh = make_view("a", running=0, own=0, in_flight=6)
    busy = make_view("b", running=4, own=0, in_flight=0)
    assert estimate_answer(fresh, WORK) > estimate_answer(busy, WORK)


def test_own_requests_in_the_report_are_not_counted_twice():
    shown = make_view("a", running=3, own=3, in_flight=3)
    others = make_view("b", running=3, own=0, in_flight=0)
    assert estimate_answer(shown, WORK) == estimate_answer(others, WORK)


def test_a_cached_prefix_is_worth_a_little_load():
    work = Work(
        request="r",
        kind="generate",
        pool="m",
        prompt_tokens=5000,
        prefix="p",
        prefix_tokens=4500,
        max_tokens=10,
    )
    views = [make_view(name) for name in "abcdef"]
    views[3] = Candidate("d", make_view("d", running=1).report, prefixes=("p",))
    chosen = {
        make_estimate_policy(2)(views, work, random.Random(n)).target for n in range(9)
    }
    assert chosen == {"d"}


def test_a_long_prompt_waits_its_turn_behind_others():
    long = Work(request="r", kind="generate", pool="m", prompt_tokens=9000)
    reading = make_view("a", prefill_wait_s=2.0)
    assert estimate_answer(reading, long) > estimate_answer(make_view("b"), long) + 1.9
    assert estimate_answer(reading, WORK) < estimate_answer(make_view("b"), WORK) + 1


def test_own_long_prompts_count_once_shown_or_not():
    long = Work(request="r", kind="generate", pool="m", prompt_tokens=9000)
    shown = make_view("a", prefill_wait_s=2.0, own_prefill_s=2.0)
    shown.pending_prefill_s = 2.0
    fresh = make_view("b")
    fresh.pending_prefill_s = 2.0
    assert estimate_answer(shown, long) == estimate_answer(fresh, long)


def test_few_entries_compare_all_targets_and_many_compare_two():
    assert count_compared_targets(6, 2) == 6
    assert count_compared_targets(6, 8) == 2
    assert count_compared_targets(680, 420) == 3


def test_two_choices_beat_chance_and_the_best_of_all_under_late_reports():
    answers = {
        name: run_model(name, 0.95, 8, 1)["mean_s"]
        for name in ("estimate, two choices", "estimate, all targets", "random")
    }
    assert answers["estimate, two choices"] < answers["estimate, all targets"]
    assert answers["estimate, two choices"] < answers["random"]
