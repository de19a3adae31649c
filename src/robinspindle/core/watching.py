"""Watching requests under way: what was lost goes on elsewhere, or ends truthfully."""

import msgspec

from robinspindle.core import membership, retries, streams
from robinspindle.core.claiming import explain_unknown, release_and_retry
from robinspindle.core.effects import Effect, Refusal, Send
from robinspindle.core.flights import (
    ATTACHING,
    CLAIMING,
    COME_BACK_S,
    PLACING,
    RELEASING,
    RUNNING,
    Dispatcher,
    Flight,
    cancel_run,
    give_up,
    tell_ran,
)
from robinspindle.core.placing import place
from robinspindle.messages import Attach

OFFER_S = 1.0
CLAIM_S = 3.0
ATTACH_S = 2.0
STALL_S = 1.0
GAP_S = 0.05
LOST_S = 1.5
MIN_ATTEMPT_S = 0.05
HARD_LIMIT_S = 120.0


def lose(entry: Dispatcher, flight: Flight, now: float, reason: str) -> list[Effect]:
    """Go on after the current run was lost: elsewhere, or say what is known."""
    if flight.is_started or (flight.work.key and flight.status == ATTACHING):
        return give_up(entry, flight, explain_unknown(reason))
    effects = cancel_run(entry, flight, 0.0)
    if flight.status == CLAIMING:
        return effects + release_and_retry(entry, flight, now)
    flight.may_have_run |= flight.work.repeatable
    flight.decode_target = ""
    flight.refused[flight.target] = COME_BACK_S
    if not retries.spend(entry.budget, flight.tries, flight.due - now, MIN_ATTEMPT_S):
        text = f"the target was lost ({reason}) and no retry is left"
        refusal = Refusal(502, "target_lost", text, tell_ran(flight), COME_BACK_S)
        return effects + give_up(entry, flight, refusal)
    resumed = tuple(flight.buffer.texts)
    flight.buffer = streams.TokenBuffer(texts=list(resumed))
    flight.work = msgspec.structs.replace(flight.work, resumed=resumed)
    return effects + place(entry, flight, now)


def check_flight(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    """Do what is due for one request: nothing waits for ever."""
    waited = now - flight.since
    if flight.status == PLACING and waited > OFFER_S:
        return lose(entry, flight, now, "the offer was not answered")
    if flight.status in (CLAIMING, RELEASING) and waited > CLAIM_S:
        text = "the log service can't be reached, so the request was not run"
        refusal = Refusal(503, "log_unavailable", text, "no", COME_BACK_S)
        return give_up(entry, flight, refusal)
    if flight.status == ATTACHING and waited > ATTACH_S:
        return lose(entry, flight, now, "its target does not answer")
    if flight.status == RUNNING:
        return _check_run(entry, flight, now)
    return []


def _check_run(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    evidence = entry.evidence.get(flight.target)
    if evidence is None or evidence.heard_at is None:
        return lose(entry, flight, now, "the target is no longer configured")
    if now - evidence.heard_at > LOST_S:
        membership.note_failure(evidence, now)
        return lose(entry, flight, now, "the target fell silent")
    if now > max(flight.due, flight.begun + HARD_LIMIT_S):
        return give_up(entry, flight, _explain_too_long(flight))
    if now - flight.event_at > (GAP_S if flight.buffer.has_gap else STALL_S):
        flight.event_at = now
        return [ask_again(flight)]
    return []


def _explain_too_long(flight: Flight) -> Refusal:
    ran = "unknown" if flight.is_started else "partial"
    text = f"no whole answer within {HARD_LIMIT_S:.0f} seconds"
    return Refusal(504, "too_long", text, ran, COME_BACK_S)


def ask_again(flight: Flight) -> Effect:
    """Ask after a run that says nothing: its events or its start may be lost."""
    attach = Attach(
        request=flight.work.request,
        run=flight.run,
        attempt=flight.attempt,
        after=len(flight.buffer.texts),
        incarnation=flight.incarnation if flight.is_started else "",
    )
    return Send(flight.target, attach)
