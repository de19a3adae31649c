"""A pause of the entry's process must not count towards the timeouts of its targets.

After a pause of 2.5 s, an entry had not yet read all messages that had arrived, because
the thread that reads its socket had been paused too. It timed out all its targets:
2.5 s exceeds the timeout of runs (1.5 s) and that for new work (2 s). A stream ended
after 5 of 60 tokens with "no target takes new work at present", although the other
tokens were waiting in the socket. This happened each time the entry and its agent were
paused together.
"""

import random
import re
from pathlib import Path

import pytest

from robinspindle.core import dispatch, failover
from robinspindle.core.activerequests import Dispatcher, LatencyObjective
from robinspindle.core.effects import Chunk, Deliver, Ended, Refusal, Send, Started
from robinspindle.core.placement import find_addresses
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
PAUSE_S = 2.5
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
    dispatch.apply_state(entry, state)
    for name in ("engine-1", "engine-2"):
        dispatch.receive(entry, 0.0, name, Report(target=name, incarnation="i"))
    return entry


def submit(entry, now, request="r"):
    work = Work(request=request, kind="generate", pool="investor-70b", max_tokens=9)
    return dispatch.submit(entry, now, work, LatencyObjective(5.0, 20.0))


def start_stream(entry):
    """Start a stream, deliver its first token and return its target."""
    target = submit(entry, 0.0)[0].peer
    report = Report(target=target, incarnation="i")
    accepted = Accepted(request="r", attempt=1, reserved=False, report=report)
    dispatch.receive(entry, 0.01, target, accepted)
    dispatch.receive(
        entry, 0.02, target, Tokens(request="r", attempt=1, first=0, texts=("a ",))
    )
    return target


def advance(entry, since, until):
    """Let time pass without messages; return all effects except heartbeats."""
    effects = []
    for step in range(1, round((until - since) / STEP_S) + 1):
        effects += dispatch.tick(entry, since + step * STEP_S)
    return [
        e for e in effects if not (isinstance(e, Send) and type(e.message) is Hello)
    ]


def test_a_run_survives_a_pause_of_the_entry(entry):
    target = start_stream(entry)
    advance(entry, 0.0, 1.0)
    after = 1.0 + PAUSE_S
    effects = dispatch.tick(entry, after)
    assert entry.active_requests["r"].target == target
    assert entry.active_requests["r"].attempts == 1
    assert not any(isinstance(effect, Deliver) for effect in effects)
    rest = Tokens(request="r", attempt=1, first=1, texts=("b ",))
    later_effects = dispatch.receive(entry, after + 0.01, target, rest)
    later_effects += dispatch.receive(
        entry, after + 0.01, target, Finished(request="r", attempt=1, count=2)
    )
    events = [effect.event for effect in later_effects if isinstance(effect, Deliver)]
    assert [type(event) for event in events] == [Chunk, Ended]


def test_a_request_that_arrived_during_a_pause_is_placed(entry):
    advance(entry, 0.0, 0.5)
    effects = submit(entry, 0.5 + PAUSE_S)
    assert isinstance(effects[0].message, Offer)


def test_an_offer_survives_a_pause_of_the_entry(entry):
    submit(entry, 0.0)
    advance(entry, 0.0, 0.5)
    dispatch.tick(entry, 0.5 + PAUSE_S)
    assert entry.active_requests["r"].attempts == 1


def test_a_target_that_fails_during_a_pause_times_out_without_added_delay(entry):
    target = start_stream(entry)
    advance(entry, 0.0, 0.5)
    after = 0.5 + PAUSE_S
    dispatch.tick(entry, after)
    left_s = failover.TARGET_TIMEOUT_S - 0.5
    advance(entry, after, after + left_s - STEP_S)
    assert entry.active_requests["r"].target == target
    for name in ("engine-1", "engine-2"):
        if name != target:
            report = Report(target=name, incarnation="i")
            dispatch.receive(entry, after + left_s, name, report)
    advance(entry, after + left_s, after + left_s + 3 * STEP_S)
    assert entry.active_requests["r"].target != target


def test_a_pause_does_not_extend_a_deadline(entry):
    start_stream(entry)
    advance(entry, 0.0, 0.5)
    effects = dispatch.tick(entry, 0.5 + failover.MAX_REQUEST_S)
    assert any(isinstance(e, Deliver) and isinstance(e.event, Refusal) for e in effects)


