"""Requests under way at an entry, and all that the entry knows."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from robinspindle.core import membership, retries, routing, streams
from robinspindle.core.claims import Claim, ClaimTable
from robinspindle.core.documents import Configuration
from robinspindle.core.effects import Deliver, Effect, Ended, Refusal, Send
from robinspindle.core.state import State, read_configuration
from robinspindle.messages import Cancel, Work

PLACING = "placing"
CLAIMING = "claiming"
RELEASING = "releasing"
ATTACHING = "attaching"
RUNNING = "running"

COME_BACK_S = 1.0
ABANDONED_KEPT = 10_000


@dataclass
class Flight:
    """A request that is under way.

    Attributes:
        work: The request.
        due: When its whole answer is due.
        first_due: When its first token is due.
        begun: When it came.
        status: What it waits for.
        since: When that wait began.
        event_at: When the last event of its run came.
        target: Where the current run is.
        run: The run's request id: its own, or that of a run it joined.
        attempt: The run's attempt.
        incarnation: The agent's incarnation that reserved the run.
        tries: Attempts of its own so far.
        offers: Offers refused so far.
        refused: Targets that refused it, with their seconds to come back.
        buffer: The answer so far.
        skip: Tokens that the caller has from an earlier stream.
        claim: The claim of its key that it goes by.
        is_started: Whether a start was sent for the run, or it joined a started one.
        may_have_run: Whether an attempt was lost that may have run.
        decode_target: The target that is to go on after the prefill stage.
    """

    work: Work
    due: float
    first_due: float
    begun: float
    status: str = PLACING
    since: float = 0.0
    event_at: float = 0.0
    target: str = ""
    run: str = ""
    attempt: int = 0
    incarnation: str = ""
    tries: int = 0
    offers: int = 0
    refused: dict[str, float] = field(default_factory=dict)
    buffer: streams.TokenBuffer = field(default_factory=streams.TokenBuffer)
    skip: int = 0
    claim: Claim | None = None
    is_started: bool = False
    may_have_run: bool = False
    decode_target: str = ""


@dataclass
class Dispatcher:
    """All that an entry knows.

    Attributes:
        name: The entry's name.
        zone: Its availability zone.
        rng: Source of random choices.
        state: The folded control stream.
        claims: The folded claims stream.
        evidence: What is known of each target.
        sent: Own requests under way at each target.
        flights: Requests under way by id.
        abandoned: Claims given up before a start, by request and attempt.
        budget: Retries that may still be made.
        choose: The routing policy in force.
        policy: Its name, and the number of entries it was made for.
        decided_at: When it last decided anything, None before.
    """

    name: str
    zone: str
    rng: random.Random
    state: State = field(default_factory=State)
    claims: ClaimTable = field(default_factory=ClaimTable)
    evidence: dict[str, membership.Evidence] = field(default_factory=dict)
    sent: dict[str, set[str]] = field(default_factory=dict)
    flights: dict[str, Flight] = field(default_factory=dict)
    abandoned: dict[tuple[str, int], None] = field(default_factory=dict)
    budget: retries.RetryBudget = field(default_factory=lambda: retries.RetryBudget(0))
    choose: Callable = routing.choose_least_in_flight
    policy: tuple[str, int] = ("", 0)
    decided_at: float | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return read_configuration(self.state)


@dataclass(frozen=True)
class Promise:
    """What a caller was promised.

    Attributes:
        first_s: Seconds to the first token.
        whole_s: Seconds to the whole answer.
    """

    first_s: float
    whole_s: float


@dataclass(frozen=True)
class Comeback:
    """A caller that comes back to its stream.

    Attributes:
        run: The request id of the stream.
        target: Where it ran.
        after: Tokens that the caller has.
    """

    run: str
    target: str
    after: int


def finish(entry: Dispatcher, flight: Flight, ended: Ended) -> list[Effect]:
    """End a request with its whole answer."""
    _remove(entry, flight)
    return [Deliver(flight.work.request, ended)]


def give_up(entry: Dispatcher, flight: Flight, refusal: Refusal) -> list[Effect]:
    """End a request with a refusal, at once."""
    effects = cancel_run(entry, flight, 0.0)
    _remove(entry, flight)
    return [*effects, Deliver(flight.work.request, refusal)]


def drop(entry: Dispatcher, flight: Flight, grace_s: float) -> list[Effect]:
    """End a request whose caller is gone."""
    effects = cancel_run(entry, flight, grace_s)
    _remove(entry, flight)
    return effects


def cancel_run(entry: Dispatcher, flight: Flight, grace_s: float) -> list[Effect]:
    """Leave the current run; a claim that waits for its verdict is abandoned."""
    leave_target(entry, flight)
    if not flight.target:
        return []
    if flight.status == CLAIMING:
        abandon_claim(entry, flight.claim)
    cancel = Cancel(
        request=flight.work.request,
        run=flight.run,
        attempt=flight.attempt,
        grace_s=grace_s,
    )
    return [Send(flight.target, cancel)]


def abandon_claim(entry: Dispatcher, claim: Claim) -> None:
    """Remember that no start is ever sent for a claim."""
    entry.abandoned[(claim.request, claim.attempt)] = None
    if len(entry.abandoned) > ABANDONED_KEPT:
        del entry.abandoned[next(iter(entry.abandoned))]


def leave_target(entry: Dispatcher, flight: Flight) -> None:
    """Count a request no more among the own work at its target."""
    entry.sent.get(flight.target, set()).discard(flight.work.request)


def tell_ran(flight: Flight) -> str:
    """Say what is known of a request's effect so far."""
    if flight.buffer.texts:
        return "partial"
    return "unknown" if flight.may_have_run else "no"


def _remove(entry: Dispatcher, flight: Flight) -> None:
    leave_target(entry, flight)
    entry.flights.pop(flight.work.request, None)
