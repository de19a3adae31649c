import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import prefillbacklog
from robinspindle.core.engines import make_engine
from robinspindle.core.priorities import LATE_LEVEL, LEVELS


def test_a_prompt_waits_for_its_own_and_higher_priority_levels():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[2] = 0.5
    prefillbacklog.note_peer_backlog(
        engine, "g2", [0.0, 0.0, 0.1] + [0.0] * (LEVELS - 4) + [0.4]
    )
    waits = [
        prefillbacklog.estimate_wait(engine, level, 0.0) for level in range(LATE_LEVEL)
    ]
    assert waits == [0.0, 0.0] + [0.6] * (LATE_LEVEL - 2)
    assert prefillbacklog.estimate_wait(engine, LATE_LEVEL, 0.0) == 1.0


def test_the_late_level_also_waits_for_prefills_that_will_arrive():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[LATE_LEVEL] = 0.2
    for step in range(5):
        prefillbacklog.note_prefill_start(engine, step * 0.1, 0.1, 1)
        prefillbacklog.note_prefill_start(engine, step * 0.1, 0.1, LATE_LEVEL)
    assert prefillbacklog.estimate_wait(engine, LATE_LEVEL, 0.5) == pytest.approx(0.4)
    assert prefillbacklog.estimate_wait(engine, LATE_LEVEL, 5.0) == pytest.approx(0.2)


def test_prompts_wait_for_higher_priority_ones_that_will_arrive():
    engine = make_engine(True, 10_000)
    engine.own_backlog_s[3] = 0.1
    for step in range(5):
        prefillbacklog.note_prefill_start(engine, step * 0.1, 0.1, 1)
    assert prefillbacklog.estimate_wait(engine, 3, 0.5) == pytest.approx(0.2)
    assert prefillbacklog.estimate_wait(engine, 1, 0.5) < 0.1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["g1", "g2", "g3"]),
            st.none() | st.lists(st.floats(0, 10), min_size=LEVELS, max_size=LEVELS),
        )
    )
)
def test_the_sum_of_the_peers_backlogs_is_kept_up_to_date(received):
    engine = make_engine(True, 10_000)
    for peer, levels in received:
        if levels is None:
            prefillbacklog.forget_peer_backlog(engine, peer)
        else:
            prefillbacklog.note_peer_backlog(engine, peer, levels)
    expected = sum(sum(levels) for levels in engine.peer_backlogs_s.values())
    assert engine.backlog_s == pytest.approx(expected, abs=1e-9)
