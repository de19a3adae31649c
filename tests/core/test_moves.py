from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.forwarding import Prompt
from robinspindle.core.moves import (
    LINKS_SHARED,
    MARGIN_S,
    MOVE_OVERHEAD_S,
    MovableRun,
    estimate_left_s,
    list_moves,
)

TRANSFER_S = 1e-5


def make_run(id, tokens=1_000, left_s=5.0, may_rerun=False):
    return MovableRun(id, tokens, left_s, may_rerun)


def list_ids(runs, leaves_in_s=MARGIN_S):
    return [run.id for run in list_moves(runs, leaves_in_s, TRANSFER_S)]


def test_only_answers_that_outlive_their_engine_are_moved():
    runs = [make_run("long"), make_run("short", left_s=0.5)]
    assert list_ids(runs) == ["long"]


def test_the_quickest_go_first_and_those_that_may_run_again_last():
    """Load: an engine taken away at short notice, more answers than there is time for.

    Of answers of 20,000, 30,000 and 1,000 tokens at 0.1 s per 5,000, a second is enough
    for all but the largest.
    """
    runs = [
        make_run("again", 100, may_rerun=True),
        make_run("large", 30_000),
        make_run("middle", 20_000),
        make_run("small"),
    ]
    assert list_ids(runs) == ["small", "middle", "again"]


def test_a_move_that_would_not_end_in_time_is_not_begun():
    """Guards against a run that is stopped and whose source then leaves."""
    assert list_ids([make_run("large", 100_000)], leaves_in_s=1.0) == []


def test_no_answer_is_moved_while_there_is_time_to_wait():
    """Load: an engine that leaves in two seconds, answers of seconds, most half over.

    Of 32 answers moved at once in one play, 10 would have been lost.
    """
    runs = [make_run("long")]
    assert list_ids(runs, leaves_in_s=2.0) == []
    assert list_ids(runs, leaves_in_s=1.1) == ["long"]


def test_moving_begins_earlier_the_more_there_is_to_move():
    runs = [make_run(str(n)) for n in range(8)]
    assert len(list_ids(runs, leaves_in_s=1.9)) == len(runs)


def test_an_answer_beyond_twice_its_guess_may_reach_its_maximum():
    prompt = Prompt("m", (), 100, 1_000, 100)
    assert estimate_left_s(prompt, 5, 10, 0.1) == (20 - 5) * 0.1
    assert estimate_left_s(prompt, 20, 10, 0.1) == (100 - 20) * 0.1
    assert estimate_left_s(Prompt("m", (), 100, 1_000), 20, 10, 0.1) == 8.0
    assert estimate_left_s(prompt, 200, 10, 0.1) == 0.0


RUNS = st.lists(
    st.builds(
        MovableRun,
        id=st.uuids().map(str),
        tokens=st.integers(0, 100_000),
        left_s=st.floats(0, 10),
        may_rerun=st.booleans(),
    ),
    max_size=30,
)


@given(RUNS, st.floats(0, 5))
def test_all_moves_end_before_the_engine_leaves(runs, leaves_in_s):
    chosen = list_moves(runs, leaves_in_s, TRANSFER_S)
    seconds = [
        MOVE_OVERHEAD_S + LINKS_SHARED * run.tokens * TRANSFER_S for run in chosen
    ]
    assert sum(seconds) <= leaves_in_s + 1e-9
    assert all(run.left_s > leaves_in_s for run in chosen)
