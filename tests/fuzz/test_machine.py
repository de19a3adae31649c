"""The promises under any order of failures, against the oracle.

Hypothesis draws the steps; derandomised, so the verdict is the same every time.
"""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from fuzz.driver import Move, draw_moves, heal, make_move, make_world, play
from fuzz.mutants import MUTANTS, apply_mutant
from fuzz.oracle import LEAVING_S, Oracle, check_end, check_now
from fuzz.rules import RULES
from fuzz.world import LeavingPeriod
from robinspindle.messages import Work

NUMBERS = st.integers(0, 63)
WEIGHTED = [name for name, rule_ in RULES.items() for _ in range(rule_.weight)]


class Deployment(RuleBasedStateMachine):
    """A deployment to which anything may happen."""

    def __init__(self):
        super().__init__()
        self.world = make_world(1)
        self.oracle = Oracle()

    @rule(name=st.sampled_from(WEIGHTED), first=NUMBERS, second=NUMBERS)
    def move(self, name, first, second):
        make_move(self.world, Move(name, first, second))
        check_now(self.oracle, self.world)
        assert not self.oracle.faults

    def teardown(self):
        heal(self.world)
        check_end(self.oracle, self.world)
        assert not self.oracle.faults


def test_no_order_of_failures_breaks_a_promise():
    run_state_machine_as_test(
        Deployment,
        settings=settings(
            max_examples=20,
            stateful_step_count=60,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize("seed", range(1, 13))
def test_seeded_runs_are_clean(seed):
    assert play(seed, draw_moves(seed, 150)).faults == ()


def test_a_target_that_served_between_two_checks_is_not_taken_for_leaving():
    assert play(4911, draw_moves(4911, 150)).faults == ()


def test_work_that_a_leaving_target_began_between_two_checks_is_noticed():
    world, oracle = make_world(1), Oracle()
    check_now(oracle, world)
    since = world.now
    world.leaving["e1"].append(LeavingPeriod(since, since + 2 * LEAVING_S))
    work = Work(request="r1", kind="generate", pool="model", workspace="w")
    world.targets["e1"].begin(since + 1.5 * LEAVING_S, "r1/1", work, None)
    check_now(oracle, world)
    assert oracle.faults == ["r1/1: new work at e1, which leaves"]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_the_oracle_notices(mutant):
    with apply_mutant(mutant):
        for seed in range(1, 60):
            try:
                faults = play(seed, draw_moves(seed, 150)).faults
            except Exception as error:
                faults = (repr(error),)
            if faults:
                return
    pytest.fail(f"not noticed: {mutant.name}")
