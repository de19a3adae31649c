"""The entry's decisions: place each request, follow it, and end it truthfully.

A `Dispatcher` stands in each entry. It is fed requests, messages, folded states and
claims, and answers with effects. Entries share nothing but the log. Time is told at
least each `TICK_S`; where it was not, the entry was held up and has heard nothing.
"""

from collections.abc import Callable

from robinspindle.core import failover, membership, retries, routing, tokenbuffer
from robinspindle.core.activerequests import (
    ATTACHING,
    CLAIMING,
    PLACING,
    RELEASING,
    RETRY_AFTER_S,
    RUNNING,
    ActiveRequest,
    Dispatcher,
    LatencyObjective,
    StreamResumption,
    drop,
    finish,
    leave_target,
    refuse,
)
from robinspindle.core.effects import (
    Chunk,
    Deliver,
    Effect,
    Ended,
    Refusal,
    Send,
    Started,
)
from robinspindle.core.idempotency import (
    claim_key,
    handle_claim_result,
    release_abandoned_claim,
    release_and_retry,
    resolve_key,
    send_attach,
)
from robinspindle.core.pauses import LEAST_LATE_S
from robinspindle.core.placement import list_peers, place
from robinspindle.core.state import State
from robinspindle.messages import (
    Accepted,
    AnyMessage,
    Attach,
    Attached,
    Failed,
    Finished,
    Hello,
    Refused,
    Report,
    Tokens,
    Work,
)

TICK_S = 0.05
"""Interval at which `tick` is to be called, seconds."""

HELLO_S = 0.25
MOST_HELLO_S = 1.2
PEERS_AT_FULL_RATE = 12
HANG_UP_GRACE_S = 5.0


def submit(
    entry: Dispatcher,
    now: float,
    work: Work,
    promise: LatencyObjective,
    resumption: StreamResumption | None = None,
) -> list[Effect]:
    """Take in a request that passed its workspace's limits.

    Args:
        entry: The entry's state.
        now: The present time, monotonic seconds.
        work: The request.
        promise: What its caller was promised.
        resumption: The earlier stream that the caller comes back to, if it does.
    """
    _note_time(entry, now)
    due, first_due = now + promise.whole_s, now + promise.first_s
    active = ActiveRequest(work, due, first_due, arrived_at=now, status_since=now)
    entry.active_requests[work.request] = active
    if entry.configuration is None:
        text = "no configuration is in force yet"
        refusal = Refusal(503, "starting", text, "no", RETRY_AFTER_S)
        return refuse(entry, active, refusal)
    retries.add_first_attempt(entry.retry_budget)
    if resumption is not None:
        active.tokens_at_caller = resumption.after
        attach = Attach(
            request=work.request, run=resumption.run, workspace=work.workspace
        )
        return send_attach(active, now, resumption.target, attach)
    if work.key:
        return resolve_key(entry, active, now)
    return place(entry, active, now)


def handle_disconnect(entry: Dispatcher, request: str) -> list[Effect]:
    """Take note that a caller is gone; it may come back to its stream."""
    active = entry.active_requests.get(request)
    return drop(entry, active, HANG_UP_GRACE_S) if active else []


def receive(
    entry: Dispatcher, now: float, peer: str, message: AnyMessage
) -> list[Effect]:
    """Decide what to do about a message from a target's agent."""
    _note_time(entry, now)
    evidence = entry.evidence.setdefault(peer, membership.Evidence())
    evidence.heard_at = now
    if isinstance(message, Report):
        return _note_report(entry, now, peer, message)
    effects: list[Effect] = []
    report = getattr(message, "report", None)
    if report is not None:
        effects += _note_report(entry, now, peer, report)
    active = entry.active_requests.get(getattr(message, "request", ""))
    if active is None or active.target != peer or not _is_current(active, message):
        return effects
    active.last_event_at = now
    return effects + _HANDLERS[type(message)](entry, active, now, message)


