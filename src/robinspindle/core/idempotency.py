"""At-most-once requests: reserve a slot, claim the key in the log, then start the run.

A run is started only after the entry has read in the log that its claim has won, so an
abandoned claim has no run. The start of an attempt is sent once and never repeated. If
its outcome is in doubt afterwards, the request is refused as ``outcome_unknown``.
"""

from robinspindle.core.activerequests import (
    ATTACHING,
    CLAIMING,
    RELEASING,
    RETRY_AFTER_S,
    RUNNING,
    ActiveRequest,
    Dispatcher,
    abandon_claim,
    cancel_run,
    finish,
    refuse,
    remove_from_target,
)
from robinspindle.core.claims import Claim, Release, is_same_claim
from robinspindle.core.effects import (
    AppendClaim,
    Chunk,
    Deliver,
    Effect,
    Ended,
    Refusal,
    Send,
    Started,
)
from robinspindle.core.placement import place
from robinspindle.messages import Attach, Start


def resolve_key(entry: Dispatcher, active: ActiveRequest, now: float) -> list[Effect]:
    """Look up an idempotency key before a slot is reserved for it.

    A free key leads to an offer, a stored answer is delivered again, and a run in
    progress is joined. A key that was used with a different body is refused.
    """
    claimed_key = entry.claims.claimed.get(active.work.key)
    if claimed_key is None:
        return place(entry, active, now)
    if claimed_key.claim.digest != active.work.digest:
        text = "the idempotency key was used with another request"
        return refuse(entry, active, Refusal(422, "key_reused", text, "no"))
    if claimed_key.outcome is not None and claimed_key.outcome.whole:
        return _deliver_stored_answer(entry, active, claimed_key.outcome)
    active.claim = claimed_key.claim
    attach = Attach(
        request=active.work.request,
        run=claimed_key.claim.request,
        attempt=claimed_key.claim.attempt,
        incarnation=claimed_key.claim.incarnation,
    )
    return send_attach(active, now, claimed_key.claim.target, attach)


def send_attach(
    active: ActiveRequest, now: float, target: str, attach: Attach
) -> list[Effect]:
    """Ask a target to let the request join an earlier run.

    Args:
        active: The request.
        now: The current time, monotonic seconds.
        target: The target of the run.
        attach: The message to its agent.
    """
    active.status = ATTACHING
    active.status_since = now
    active.last_event_at = now
    active.target = target
    active.run = attach.run
    active.attempt = attach.attempt
    active.incarnation = attach.incarnation
    active.is_started = False
    return [Send(target, attach)]


def claim_key(entry: Dispatcher, active: ActiveRequest, now: float) -> list[Effect]:
    """Claim the request's key after a slot was reserved."""
    if not active.work.key:
        # Without a key no other request can refer to the same run. At most one run
        # is ensured because this entry sends a single start.
        return start_run(active, now, -1)
    active.status = CLAIMING
    active.status_since = now
    active.claim = Claim(
        key=active.work.key,
        request=active.work.request,
        attempt=active.attempt,
        digest=active.work.digest,
        target=active.target,
        incarnation=active.incarnation,
    )
    return [AppendClaim(active.claim)]


def start_run(active: ActiveRequest, now: float, claim: int) -> list[Effect]:
    """Send the single start of a reserved attempt.

    Args:
        active: The request.
        now: The current time, monotonic seconds.
        claim: Offset of the winning claim, -1 for a request without a key.
    """
    active.status = RUNNING
    active.status_since = now
    active.last_event_at = now
    active.is_started = True
    request = active.work.request
    start = Start(request=request, attempt=active.attempt, claim=claim)
    return [
        Send(active.target, start),
        Deliver(request, Started(active.target, active.run)),
    ]


def handle_claim_result(
    entry: Dispatcher, active: ActiveRequest, now: float
) -> list[Effect]:
    """Proceed after a possible change in the claims of a request's key.

    The request starts its run if its own claim has won. If another claim has won, it
    releases its reservation and resolves the key again.
    """
    claimed_key = entry.claims.claimed.get(active.work.key)
    is_own_claim = claimed_key is not None and is_same_claim(
        claimed_key.claim, active.claim
    )
    if active.status == RELEASING:
        if is_own_claim:
            return []
        active.claim = None
        return resolve_key(entry, active, now)
    if claimed_key is None:
        return []
    if is_own_claim:
        return start_run(active, now, claimed_key.offset)
    return cancel_run(entry, active, 0.0) + resolve_key(entry, active, now)


def release_and_retry(
    entry: Dispatcher, active: ActiveRequest, now: float
) -> list[Effect]:
    """Place a request again after an attempt that certainly did not run.

    Its claim, if it has one, is released first.
    """
    remove_from_target(entry, active)
    active.is_started = False
    claim = active.claim
    if claim is None:
        return place(entry, active, now)
    abandon_claim(entry, claim)
    active.status = RELEASING
    active.status_since = now
    return [AppendClaim(_make_release(claim))]


def release_abandoned_claim(entry: Dispatcher, key: str) -> list[Effect]:
    """Release a key whose winning claim this entry abandoned before a start."""
    claimed_key = entry.claims.claimed.get(key)
    if claimed_key is None or claimed_key.outcome is not None:
        return []
    if (
        claimed_key.claim.request,
        claimed_key.claim.attempt,
    ) not in entry.abandoned_claims:
        return []
    return [AppendClaim(_make_release(claimed_key.claim))]


def make_unknown_refusal(reason: str) -> Refusal:
    """Make the refusal of a request that may have run and is not run again."""
    text = f"the outcome is not known ({reason}); it is not run again for this key"
    return Refusal(504, "outcome_unknown", text, "unknown", RETRY_AFTER_S)


def _make_release(claim: Claim) -> Release:
    return Release(key=claim.key, request=claim.request, attempt=claim.attempt)


def _deliver_stored_answer(
    entry: Dispatcher, active: ActiveRequest, outcome
) -> list[Effect]:
    """Answer a caller's retry with the stored answer of the first run."""
    effects: list[Effect] = []
    ended = Ended(
        count=outcome.count,
        finish=outcome.finish,
        status=outcome.status,
        headers=outcome.headers,
        body=outcome.body,
    )
    if active.work.kind == "generate":
        chunk = Chunk(0, (outcome.body.decode(),))
        effects.append(Deliver(active.work.request, chunk))
    return effects + finish(entry, active, ended)
