"""Runs at a target, and the state of the target's agent."""

from dataclasses import dataclass, field

import msgspec

from robinspindle.core import admission, orders, routing
from robinspindle.core.claims import MAX_STORED_BODY_BYTES, Outcome
from robinspindle.core.documents import Configuration, TargetSection
from robinspindle.core.effects import Effect, Send
from robinspindle.core.state import State, Target, read_configuration
from robinspindle.messages import Failed, Finished, Offer, Report, Tokens, Work

RESERVED = "reserved"
QUEUED = "queued"
RUNNING = "running"
ENDED = "ended"

RESERVATION_TIMEOUT_S = 5.0
"""A reservation without a start expires after this time, seconds."""

ENDED_RUN_RETENTION_S = 30.0
"""How long an ended run is kept, so that its events can be replayed, seconds."""

ORDINARY_PRIORITY = 9
"""Priority for which the reported waits are estimated."""


@dataclass
class Run:
    """One attempt at a request, at this target. All times are monotonic seconds.

    Attributes:
        work: The request.
        attempt: Number of the attempt.
        status: ``reserved``, ``queued``, ``running`` or ``ended``.
        queued_request: Deadlines and estimates of the request, for the queue.
        listeners: Recipients of the run's events: an entry, and the request id under
            which it knows the run. The values are unused.
        texts: Tokens so far, beginning with those delivered before this run.
        started_at: When the run was sent to the engine or service, 0 before.
        first_token_at: When the first token arrived, 0 before.
        ended_at: When the run ended, 0 before.
        cancel_at: When the run is cancelled because it has no listeners, or None.
        end: The last message of the run, or None if the run has not ended, never ran or
            was aborted.
    """

    work: Work
    attempt: int
    status: str
    queued_request: admission.QueuedRequest
    listeners: dict[tuple[str, str], None]
    texts: list[str] = field(default_factory=list)
    started_at: float = 0.0
    first_token_at: float = 0.0
    ended_at: float = 0.0
    cancel_at: float | None = None
    end: Finished | Failed | None = None


@dataclass
class AgentState:
    """State of an agent.

    Attributes:
        name: The target's name.
        incarnation: Id of this lifetime of the agent's process.
        state: Replicated state, from the control stream.
        executor: Progress of the orders to the engine.
        speed: Measured speed of the target.
        offered_load: Recently offered work.
        runs: Runs by request id and attempt.
        prefixes: Digests of the prompt prefixes in the engine's KV cache. The engine's
            cache events arrive with a delay.
        prefix_version: Version of ``prefixes``, 0 for the initial empty list.
        is_stopping: Whether the agent's process was asked to stop.
        last_heard_at: When the last message from each entry arrived, monotonic seconds.
        started: Request id and attempt of each start of a request that may not be
            repeated. The values are unused; the order is that of insertion.
        has_evicted_starts: Whether an item of ``started`` was ever evicted.
    """

    name: str
    incarnation: str
    state: State = field(default_factory=State)
    executor: orders.Executor = None
    speed: admission.TargetSpeed = field(default_factory=admission.TargetSpeed)
    offered_load: admission.OfferedLoad = field(default_factory=admission.OfferedLoad)
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    prefixes: tuple[str, ...] = ()
    prefix_version: int = 0
    is_stopping: bool = False
    last_heard_at: dict[str, float] = field(default_factory=dict)
    started: dict[tuple[str, int], None] = field(default_factory=dict)
    has_evicted_starts: bool = False

    def __post_init__(self):
        if self.executor is None:
            self.executor = orders.Executor(self.name, self.incarnation)

    @property
    def target(self) -> Target | None:
        """The replicated state of the target."""
        return self.state.targets.get(self.name)

    @property
    def section(self) -> TargetSection | None:
        """The target's configuration."""
        configuration = self.configuration
        return configuration.targets.get(self.name) if configuration else None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return read_configuration(self.state)

    @property
    def is_serving(self) -> bool:
        """Whether new requests are accepted."""
        target = self.target
        return (
            not self.is_stopping
            and target is not None
            and self.section is not None
            and target.serving
            and self.executor.found is not None
            and not self.executor.busy
        )

    @property
    def is_idle(self) -> bool:
        """Whether no run is reserved, queued or running."""
        return all(run.status == ENDED for run in self.runs.values())

    @property
    def can_exit(self) -> bool:
        """Whether the process was asked to stop and has no work in progress."""
        return self.is_stopping and self.is_idle and self.executor.active_order < 0


