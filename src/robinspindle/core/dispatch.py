"""The entry's decisions: place each request, follow it, and end it truthfully.

A `Dispatcher` stands in each entry. It is fed requests, messages, folded states and
claims, and answers with effects. Entries share nothing but the log. Time is told at
least each `TICK_S`; where it was not, the entry was held up and has heard nothing.
"""

from collections.abc import Callable

from robinspindle.core import membership, retries, routing, streams, watching
from robinspindle.core.claiming import (
    claim_key,
    consider_key,
    judge_claim,
    release_abandoned,
    release_and_retry,
    send_attach,
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
from robinspindle.core.flights import (
    ATTACHING,
    CLAIMING,
    COME_BACK_S,
    PLACING,
    RELEASING,
    RUNNING,
    Comeback,
    Dispatcher,
    Flight,
    Promise,
    drop,
    finish,
    give_up,
    leave_target,
)
from robinspindle.core.pauses import LEAST_LATE_S
from robinspindle.core.placing import list_peers, place
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
    promise: Promise,
    comeback: Comeback | None = None,
) -> list[Effect]:
    """Take in a request that passed its workspace's limits.

    Args:
        entry: The entry's state.
        now: The present time, monotonic seconds.
        work: The request.
        promise: What its caller was promised.
        comeback: The earlier stream that the caller comes back to, if it does.
    """
    _note_time(entry, now)
    due, first_due = now + promise.whole_s, now + promise.first_s
    flight = Flight(work, due, first_due, begun=now, since=now)
    entry.flights[work.request] = flight
    if entry.configuration is None:
        text = "no configuration is in force yet"
        refusal = Refusal(503, "starting", text, "no", COME_BACK_S)
        return give_up(entry, flight, refusal)
    retries.earn(entry.budget)
    if comeback is not None:
        flight.skip = comeback.after
        attach = Attach(
            request=work.request, run=comeback.run, workspace=work.workspace
        )
        return send_attach(flight, now, comeback.target, attach)
    if work.key:
        return consider_key(entry, flight, now)
    return place(entry, flight, now)


def hang_up(entry: Dispatcher, request: str) -> list[Effect]:
    """Take note that a caller is gone; it may come back to its stream."""
    flight = entry.flights.get(request)
    return drop(entry, flight, HANG_UP_GRACE_S) if flight else []


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
    flight = entry.flights.get(getattr(message, "request", ""))
    if flight is None or flight.target != peer or not _is_current(flight, message):
        return effects
    flight.event_at = now
    return effects + _HANDLERS[type(message)](entry, flight, now, message)


def fold_state(entry: Dispatcher, state: State) -> None:
    """Take in the newly folded control stream."""
    entry.state = state
    configuration = entry.configuration
    if configuration is None:
        return
    entry.budget.share = configuration.policy.retry_share
    policy = (configuration.policy.routing, configuration.fleet.entries)
    if policy != entry.policy:
        entry.policy = policy
        entry.choose = routing.make_policy(*policy)
    for name in [name for name in entry.evidence if name not in state.targets]:
        del entry.evidence[name]


def fold_claims(entry: Dispatcher, now: float, keys: set[str]) -> list[Effect]:
    """Take in that the claims of these keys may have changed."""
    _note_time(entry, now)
    effects: list[Effect] = []
    for key in keys:
        effects += release_abandoned(entry, key)
    waiting = [
        flight
        for flight in entry.flights.values()
        if flight.work.key in keys and flight.status in (CLAIMING, RELEASING)
    ]
    for flight in waiting:
        effects += judge_claim(entry, flight, now)
    return effects


def note_listed(entry: Dispatcher, leaving: set[str]) -> None:
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
    for flight in list(entry.flights.values()):
        effects += watching.check_flight(entry, flight, now)
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
    for flight in entry.flights.values():
        flight.since = min(now, flight.since + held_s)
        flight.event_at = min(now, flight.event_at + held_s)


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
        period_s = HELLO_S if entry.sent.get(name) else min(idle_s, MOST_HELLO_S)
        if now - evidence.hello_sent_at < period_s:
            continue
        evidence.hello_sent_at = now
        version = evidence.prefix_version
        hello = Hello(offset=entry.state.offset, prefix_version=version)
        effects.append(Send(name, hello))
    return effects


def _is_current(flight: Flight, message: AnyMessage) -> bool:
    if type(message) not in _HANDLERS:
        return False
    return flight.status == ATTACHING or message.attempt == flight.attempt


