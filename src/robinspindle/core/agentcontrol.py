"""Decisions of an agent, which controls the runs and orders of one target.

Each target has one agent, with one `AgentState`. The functions here handle messages
from entries, engine events and replicated state, and return effects. Only the agent
starts runs at its target and sends it orders.
"""

import msgspec

from robinspindle.core import admission, orders, scheduling
from robinspindle.core.effects import AppendClaim, Effect, Send
from robinspindle.core.records import ObservedEngine
from robinspindle.core.routing import is_long_prefill
from robinspindle.core.runs import (
    ENDED,
    QUEUED,
    RESERVED,
    RUNNING,
    AgentState,
    Run,
    drop_listener,
    end_run,
    estimate_prefill_wait,
    estimate_wait,
    had_no_effect,
    make_outcome,
    make_queued_request,
    make_report,
    must_complete,
    replay,
)
from robinspindle.core.state import State
from robinspindle.messages import (
    Accepted,
    AnyMessage,
    Attach,
    Attached,
    Cancel,
    Failed,
    Finished,
    Hello,
    Offer,
    Ran,
    Refused,
    Report,
    Start,
    Tokens,
)

MAX_REPORTED_PREFIXES = 64
"""Most prefixes in one report; the newest are reported."""

MAX_STARTED_ATTEMPTS = 50_000
"""Started attempts that an agent remembers; the oldest are evicted."""


def receive(
    agent: AgentState, now: float, peer: str, message: AnyMessage
) -> list[Effect]:
    """Handle a message from an entry."""
    agent.last_heard_at[peer] = now
    if isinstance(message, Hello):
        return [Send(peer, _answer_hello(agent, now, peer, message))]
    if isinstance(message, Offer):
        return _handle_offer(agent, now, peer, message)
    if isinstance(message, Start):
        return _handle_start(agent, now, peer, message)
    if isinstance(message, Cancel):
        return _handle_cancel(agent, now, peer, message)
    if isinstance(message, Attach):
        return _handle_attach(agent, now, peer, message)
    return []


def apply_state(agent: AgentState, now: float, state: State) -> list[Effect]:
    """Apply a new replicated state from the control stream."""
    agent.state = state
    return tick(agent, now)


def update_engine_state(
    agent: AgentState, now: float, found: ObservedEngine, busy: bool, boot: str
) -> list[Effect]:
    """Apply the engine's description of itself.

    Args:
        agent: The agent's state.
        now: The current time, monotonic seconds.
        found: Model, adapters, role and version of the engine.
        busy: Whether the engine is applying a change.
        boot: Id of this lifetime of the engine. A new one means that it crashed.
    """
    agent.executor.found = found
    agent.executor.busy = busy
    agent.executor.boot = boot
    return tick(agent, now)


def postpone_order(agent: AgentState, now: float) -> None:
    """Postpone an order whose outcome is unknown until the engine has been queried."""
    orders.postpone_order(agent.executor, now)


def end_order(
    agent: AgentState,
    now: float,
    number: int,
    found: ObservedEngine | None,
    reason: str,
) -> list[Effect]:
    """Handle the end of an order.

    Args:
        agent: The agent's state.
        now: The current time, monotonic seconds.
        number: Number of the order.
        found: The engine's new description of itself, or None if it is not known.
        reason: Why the order failed, empty if it took effect.
    """
    if found is not None:
        agent.executor.found = found
    if agent.target is None:
        return []
    effects = orders.end_order(agent.executor, agent.target, number, now, reason)
    return effects + tick(agent, now)


def stop(agent: AgentState, now: float) -> list[Effect]:
    """Start a planned stop.

    New work is refused, queued runs are returned and running ones continue.
    """
    agent.is_stopping = True
    notices = [
        Send(peer, make_report(agent, now, peer)) for peer in agent.last_heard_at
    ]
    return notices + tick(agent, now)


def tick(agent: AgentState, now: float) -> list[Effect]:
    """Do everything that is due at this time or after a change of state."""
    effects: list[Effect] = []
    effects += scheduling.return_queued_runs(agent, now)
    effects += scheduling.remove_stale_runs(agent, now)
    effects += scheduling.launch_queued_runs(agent, now)
    effects += orders.decide_orders(agent.executor, agent.target, now, agent.is_idle)
    return effects


