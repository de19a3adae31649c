from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import engines
from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt


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


def test_parts_from_before_the_start_are_evicted_before_placed_ones():
    engine = make_engine(True, 10_000)
    engines.note_placed(engine, [Part("new", 4000)])
    engines.note_earlier_cache(engine, [Part("old", 4000), Part("older", 900)])
    assert engine.is_cache_known
    assert list(engine.cached) == ["older", "new"]
    assert engine.cached_tokens == 4900
