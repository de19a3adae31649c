"""Decisions of an entry: places each request, tracks its run and ends it.

Each entry has one `Dispatcher`. The functions here handle requests, messages from
agents, replicated state and claims, and return effects. Entries share only the log.
One of the functions must be called at least every `TICK_S`. After a much longer
interval the entry's process is assumed to have been paused and to have received no
messages in that time.
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
    drop_request,
    finish,
    refuse,
    remove_from_target,
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
from robinspindle.core.pauses import MIN_LATE_S
from robinspindle.core.placement import find_addresses, list_peers, place
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
"""Interval between calls of `tick`, seconds."""

MIN_HEARTBEAT_S = 0.25
"""Shortest interval between heartbeats to one target, seconds."""

MAX_HEARTBEAT_S = 1.2
"""Longest interval between heartbeats to one target, seconds. It is short enough that
a healthy target doesn't time out."""

PEERS_AT_FULL_RATE = 12
"""Up to this number of targets, idle ones get heartbeats at the shortest interval."""

DISCONNECT_GRACE_S = 5.0
"""How long a run continues after its caller disconnected, seconds."""


def submit(
    entry: Dispatcher,
    now: float,
    work: Work,
    objective: LatencyObjective,
    resumption: StreamResumption | None = None,
) -> list[Effect]:
    """Start a request that passed its workspace's limits.

    Args:
        entry: The entry's state.
        now: The current time, monotonic seconds.
        work: The request.
        objective: The request's latency objective.
        resumption: The stream that the caller resumes, or None for a new request.
    """
    _compensate_pause(entry, now)
    deadline, first_token_deadline = (
        now + objective.answer_s,
        now + objective.first_token_s,
    )
    active = ActiveRequest(
        work, deadline, first_token_deadline, arrived_at=now, status_since=now
    )
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
    """Handle the disconnect of a caller.

    It has `DISCONNECT_GRACE_S` to resume a stream of which it got something; work that
    it can't resume ends at once.
    """
    active = entry.active_requests.get(request)
    if active is None:
        return []
    grace_s = DISCONNECT_GRACE_S if active.buffer.texts else 0.0
    return drop_request(entry, active, grace_s)


def receive(
    entry: Dispatcher, now: float, peer: str, message: AnyMessage
) -> list[Effect]:
    """Handle a message from a target's agent."""
    _compensate_pause(entry, now)
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


def apply_state(entry: Dispatcher, state: State) -> None:
    """Apply a new replicated state from the control stream."""
    addresses = find_addresses(entry)
    entry.state = state
    configuration = entry.configuration
    if configuration is None:
        return
    entry.retry_budget.share = configuration.policy.retry_share
    policy = (configuration.policy.routing, configuration.fleet.entries)
    if policy != entry.policy_key:
        entry.policy_key = policy
        entry.choose_target = routing.make_policy(*policy)
    busy = entry.busy_targets
    kept = busy | state.targets.keys()
    for name in [name for name in entry.evidence if name not in kept]:
        del entry.evidence[name]
    entry.former_addresses = {
        name: address for name, address in addresses.items() if name in busy
    }


def apply_claim_changes(entry: Dispatcher, now: float, keys: set[str]) -> list[Effect]:
    """Handle possible changes in the claims of these keys."""
    _compensate_pause(entry, now)
    effects: list[Effect] = []
    for key in keys:
        effects += release_abandoned_claim(entry, key)
    pending = [
        active
        for active in entry.active_requests.values()
        if active.work.key in keys and active.status in (CLAIMING, RELEASING)
    ]
    for active in pending:
        effects += handle_claim_result(entry, active, now)
    return effects


def apply_vm_list(entry: Dispatcher, leaving: set[str]) -> None:
    """Apply the platform's list of VMs: the names of those that are leaving."""
    configuration = entry.configuration
    if configuration is None:
        return
    for name, section in configuration.targets.items():
        evidence = entry.evidence.setdefault(name, membership.Evidence())
        evidence.listed_leaving = (section.vm or name) in leaving


def tick(entry: Dispatcher, now: float) -> list[Effect]:
    """Send the heartbeats that are due and check the timeouts of all requests."""
    _compensate_pause(entry, now)
    effects: list[Effect] = []
    effects += _send_heartbeats(entry, now)
    for active in list(entry.active_requests.values()):
        effects += failover.check_timeouts(entry, active, now)
    return effects


