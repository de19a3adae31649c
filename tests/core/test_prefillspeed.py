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
