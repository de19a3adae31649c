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


def test_a_part_counts_as_cached_only_behind_all_before_it():
    engine = make_engine(True, 100_000)
    engines.note_placed(engine, [HEAD, FIRST])
    assert engines.count_cached(engine, make_prompt(HEAD, FIRST, Part("o", 9))) == 6300
    assert engines.count_cached(engine, make_prompt(HEAD, SECOND, FIRST)) == 2500
    assert engines.count_cached(engine, make_prompt(Part("x", 1), FIRST)) == 0


def test_a_part_that_was_kept_shorter_is_not_the_whole_part():
    engine = make_engine(True, 100_000)
    engines.note_placed(engine, [Part("h", 1000)])
    assert engines.count_cached(engine, make_prompt(HEAD)) == 0


@given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 4000))))
def test_the_belief_never_holds_more_than_the_engine(placed):
    engine = make_engine(True, 10_000)
    for id, tokens in placed:
        engines.note_placed(engine, [Part(id, tokens)])
        assert engine.cached_tokens == sum(engine.cached.values())
        assert engine.cached_tokens <= 10_000


def test_what_was_used_last_stays():
    engine = make_engine(True, 10_000)
    for part in (Part("a", 4000), Part("b", 4000), Part("a", 4000), Part("c", 4000)):
        engines.note_placed(engine, [part])
    assert list(engine.cached) == ["a", "c"]


def test_a_prompt_waits_for_what_is_as_urgent_or_more():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[2] = 0.5
    engines.note_peer_backlog(engine, "g2", [0.0, 0.0, 0.1, 0.0, 0.0, 0.4])
    waits = [engines.estimate_wait(engine, level, 0.0) for level in range(LATE_LEVEL)]
    assert waits == [0.0, 0.0, 0.6, 0.6, 0.6]
    assert engines.estimate_wait(engine, LATE_LEVEL, 0.0) == 1.0


def test_what_is_late_also_waits_for_what_will_come_meanwhile():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[LATE_LEVEL] = 0.2
    for step in range(5):
        engines.note_prefill_start(engine, step * 0.1, 0.1, 1)
        engines.note_prefill_start(engine, step * 0.1, 0.1, LATE_LEVEL)
    assert engines.estimate_wait(engine, LATE_LEVEL, 0.5) == pytest.approx(0.4)
    assert engines.estimate_wait(engine, LATE_LEVEL, 5.0) == pytest.approx(0.2)


def test_an_engine_that_takes_longer_than_its_service_is_known_after_a_few_readings():
    slow, usual = make_engine(True, 10_000), make_engine(True, 10_000)
    slow.prefill_model = usual.prefill_model
    for _ in range(20):
        engines.note_unqueued_prefill(usual, PrefillSample(3000, 0, 0.06))
    for _ in range(10):
        engines.note_unqueued_prefill(slow, PrefillSample(3000, 0, 0.24))
        engines.note_unqueued_prefill(usual, PrefillSample(3000, 0, 0.06))
    assert 0.2 < engines.estimate_prefill_s(slow, 3000, 0) < 0.3
    assert 0.05 < engines.estimate_prefill_s(usual, 3000, 0) < 0.075


def test_what_is_still_being_read_can_not_be_fetched():
    engine = make_engine(True, 100_000)
    prompt = make_prompt(HEAD, FIRST, Part("o", 9))
    engines.note_placed(engine, [HEAD])
    engines.note_placed(engine, [HEAD, FIRST], ready_at=2.0)
    assert engines.count_cached(engine, prompt) == 6300
    assert engines.count_cached(engine, prompt, 1.9) == 2500
    assert engines.count_cached(engine, prompt, 2.0) == 6300


def test_the_time_at_which_a_part_is_ready_goes_with_it():
    engine = make_engine(True, 10_000)
    for number in range(50):
        engines.note_placed(engine, [Part(f"p{number}", 4000)], ready_at=9.0)
    assert len(engine.ready_at) == len(engine.cached) == 2


def test_less_urgent_prompts_wait_for_more_urgent_ones_that_will_come():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[3] = 0.1
    for step in range(5):
        engines.note_prefill_start(engine, step * 0.1, 0.1, 1)
    assert engines.estimate_wait(engine, 3, 0.5) == pytest.approx(0.2)
    assert engines.estimate_wait(engine, 1, 0.5) < 0.1


def test_what_a_cache_held_before_gives_way_before_what_was_placed_since():
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
def test_the_sum_of_the_peers_work_is_kept_along(told):
    engine = make_engine(True, 10_000)
    for peer, levels in told:
        if levels is None:
            engines.forget_peer_backlog(engine, peer)
        else:
            engines.note_peer_backlog(engine, peer, levels)
    expected = sum(sum(levels) for levels in engine.peer_backlogs_s.values())
    assert engine.backlog_s == pytest.approx(expected, abs=1e-9)


def test_an_engine_that_always_has_work_is_seen_to_become_slow_and_fast_again():
    """Believed of one three times as slow, with work all the time: 1.0, now 2.3."""
    engine = make_engine(True, 100_000)
    for _ in range(60):
        engines.note_queued_prefill(engine, 3.0 * 0.2, 0.2 * engine.slowness)
    assert engine.slowness == pytest.approx(3.0, rel=0.2)
    for _ in range(60):
        engines.note_queued_prefill(engine, 0.2, 0.2 * engine.slowness)
    assert engine.slowness == pytest.approx(1.0, rel=0.2)


def test_one_reading_that_waited_for_long_hardly_counts():
    engine = make_engine(True, 100_000)
    engines.note_queued_prefill(engine, 30.0, 0.1)
    assert engine.slowness <= 1.06
