import random

import pytest

from robinspindle.core import prefillspeed
from robinspindle.core.engines import make_engine
from robinspindle.core.prefillmodel import PrefillSample


def test_an_engine_slower_than_its_service_is_detected_after_a_few_samples():
    slow, normal = make_engine(True, 10_000), make_engine(True, 10_000)
    slow.prefill_model = normal.prefill_model
    for _ in range(20):
        prefillspeed.note_unqueued_prefill(normal, PrefillSample(3000, 0, 0.06))
    for _ in range(10):
        prefillspeed.note_unqueued_prefill(slow, PrefillSample(3000, 0, 0.24))
        prefillspeed.note_unqueued_prefill(normal, PrefillSample(3000, 0, 0.06))
    assert 0.2 < prefillspeed.estimate_prefill_s(slow, 3000, 0) < 0.3
    assert 0.05 < prefillspeed.estimate_prefill_s(normal, 3000, 0) < 0.075


def test_slowness_is_detected_under_constant_load_and_ends_again():
    """Guards against an engine that is slow and always busy counting as a normal one.

    If only prefills that didn't wait gave samples, the estimated slowness of an engine
    three times as slow stayed at 1.0; with samples of queued prefills it became 2.3.
    """
    engine = make_engine(True, 100_000)
    for _ in range(60):
        prefillspeed.note_queued_prefill(engine, 3.0 * 0.2, 0.2 * engine.slowness)
    assert engine.slowness == pytest.approx(3.0, rel=0.2)
    for _ in range(60):
        prefillspeed.note_queued_prefill(engine, 0.2, 0.2 * engine.slowness)
    assert engine.slowness == pytest.approx(1.0, rel=0.2)


def test_one_prefill_that_waited_for_long_hardly_counts():
    engine = make_engine(True, 100_000)
    prefillspeed.note_queued_prefill(engine, 30.0, 0.1)
    assert engine.slowness <= 1.06


def test_prompts_of_all_lengths_show_the_same_slowness_beside_a_long_way():
    """Guards against a fast engine believed to be hardly faster than others.

    The network took four times as long as the prefill of a short prompt, and slowness
    counted for both.
    """
    engines = {1 / 2.4: make_engine(True, 10_000), 1.0: make_engine(True, 10_000)}
    model = engines[1.0].prefill_model
    rng = random.Random(1)
    for number in range(200):
        for ratio, engine in engines.items():
            engine.prefill_model = model
            new = rng.choice((800, 2000, 6500, 12_000))
            seconds = 0.03 + new * 1e-5 * ratio * rng.lognormvariate(0.0, 0.1)
            sample = PrefillSample(new, 0, seconds)
            prefillspeed.note_shared_sample(engine, sample, number * 0.1, True, None)
        prefillspeed.update_all(engines.values(), number * 0.1)
    fast, usual = engines.values()
    assert usual.slowness / fast.slowness == pytest.approx(2.4, rel=0.1)
    assert usual.slowness * fast.slowness == pytest.approx(1.0, rel=0.1)
    for new in (800, 12_000):
        for ratio, engine in engines.items():
            estimate_s = prefillspeed.estimate_prefill_s(engine, new, 0)
            assert estimate_s == pytest.approx(0.03 + new * 1e-5 * ratio, rel=0.1)


def test_what_waited_as_planned_shows_no_slowness():
    engine = make_engine(True, 10_000)
    busy_s = prefillspeed.estimate_busy_s(engine, 4000, 0)
    for number in range(50):
        sample = PrefillSample(4000, 0, 0.005 + 3 * busy_s)
        prefillspeed.note_shared_sample(engine, sample, number * 0.1, False, 2 * busy_s)
    assert engine.slowness == pytest.approx(1.0, rel=0.1)


def test_an_engine_that_was_silent_gets_prompts_again():
    """Guards against a silence of a second taken for a slowness of sixteen times."""
    engine = make_engine(True, 10_000)
    busy_s = prefillspeed.estimate_busy_s(engine, 4000, 0)
    for _ in range(10):
        sample = PrefillSample(4000, 0, 50 * busy_s)
        prefillspeed.note_shared_sample(engine, sample, 1.0, True, None)
    assert engine.slowness <= 4.0
    for number in range(10):
        now = 2.0 + number * 0.5
        sample = PrefillSample(4000, 0, 0.005 + busy_s)
        prefillspeed.note_shared_sample(engine, sample, now, True, None)
    assert engine.slowness < 1.2
