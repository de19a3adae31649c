import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import engines
from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.prefillmodel import PrefillSample
from robinspindle.core.priorities import LATE_LEVEL


def make_prompt(*parts, out=2):
    return Prompt("m", parts, sum(part.tokens for part in parts), out)


HEAD, FIRST, SECOND = Part("h", 2500), Part("a", 3800), Part("b", 3800)


def test_a_part_counts_as_cached_only_if_all_before_it_are_cached():
    engine = make_engine(True, 100_000)
    engines.note_placed(engine, [HEAD, FIRST])
    assert engines.count_cached(engine, make_prompt(HEAD, FIRST, Part("o", 9))) == 6300
    assert engines.count_cached(engine, make_prompt(HEAD, SECOND, FIRST)) == 2500
    assert engines.count_cached(engine, make_prompt(Part("x", 1), FIRST)) == 0


def test_a_part_that_is_cached_with_fewer_tokens_does_not_count():
    engine = make_engine(True, 100_000)
    engines.note_placed(engine, [Part("h", 1000)])
    assert engines.count_cached(engine, make_prompt(HEAD)) == 0


@given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 4000))))
def test_the_simulated_cache_never_exceeds_the_capacity(placed):
    engine = make_engine(True, 10_000)
    for id, tokens in placed:
        engines.note_placed(engine, [Part(id, tokens)])
        assert engine.cached_tokens == sum(engine.cached.values())
        assert engine.cached_tokens <= 10_000


def test_the_least_recently_used_part_is_evicted():
    engine = make_engine(True, 10_000)
    for part in (Part("a", 4000), Part("b", 4000), Part("a", 4000), Part("c", 4000)):
        engines.note_placed(engine, [part])
    assert list(engine.cached) == ["a", "c"]


def test_a_prompt_waits_for_its_own_and_higher_priority_levels():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[2] = 0.5
    engines.note_peer_backlog(engine, "g2", [0.0, 0.0, 0.1, 0.0, 0.0, 0.4])
    waits = [engines.estimate_wait(engine, level, 0.0) for level in range(LATE_LEVEL)]
    assert waits == [0.0, 0.0, 0.6, 0.6, 0.6]
    assert engines.estimate_wait(engine, LATE_LEVEL, 0.0) == 1.0


def test_the_late_level_also_waits_for_prefills_that_will_arrive():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[LATE_LEVEL] = 0.2
    for step in range(5):
        engines.note_prefill_start(engine, step * 0.1, 0.1, 1)
        engines.note_prefill_start(engine, step * 0.1, 0.1, LATE_LEVEL)
    assert engines.estimate_wait(engine, LATE_LEVEL, 0.5) == pytest.approx(0.4)
    assert engines.estimate_wait(engine, LATE_LEVEL, 5.0) == pytest.approx(0.2)


def test_an_engine_slower_than_its_service_is_detected_after_a_few_samples():
    slow, normal = make_engine(True, 10_000), make_engine(True, 10_000)
    slow.prefill_model = normal.prefill_model
    for _ in range(20):
        engines.note_unqueued_prefill(normal, PrefillSample(3000, 0, 0.06))
    for _ in range(10):
        engines.note_unqueued_prefill(slow, PrefillSample(3000, 0, 0.24))
        engines.note_unqueued_prefill(normal, PrefillSample(3000, 0, 0.06))
    assert 0.2 < engines.estimate_prefill_s(slow, 3000, 0) < 0.3
    assert 0.05 < engines.estimate_prefill_s(normal, 3000, 0) < 0.075


def test_a_part_can_not_be_transferred_before_its_prefill_ends():
    engine = make_engine(True, 100_000)
    prompt = make_prompt(HEAD, FIRST, Part("o", 9))
    engines.note_placed(engine, [HEAD])
    engines.note_placed(engine, [HEAD, FIRST], ready_at=2.0)
    assert engines.count_cached(engine, prompt) == 6300
    assert engines.count_cached(engine, prompt, 1.9) == 2500
    assert engines.count_cached(engine, prompt, 2.0) == 6300


def test_the_ready_time_of_a_part_is_evicted_with_it():
    engine = make_engine(True, 10_000)
    for number in range(50):
        engines.note_placed(engine, [Part(f"p{number}", 4000)], ready_at=9.0)
    assert len(engine.ready_at) == len(engine.cached) == 2


def test_prompts_wait_for_higher_priority_ones_that_will_arrive():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[3] = 0.1
    for step in range(5):
        engines.note_prefill_start(engine, step * 0.1, 0.1, 1)
    assert engines.estimate_wait(engine, 3, 0.5) == pytest.approx(0.2)
    assert engines.estimate_wait(engine, 1, 0.5) < 0.1


def test_parts_from_before_the_start_are_evicted_before_placed_ones():
    engine = make_engine(True, 10_000)
    engines.note_placed(engine, [Part("new", 4000)])
    engines.note_earlier_cache(engine, [Part("old", 4000), Part("older", 900)])
    assert engine.is_cache_known
    assert list(engine.cached) == ["older", "new"]
    assert engine.cached_tokens == 4900


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["g1", "g2", "g3"]),
            st.none() | st.lists(st.floats(0, 10), min_size=6, max_size=6),
        )
    )
)
def test_the_sum_of_the_peers_backlogs_is_kept_up_to_date(received):
    engine = make_engine(True, 10_000)
    for peer, levels in received:
        if levels is None:
            engines.forget_peer_backlog(engine, peer)
        else:
            engines.note_peer_backlog(engine, peer, levels)
    expected = sum(sum(levels) for levels in engine.peer_backlogs_s.values())
    assert engine.backlog_s == pytest.approx(expected, abs=1e-9)


def test_slowness_is_detected_under_constant_load_and_ends_again():
    """Guards against an engine that is slow and always busy counting as a normal one.

    If only prefills that didn't wait gave samples, the estimated slowness of an engine
    three times as slow stayed at 1.0; with samples of queued prefills it became 2.3.
    """
    engine = make_engine(True, 100_000)
    for _ in range(60):
        engines.note_queued_prefill(engine, 3.0 * 0.2, 0.2 * engine.slowness)
    assert engine.slowness == pytest.approx(3.0, rel=0.2)
    for _ in range(60):
        engines.note_queued_prefill(engine, 0.2, 0.2 * engine.slowness)
    assert engine.slowness == pytest.approx(1.0, rel=0.2)


def test_one_prefill_that_waited_for_long_hardly_counts():
    engine = make_engine(True, 100_000)
    engines.note_queued_prefill(engine, 30.0, 0.1)
    assert engine.slowness <= 1.06
