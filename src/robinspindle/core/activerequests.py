"""Requests under way at an entry, and all that the entry knows."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from robinspindle.core import membership, retries, routing, tokenbuffer
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

RETRY_AFTER_S = 1.0
ABANDONED_KEPT = 10_000


@dataclass
class ActiveRequest:
    """A request that is under way.

    Attributes:
        work: The request.
        deadline: When its whole answer is due.
        first_token_deadline: When its first token is due.
        arrived_at: When it came.
        status: What it waits for.
        status_since: When that wait began.
        last_event_at: When the last event of its run came.
        target: Where the current run is.
        run: The run's request id: its own, or that of a run it joined.
        attempt: The run's attempt.
        incarnation: The agent's incarnation that reserved the run.
        attempts: Attempts of its own so far.
        refused_offers: Offers refused so far.
        refusals: Targets that refused it, with their seconds to come back.
        buffer: The answer so far.
        tokens_at_caller: Tokens that the caller has from an earlier stream.
        claim: The claim of its key that it goes by.
        is_started: Whether a start was sent for the run, or it joined a started one.
        may_have_run: Whether an attempt was lost that may have run.
        decode_target: The target that is to go on after the prefill stage.
    """

    work: Work
    deadline: float
    first_token_deadline: float
    arrived_at: float
    status: str = PLACING
    status_since: float = 0.0
    last_event_at: float = 0.0
    target: str = ""
    run: str = ""
    attempt: int = 0
    incarnation: str = ""
    attempts: int = 0
    refused_offers: int = 0
    refusals: dict[str, float] = field(default_factory=dict)
    buffer: tokenbuffer.TokenBuffer = field(default_factory=tokenbuffer.TokenBuffer)
    tokens_at_caller: int = 0
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
        active_by_target: Own requests under way at each target.
        active_requests: Requests under way by id.
        abandoned_claims: Claims given up before a start, by request and attempt.
        retry_budget: Retries that may still be made.
        choose_target: The routing policy in force.
        policy: Its name, and the number of entries it was made for.
        decided_at: When it last decided anything, None before.
    """

    name: str
    zone: str
    rng: random.Random
    state: State = field(default_factory=State)
    claims: ClaimTable = field(default_factory=ClaimTable)
    evidence: dict[str, membership.Evidence] = field(default_factory=dict)
    active_by_target: dict[str, set[str]] = field(default_factory=dict)
    active_requests: dict[str, ActiveRequest] = field(default_factory=dict)
    abandoned_claims: dict[tuple[str, int], None] = field(default_factory=dict)
    retry_budget: retries.RetryBudget = field(
        default_factory=lambda: retries.RetryBudget(0)
    )
    choose_target: Callable = routing.choose_least_in_flight
    policy: tuple[str, int] = ("", 0)
    decided_at: float | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return read_configuration(self.state)


@dataclass(frozen=True)
class LatencyObjective:
    """What a caller was promised.

    Attributes:
        first_s: Seconds to the first token.
        whole_s: Seconds to the whole answer.
    """

    first_s: float
    whole_s: float


@dataclass(frozen=True)
class StreamResumption:
    """A caller that comes back to its stream.

    Attributes:
        run: The request id of the stream.
        target: Where it ran.
        after: Tokens that the caller has.
    """

    run: str
    target: str
    after: int


def finish(entry: Dispatcher, active: ActiveRequest, ended: Ended) -> list[Effect]:
    """End a request with its whole answer."""
    _remove(entry, active)
    return [Deliver(active.work.request, ended)]


def refuse(entry: Dispatcher, active: ActiveRequest, refusal: Refusal) -> list[Effect]:
    """End a request with a refusal, at once."""
    effects = cancel_run(entry, active, 0.0)
    _remove(entry, active)
    return [*effects, Deliver(active.work.request, refusal)]


def drop(entry: Dispatcher, active: ActiveRequest, grace_s: float) -> list[Effect]:
    """End a request whose caller is gone."""
    effects = cancel_run(entry, active, grace_s)
    _remove(entry, active)
    return effects


def cancel_run(
    entry: Dispatcher, active: ActiveRequest, grace_s: float
) -> list[Effect]:
    """Leave the current run; a claim that waits for its verdict is abandoned."""
    leave_target(entry, active)
    if not active.target:
        return []
    if active.status == CLAIMING:
        abandon_claim(entry, active.claim)
    cancel = Cancel(
        request=active.work.request,
        run=active.run,
        attempt=active.attempt,
        grace_s=grace_s,
    )
    return [Send(active.target, cancel)]


def abandon_claim(entry: Dispatcher, claim: Claim) -> None:
    """Remember that no start is ever sent for a claim."""
    entry.abandoned_claims[(claim.request, claim.attempt)] = None
    if len(entry.abandoned_claims) > ABANDONED_KEPT:
        del entry.abandoned_claims[next(iter(entry.abandoned_claims))]


def leave_target(entry: Dispatcher, active: ActiveRequest) -> None:
    """Count a request no more among the own work at its target."""
    entry.active_by_target.get(active.target, set()).discard(active.work.request)


def get_run_status(active: ActiveRequest) -> str:
    """Say what is known of a request's effect so far."""
    if active.buffer.texts:
        return "partial"
    return "unknown" if active.may_have_run else "no"


def _remove(entry: Dispatcher, active: ActiveRequest) -> None:
    leave_target(entry, active)
    entry.active_requests.pop(active.work.request, None)
