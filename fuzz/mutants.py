"""Deliberate faults: each breaks one mechanism, and the oracle must notice."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from robinspindle import controlstream
from robinspindle.core import (
    agentcontrol,
    claims,
    dispatch,
    failover,
    orders,
    plans,
    runs,
    scheduling,
    statemachine,
    tokenbuffer,
)
from robinspindle.core.activerequests import abandon_claim, finish
from robinspindle.core.claims import Claim, ClaimedKey
from robinspindle.core.effects import Ended, GiveOrder, Refusal, Send
from robinspindle.core.idempotency import start_run
from robinspindle.core.records import Published, RoleActed, Step, decode_record
from robinspindle.core.state import Order, State
from robinspindle.messages import Refused


@dataclass(frozen=True)
class Mutant:
    """A deliberate fault.

    Attributes:
        name: What is broken.
        owner: Module or class that is patched.
        attribute: Name in it.
        make: Makes the broken version from the right one.
    """

    name: str
    owner: Any
    attribute: str
    make: Callable[[Any], Any]


@contextmanager
def apply_mutant(mutant: Mutant) -> Iterator[None]:
    """Break one mechanism for the length of a block."""
    if isinstance(mutant.owner, dict):
        right = mutant.owner[mutant.attribute]
        mutant.owner[mutant.attribute] = mutant.make(right)
        try:
            yield
        finally:
            mutant.owner[mutant.attribute] = right
        return
    right = mutant.owner.__dict__[mutant.attribute]
    setattr(mutant.owner, mutant.attribute, mutant.make(right))
    try:
        yield
    finally:
        setattr(mutant.owner, mutant.attribute, right)


def _ignore_fence(right):
    def act(state: State, offset: int, record: RoleActed) -> State:
        target = state.targets.get(record.target)
        if target is None or target.order is not None:
            return state
        step = Step(target=target.name, action="role", role=record.role)
        return state.with_target(replace(target, order=Order(offset, "", step)))

    return act


def _refold_published(right):
    def take(self, records) -> None:
        for offset, data in enumerate(records.records, records.first):
            record = decode_record(data)
            if isinstance(record, Published):
                self.state = replace(self.state, version=offset, text=record.text)
        right(self, records)

    return take


def _forget_repeats(right):
    def apply(state: State, offset: int, record) -> State:
        return right(replace(state, recent={}), offset, record)

    return apply


def _say_not_run(right):
    return lambda reason: Refusal(503, "unavailable", reason, "no", 1.0)


def _deny_all(right):
    def deny(the_host, now, peer, attach, run):
        effects = right(the_host, now, peer, attach, run)
        message = msgspec.structs.replace(effects[0].message, status="not run")
        return [Send(peer, message), *effects[1:]]

    return deny


def _keep_repeats(right):
    def add(buffer, first, texts):
        buffer.texts.extend(texts)
        return list(texts)

    return add


def _end_early(right):
    def end(entry, active, reason):
        return finish(entry, active, Ended(count=0, finish=reason))

    return end


def _let_last_win(right):
    def apply(table, offset, record):
        if isinstance(record, Claim):
            table.claimed[record.key] = ClaimedKey(offset, record)
        else:
            right(table, offset, record)

    return apply


def _retry_all(right):
    def handle_lost_run(entry, active, now, reason):
        active.is_started = False
        return right(entry, active, now, reason)

    return handle_lost_run


def _allow_two(right):
    def decide(executor, target, now, is_idle):
        executor.active_order, executor.busy = -1, False
        return right(executor, target, now, is_idle)

    return decide


def _use_old_number(right):
    def decide(executor, target, now, is_idle):
        return [
            replace(effect, fence=10_000 - effect.fence)
            if isinstance(effect, GiveOrder)
            else effect
            for effect in right(executor, target, now, is_idle)
        ]

    return decide


def _release_all(right):
    def release(entry, key):
        held = entry.claims.claimed.get(key)
        if held is not None and held.outcome is None:
            abandon_claim(entry, held.claim)
        return right(entry, key)

    return release


def _hand_back_running(right):
    def return_queued_runs(the_host, now):
        effects = right(the_host, now)
        for run in the_host.runs.values():
            if run.status == runs.RUNNING:
                for peer, request in run.listeners:
                    refused = Refused(
                        request=request, attempt=run.attempt, reason="leaving"
                    )
                    effects.append(Send(peer, refused))
        return effects

    return return_queued_runs


def _skip_checkpoint(right):
    return lambda decoded, first: State(offset=first - 1)


def _ignore_drain(right):
    return property(lambda self: self.target is not None and not self.is_stopping)


MUTANTS = (
    Mutant("ignore the fence", statemachine._HANDLERS, RoleActed, _ignore_fence),
    Mutant(
        "start before the claim has won",
        dispatch,
        "claim_key",
        lambda right: lambda entry, active, now: start_run(active, now, 0),
    ),
    Mutant(
        "give an order with requests in flight",
        runs.AgentState,
        "is_idle",
        lambda right: property(lambda self: True),
    ),
    Mutant(
        "let a peer's old record revert the configuration",
        controlstream.ControlStream,
        "take_records",
        _refold_published,
    ),
    Mutant("fold a repeated record again", controlstream, "apply", _forget_repeats),
    Mutant("say not run in doubt", failover, "make_unknown_refusal", _say_not_run),
    Mutant("deny a run that is not known", agentcontrol, "_deny", _deny_all),
    Mutant("deliver a token twice", tokenbuffer, "add_tokens", _keep_repeats),
    Mutant("end before the answer is whole", dispatch, "_end_if_whole", _end_early),
    Mutant("let the last claim win", claims, "_apply_one", _let_last_win),
    Mutant("retry what may not be repeated", failover, "handle_lost_run", _retry_all),
    Mutant(
        "confirm against an old base", plans, "find_refusal", lambda r: lambda s, p: ""
    ),
    Mutant("give two orders at a time", orders, "decide_orders", _allow_two),
    Mutant("use an old fencing number", orders, "decide_orders", _use_old_number),
    Mutant("take new work while leaving", runs.AgentState, "is_serving", _ignore_drain),
    Mutant(
        "release claims of others", dispatch, "release_abandoned_claim", _release_all
    ),
    Mutant(
        "stop with requests in flight",
        runs.AgentState,
        "is_idle",
        lambda right: property(lambda self: self.is_stopping or right.fget(self)),
    ),
    Mutant("hand back what runs", scheduling, "return_queued_runs", _hand_back_running),
    Mutant(
        "leave a model without targets",
        plans,
        "_find_pool_shortage",
        lambda right: lambda state, targets, leaving: "",
    ),
    Mutant(
        "start without the checkpoint", statemachine, "_find_start", _skip_checkpoint
    ),
    Mutant(
        "hold back a final answer",
        failover,
        "check_timeouts",
        lambda right: lambda entry, active, now: [],
    ),
)
