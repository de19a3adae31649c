"""Requests that may not be repeated: reserve, claim the key in the log, then start.

Nothing is started before the claim is seen to have won, so a claim that is given up
has no run. A start is sent once for an attempt and never again; after it, doubt is
answered with "outcome unknown".
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
    leave_target,
    refuse,
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
    """Look a key up before anything is reserved for it."""
    held = entry.claims.claimed.get(active.work.key)
    if held is None:
        return place(entry, active, now)
    if held.claim.digest != active.work.digest:
        text = "the idempotency key was used with another request"
        return refuse(entry, active, Refusal(422, "key_reused", text, "no"))
    if held.outcome is not None and held.outcome.whole:
        return _answer_again(entry, active, held.outcome)
    active.claim = held.claim
    attach = Attach(
        request=active.work.request,
        run=held.claim.request,
        attempt=held.claim.attempt,
        incarnation=held.claim.incarnation,
    )
    return send_attach(active, now, held.claim.target, attach)


def send_attach(
    active: ActiveRequest, now: float, target: str, attach: Attach
) -> list[Effect]:
    """Join a run that was begun before."""
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
    """Go on after a place was reserved."""
    if not active.work.key:
        # Without a key no other request can be meant for the same run, and this
        # entry sends one start: that alone keeps it to one run.
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
    """Send the one start of a reserved attempt."""
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
    """Go on after the claims stream moved for a flight's key."""
    held = entry.claims.claimed.get(active.work.key)
    is_own = held is not None and is_same_claim(held.claim, active.claim)
    if active.status == RELEASING:
        if is_own:
            return []
        active.claim = None
        return resolve_key(entry, active, now)
    if held is None:
        return []
    if is_own:
        return start_run(active, now, held.offset)
    return cancel_run(entry, active, 0.0) + resolve_key(entry, active, now)


def release_and_retry(
    entry: Dispatcher, active: ActiveRequest, now: float
) -> list[Effect]:
    """Begin again after an attempt that truly did not run."""
    leave_target(entry, active)
    active.is_started = False
    claim = active.claim
    if claim is None:
        return place(entry, active, now)
    abandon_claim(entry, claim)
    active.status = RELEASING
    active.status_since = now
    return [AppendClaim(_make_release(claim))]


def release_abandoned_claim(entry: Dispatcher, key: str) -> list[Effect]:
    """Free a key whose winning claim this entry had given up before a start."""
    held = entry.claims.claimed.get(key)
    if held is None or held.outcome is not None:
        return []
    if (held.claim.request, held.claim.attempt) not in entry.abandoned_claims:
        return []
    return [AppendClaim(_make_release(held.claim))]


def make_unknown_refusal(reason: str) -> Refusal:
    """Tell a caller that its request may have run, and that it is not run again."""
    text = f"the outcome is not known ({reason}); it is not run again for this key"
    return Refusal(504, "outcome_unknown", text, "unknown", RETRY_AFTER_S)


def _make_release(claim: Claim) -> Release:
    return Release(key=claim.key, request=claim.request, attempt=claim.attempt)


def _answer_again(entry: Dispatcher, active: ActiveRequest, outcome) -> list[Effect]:
    """Answer a caller's retry with the first run's answer."""
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