def fold_state(entry: Dispatcher, state: State) -> None:
    """Take in the newly folded control stream."""
    entry.state = state
    configuration = entry.configuration
    if configuration is None:
        return
    entry.retry_budget.share = configuration.policy.retry_share
    policy = (configuration.policy.routing, configuration.fleet.entries)
    if policy != entry.policy:
        entry.policy = policy
        entry.choose_target = routing.make_policy(*policy)
    for name in [name for name in entry.evidence if name not in state.targets]:
        del entry.evidence[name]


def fold_claims(entry: Dispatcher, now: float, keys: set[str]) -> list[Effect]:
    """Take in that the claims of these keys may have changed."""
    _note_time(entry, now)
    effects: list[Effect] = []
    for key in keys:
        effects += release_abandoned_claim(entry, key)
    waiting = [
        active
        for active in entry.active_requests.values()
        if active.work.key in keys and active.status in (CLAIMING, RELEASING)
    ]
    for active in waiting:
        effects += handle_claim_result(entry, active, now)
    return effects


def apply_vm_list(entry: Dispatcher, leaving: set[str]) -> None:
    """Take in the platform's list: the VMs that it names as leaving."""
    configuration = entry.configuration
    if configuration is None:
        return
    for name, section in configuration.targets.items():
        evidence = entry.evidence.setdefault(name, membership.Evidence())
        evidence.listed_leaving = (section.vm or name) in leaving


def tick(entry: Dispatcher, now: float) -> list[Effect]:
    """Do what time makes due."""
    _note_time(entry, now)
    effects: list[Effect] = []
    effects += _greet(entry, now)
    for active in list(entry.active_requests.values()):
        effects += failover.check_timeouts(entry, active, now)
    return effects


def _note_time(entry: Dispatcher, now: float) -> None:
    """Find out whether the entry was held up since it last decided anything.

    What came meanwhile may not have been read yet: a target that was not heard is not
    silent by that, nor an offer unanswered. Deadlines stay, they are the callers'.
    """
    before, entry.decided_at = entry.decided_at, now
    if before is None or now - before < TICK_S + LEAST_LATE_S:
        return
    held_s = now - before
    for evidence in entry.evidence.values():
        membership.note_process_pause(evidence, now, held_s)
    for active in entry.active_requests.values():
        active.status_since = min(now, active.status_since + held_s)
        active.last_event_at = min(now, active.last_event_at + held_s)


def _greet(entry: Dispatcher, now: float) -> list[Effect]:
    """Greet the targets that are due: often where own requests are under way.

    Who is idle is greeted the less often the more targets there are, but never so
    rarely that it would seem silent.
    """
    peers = list_peers(entry)
    idle_s = HELLO_S * max(1.0, len(peers) / PEERS_AT_FULL_RATE)
    effects: list[Effect] = []
    for name in peers:
        evidence = entry.evidence.setdefault(name, membership.Evidence())
        period_s = (
            HELLO_S if entry.active_by_target.get(name) else min(idle_s, MOST_HELLO_S)
        )
        if now - evidence.hello_sent_at < period_s:
            continue
        evidence.hello_sent_at = now
        version = evidence.prefix_version
        hello = Hello(offset=entry.state.offset, prefix_version=version)
        effects.append(Send(name, hello))
    return effects


def _is_current(active: ActiveRequest, message: AnyMessage) -> bool:
    if type(message) not in _HANDLERS:
        return False
    return active.status == ATTACHING or message.attempt == active.attempt


def _note_report(
    entry: Dispatcher, now: float, peer: str, report: Report
) -> list[Effect]:
    evidence = entry.evidence.setdefault(peer, membership.Evidence())
    last = evidence.report
    membership.note_report(evidence, now, report)
    if last is None or last.incarnation == report.incarnation:
        return []
    effects: list[Effect] = []
    for active in list(entry.active_requests.values()):
        is_there = active.target == peer and active.status in (CLAIMING, RUNNING)
        if is_there and active.incarnation != report.incarnation:
            effects += failover.handle_lost_run(
                entry, active, now, "the target's agent was restarted"
            )
    return effects


