"""Plans: made from intents, validated without an exception in the state machine."""

from pathlib import Path

import pytest

from robinspindle.core.plans import make_plan
from robinspindle.core.records import (
    CalledOff,
    Confirmed,
    Drain,
    Planned,
    Published,
    ServeModel,
    SetRoles,
    Standing,
    Step,
)
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply
from robinspindle.exceptions import IntentError

SAMPLES = Path(__file__).parents[2] / "examples"
MODEL = "investor-70b"


@pytest.fixture
def state():
    text = (SAMPLES / "haddad.ini").read_text()
    return apply(State(), 0, Published(id="publish", text=text))


def apply_records(state, *records):
    for record in records:
        state = apply(state, state.offset + 1, record)
    return state


def confirm(plan, number=1):
    return Confirmed(id=f"confirm-{plan}-{number}", plan=plan)


def test_plan_changes_the_fewest_roles(state):
    planned = make_plan(state, SetRoles(model=MODEL, prefill=1, mixed=5), "p", "op")
    assert [(s.target, s.role) for s in planned.steps] == [("engine-6", "prefill")]


def test_plan_has_no_effect_before_its_confirmation(state):
    planned = make_plan(state, Drain(targets=("engine-1",)), "p", "op")
    after = apply_records(state, planned)
    assert all(target.order is None for target in after.targets.values())
    confirmed = apply_records(after, confirm("p"))
    assert confirmed.targets["engine-1"].order.step.action == "drain"


def test_second_of_two_conflicting_plans_is_refused_with_a_reason(state):
    first = make_plan(state, Drain(targets=("engine-1",)), "p1", "op")
    second = make_plan(state, Drain(targets=("engine-1",)), "p2", "other")
    after = apply_records(state, first, second, confirm("p2"), confirm("p1"))
    assert after.plans["p2"].status == "running"
    assert after.plans["p1"].status == "refused"
    assert "changed by another plan" in after.plans["p1"].reason


def test_second_confirmation_of_a_plan_has_no_effect(state):
    planned = make_plan(state, Drain(targets=("engine-1",)), "p", "op")
    once = apply_records(state, planned, confirm("p"))
    twice = apply_records(once, confirm("p", 2))
    assert twice.targets == once.targets


def test_plan_that_leaves_too_few_targets_is_refused(state):
    names = tuple(f"engine-{n}" for n in (1, 2, 3))
    planned = make_plan(state, Drain(targets=names), "p", "op")
    after = apply_records(state, planned, confirm("p"))
    assert after.plans["p"].status == "refused"
    assert "needs 4" in after.plans["p"].reason


def test_one_target_of_a_model_is_out_of_service_at_a_time(state):
    plans = [
        make_plan(state, Drain(targets=(f"engine-{n}",)), f"p{n}", "op") for n in (1, 2)
    ]
    after = apply_records(state, *plans, confirm("p1"), confirm("p2"))
    orders = [t.name for t in after.targets.values() if t.order is not None]
    assert orders == ["engine-1"]


def test_targets_that_running_plans_will_drain_count_as_out_of_service(state):
    plans = [
        make_plan(state, Drain(targets=(f"engine-{n}",)), f"p{n}", "op")
        for n in (1, 2, 3)
    ]
    after = apply_records(state, *plans, confirm("p1"), confirm("p2"), confirm("p3"))
    assert [after.plans[f"p{n}"].status for n in (1, 2, 3)] == [
        "running",
        "running",
        "refused",
    ]


def test_plan_that_would_block_a_running_plan_forever_is_refused(state):
    """A drain is refused if a load that waits for its turn could then never begin.

    Fuzzing found that such a drain was confirmed.
    """
    intent = ServeModel(model=MODEL, targets=("engine-1", "engine-2"), version="2")
    load = make_plan(state, intent, "load", "op")
    names = ("engine-5", "engine-6")
    drain = make_plan(state, Drain(targets=names), "drain", "op")
    after = apply_records(state, load, drain, confirm("load"), confirm("drain"))
    assert after.plans["load"].status == "running"
    assert after.plans["drain"].status == "refused"


def test_issued_order_of_a_cancelled_plan_still_counts(state):
    """A drain that was issued before its plan was cancelled still removes its target.

    Fuzzing found that such an order was left out of the check for a shortage.
    """
    drains = [
        make_plan(state, Drain(targets=(f"engine-{n}",)), f"d{n}", "op") for n in (5, 6)
    ]
    after = apply_records(
        state, drains[0], confirm("d5"), CalledOff(id="off", plan="d5")
    )
    after = apply_records(after, drains[1], confirm("d6"))
    intent = ServeModel(model=MODEL, targets=("engine-1",), version="2")
    after = apply_records(
        after, make_plan(after, intent, "load", "op"), confirm("load")
    )
    assert after.plans["load"].status == "refused"


def test_all_findings_about_an_intent_are_reported_together(state):
    with pytest.raises(IntentError) as caught:
        make_plan(state, SetRoles(model=MODEL, prefill=9), "p", "op")
    assert len(caught.value.findings) == 2


def test_duplicate_target_is_refused_and_does_not_raise_in_the_state_machine(state):
    names = ("engine-1", "engine-1")
    with pytest.raises(IntentError):
        make_plan(state, Drain(targets=names), "p", "op")
    steps = tuple(Step(target=name, action="drain") for name in names)
    forged = Planned(id="p", intent=Drain(targets=names), base=0, steps=steps)
    after = apply_records(state, forged, confirm("p"))
    assert after.plans["p"].status == "refused"


def test_roles_that_no_longer_add_up_are_refused_and_do_not_raise(state):
    intent = SetRoles(model=MODEL, mixed=6)
    planned = make_plan(state, intent, "p", "op")
    text = state.text.replace("[target engine-6]", "[target engine-7]")
    smaller = text.split("[target engine-7]")[0]
    after = apply_records(
        state, planned, Published(id="smaller", text=smaller), confirm("p")
    )
    assert after.plans["p"].status == "refused"


def test_standing_intent_with_invalid_bounds_is_refused(state):
    with pytest.raises(IntentError):
        make_plan(
            state, Standing(model=MODEL, least_prefill=3, most_prefill=1), "p", "op"
        )
