"""An entry that was not run for a while has heard nothing, and judges nothing by it.

A stream ended after 5 of 60 tokens, once, beside busy processes: its entry was held up
for 2.5 s while the agent stopped. In its first turn after that the entry found less
than what had come (its socket's thread is run anew, too), looked at the clock, and took
all its targets for silent: 2.5 s is more than the 1.5 s it allows a run and the 2 s it
allows for new work. There was nowhere to go on, so the caller got an end ("no target
takes new work at present") instead of the tokens that lay in the socket. Held up
together with its agent, an entry did so each time.
"""

import random
from pathlib import Path

import pytest

from robinspindle.core import dispatch, failover
from robinspindle.core.activerequests import Dispatcher, LatencyObjective
from robinspindle.core.effects import Chunk, Deliver, Ended, Refusal, Send
from robinspindle.core.records import AgentStarted, ObservedEngine, Published
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply
from robinspindle.messages import (
    Accepted,
    Finished,
    Hello,
    Offer,
    Report,
    Tokens,
    Work,
)

SAMPLE = Path(__file__).parents[2] / "examples" / "haddad.ini"
HELD_UP_S = 2.5
STEP_S = 0.05


@pytest.fixture
def entry():
    text = SAMPLE.read_text().replace("leaving_after_s = 2", "leaving_after_s = 1")
    state = apply(State(), 0, Published(id="publish", text=text))
    for number, name in enumerate(["engine-1", "engine-2"], 1):
        found = ObservedEngine(model="investor-70b")
        started = AgentStarted(id=name, target=name, incarnation="i", found=found)
        state = apply(state, number, started)
    entry = Dispatcher("entry-1", "a", random.Random(1))
    dispatch.fold_state(entry, state)
    for name in ("engine-1", "engine-2"):
        dispatch.receive(entry, 0.0, name, Report(target=name, incarnation="i"))
    return entry


def submit(entry, now, request="r"):
    work = Work(request=request, kind="generate", pool="investor-70b", max_tokens=9)
    return dispatch.submit(entry, now, work, LatencyObjective(5.0, 20.0))


def begin(entry):
    """Bring a stream to its first token; return its target."""
    target = submit(entry, 0.0)[0].peer
    report = Report(target=target, incarnation="i")
    accepted = Accepted(request="r", attempt=1, reserved=False, report=report)
    dispatch.receive(entry, 0.01, target, accepted)
    dispatch.receive(
        entry, 0.02, target, Tokens(request="r", attempt=1, first=0, texts=("a ",))
    )
    return target


def let_pass(entry, since, until):
    """Let time pass in which nothing comes; return the effects but greetings."""
    effects = []
    for step in range(1, round((until - since) / STEP_S) + 1):
        effects += dispatch.tick(entry, since + step * STEP_S)
    return [
        e for e in effects if not (isinstance(e, Send) and type(e.message) is Hello)
    ]


def test_a_run_is_not_lost_by_an_entry_that_was_held_up(entry):
    target = begin(entry)
    let_pass(entry, 0.0, 1.0)
    after = 1.0 + HELD_UP_S
    effects = dispatch.tick(entry, after)
    assert entry.active_requests["r"].target == target
    assert entry.active_requests["r"].attempts == 1
    assert not any(isinstance(effect, Deliver) for effect in effects)
    rest = Tokens(request="r", attempt=1, first=1, texts=("b ",))
    told = dispatch.receive(entry, after + 0.01, target, rest)
    told += dispatch.receive(
        entry, after + 0.01, target, Finished(request="r", attempt=1, count=2)
    )
    events = [effect.event for effect in told if isinstance(effect, Deliver)]
    assert [type(event) for event in events] == [Chunk, Ended]


def test_a_request_that_came_while_the_entry_was_held_up_is_placed(entry):
    let_pass(entry, 0.0, 0.5)
    effects = submit(entry, 0.5 + HELD_UP_S)
    assert isinstance(effects[0].message, Offer)


def test_an_offer_is_not_lost_by_an_entry_that_was_held_up(entry):
    submit(entry, 0.0)
    let_pass(entry, 0.0, 0.5)
    dispatch.tick(entry, 0.5 + HELD_UP_S)
    assert entry.active_requests["r"].attempts == 1


def test_a_target_that_died_meanwhile_is_found_as_soon_as_ever(entry):
    target = begin(entry)
    let_pass(entry, 0.0, 0.5)
    after = 0.5 + HELD_UP_S
    dispatch.tick(entry, after)
    left_s = failover.LOST_S - 0.5
    let_pass(entry, after, after + left_s - STEP_S)
    assert entry.active_requests["r"].target == target
    for name in ("engine-1", "engine-2"):
        if name != target:
            report = Report(target=name, incarnation="i")
            dispatch.receive(entry, after + left_s, name, report)
    let_pass(entry, after + left_s, after + left_s + 3 * STEP_S)
    assert entry.active_requests["r"].target != target


def test_hold_ups_do_not_put_a_deadline_off(entry):
    begin(entry)
    let_pass(entry, 0.0, 0.5)
    effects = dispatch.tick(entry, 0.5 + failover.HARD_LIMIT_S)
    assert any(isinstance(e, Deliver) and isinstance(e.event, Refusal) for e in effects)