def _take_accepted(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Accepted
) -> list[Effect]:
    if active.status != PLACING:
        return []
    if message.report is not None:
        active.incarnation = message.report.incarnation
    if message.reserved:
        return claim_key(entry, active, now)
    active.status = RUNNING
    active.status_since = now
    return [Deliver(active.work.request, Started(active.target, active.run))]


def _take_refused(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Refused
) -> list[Effect]:
    if active.status in (RELEASING, ATTACHING):
        return []
    active.refusals[active.target] = message.retry_s
    active.decode_target = ""
    if message.reason != "leaving":
        active.refused_offers += 1
    if active.is_started:
        return release_and_retry(entry, active, now)
    leave_target(entry, active)
    return place(entry, active, now)


def _take_tokens(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Tokens
) -> list[Effect]:
    if active.status != RUNNING:
        return []
    fresh = tokenbuffer.add_tokens(active.buffer, message.first, message.texts)
    effects = _deliver_tokens(active, fresh)
    return effects + _end_if_whole(entry, active, "stop")


def _deliver_tokens(active: ActiveRequest, fresh: list[str]) -> list[Effect]:
    first = len(active.buffer.texts) - len(fresh)
    skipped = max(0, active.tokens_at_caller - first)
    texts = tuple(fresh[skipped:])
    if not texts:
        return []
    return [Deliver(active.work.request, Chunk(first + skipped, texts))]


def _take_finished(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Finished
) -> list[Effect]:
    if active.status != RUNNING:
        return []
    membership.note_success(entry.evidence[active.target])
    if active.decode_target:
        leave_target(entry, active)
        return place(entry, active, now)
    if active.work.kind == "call":
        ended = Ended(status=message.status, headers=message.headers, body=message.body)
        return finish(entry, active, ended)
    active.buffer.count = message.count
    return _end_if_whole(entry, active, message.finish) or [
        failover.send_run_query(active)
    ]


def _end_if_whole(
    entry: Dispatcher, active: ActiveRequest, reason: str
) -> list[Effect]:
    if not active.buffer.is_whole:
        return []
    return finish(entry, active, Ended(count=active.buffer.count, finish=reason))


def _take_failed(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Failed
) -> list[Effect]:
    if active.status != RUNNING:
        return []
    membership.note_failure(entry.evidence[active.target], now)
    if active.is_started and message.ran == "no":
        active.refusals[active.target] = RETRY_AFTER_S
        return release_and_retry(entry, active, now)
    return failover.handle_lost_run(entry, active, now, message.reason)


def _take_attached(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Attached
) -> list[Effect]:
    if active.status not in (ATTACHING, RUNNING):
        return []
    if message.status == "joined":
        return _join(active, now, message)
    if message.status == "not run":
        return release_and_retry(entry, active, now)
    if active.status == ATTACHING and not active.work.key:
        text = "the stream can't be resumed any more; send the request again"
        refusal = Refusal(409, "stream_gone", text, "unknown")
        return refuse(entry, active, refusal)
    return failover.handle_lost_run(
        entry, active, now, "its target has no memory of it"
    )


def _join(active: ActiveRequest, now: float, message: Attached) -> list[Effect]:
    if active.status == RUNNING:
        return []
    active.status = RUNNING
    active.status_since = now
    active.attempt = message.attempt
    active.is_started = bool(active.work.key)
    return [Deliver(active.work.request, Started(active.target, active.run))]


_HANDLERS: dict[type, Callable] = {
    Accepted: _take_accepted,
    Refused: _take_refused,
    Tokens: _take_tokens,
    Finished: _take_finished,
    Failed: _take_failed,
    Attached: _take_attached,
}
