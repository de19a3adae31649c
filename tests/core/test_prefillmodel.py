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

READER = (0.006, 0.0156, 0.000647)
"""An engine that reads 64,000 tokens a second at the most, slower behind others."""


def take_seconds(true, new, context):
    pairs = new * (context + new / 2) / 1e6
    return true[0] + true[1] * new / 1000 + true[2] * pairs


def draw_reading(rng):
    new = min(30_000.0, max(30.0, rng.lognormvariate(7.5, 1.0)))
    return new, rng.choice((0.0, 400.0, 6000.0, 13_000.0))


def learn(pace, true, count, seed=1, waits=0.1):
    """Read some prompts; a share of the readings was held up unseen."""
    rng = random.Random(seed)
    for _ in range(count):
        new, context = draw_reading(rng)
        seconds = take_seconds(true, new, context) * rng.lognormvariate(0.0, 0.1)
        if rng.random() < waits:
            seconds *= rng.uniform(1.0, 4.0)
        note_sample(pace, PrefillSample(new, context, seconds))


def list_ratios(pace, true, seed=2):
    rng = random.Random(seed)
    drawn = [draw_reading(rng) for _ in range(200)]
    return sorted(
        take_seconds(true, *one) / estimate_seconds(pace, *one) for one in drawn
    )


def assert_known(pace, true):
    ratios = list_ratios(pace, true)
    middle = ratios[len(ratios) // 2]
    within = sum(0.5 <= ratio <= 2.0 for ratio in ratios)
    assert 0.8 <= middle <= 1.25
    assert within >= 0.9 * len(ratios)


def test_nothing_is_read_in_no_time():
    assert estimate_seconds(make_prefill_model(True), 0, 5000) == 0.0


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.0])
def test_what_is_believed_first_hardly_counts_after_a_dozen_readings(factor):
    first = prefillmodel.INITIAL_PREFILL_ONLY
    pace = PrefillModel((first[0] * factor, first[1] * factor, first[2]))
    learn(pace, READER, 12)
    assert_known(pace, READER)


@settings(deadline=None, max_examples=60, derandomize=True)
@given(
    st.floats(0.001, 0.02),
    st.floats(0.001, 0.2),
    st.floats(0.0, 0.05),
    st.booleans(),
    st.integers(0, 1000),
)
def test_any_speed_is_learnt(constant, thousand, pairs_share, prefill_only, seed):
    # Two orders of magnitude around today's fleets; pairs cost up to a twentieth of
    # what a token does for each 1,000 before it.
    true = (constant, thousand, thousand * pairs_share)
    pace = make_prefill_model(prefill_only)
    learn(pace, true, 100, seed)
    assert_known(pace, true)


def test_a_fleet_that_turns_slow_is_known_again():
    pace = make_prefill_model(True)
    learn(pace, READER, 200)
    slow = tuple(value * 4 for value in READER)
    learn(pace, slow, 300)
    assert_known(pace, slow)


def test_an_entry_that_starts_knows_what_the_others_tell():
    teacher = make_prefill_model(True)
    learn(teacher, READER, 100)
    pace = make_prefill_model(True)
    note_peer_sums(pace, "g2", teacher.own)
    assert_known(pace, READER)
    forget_peer_sums(pace, "g2")
    assert pace.fitted == pytest.approx(prefillmodel.INITIAL_PREFILL_ONLY, rel=0.01)


def test_the_newest_word_of_an_entry_replaces_its_older_one():
    old, new, pace = (
        make_prefill_model(True),
        make_prefill_model(True),
        make_prefill_model(True),
    )
    learn(old, tuple(value * 9 for value in READER), 100)
    learn(new, READER, 100)
    note_peer_sums(pace, "g2", old.own)
    note_peer_sums(pace, "g2", new.own)
    assert_known(pace, READER)


def test_sums_of_another_version_are_passed_over():
    pace = make_prefill_model(True)
    note_peer_sums(pace, "g2", prefillmodel.FitSums(5.0, [1.0], [1.0]))
    assert pace.peer_sums == {}


def test_readings_without_tokens_or_time_change_nothing():
    pace = make_prefill_model(True)
    note_sample(pace, PrefillSample(0, 0, 0.1))
    note_sample(pace, PrefillSample(100, 0, 0.0))
    assert pace.own.weight == 0.0


@given(
    st.lists(
        st.tuples(st.floats(1, 1e5), st.floats(0, 1e5), st.floats(1e-5, 1e3)),
        max_size=40,
    )
)
def test_no_reading_is_believed_to_take_less_than_nothing(readings):
    pace = make_prefill_model(False)
    for new, context, seconds in readings:
        note_sample(pace, PrefillSample(new, context, seconds))
    assert min(pace.fitted) >= 0.0
    assert estimate_seconds(pace, 1000, 1000) >= 0.0
