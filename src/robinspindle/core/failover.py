"""Failover: checks active requests for timeouts and handles lost runs.

A lost run is retried at another target where that is safe. Otherwise the request ends
with a refusal that states whether it may have run.
"""

import msgspec

from robinspindle.core import membership, retries, tokenbuffer
from robinspindle.core.activerequests import (
    ATTACHING,
    CLAIMING,
    PLACING,
    RELEASING,
    RETRY_AFTER_S,
    RUNNING,
    ActiveRequest,
    Dispatcher,
    cancel_run,
    get_run_status,
    refuse,
)
from robinspindle.core.effects import Effect, Refusal, Send
from robinspindle.core.idempotency import make_unknown_refusal, release_and_retry
from robinspindle.core.placement import can_move, place
from robinspindle.messages import Attach

OFFER_TIMEOUT_S = 1.0
"""Timeout of the answer to an offer, seconds."""

CLAIM_TIMEOUT_S = 3.0
"""Timeout of the result of a claim or release, seconds."""

ATTACH_TIMEOUT_S = 2.0
"""Timeout of the answer to an attach, seconds."""

STALL_QUERY_S = 1.0
"""A run without events for this long is queried, seconds."""

GAP_QUERY_S = 0.05
"""A run with missing tokens and no events for this long is queried, seconds."""

TARGET_TIMEOUT_S = 1.5
"""The runs of a target without messages for this long count as lost, seconds. Those
that can't run at another target count as lost at their deadline, not before."""

MIN_ATTEMPT_S = 0.05
"""No retry is made with less time left before the deadline, seconds."""

MAX_REQUEST_S = 120.0
"""A running request may exceed its deadline up to this age, seconds."""


def handle_lost_run(
    entry: Dispatcher, active: ActiveRequest, now: float, reason: str
) -> list[Effect]:
    """Retry a request whose run was lost, or refuse it if a retry is not allowed.

    A request that may not be repeated is not retried once its start was sent. The
    tokens that were already delivered are not generated again.

    Args:
        entry: The entry's state.
        active: The request.
        now: The current time, monotonic seconds.
        reason: Why the run counts as lost, for the caller.
    """
    if active.is_started or (active.work.key and active.status == ATTACHING):
        return refuse(entry, active, make_unknown_refusal(reason))
    effects = cancel_run(entry, active, 0.0)
    if active.status == CLAIMING:
        return effects + release_and_retry(entry, active, now)
    active.may_have_run |= active.work.repeatable
    active.decode_target = ""
    active.refusals[active.target] = RETRY_AFTER_S
    if not retries.take_retry(
        entry.retry_budget, active.attempts, active.deadline - now, MIN_ATTEMPT_S
    ):
        text = f"the target was lost ({reason}) and no retry is left"
        refusal = Refusal(
            502, "target_lost", text, get_run_status(active), RETRY_AFTER_S
        )
        return effects + refuse(entry, active, refusal)
    resumed = tuple(active.buffer.texts)
    active.buffer = tokenbuffer.TokenBuffer(texts=list(resumed))
    active.work = msgspec.structs.replace(active.work, resumed=resumed)
    return effects + place(entry, active, now)


def check_timeouts(
    entry: Dispatcher, active: ActiveRequest, now: float
) -> list[Effect]:
    """Check one request for timeouts, so that no request waits forever."""
    waited = now - active.status_since
    if active.status == PLACING and waited > OFFER_TIMEOUT_S:
        return handle_lost_run(entry, active, now, "the offer was not answered")
    if active.status in (CLAIMING, RELEASING) and waited > CLAIM_TIMEOUT_S:
        text = "the log service can't be reached, so the request was not run"
        refusal = Refusal(503, "log_unavailable", text, "no", RETRY_AFTER_S)
        return refuse(entry, active, refusal)
    if active.status == ATTACHING and waited > ATTACH_TIMEOUT_S:
        return handle_lost_run(entry, active, now, "its target does not answer")
    if active.status == RUNNING:
        return _check_run(entry, active, now)
    return []


def _check_run(entry: Dispatcher, active: ActiveRequest, now: float) -> list[Effect]:
    evidence = entry.evidence.get(active.target)
    if evidence is None or evidence.heard_at is None:
        return handle_lost_run(entry, active, now, "the target is no longer configured")
    if now - evidence.heard_at > TARGET_TIMEOUT_S and not _must_wait(
        entry, active, now
    ):
        membership.note_failure(evidence, now)
        return handle_lost_run(entry, active, now, "the target fell silent")
    if now > max(active.deadline, active.arrived_at + MAX_REQUEST_S):
        return refuse(entry, active, _make_timeout_refusal(active))
    if now - active.last_event_at > (
        GAP_QUERY_S if active.buffer.has_gap else STALL_QUERY_S
    ):
        active.last_event_at = now
        return [send_run_query(active)]
    return []


def _must_wait(entry: Dispatcher, active: ActiveRequest, now: float) -> bool:
    """Whether a request waits for a silent target, as it can't run at another one."""
    left_s = active.deadline - now
    if left_s < 0:
        return False
    may_retry = retries.may_retry(
        entry.retry_budget, active.attempts, left_s, MIN_ATTEMPT_S
    )
    return active.is_started or not may_retry or not can_move(entry, active, now)


def _make_timeout_refusal(active: ActiveRequest) -> Refusal:
    ran = "unknown" if active.is_started else "partial"
    text = f"no whole answer within {MAX_REQUEST_S:.0f} seconds"
    return Refusal(504, "too_long", text, ran, RETRY_AFTER_S)


def send_run_query(active: ActiveRequest) -> Effect:
    """Query the agent about a run, because its start or its events may be lost."""
    attach = Attach(
        request=active.work.request,
        run=active.run,
        attempt=active.attempt,
        after=len(active.buffer.texts),
        incarnation=active.incarnation if active.is_started else "",
    )
    return Send(active.target, attach)