def make_report(agent: AgentState, now: float, peer: str) -> Report:
    """Make the report of the target's load for an entry."""
    active = list_active(agent)
    running = [run for run in active if run.status == RUNNING]
    return Report(
        target=agent.name,
        incarnation=agent.incarnation,
        serving=agent.is_serving,
        stopping=agent.is_stopping,
        running=len(running),
        queued=len(active) - len(running),
        own=sum(1 for run in active if any(name == peer for name, _ in run.listeners)),
        wait_s=estimate_wait(agent, now, None),
        prefill_wait_s=estimate_prefill_wait(agent, now, None),
        own_prefill_s=_sum_own_pending_prefill(active, now, peer),
        prefill_s=agent.speed.fastest_prefill_s,
        step_s=agent.speed.fastest_step_s,
        slots=agent.section.slots if agent.section else 1,
        prefix_version=agent.prefix_version,
        prompt_rate=admission.compute_rate(
            agent.offered_load.prompt_tokens, agent.offered_load, now
        ),
        token_rate=admission.compute_rate(
            agent.offered_load.answer_tokens, agent.offered_load, now
        ),
        offset=agent.state.offset,
    )


def make_queued_request(
    agent: AgentState, now: float, offer: Offer
) -> admission.QueuedRequest:
    """Convert an offer into a `QueuedRequest`, with estimates for this target."""
    return admission.QueuedRequest(
        work=offer.work,
        deadline=now + offer.left_s,
        first_token_deadline=now + offer.first_left_s,
        queued_at=now,
        service_s=admission.estimate_service(agent.speed, offer.work),
        prefill_s=admission.estimate_prefill(agent.speed, offer.work),
    )


def estimate_wait(
    agent: AgentState, now: float, new_request: admission.QueuedRequest | None
) -> float:
    """Estimate the wait of a new request for a slot, seconds.

    Without a request, the estimate is for one of ordinary priority.
    """
    active = list_active(agent)
    remaining = [
        max(0.0, run.started_at + run.queued_request.service_s - now)
        for run in active
        if run.status == RUNNING
    ]
    priority = _find_priority(new_request)
    slots = agent.section.slots if agent.section else 1
    return admission.estimate_wait(
        _list_ahead(active, priority),
        remaining,
        admission.count_usable_slots(slots, priority),
    )


def estimate_prefill_wait(
    agent: AgentState, now: float, new_request: admission.QueuedRequest | None
) -> float:
    """Estimate the wait of a long prompt for its prefill, seconds.

    Without a request, the estimate is for one of ordinary priority.
    """
    active = list_active(agent)
    pending_s = sum(
        max(0.0, run.started_at + run.queued_request.prefill_s - now)
        for run in active
        if is_prefilling_long_prompt(run)
    )
    priority = _find_priority(new_request)
    return admission.estimate_prefill_wait(_list_ahead(active, priority), pending_s)


def _find_priority(request: admission.QueuedRequest | None) -> int:
    """Find the priority of a request; without one, the ordinary priority."""
    return request.work.priority if request else ORDINARY_PRIORITY


