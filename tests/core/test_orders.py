"""Orders at an agent, when its engine starts again beside them."""

from pathlib import Path

import pytest

from robinspindle.core import orders
from robinspindle.core.effects import AppendRecord
from robinspindle.core.plans import make_plan
from robinspindle.core.records import (
    AgentStarted,
    Confirmed,
    Drain,
    ObservedEngine,
    Published,
)
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply

SAMPLES = Path(__file__).parents[2] / "examples"
NAME = "engine-1"
FOUND = ObservedEngine(model="investor-70b")


@pytest.fixture
def state():
    text = (SAMPLES / "haddad.ini").read_text()
    return apply_records(
        State(), Published(id="publish", text=text), make_start("boot-1")
    )


def make_start(boot):
    return AgentStarted(id=f"s/{boot}", target=NAME, incarnation="i1", found=FOUND)


def apply_records(state, *records):
    for record in records:
        state = apply(state, state.offset + 1, record)
    return state


def carry_out(executor, state, now):
    """Decide on orders, and put what is appended into the log."""
    target = state.targets[NAME]
    effects = orders.decide_orders(executor, target, now, is_idle=True)
    records = [e.record for e in effects if isinstance(e, AppendRecord)]
    return apply_records(state, *records)


def test_a_plan_ends_though_its_engine_is_announced_between_an_order_and_its_end(state):
    executor = orders.Executor(NAME, "i1", found=FOUND, boot="boot-1")
    planned = make_plan(state, Drain(targets=(NAME,)), "p", "op")
    ordered = apply_records(state, planned, Confirmed(id="c", plan="p"))
    # Its first outcome comes to the log behind the announcement.
    late = carry_out(executor, ordered, 1.0)
    state = apply_records(ordered, make_start("boot-2"), executor.ended)
    assert state.plans["p"].status == "running"
    assert late.plans["p"].status == "done"
    state = carry_out(executor, state, 1.0 + 2 * orders.RESEND_S)
    assert state.plans["p"].status == "done"
    assert state.targets[NAME].drained
