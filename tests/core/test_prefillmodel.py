import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from robinspindle.core import prefillmodel
from robinspindle.core.prefillmodel import (
    PrefillModel,
    PrefillSample,
    estimate_seconds,
    forget_peer_sums,
    make_prefill_model,
    note_peer_sums,
    note_sample,
)

ENGINE = (0.006, 0.0156, 0.000647)
"""Coefficients of an engine that prefills at most 64,000 tokens per second, and slower
with more context."""


def compute_seconds(true, new, context):
    pairs = new * (context + new / 2) / 1e6
    return true[0] + true[1] * new / 1000 + true[2] * pairs


def draw_prompt(rng):
    new = min(30_000.0, max(30.0, rng.lognormvariate(7.5, 1.0)))
    return new, rng.choice((0.0, 400.0, 6000.0, 13_000.0))


def add_samples(model, true, count, seed=1, delayed_share=0.1):
    """Add some samples; a share of them was delayed without that being known."""
    rng = random.Random(seed)
    for _ in range(count):
        new, context = draw_prompt(rng)
        seconds = compute_seconds(true, new, context) * rng.lognormvariate(0.0, 0.1)
        if rng.random() < delayed_share:
            seconds *= rng.uniform(1.0, 4.0)
        note_sample(model, PrefillSample(new, context, seconds))


def list_ratios(model, true, seed=2):
    rng = random.Random(seed)
    drawn = [draw_prompt(rng) for _ in range(200)]
    return sorted(
        compute_seconds(true, *one) / estimate_seconds(model, *one) for one in drawn
    )


def assert_fitted(model, true):
    ratios = list_ratios(model, true)
    middle = ratios[len(ratios) // 2]
    within = sum(0.5 <= ratio <= 2.0 for ratio in ratios)
    assert 0.8 <= middle <= 1.25
    assert within >= 0.9 * len(ratios)


def test_no_tokens_take_no_time():
    assert estimate_seconds(make_prefill_model(True), 0, 5000) == 0.0


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.0])
def test_the_initial_coefficients_hardly_count_after_a_dozen_samples(factor):
    initial = prefillmodel.INITIAL_PREFILL_ONLY
    model = PrefillModel((initial[0] * factor, initial[1] * factor, initial[2]))
    add_samples(model, ENGINE, 12)
    assert_fitted(model, ENGINE)


@settings(deadline=None, max_examples=60, derandomize=True)
@given(
    st.floats(0.001, 0.02),
    st.floats(0.001, 0.2),
    st.floats(0.0, 0.05),
    st.booleans(),
    st.integers(0, 1000),
)
def test_any_speed_is_fitted(constant, thousand, pairs_share, prefill_only, seed):
    # Two orders of magnitude around current fleets. Each 1,000 tokens of context add up
    # to a twentieth of the time per token.
    true = (constant, thousand, thousand * pairs_share)
    model = make_prefill_model(prefill_only)
    add_samples(model, true, 100, seed)
    assert_fitted(model, true)


def test_the_fit_follows_a_fleet_that_becomes_slow():
    model = make_prefill_model(True)
    add_samples(model, ENGINE, 200)
    slow = tuple(value * 4 for value in ENGINE)
    add_samples(model, slow, 300)
    assert_fitted(model, slow)


def test_a_gateway_that_has_just_started_uses_the_sums_of_others():
    sender = make_prefill_model(True)
    add_samples(sender, ENGINE, 100)
    model = make_prefill_model(True)
    note_peer_sums(model, "g2", sender.own)
    assert_fitted(model, ENGINE)
    forget_peer_sums(model, "g2")
    assert model.fitted == pytest.approx(prefillmodel.INITIAL_PREFILL_ONLY, rel=0.01)


def test_the_latest_sums_of_a_gateway_replace_its_earlier_ones():
    old, new, model = (
        make_prefill_model(True),
        make_prefill_model(True),
        make_prefill_model(True),
    )
    add_samples(old, tuple(value * 9 for value in ENGINE), 100)
    add_samples(new, ENGINE, 100)
    note_peer_sums(model, "g2", old.own)
    note_peer_sums(model, "g2", new.own)
    assert_fitted(model, ENGINE)


def test_sums_of_another_version_are_ignored():
    model = make_prefill_model(True)
    note_peer_sums(model, "g2", prefillmodel.FitSums(5.0, [1.0], [1.0]))
    assert model.peer_sums == {}


def test_samples_without_tokens_or_time_are_ignored():
    model = make_prefill_model(True)
    note_sample(model, PrefillSample(0, 0, 0.1))
    note_sample(model, PrefillSample(100, 0, 0.0))
    assert model.own.weight == 0.0


@given(
    st.lists(
        st.tuples(st.floats(1, 1e5), st.floats(0, 1e5), st.floats(1e-5, 1e3)),
        max_size=40,
    )
)
def test_no_estimate_is_negative(samples):
    model = make_prefill_model(False)
    for new, context, seconds in samples:
        note_sample(model, PrefillSample(new, context, seconds))
    assert min(model.fitted) >= 0.0
    assert estimate_seconds(model, 1000, 1000) >= 0.0
