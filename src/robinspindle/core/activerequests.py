"""Active requests of an entry, and the state from which the entry decides."""

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
"""Retry delay for a caller where no better estimate exists, seconds."""

MAX_ABANDONED_CLAIMS = 10_000
"""Abandoned claims that an entry remembers; the oldest are evicted."""


@dataclass
class ActiveRequest:
    """A request in progress at an entry. All times are monotonic seconds.

    Attributes:
        work: The request.
        deadline: Deadline of the complete answer.
        first_token_deadline: Deadline of the first token.
        arrived_at: When the request arrived.
        status: What the request waits for: ``placing`` (answer to an offer),
            ``claiming`` (result of its idempotency claim), ``releasing`` (release of
            its claim), ``attaching`` (answer to an attach) or ``running``.
        status_since: When the status was set.
        last_event_at: When the last event of the run arrived.
        target: The target of the current run.
        run: Request id of the run: the request's own, or that of a run it joined.
        attempt: Attempt number of the run.
        incarnation: The agent's incarnation that reserved the run.
        attempts: Number of attempts that this request has made.
        refused_offers: Number of refused offers, except those of stopping targets.
        refusals: Retry delay in seconds, by target that refused or lost the request.
        buffer: The answer so far.
        tokens_at_caller: Number of tokens that the caller has from an earlier stream.
        claim: The idempotency claim that the request relies on.
        is_started: Whether a start was sent for the run, or the request joined a run
            that was started under its key.
        may_have_run: Whether an attempt that was lost may have run.
        decode_target: The target for the decode stage after the prefill stage.
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
    """State of an entry.

    Attributes:
        name: The entry's name.
        zone: The entry's availability zone.
        rng: Source of randomness.
        state: Replicated state, from the control stream.
        claims: Idempotency claims, from the claims stream.
        evidence: Health of each target, as observed by this entry.
        former_addresses: Addresses of the agents of targets with active requests that
            the configuration has dropped.
        active_by_target: Ids of the entry's own active requests, by target.
        active_requests: Active requests by id.
        abandoned_claims: Claims that were abandoned before a start was sent, by
            request and attempt. The values are unused; the order is that of insertion.
        retry_budget: Budget of retries.
        choose_target: The routing policy in use.
        policy_key: Name of the routing policy and the number of entries that it was
            made for.
        last_decision_at: When the entry last decided anything, monotonic seconds, or
            None before its first decision.
    """

    name: str
    zone: str
    rng: random.Random
    state: State = field(default_factory=State)
    claims: ClaimTable = field(default_factory=ClaimTable)
    evidence: dict[str, membership.Evidence] = field(default_factory=dict)
    former_addresses: dict[str, str] = field(default_factory=dict)
    active_by_target: dict[str, set[str]] = field(default_factory=dict)
    active_requests: dict[str, ActiveRequest] = field(default_factory=dict)
    abandoned_claims: dict[tuple[str, int], None] = field(default_factory=dict)
    retry_budget: retries.RetryBudget = field(
        default_factory=lambda: retries.RetryBudget(0)
    )
    choose_target: Callable = routing.choose_least_in_flight
    policy_key: tuple[str, int] = ("", 0)
    last_decision_at: float | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return read_configuration(self.state)

    @property
    def busy_targets(self) -> set[str]:
        """The targets of the active requests."""
        return {active.target for active in self.active_requests.values()}


@dataclass(frozen=True)
class LatencyObjective:
    """Latency objective of a request.

    Attributes:
        first_token_s: Time to the first token, seconds.
        answer_s: Time to the complete answer, seconds.
    """

    first_token_s: float
    answer_s: float


@dataclass(frozen=True)
class StreamResumption:
    """A caller's request to resume a stream that was interrupted.

    Attributes:
        run: Request id of the stream.
        target: The target of its run.
        after: Number of tokens that the caller already has.
    """

    run: str
    target: str
    after: int


def finish(entry: Dispatcher, active: ActiveRequest, ended: Ended) -> list[Effect]:
    """End a request with its complete answer."""
    _remove(entry, active)
    return [Deliver(active.work.request, ended)]


def refuse(entry: Dispatcher, active: ActiveRequest, refusal: Refusal) -> list[Effect]:
    """End a request with a refusal, and cancel its run immediately."""
    effects = cancel_run(entry, active, 0.0)
    _remove(entry, active)
    return [*effects, Deliver(active.work.request, refusal)]


def drop_request(
    entry: Dispatcher, active: ActiveRequest, grace_s: float
) -> list[Effect]:
    """End a request whose caller has disconnected.

    Args:
        entry: The entry's state.
        active: The request.
        grace_s: How long its run continues for a resumption, seconds.
    """
    effects = cancel_run(entry, active, grace_s)
    _remove(entry, active)
    return effects


def cancel_run(
    entry: Dispatcher, active: ActiveRequest, grace_s: float
) -> list[Effect]:
    """Cancel the current run, and abandon a claim whose result is not known yet."""
    remove_from_target(entry, active)
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
    """Record that a start will never be sent for a claim."""
    entry.abandoned_claims[(claim.request, claim.attempt)] = None
    if len(entry.abandoned_claims) > MAX_ABANDONED_CLAIMS:
        del entry.abandoned_claims[next(iter(entry.abandoned_claims))]


def remove_from_target(entry: Dispatcher, active: ActiveRequest) -> None:
    """Remove a request from the entry's own requests at its target."""
    entry.active_by_target.get(active.target, set()).discard(active.work.request)


def get_run_status(active: ActiveRequest) -> str:
    """Return whether a request has run so far: no, unknown or partial."""
    if active.buffer.texts:
        return "partial"
    return "unknown" if active.may_have_run else "no"


def _remove(entry: Dispatcher, active: ActiveRequest) -> None:
    remove_from_target(entry, active)
    entry.active_requests.pop(active.work.request, None)
