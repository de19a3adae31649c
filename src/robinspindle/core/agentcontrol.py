"""The agent's decisions: the last word on what its target receives.

A `Host` stands beside each target. It is fed messages, engine events and folded
states, and answers with effects. It alone starts runs and gives orders.
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
    make_outcome,
    make_queued_request,
    make_report,
    must_run,
    never_ran,
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

PREFIXES_REPORTED = 64
STARTED_KEPT = 50_000


def receive(
    host: AgentState, now: float, peer: str, message: AnyMessage
) -> list[Effect]:
    """Decide what to do about a message from an entry."""
    host.last_heard_at[peer] = now
    if isinstance(message, Hello):
        return [Send(peer, _answer_hello(host, now, peer, message))]
    if isinstance(message, Offer):
        return _take_offer(host, now, peer, message)
    if isinstance(message, Start):
        return _start(host, now, peer, message)
    if isinstance(message, Cancel):
        return _cancel(host, now, peer, message)
    if isinstance(message, Attach):
        return _attach(host, now, peer, message)
    return []


def fold_state(host: AgentState, now: float, state: State) -> list[Effect]:
    """Take in the newly folded control stream."""
    host.state = state
    return tick(host, now)


def update_engine_state(
    host: AgentState, now: float, found: ObservedEngine, busy: bool, boot: str
) -> list[Effect]:
    """Take in the engine's answer to the question what it is.

    Args:
        host: The agent's state.
        now: The present time, monotonic seconds.
        found: What the engine is.
        busy: Whether it is in the middle of a change.
        boot: Name of this run of the engine; a new one means that it crashed.
    """
    host.executor.found = found
    host.executor.busy = busy
    host.executor.boot = boot
    return tick(host, now)


def postpone_order(host: AgentState, now: float) -> None:
    """Take in that nothing is known of an order; the engine is asked first."""
    orders.postpone_order(host.executor, now)


def end_order(
    host: AgentState, now: float, number: int, found: ObservedEngine | None, reason: str
) -> list[Effect]:
    """Take in how an order ended; without a reason it took effect."""
    if found is not None:
        host.executor.found = found
    if host.target is None:
        return []
    effects = orders.end_order(host.executor, host.target, number, now, reason)
    return effects + tick(host, now)


def stop(host: AgentState, now: float) -> list[Effect]:
    """Begin a planned stop: no new work, the queue goes back, runs go on."""
    host.is_stopping = True
    notices = [Send(peer, make_report(host, now, peer)) for peer in host.last_heard_at]
    return notices + tick(host, now)


def tick(host: AgentState, now: float) -> list[Effect]:
    """Do what time or a change of state makes due."""
    effects: list[Effect] = []
    effects += scheduling.return_queued_runs(host, now)
    effects += scheduling.remove_stale_runs(host, now)
    effects += scheduling.launch_queued_runs(host, now)
    effects += orders.decide_orders(host.executor, host.target, now, host.is_idle)
    return effects


def add_tokens(
    host: AgentState, now: float, key: tuple[str, int], texts: tuple[str, ...]
) -> list[Effect]:
    """Take in tokens from the engine and pass them on, numbered."""
    run = host.runs.get(key)
    if run is None or run.status != RUNNING:
        return []
    fresh = len(run.texts) - len(run.work.resumed)
    if fresh == 0:
        run.first_at = now
        seconds = now - run.started_at - host.speed.step_s
        admission.note_first_token(host.speed, seconds, run.work.prompt_tokens)
    first = len(run.texts)
    run.texts.extend(texts)
    return [
        Send(peer, Tokens(request=request, attempt=key[1], first=first, texts=texts))
        for peer, request in run.listeners
    ]


def finish_run(
    host: AgentState, now: float, key: tuple[str, int], finished: Finished
) -> list[Effect]:
    """Take in the end of a run.

    Args:
        host: The agent's state.
        now: The present time, monotonic seconds.
        key: Request id and attempt of the run.
        finished: The end; its ids, count and report are filled in here.
    """
    run = host.runs.get(key)
    if run is None or run.status != RUNNING:
        return []
    if run.work.kind == "call":
        admission.note_call(host.speed, now - run.started_at)
    else:
        admission.note_answer_length(host.speed, run.work.workspace, len(run.texts))
        steps = len(run.texts) - len(run.work.resumed) - 1
        admission.note_steps(host.speed, now - run.first_at, steps)
    effects = end_run(host, now, run, finished)
    if run.work.key:
        effects.append(AppendClaim(make_outcome(run, finished)))
    return effects + tick(host, now)


def fail_run(
    host: AgentState, now: float, key: tuple[str, int], ran: Ran, reason: str
) -> list[Effect]:
    """Take in that a run broke off, and what is known of its effect."""
    run = host.runs.get(key)
    if run is None or run.status != RUNNING:
        return []
    failed = Failed(request="", attempt=0, ran=ran, reason=reason)
    if ran == "no":
        host.started.pop(key, None)
    effects = end_run(host, now, run, failed)
    return effects + tick(host, now)


def update_prefixes(host: AgentState, prefixes: tuple[str, ...]) -> None:
    """Take in what the engine's cache holds, as far as its events tell."""
    if prefixes != host.prefixes:
        host.prefixes = prefixes
        host.prefix_version += 1


