"""Scheduling at a target: which run begins next, and which is not to begin at all."""

from robinspindle.core import admission
from robinspindle.core.effects import Abort, Effect, Launch, Send
from robinspindle.core.routing import is_long_prefill
from robinspindle.core.runs import (
    ENDED,
    KEEP_ENDED_S,
    QUEUED,
    RESERVATION_S,
    RESERVED,
    RUNNING,
    AgentState,
    Run,
    drop_listener,
    is_reading_long,
    make_report,
    must_run,
)
from robinspindle.messages import Refused

LEAVING_RETRY_S = 0.1
ENTRY_LOST_S = 10.0


def launch_queued_runs(host: AgentState, now: float) -> list[Effect]:
    """Give the engine as many waiting requests as it has free slots for."""
    effects: list[Effect] = []
    if host.section is None:
        return effects
    while True:
        run = _find_next(host)
        if run is None:
            return effects
        run.status = RUNNING
        run.started_at = now
        effects.append(Launch(run.work.request, run.attempt, run.work))


def _find_next(host: AgentState) -> Run | None:
    running = [run for run in host.runs.values() if run.status == RUNNING]
    shares: dict[str, int] = {}
    for run in running:
        shares[run.work.workspace] = shares.get(run.work.workspace, 0) + 1
    is_reading = any(is_reading_long(run) for run in running)
    ready = [
        run
        for run in host.runs.values()
        if run.status == QUEUED
        and len(running)
        < admission.count_usable_slots(host.section.slots, run.work.priority)
        and not (is_reading and is_long_prefill(run.waiting.prefill_s))
    ]
    if not ready:
        return None
    return min(ready, key=lambda run: admission.make_queue_key(run.waiting, shares))


def return_queued_runs(host: AgentState, now: float) -> list[Effect]:
    """Give queued work back: where the target leaves, or a promise can't be kept.

    Its entries place it elsewhere or refuse it at once, and it was truly not run.
    """
    effects: list[Effect] = []
    for run in list(host.runs.values()):
        if run.status != QUEUED:
            continue
        if not host.is_serving and run.work.repeatable:
            effects += _refuse_queued(host, now, run, "leaving", LEAVING_RETRY_S)
        elif admission.cannot_meet_deadline(run.waiting, now):
            retry_s = admission.add_retry_jitter(run.work.request, 0.0)
            effects += _refuse_queued(host, now, run, "late", retry_s)
    return effects


def _refuse_queued(
    host: AgentState, now: float, run: Run, reason: str, retry_s: float
) -> list[Effect]:
    run.status = ENDED
    run.ended_at = now
    host.started.pop((run.work.request, run.attempt), None)
    return [
        Send(
            peer,
            Refused(
                request=request,
                attempt=run.attempt,
                reason=reason,
                retry_s=retry_s,
                report=make_report(host, now, peer),
            ),
        )
        for peer, request in run.listeners
    ]


def remove_stale_runs(host: AgentState, now: float) -> list[Effect]:
    """Forget what ended long ago, and stop what nobody waits for any more."""
    effects: list[Effect] = []
    for key, run in list(host.runs.items()):
        _detach_lost(host, run, now)
        if run.status == ENDED and now - run.ended_at >= KEEP_ENDED_S:
            del host.runs[key]
        elif run.status == RESERVED and now - run.waiting.queued_at > RESERVATION_S:
            run.status = ENDED
            run.ended_at = now
        elif run.cancel_at is not None and now >= run.cancel_at and run.status != ENDED:
            if run.status == RUNNING:
                effects.append(Abort(*key))
            run.status = ENDED
            run.ended_at = now
    return effects


def _detach_lost(host: AgentState, run: Run, now: float) -> None:
    """Stop working for entries that have not been heard for long."""
    lost = [
        (peer, request)
        for peer, request in run.listeners
        if now - host.last_heard_at.get(peer, now) > ENTRY_LOST_S
    ]
    for peer, request in lost:
        drop_listener(run, peer, request)
    if lost and not run.listeners and not must_run(run):
        run.cancel_at = now