def _sum_own_pending_prefill(active: list[Run], now: float, peer: str) -> float:
    """Sum the remaining prefill time of an entry's own long prompts, seconds."""
    pending_s = 0.0
    for run in active:
        if not routing.is_long_prefill(run.queued_request.prefill_s):
            continue
        if not any(name == peer for name, _ in run.listeners):
            continue
        if run.status != RUNNING:
            pending_s += run.queued_request.prefill_s
        elif is_prefilling_long_prompt(run):
            pending_s += max(0.0, run.started_at + run.queued_request.prefill_s - now)
    return pending_s


def is_prefilling_long_prompt(run: Run) -> bool:
    """Whether the prefill of a long prompt is in progress for a run."""
    is_prefilling = run.status == RUNNING and run.first_token_at == 0.0
    return is_prefilling and routing.is_long_prefill(run.queued_request.prefill_s)


def list_active(agent: AgentState) -> list[Run]:
    """List the runs that have not ended."""
    return [run for run in agent.runs.values() if run.status != ENDED]


def _list_ahead(active: list[Run], priority: int) -> list[admission.QueuedRequest]:
    return [
        run.queued_request
        for run in active
        if run.status != RUNNING and run.work.priority <= priority
    ]


def replay(run: Run, peer: str, request: str, after: int) -> list[Effect]:
    """Send a run's events to a listener again.

    Args:
        run: The run.
        peer: The entry to send to.
        request: The request id under which the entry knows the run.
        after: Number of tokens that the entry already has.
    """
    effects: list[Effect] = []
    texts = tuple(run.texts[after:])
    if texts:
        tokens = Tokens(request=request, attempt=run.attempt, first=after, texts=texts)
        effects.append(Send(peer, tokens))
    if run.end is not None:
        effects.append(Send(peer, _address(run.end, request, run.attempt)))
    return effects


def end_run(
    agent: AgentState, now: float, run: Run, end: Finished | Failed
) -> list[Effect]:
    """End a run and send its last message to its listeners."""
    run.status = ENDED
    run.ended_at = now
    run.end = end
    if isinstance(end, Finished):
        run.end = Finished(
            request="",
            attempt=0,
            count=len(run.texts),
            finish=end.finish,
            status=end.status,
            headers=end.headers,
            body=end.body,
        )
    effects: list[Effect] = []
    for peer, request in run.listeners:
        message = _address(run.end, request, run.attempt)
        if isinstance(message, Finished):
            report = make_report(agent, now, peer)
            message = msgspec.structs.replace(message, report=report)
        effects.append(Send(peer, message))
    return effects


def _address(end: Finished | Failed, request: str, attempt: int) -> Finished | Failed:
    return msgspec.structs.replace(end, request=request, attempt=attempt)


def make_outcome(run: Run, finished: Finished) -> Outcome:
    """Make the claim record that stores the answer for the caller's later retries."""
    body = finished.body
    if run.work.kind == "generate":
        body = "".join(run.texts).encode()
    whole = len(body) <= MAX_STORED_BODY_BYTES
    return Outcome(
        key=run.work.key,
        request=run.work.request,
        attempt=run.attempt,
        status=finished.status,
        headers=finished.headers,
        body=body if whole else b"",
        finish=finished.finish,
        count=len(run.texts),
        whole=whole,
    )


def drop_listener(run: Run, peer: str, request: str) -> None:
    """Remove a listener from a run."""
    run.listeners.pop((peer, request), None)


def must_complete(run: Run) -> bool:
    """Whether a run continues without listeners, because it may not be repeated.

    One that waits for its turn continues only if its caller may ask for it by its key.
    """
    if run.work.repeatable or run.status == RESERVED:
        return False
    return run.status == RUNNING or bool(run.work.key)


def had_no_effect(run: Run) -> bool:
    """Whether a run that may not be repeated ended without an effect.

    This holds if it was refused, expired or did not reach the engine or service.
    """
    if run.status != ENDED or run.work.repeatable:
        return False
    if run.end is None:
        return run.started_at == 0.0
    return isinstance(run.end, Failed) and run.end.ran == "no"