def _answer_hello(host: AgentState, now: float, peer: str, hello: Hello) -> Report:
    report = make_report(host, now, peer)
    if hello.prefix_version == host.prefix_version:
        return report
    # The long part of a report, sent only to entries that don't have it yet.
    prefixes = host.prefixes[-PREFIXES_REPORTED:]
    return msgspec.structs.replace(report, prefixes=prefixes)


def _take_offer(host: AgentState, now: float, peer: str, offer: Offer) -> list[Effect]:
    work = offer.work
    admission.note_offered_work(host.offered_load, now, work)
    refusal = _find_refusal(host, now, offer)
    if refusal.reason:
        refused = Refused(
            request=work.request,
            attempt=offer.attempt,
            reason=refusal.reason,
            retry_s=refusal.retry_s,
            report=make_report(host, now, peer),
        )
        return [Send(peer, refused)]
    run = Run(
        work=work,
        attempt=offer.attempt,
        status=QUEUED if work.repeatable else RESERVED,
        waiting=make_queued_request(host, now, offer),
        listeners={(peer, work.request): None},
        texts=list(work.resumed),
    )
    host.runs[(work.request, offer.attempt)] = run
    launched = scheduling.launch_queued_runs(host, now)
    accepted = Accepted(
        request=work.request,
        attempt=offer.attempt,
        reserved=not work.repeatable,
        report=make_report(host, now, peer),
    )
    return [Send(peer, accepted), *launched]


def _find_refusal(
    host: AgentState, now: float, offer: Offer
) -> admission.AdmissionDecision:
    work = offer.work
    if not host.is_serving:
        return admission.AdmissionDecision("leaving", scheduling.LEAVING_RETRY_S)
    if host.target.pool != work.pool:
        return admission.AdmissionDecision("pool")
    if work.adapter and work.adapter not in host.target.adapters:
        return admission.AdmissionDecision("pool")
    waiting = make_queued_request(host, now, offer)
    wait_s = estimate_wait(host, now, waiting)
    if is_long_prefill(waiting.prefill_s):
        wait_s = max(wait_s, estimate_prefill_wait(host, now, waiting))
    queue_s = host.configuration.policy.queue_s
    return admission.decide_admission(waiting, now, wait_s, queue_s)


def _start(host: AgentState, now: float, peer: str, start: Start) -> list[Effect]:
    run = host.runs.get((start.request, start.attempt))
    if run is None or run.status != RESERVED:
        refused = Refused(
            request=start.request, attempt=start.attempt, reason="expired"
        )
        return [Send(peer, refused)]
    run.status = QUEUED
    _remember_start(host, (start.request, start.attempt))
    return scheduling.launch_queued_runs(host, now)


def _remember_start(host: AgentState, key: tuple[str, int]) -> None:
    host.started[key] = None
    if len(host.started) > STARTED_KEPT:
        del host.started[next(iter(host.started))]
        host.has_evicted_starts = True


def _cancel(host: AgentState, now: float, peer: str, cancel: Cancel) -> list[Effect]:
    run = host.runs.get((cancel.run, cancel.attempt))
    if run is None or run.status == ENDED:
        return []
    drop_listener(run, peer, cancel.request)
    if run.listeners or must_run(run):
        return []
    run.cancel_at = now + cancel.grace_s
    return tick(host, now)


def _attach(host: AgentState, now: float, peer: str, attach: Attach) -> list[Effect]:
    run = _find_run(host, attach)
    if run is None or run.status == RESERVED or never_ran(run):
        return _deny(host, now, peer, attach, run)
    if run.status == ENDED and run.end is None:
        return [Send(peer, _answer_attach(attach, run.attempt, "unknown"))]
    run.listeners[(peer, attach.request)] = None
    run.cancel_at = None
    joined = Send(peer, _answer_attach(attach, run.attempt, "joined"))
    return [joined, *replay(run, peer, attach.request, attach.after)]


def _answer_attach(attach: Attach, attempt: int, status: str) -> Attached:
    return Attached(request=attach.request, attempt=attempt, status=status)


def _deny(
    host: AgentState, now: float, peer: str, attach: Attach, run: Run | None
) -> list[Effect]:
    """Answer that there is no run, and see to it that there never will be one.

    Only the incarnation that made the reservation can know. Without a reservation
    it starts nothing, so what it has not started so far never starts.
    """
    key = (attach.run, attach.attempt)
    knows = attach.incarnation == host.incarnation and not host.has_evicted_starts
    status = "not run" if knows and key not in host.started else "unknown"
    if run is not None and run.status == RESERVED:
        run.status = ENDED
        run.ended_at = now
    denied = Send(peer, _answer_attach(attach, attach.attempt, status))
    return [denied, *tick(host, now)]


def _find_run(host: AgentState, attach: Attach) -> Run | None:
    if attach.attempt >= 0:
        return host.runs.get((attach.run, attach.attempt))
    found = [
        run
        for run in host.runs.values()
        if run.work.request == attach.run and run.work.workspace == attach.workspace
    ]
    return found[-1] if found else None