def add_tokens(
    agent: AgentState, now: float, key: tuple[str, int], texts: tuple[str, ...]
) -> list[Effect]:
    """Handle tokens from the engine and send them, numbered, to the run's listeners."""
    run = _find_running(agent, key)
    if run is None:
        return []
    new_tokens = len(run.texts) - len(run.work.resumed)
    if new_tokens == 0:
        run.first_token_at = now
        seconds = now - run.started_at - agent.speed.step_s
        admission.note_first_token(agent.speed, seconds, run.work.prompt_tokens)
    first = len(run.texts)
    run.texts.extend(texts)
    return [
        Send(peer, Tokens(request=request, attempt=key[1], first=first, texts=texts))
        for peer, request in run.listeners
    ]


def finish_run(
    agent: AgentState, now: float, key: tuple[str, int], finished: Finished
) -> list[Effect]:
    """Handle the successful end of a run.

    Args:
        agent: The agent's state.
        now: The current time, monotonic seconds.
        key: Request id and attempt of the run.
        finished: The last message. Its ids, count and report are filled in here.
    """
    run = _find_running(agent, key)
    if run is None:
        return []
    if run.work.kind == "call":
        admission.note_call(agent.speed, now - run.started_at)
    else:
        admission.note_answer_length(agent.speed, run.work.workspace, len(run.texts))
        steps = len(run.texts) - len(run.work.resumed) - 1
        admission.note_steps(agent.speed, now - run.first_token_at, steps)
    effects = end_run(agent, now, run, finished)
    if run.work.key:
        effects.append(AppendClaim(make_outcome(run, finished)))
    return effects + tick(agent, now)


def fail_run(
    agent: AgentState, now: float, key: tuple[str, int], ran: Ran, reason: str
) -> list[Effect]:
    """Handle the failure of a run.

    Args:
        agent: The agent's state.
        now: The current time, monotonic seconds.
        key: Request id and attempt of the run.
        ran: Whether the run had an effect.
        reason: Why the run failed.
    """
    run = _find_running(agent, key)
    if run is None:
        return []
    failed = Failed(request="", attempt=0, ran=ran, reason=reason)
    if ran == "no":
        agent.started.pop(key, None)
    effects = end_run(agent, now, run, failed)
    return effects + tick(agent, now)


def update_prefixes(agent: AgentState, prefixes: tuple[str, ...]) -> None:
    """Apply the list of prefixes in the engine's KV cache, from its events."""
    if prefixes != agent.prefixes:
        agent.prefixes = prefixes
        agent.prefix_version += 1


def _find_running(agent: AgentState, key: tuple[str, int]) -> Run | None:
    """Find a run that was sent to the engine or service and has not ended."""
    run = agent.runs.get(key)
    return run if run is not None and run.status == RUNNING else None


def _answer_hello(agent: AgentState, now: float, peer: str, hello: Hello) -> Report:
    report = make_report(agent, now, peer)
    if hello.prefix_version == agent.prefix_version:
        return report
    # The list of prefixes is long, so it is sent only to entries with an older one.
    prefixes = agent.prefixes[-MAX_REPORTED_PREFIXES:]
    return msgspec.structs.replace(report, prefixes=prefixes)


def _handle_offer(
    agent: AgentState, now: float, peer: str, offer: Offer
) -> list[Effect]:
    work = offer.work
    admission.note_offered_work(agent.offered_load, now, work)
    refusal = _find_refusal(agent, now, offer)
    if refusal.reason:
        refused = Refused(
            request=work.request,
            attempt=offer.attempt,
            reason=refusal.reason,
            retry_s=refusal.retry_s,
            report=make_report(agent, now, peer),
        )
        return [Send(peer, refused)]
    run = Run(
        work=work,
        attempt=offer.attempt,
        status=QUEUED if work.repeatable else RESERVED,
        queued_request=make_queued_request(agent, now, offer),
        listeners={(peer, work.request): None},
        texts=list(work.resumed),
    )
    agent.runs[(work.request, offer.attempt)] = run
    launched = scheduling.launch_queued_runs(agent, now)
    accepted = Accepted(
        request=work.request,
        attempt=offer.attempt,
        reserved=not work.repeatable,
        report=make_report(agent, now, peer),
    )
    return [Send(peer, accepted), *launched]