@pytest.mark.parametrize(("texts", "grace_s"), [((), 0.0), (("a",), 5.0)])
def test_only_a_stream_that_can_be_resumed_goes_on_without_its_caller(
    entry, texts, grace_s
):
    target = submit(entry, 0.0)[0].peer
    report = Report(target=target, incarnation="i")
    accepted = Accepted(request="r", attempt=1, report=report)
    dispatch.receive(entry, 0.1, target, accepted)
    if texts:
        tokens = Tokens(request="r", attempt=1, first=0, texts=texts)
        dispatch.receive(entry, 0.2, target, tokens)
    (effect,) = dispatch.handle_disconnect(entry, "r")
    assert effect.message.grace_s == grace_s


def start_once(entry):
    """Start a request that may run at most once, without a key; return its target."""
    work = Work(
        request="r",
        kind="generate",
        pool="investor-70b",
        max_tokens=9,
        repeatable=False,
    )
    target = dispatch.submit(entry, 0.0, work, LatencyObjective(5.0, 20.0))[0].peer
    report = Report(target=target, incarnation="i")
    accepted = Accepted(request="r", attempt=1, reserved=True, report=report)
    effects = dispatch.receive(entry, 0.01, target, accepted)
    assert any(e.event == Started(target, "r") for e in list_delivered(effects))
    return target


def list_delivered(effects):
    return [effect for effect in effects if isinstance(effect, Deliver)]


def finish(entry, now, target, count=0):
    """Let the run end at its target and return the last event's type."""
    finished = Finished(request="r", attempt=1, count=count)
    return type(
        list_delivered(dispatch.receive(entry, now, target, finished))[-1].event
    )


def drop_target(text, target):
    return re.sub(rf"\[target {target}\][^\[]*", "", text)


def shrink_subset(text, target):
    return text.replace("entries = 2", "entries = 2\nsubset = 1")


@pytest.mark.parametrize("change", [drop_target, shrink_subset])
def test_an_answer_comes_though_a_configuration_drops_its_target(entry, change):
    """Its connection was closed and the run given up in the same turn."""
    entry.name = "entry-3"
    target = start_once(entry)
    text = change(entry.state.text, target)
    state = apply(entry.state, 9, Published(id="change", text=text))
    agent = find_addresses(entry)[target]
    dispatch.apply_state(entry, state)
    assert find_addresses(entry)[target] == agent
    for step in range(1, 80):
        now = 0.01 + step * STEP_S
        effects = dispatch.tick(entry, now)
        assert not list_delivered(effects)
        if target in [e.peer for e in effects if isinstance(e, Send)]:
            report = Report(target=target, incarnation="i")
            dispatch.receive(entry, now, target, report)
    assert finish(entry, 5.0, target) is Ended
    dispatch.apply_state(entry, apply(state, 10, None))
    assert target not in find_addresses(entry)
    assert (target in entry.evidence) == (target in entry.state.targets)


def test_a_run_that_may_not_be_repeated_outlasts_the_silence_of_its_target(entry):
    """After 1.5 s its outcome was called unknown, and the answer came to nobody."""
    target = start_once(entry)
    assert not list_delivered(advance(entry, 0.0, 4.0))
    assert finish(entry, 4.1, target) is Ended


def test_a_run_whose_target_is_silent_at_its_deadline_ends_as_unknown(entry):
    start_once(entry)
    (last,) = list_delivered(advance(entry, 0.0, 20.1))
    assert (last.event.code, last.event.ran) == ("outcome_unknown", "unknown")


def test_a_stream_outlasts_the_silence_of_its_target_if_no_other_takes_it(entry):
    """It was refused as overloaded, with its answer half delivered."""
    target = start_stream(entry)
    assert not list_delivered(advance(entry, 0.02, 4.0))
    rest = Tokens(request="r", attempt=1, first=1, texts=("b ",))
    assert list_delivered(dispatch.receive(entry, 4.1, target, rest))
    assert finish(entry, 4.2, target, count=2) is Ended


@pytest.mark.parametrize("budget", [0.0, 3.0])
def test_a_stream_leaves_a_silent_target_only_with_a_retry_for_it(entry, budget):
    target = start_stream(entry)
    entry.retry_budget.left = budget
    (other,) = {"engine-1", "engine-2"} - {target}
    for step in range(1, 40):
        now = 0.02 + step * STEP_S
        dispatch.receive(entry, now, other, Report(target=other, incarnation="i"))
        assert not list_delivered(dispatch.tick(entry, now))
    assert (entry.active_requests["r"].target == other) == (budget > 0)
