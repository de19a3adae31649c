"""Scheduling at a target: starts queued runs and returns, expires or aborts others."""

from robinspindle.core import admission
from robinspindle.core.effects import Abort, Effect, Launch, Send
from robinspindle.core.routing import is_long_prefill
from robinspindle.core.runs import (
    ENDED,
    ENDED_RUN_RETENTION_S,
    QUEUED,
    RESERVATION_TIMEOUT_S,
    RESERVED,
    RUNNING,
    AgentState,
    Run,
    drop_listener,
    is_prefilling_long_prompt,
    make_report,
    must_complete,
)
from robinspindle.messages import Refused

LEAVING_RETRY_S = 0.1
"""Retry delay of a request that a stopping target refuses, seconds."""

ENTRY_TIMEOUT_S = 10.0
"""An entry without messages for this long no longer gets events of runs, seconds."""


def launch_queued_runs(agent: AgentState, now: float) -> list[Effect]:
    """Launch queued runs as long as slots are free."""
    effects: list[Effect] = []
    if agent.section is None:
        return effects
    while True:
        run = _find_next(agent)
        if run is None:
            return effects
        run.status = RUNNING
        run.started_at = now
        effects.append(Launch(run.work.request, run.attempt, run.work))


def _find_next(agent: AgentState) -> Run | None:
    running = [run for run in agent.runs.values() if run.status == RUNNING]
    runs_by_workspace: dict[str, int] = {}
    for run in running:
        runs_by_workspace[run.work.workspace] = (
            runs_by_workspace.get(run.work.workspace, 0) + 1
        )
    is_prefilling_long = any(is_prefilling_long_prompt(run) for run in running)
    ready = [
        run
        for run in agent.runs.values()
        if run.status == QUEUED
        and len(running)
        < admission.count_usable_slots(agent.section.slots, run.work.priority)
        and not (is_prefilling_long and is_long_prefill(run.queued_request.prefill_s))
    ]
    if not ready:
        return None
    return min(
        ready,
        key=lambda run: admission.make_queue_key(run.queued_request, runs_by_workspace),
    )


def return_queued_runs(agent: AgentState, now: float) -> list[Effect]:
    """Return queued runs to their entries.

    This concerns all repeatable runs if the target takes no new work, and runs that can
    no longer meet their deadlines. The entries place the requests at other targets or
    refuse them immediately. The returned runs have certainly not run.
    """
    effects: list[Effect] = []
    for run in list(agent.runs.values()):
        if run.status != QUEUED:
            continue
        if not agent.is_serving and run.work.repeatable:
            effects += _refuse_queued(agent, now, run, "leaving", LEAVING_RETRY_S)
        elif admission.cannot_meet_deadline(run.queued_request, now):
            retry_s = admission.add_retry_jitter(run.work.request, 0.0)
            effects += _refuse_queued(agent, now, run, "late", retry_s)
    return effects


def _refuse_queued(
    agent: AgentState, now: float, run: Run, reason: str, retry_s: float
) -> list[Effect]:
    run.status = ENDED
    run.ended_at = now
    agent.started.pop((run.work.request, run.attempt), None)
    return [
        Send(
            peer,
            Refused(
                request=request,
                attempt=run.attempt,
                reason=reason,
                retry_s=retry_s,
                report=make_report(agent, now, peer),
            ),
        )
        for peer, request in run.listeners
    ]


def remove_stale_runs(agent: AgentState, now: float) -> list[Effect]:
    """Remove old ended runs, expire reservations and abort runs without listeners."""
    effects: list[Effect] = []
    for key, run in list(agent.runs.items()):
        _detach_silent_entries(agent, run, now)
        if run.status == ENDED and now - run.ended_at >= ENDED_RUN_RETENTION_S:
            del agent.runs[key]
        elif (
            run.status == RESERVED
            and now - run.queued_request.queued_at > RESERVATION_TIMEOUT_S
        ):
            run.status = ENDED
            run.ended_at = now
        elif run.cancel_at is not None and now >= run.cancel_at and run.status != ENDED:
            if run.status == RUNNING:
                effects.append(Abort(*key))
            run.status = ENDED
            run.ended_at = now
    return effects


def _detach_silent_entries(agent: AgentState, run: Run, now: float) -> None:
    """Remove the listeners of entries that have timed out."""
    timed_out = [
        (peer, request)
        for peer, request in run.listeners
        if now - agent.last_heard_at.get(peer, now) > ENTRY_TIMEOUT_S
    ]
    for peer, request in timed_out:
        drop_listener(run, peer, request)
    if timed_out and not run.listeners and not must_complete(run):
        run.cancel_at = now