def _compensate_pause(entry: Dispatcher, now: float) -> None:
    """Extend the timeouts if the entry was paused since its last decision.

    Messages that arrived during the pause may not have been read yet, so the pause
    doesn't count towards the timeouts of targets and offers. The deadlines of requests
    are not extended, because the callers have waited during the pause.
    """
    previous, entry.last_decision_at = entry.last_decision_at, now
    if previous is None or now - previous < TICK_S + MIN_LATE_S:
        return
    paused_s = now - previous
    for evidence in entry.evidence.values():
        membership.note_process_pause(evidence, now, paused_s)
    for active in entry.active_requests.values():
        active.status_since = min(now, active.status_since + paused_s)
        active.last_event_at = min(now, active.last_event_at + paused_s)


def _send_heartbeats(entry: Dispatcher, now: float) -> list[Effect]:
    """Send the heartbeats that are due.

    Targets with active requests of this entry get them at the shortest interval. For
    idle targets the interval grows with the number of targets, but stays short enough
    that a healthy target doesn't time out.
    """
    peers = list_peers(entry)
    idle_s = MIN_HEARTBEAT_S * max(1.0, len(peers) / PEERS_AT_FULL_RATE)
    effects: list[Effect] = []
    for name in peers:
        evidence = entry.evidence.setdefault(name, membership.Evidence())
        period_s = (
            MIN_HEARTBEAT_S
            if entry.active_by_target.get(name)
            else min(idle_s, MAX_HEARTBEAT_S)
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
        is_affected = active.target == peer and active.status in (CLAIMING, RUNNING)
        if is_affected and active.incarnation != report.incarnation:
            effects += failover.handle_lost_run(
                entry, active, now, "the target's agent was restarted"
            )
    return effects


def _handle_accepted(
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


def _handle_refused(
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
    remove_from_target(entry, active)
    return place(entry, active, now)


def _handle_tokens(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Tokens
) -> list[Effect]:
    if active.status != RUNNING:
        return []
    new_texts = tokenbuffer.add_tokens(active.buffer, message.first, message.texts)
    effects = _deliver_tokens(active, new_texts)
    return effects + _end_if_whole(entry, active, "stop")


def _deliver_tokens(active: ActiveRequest, new_texts: list[str]) -> list[Effect]:
    first = len(active.buffer.texts) - len(new_texts)
    skipped = max(0, active.tokens_at_caller - first)
    texts = tuple(new_texts[skipped:])
    if not texts:
        return []
    return [Deliver(active.work.request, Chunk(first + skipped, texts))]


def _handle_finished(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Finished
) -> list[Effect]:
    if active.status != RUNNING:
        return []
    membership.note_success(entry.evidence[active.target])
    if active.decode_target:
        remove_from_target(entry, active)
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


def _handle_failed(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Failed
) -> list[Effect]:
    if active.status != RUNNING:
        return []
    membership.note_failure(entry.evidence[active.target], now)
    if active.is_started and message.ran == "no":
        active.refusals[active.target] = RETRY_AFTER_S
        return release_and_retry(entry, active, now)
    return failover.handle_lost_run(entry, active, now, message.reason)


def _handle_attached(
    entry: Dispatcher, active: ActiveRequest, now: float, message: Attached
) -> list[Effect]:
    if active.status not in (ATTACHING, RUNNING):
        return []
    if message.status == "joined":
        return _join_run(active, now, message)
    if message.status == "not run":
        return release_and_retry(entry, active, now)
    if active.status == ATTACHING and not active.work.key:
        text = "the stream can't be resumed any more; send the request again"
        refusal = Refusal(409, "stream_gone", text, "unknown")
        return refuse(entry, active, refusal)
    return failover.handle_lost_run(
        entry, active, now, "its target has no memory of it"
    )


def _join_run(active: ActiveRequest, now: float, message: Attached) -> list[Effect]:
    if active.status == RUNNING:
        return []
    active.status = RUNNING
    active.status_since = now
    active.attempt = message.attempt
    active.is_started = bool(active.work.key)
    return [Deliver(active.work.request, Started(active.target, active.run))]


_HANDLERS: dict[type, Callable] = {
    Accepted: _handle_accepted,
    Refused: _handle_refused,
    Tokens: _handle_tokens,
    Finished: _handle_finished,
    Failed: _handle_failed,
    Attached: _handle_attached,
}