def _note_report(
    entry: Dispatcher, now: float, peer: str, report: Report
) -> list[Effect]:
    evidence = entry.evidence.setdefault(peer, membership.Evidence())
    last = evidence.report
    membership.note_report(evidence, now, report)
    if last is None or last.incarnation == report.incarnation:
        return []
    effects: list[Effect] = []
    for flight in list(entry.flights.values()):
        is_there = flight.target == peer and flight.status in (CLAIMING, RUNNING)
        if is_there and flight.incarnation != report.incarnation:
            effects += watching.lose(
                entry, flight, now, "the target's agent was restarted"
            )
    return effects


def _take_accepted(
    entry: Dispatcher, flight: Flight, now: float, message: Accepted
) -> list[Effect]:
    if flight.status != PLACING:
        return []
    if message.report is not None:
        flight.incarnation = message.report.incarnation
    if message.reserved:
        return claim_key(entry, flight, now)
    flight.status = RUNNING
    flight.since = now
    return [Deliver(flight.work.request, Started(flight.target, flight.run))]


def _take_refused(
    entry: Dispatcher, flight: Flight, now: float, message: Refused
) -> list[Effect]:
    if flight.status in (RELEASING, ATTACHING):
        return []
    flight.refused[flight.target] = message.retry_s
    flight.decode_target = ""
    if message.reason != "leaving":
        flight.offers += 1
    if flight.is_started:
        return release_and_retry(entry, flight, now)
    leave_target(entry, flight)
    return place(entry, flight, now)


def _take_tokens(
    entry: Dispatcher, flight: Flight, now: float, message: Tokens
) -> list[Effect]:
    if flight.status != RUNNING:
        return []
    fresh = streams.add_tokens(flight.buffer, message.first, message.texts)
    effects = _deliver_tokens(flight, fresh)
    return effects + _end_if_whole(entry, flight, "stop")


def _deliver_tokens(flight: Flight, fresh: list[str]) -> list[Effect]:
    first = len(flight.buffer.texts) - len(fresh)
    skipped = max(0, flight.skip - first)
    texts = tuple(fresh[skipped:])
    if not texts:
        return []
    return [Deliver(flight.work.request, Chunk(first + skipped, texts))]


def _take_finished(
    entry: Dispatcher, flight: Flight, now: float, message: Finished
) -> list[Effect]:
    if flight.status != RUNNING:
        return []
    membership.note_success(entry.evidence[flight.target])
    if flight.decode_target:
        leave_target(entry, flight)
        return place(entry, flight, now)
    if flight.work.kind == "call":
        ended = Ended(status=message.status, headers=message.headers, body=message.body)
        return finish(entry, flight, ended)
    flight.buffer.count = message.count
    return _end_if_whole(entry, flight, message.finish) or [watching.ask_again(flight)]


def _end_if_whole(entry: Dispatcher, flight: Flight, reason: str) -> list[Effect]:
    if not flight.buffer.is_whole:
        return []
    return finish(entry, flight, Ended(count=flight.buffer.count, finish=reason))


def _take_failed(
    entry: Dispatcher, flight: Flight, now: float, message: Failed
) -> list[Effect]:
    if flight.status != RUNNING:
        return []
    membership.note_failure(entry.evidence[flight.target], now)
    if flight.is_started and message.ran == "no":
        flight.refused[flight.target] = COME_BACK_S
        return release_and_retry(entry, flight, now)
    return watching.lose(entry, flight, now, message.reason)


def _take_attached(
    entry: Dispatcher, flight: Flight, now: float, message: Attached
) -> list[Effect]:
    if flight.status not in (ATTACHING, RUNNING):
        return []
    if message.status == "joined":
        return _join(flight, now, message)
    if message.status == "not run":
        return release_and_retry(entry, flight, now)
    if flight.status == ATTACHING and not flight.work.key:
        text = "the stream can't be resumed any more; send the request again"
        refusal = Refusal(409, "stream_gone", text, "unknown")
        return give_up(entry, flight, refusal)
    return watching.lose(entry, flight, now, "its target has no memory of it")


def _join(flight: Flight, now: float, message: Attached) -> list[Effect]:
    if flight.status == RUNNING:
        return []
    flight.status = RUNNING
    flight.since = now
    flight.attempt = message.attempt
    flight.is_started = bool(flight.work.key)
    return [Deliver(flight.work.request, Started(flight.target, flight.run))]


_HANDLERS: dict[type, Callable] = {
    Accepted: _take_accepted,
    Refused: _take_refused,
    Tokens: _take_tokens,
    Finished: _take_finished,
    Failed: _take_failed,
    Attached: _take_attached,
}
