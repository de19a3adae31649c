"""The agent's control of runs: offers, starts, attaches, prefill order and stops."""

from pathlib import Path

import pytest

from robinspindle.core import agentcontrol
from robinspindle.core.effects import Launch, Send
from robinspindle.core.records import AgentStarted, ObservedEngine, Published
from robinspindle.core.runs import AgentState
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply
from robinspindle.messages import (
    Accepted,
    Attach,
    Attached,
    Cancel,
    Finished,
    Hello,
    Offer,
    Refused,
    Start,
    Tokens,
    Work,
)

SAMPLES = Path(__file__).parents[2] / "examples"
MODEL = "investor-70b"


@pytest.fixture
def agent():
    text = (SAMPLES / "haddad.ini").read_text()
    found = ObservedEngine(model=MODEL)
    state = apply(State(), 0, Published(id="p", text=text))
    started = AgentStarted(id="s", target="engine-1", incarnation="i1", found=found)
    state = apply(state, 1, started)
    agent = AgentState("engine-1", "i1")
    agentcontrol.update_engine_state(agent, 0.0, found, False, "boot")
    agentcontrol.apply_state(agent, 0.0, state)
    return agent


def offer(request="r1", repeatable=True, workspace="w", **fields):
    work = Work(
        request=request,
        kind="generate",
        pool=MODEL,
        workspace=workspace,
        repeatable=repeatable,
        key="" if repeatable else f"{workspace}/k",
        max_tokens=4,
        **fields,
    )
    return Offer(work=work, attempt=1, left_s=9.0, first_left_s=9.0)


def answers(effects):
    return [effect.message for effect in effects if isinstance(effect, Send)]


def test_an_offer_is_accepted_and_launched(agent):
    effects = agentcontrol.receive(agent, 1.0, "e", offer())
    assert isinstance(answers(effects)[0], Accepted)
    assert any(isinstance(effect, Launch) for effect in effects)


def test_a_reservation_launches_nothing_before_its_start(agent):
    effects = agentcontrol.receive(agent, 1.0, "e", offer(repeatable=False))
    assert answers(effects)[0].reserved
    assert not any(isinstance(effect, Launch) for effect in effects)
    start = Start(request="r1", attempt=1, claim=7)
    effects = agentcontrol.receive(agent, 1.1, "e", start)
    assert any(isinstance(effect, Launch) for effect in effects)
    assert isinstance(answers(agentcontrol.receive(agent, 1.2, "e", start))[0], Refused)


def test_an_attach_cancels_a_reservation_before_it_is_answered_as_not_run(agent):
    agentcontrol.receive(agent, 1.0, "e", offer(repeatable=False))
    attach = Attach(request="r2", run="r1", attempt=1, incarnation="i1")
    denied = answers(agentcontrol.receive(agent, 1.1, "other", attach))[0]
    assert denied == Attached(request="r2", attempt=1, status="not run")
    start = Start(request="r1", attempt=1, claim=7)
    assert isinstance(answers(agentcontrol.receive(agent, 1.2, "e", start))[0], Refused)


def test_another_incarnation_does_not_answer_not_run(agent):
    attach = Attach(request="r2", run="r1", attempt=1, incarnation="i0")
    assert answers(agentcontrol.receive(agent, 1.0, "e", attach))[0].status == "unknown"


def test_a_stream_can_be_joined_only_from_its_own_workspace(agent):
    agentcontrol.receive(agent, 1.0, "e", offer(workspace="mine"))
    agentcontrol.add_tokens(agent, 1.1, ("r1", 1), ("secret ",))
    mine = Attach(request="r2", run="r1", workspace="mine")
    theirs = Attach(request="r3", run="r1", workspace="theirs")
    joined = answers(agentcontrol.receive(agent, 1.2, "other", mine))
    assert joined[0].status == "joined"
    assert joined[1] == Tokens(request="r2", attempt=1, first=0, texts=("secret ",))
    denied = answers(agentcontrol.receive(agent, 1.2, "other", theirs))
    assert [message.status for message in denied] == ["unknown"]


def test_long_prompts_run_one_at_a_time_and_short_ones_overtake(agent):
    long = {"prompt_tokens": 9000}
    first = agentcontrol.receive(agent, 1.0, "e", offer("long1", **long))
    second = agentcontrol.receive(agent, 1.0, "e", offer("long2", **long))
    short = agentcontrol.receive(agent, 1.0, "e", offer("short"))
    launched = [
        [e.request for e in effects if isinstance(e, Launch)]
        for effects in (first, second, short)
    ]
    assert launched == [["long1"], [], ["short"]]


@pytest.mark.parametrize(("key", "is_launched"), [("", False), ("w/k", True)])
def test_a_waiting_run_whose_caller_left_begins_only_if_it_has_a_key(
    agent, key, is_launched
):
    slots = agent.section.slots
    for number in range(slots):
        agentcontrol.receive(agent, 1.0, "e", offer(f"r{number}"))
    work = Work(request="left", kind="generate", pool=MODEL, key=key, repeatable=False)
    agentcontrol.receive(
        agent, 1.0, "e", Offer(work=work, attempt=1, left_s=9.0, first_left_s=9.0)
    )
    agentcontrol.receive(agent, 1.1, "e", Start(request="left", attempt=1, claim=7))
    agentcontrol.receive(agent, 1.2, "e", Cancel(request="left", run="left", attempt=1))
    whole = Finished(request="", attempt=0)
    effects = [
        effect
        for number in range(slots)
        for effect in agentcontrol.finish_run(agent, 1.3, (f"r{number}", 1), whole)
    ]
    launched = [e.request for e in effects if isinstance(e, Launch)]
    assert ("left" in launched) == is_launched


def test_a_planned_stop_returns_the_queued_runs_as_not_run(agent):
    for number in range(9):
        agentcontrol.receive(agent, 1.0, "e", offer(f"r{number}"))
    refused = [
        m for m in answers(agentcontrol.stop(agent, 1.1)) if isinstance(m, Refused)
    ]
    assert {message.reason for message in refused} == {"leaving"}
    assert not agent.is_idle


def test_prefixes_are_reported_only_to_entries_with_an_older_list(agent):
    agentcontrol.update_prefixes(agent, ("p1",))
    old = answers(agentcontrol.receive(agent, 1.0, "e", Hello(prefix_version=0)))[0]
    new = answers(agentcontrol.receive(agent, 1.1, "e", Hello(prefix_version=1)))[0]
    assert (old.prefixes, old.prefix_version) == (("p1",), 1)
    assert new.prefixes is None