def _find_refusal(
    agent: AgentState, now: float, offer: Offer
) -> admission.AdmissionDecision:
    work = offer.work
    if not agent.is_serving:
        return admission.AdmissionDecision("leaving", scheduling.LEAVING_RETRY_S)
    if agent.target.pool != work.pool:
        return admission.AdmissionDecision("pool")
    if work.adapter and work.adapter not in agent.target.adapters:
        return admission.AdmissionDecision("pool")
    queued_request = make_queued_request(agent, now, offer)
    wait_s = estimate_wait(agent, now, queued_request)
    if is_long_prefill(queued_request.prefill_s):
        wait_s = max(wait_s, estimate_prefill_wait(agent, now, queued_request))
    queue_s = agent.configuration.policy.queue_s
    return admission.decide_admission(queued_request, now, wait_s, queue_s)


def _handle_start(
    agent: AgentState, now: float, peer: str, start: Start
) -> list[Effect]:
    run = agent.runs.get((start.request, start.attempt))
    if run is None or run.status != RESERVED:
        refused = Refused(
            request=start.request, attempt=start.attempt, reason="expired"
        )
        return [Send(peer, refused)]
    run.status = QUEUED
    _remember_start(agent, (start.request, start.attempt))
    return scheduling.launch_queued_runs(agent, now)


def _remember_start(agent: AgentState, key: tuple[str, int]) -> None:
    agent.started[key] = None
    if len(agent.started) > MAX_STARTED_ATTEMPTS:
        del agent.started[next(iter(agent.started))]
        agent.has_evicted_starts = True


def _handle_cancel(
    agent: AgentState, now: float, peer: str, cancel: Cancel
) -> list[Effect]:
    run = agent.runs.get((cancel.run, cancel.attempt))
    if run is None or run.status == ENDED:
        return []
    drop_listener(run, peer, cancel.request)
    if run.listeners or must_complete(run):
        return []
    run.cancel_at = now + cancel.grace_s
    return tick(agent, now)


def _handle_attach(
    agent: AgentState, now: float, peer: str, attach: Attach
) -> list[Effect]:
    run = _find_run(agent, attach)
    if run is None or run.status == RESERVED or had_no_effect(run):
        return _deny(agent, now, peer, attach, run)
    if run.status == ENDED and run.end is None:
        return [Send(peer, _answer_attach(attach, run.attempt, "unknown"))]
    run.listeners[(peer, attach.request)] = None
    run.cancel_at = None
    joined = Send(peer, _answer_attach(attach, run.attempt, "joined"))
    return [joined, *replay(run, peer, attach.request, attach.after)]


def _answer_attach(attach: Attach, attempt: int, status: str) -> Attached:
    return Attached(request=attach.request, attempt=attempt, status=status)


def _deny(
    agent: AgentState, now: float, peer: str, attach: Attach, run: Run | None
) -> list[Effect]:
    """Answer an attach to a run that was not started, and ensure that it never starts.

    Only the incarnation that made the reservation can state that the run has not
    started. It starts no run without a reservation, so a run that is neither reserved
    nor started will never start.
    """
    key = (attach.run, attach.attempt)
    is_known = attach.incarnation == agent.incarnation and not agent.has_evicted_starts
    status = "not run" if is_known and key not in agent.started else "unknown"
    if run is not None and run.status == RESERVED:
        run.status = ENDED
        run.ended_at = now
    denied = Send(peer, _answer_attach(attach, attach.attempt, status))
    return [denied, *tick(agent, now)]


def _find_run(agent: AgentState, attach: Attach) -> Run | None:
    if attach.attempt >= 0:
        return agent.runs.get((attach.run, attach.attempt))
    found = [
        run
        for run in agent.runs.values()
        if run.work.request == attach.run and run.work.workspace == attach.workspace
    ]
    return found[-1] if found else None
