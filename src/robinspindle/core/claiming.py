"""Requests that may not be repeated: reserve, claim the key in the log, then start.

Nothing is started before the claim is seen to have won, so a claim that is given up
has no run. A start is sent once for an attempt and never again; after it, doubt is
answered with "outcome unknown".
"""

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
from robinspindle.core.flights import (
    ATTACHING,
    CLAIMING,
    COME_BACK_S,
    RELEASING,
    RUNNING,
    Dispatcher,
    Flight,
    abandon_claim,
    cancel_run,
    finish,
    give_up,
    leave_target,
)
from robinspindle.core.placing import place
from robinspindle.messages import Attach, Start


def consider_key(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    """Look a key up before anything is reserved for it."""
    held = entry.claims.held.get(flight.work.key)
    if held is None:
        return place(entry, flight, now)
    if held.claim.digest != flight.work.digest:
        text = "the idempotency key was used with another request"
        return give_up(entry, flight, Refusal(422, "key_reused", text, "no"))
    if held.outcome is not None and held.outcome.whole:
        return _answer_again(entry, flight, held.outcome)
    flight.claim = held.claim
    attach = Attach(
        request=flight.work.request,
        run=held.claim.request,
        attempt=held.claim.attempt,
        incarnation=held.claim.incarnation,
    )
    return send_attach(flight, now, held.claim.target, attach)


def send_attach(
    flight: Flight, now: float, target: str, attach: Attach
) -> list[Effect]:
    """Join a run that was begun before."""
    flight.status = ATTACHING
    flight.since = now
    flight.event_at = now
    flight.target = target
    flight.run = attach.run
    flight.attempt = attach.attempt
    flight.incarnation = attach.incarnation
    flight.is_started = False
    return [Send(target, attach)]


def claim_key(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    """Go on after a place was reserved."""
    if not flight.work.key:
        # Without a key no other request can be meant for the same run, and this
        # entry sends one start: that alone keeps it to one run.
        return start_run(flight, now, -1)
    flight.status = CLAIMING
    flight.since = now
    flight.claim = Claim(
        key=flight.work.key,
        request=flight.work.request,
        attempt=flight.attempt,
        digest=flight.work.digest,
        target=flight.target,
        incarnation=flight.incarnation,
    )
    return [AppendClaim(flight.claim)]


def start_run(flight: Flight, now: float, claim: int) -> list[Effect]:
    """Send the one start of a reserved attempt."""
    flight.status = RUNNING
    flight.since = now
    flight.event_at = now
    flight.is_started = True
    request = flight.work.request
    start = Start(request=request, attempt=flight.attempt, claim=claim)
    return [
        Send(flight.target, start),
        Deliver(request, Started(flight.target, flight.run)),
    ]


def judge_claim(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    """Go on after the claims stream moved for a flight's key."""
    held = entry.claims.held.get(flight.work.key)
    is_own = held is not None and is_same_claim(held.claim, flight.claim)
    if flight.status == RELEASING:
        if is_own:
            return []
        flight.claim = None
        return consider_key(entry, flight, now)
    if held is None:
        return []
    if is_own:
        return start_run(flight, now, held.offset)
    return cancel_run(entry, flight, 0.0) + consider_key(entry, flight, now)


def release_and_retry(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    """Begin again after an attempt that truly did not run."""
    leave_target(entry, flight)
    flight.is_started = False
    claim = flight.claim
    if claim is None:
        return place(entry, flight, now)
    abandon_claim(entry, claim)
    flight.status = RELEASING
    flight.since = now
    return [AppendClaim(_make_release(claim))]


def release_abandoned(entry: Dispatcher, key: str) -> list[Effect]:
    """Free a key whose winning claim this entry had given up before a start."""
    held = entry.claims.held.get(key)
    if held is None or held.outcome is not None:
        return []
    if (held.claim.request, held.claim.attempt) not in entry.abandoned:
        return []
    return [AppendClaim(_make_release(held.claim))]


def explain_unknown(reason: str) -> Refusal:
    """Tell a caller that its request may have run, and that it is not run again."""
    text = f"the outcome is not known ({reason}); it is not run again for this key"
    return Refusal(504, "outcome_unknown", text, "unknown", COME_BACK_S)


def _make_release(claim: Claim) -> Release:
    return Release(key=claim.key, request=claim.request, attempt=claim.attempt)


def _answer_again(entry: Dispatcher, flight: Flight, outcome) -> list[Effect]:
    """Answer a caller's retry with the first run's answer."""
    effects: list[Effect] = []
    ended = Ended(
        count=outcome.count,
        finish=outcome.finish,
        status=outcome.status,
        headers=outcome.headers,
        body=outcome.body,
    )
    if flight.work.kind == "generate":
        chunk = Chunk(0, (outcome.body.decode(),))
        effects.append(Deliver(flight.work.request, chunk))
    return effects + finish(entry, flight, ended)
