"""Runs at a target and all that its agent knows."""

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
RESERVATION_S = 5.0
KEEP_ENDED_S = 30.0
ORDINARY_PRIORITY = 9


@dataclass
class Run:
    """One attempt at a request, at this target.

    Attributes:
        work: The request.
        attempt: Number of the try.
        status: ``reserved``, ``queued``, ``running`` or ``ended``.
        waiting: Its place in the queue.
        listeners: Who gets its events: a peer, and the request id it uses.
        texts: Tokens so far, those delivered before this run first.
        started_at: When the engine got it.
        first_at: When its first token came.
        ended_at: When it ended.
        cancel_at: When it is dropped because nobody listens, None while one does.
        end: Its last message.
    """

    work: Work
    attempt: int
    status: str
    waiting: admission.QueuedRequest
    listeners: dict[tuple[str, str], None]
    texts: list[str] = field(default_factory=list)
    started_at: float = 0.0
    first_at: float = 0.0
    ended_at: float = 0.0
    cancel_at: float | None = None
    end: Finished | Failed | None = None


@dataclass
class AgentState:
    """All that an agent knows.

    Attributes:
        name: The target's name.
        incarnation: Name of this run of the agent.
        state: The folded control stream.
        executor: What is being done about orders.
        speed: Measured speed of the target.
        offered_load: Work offered lately.
        runs: Runs by request id and attempt.
        prefixes: Digests of cached prefixes, from the engine's late events.
        prefix_version: Number of that list; 0 for the empty one at first.
        is_stopping: Whether the agent's process was asked to stop.
        last_heard_at: When each peer was last heard.
        started: Attempts of not repeatable requests that were started here.
        has_evicted_starts: Whether an entry of ``started`` was ever dropped.
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
        """The folded state of the target."""
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
        """Whether new work is taken."""
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
        """Whether nothing runs, waits or is reserved here."""
        return all(run.status == ENDED for run in self.runs.values())

    @property
    def can_exit(self) -> bool:
        """Whether the process, asked to stop, has nothing under way any more."""
        return self.is_stopping and self.is_idle and self.executor.active_order < 0


def make_report(host: AgentState, now: float, peer: str) -> Report:
    """Tell a peer the target's load."""
    active = list_active(host)
    running = [run for run in active if run.status == RUNNING]
    return Report(
        target=host.name,
        incarnation=host.incarnation,
        serving=host.is_serving,
        stopping=host.is_stopping,
        running=len(running),
        queued=len(active) - len(running),
        own=sum(1 for run in active if any(name == peer for name, _ in run.listeners)),
        wait_s=estimate_wait(host, now, None),
        prefill_wait_s=estimate_prefill_wait(host, now, None),
        own_prefill_s=_sum_own_unread(active, now, peer),
        prefill_s=host.speed.fastest_prefill_s,
        step_s=host.speed.fastest_step_s,
        slots=host.section.slots if host.section else 1,
        prefix_version=host.prefix_version,
        prompt_rate=admission.compute_rate(
            host.offered_load.prompt_tokens, host.offered_load, now
        ),
        token_rate=admission.compute_rate(
            host.offered_load.answer_tokens, host.offered_load, now
        ),
        offset=host.state.offset,
    )


def make_queued_request(
    host: AgentState, now: float, offer: Offer
) -> admission.QueuedRequest:
    """Estimate what an offered request takes here."""
    return admission.QueuedRequest(
        work=offer.work,
        deadline=now + offer.left_s,
        first_token_deadline=now + offer.first_left_s,
        queued_at=now,
        service_s=admission.estimate_service(host.speed, offer.work),
        prefill_s=admission.estimate_prefill(host.speed, offer.work),
    )


def estimate_wait(
    host: AgentState, now: float, newcomer: admission.QueuedRequest | None
) -> float:
    """Estimate the wait for a slot, of ordinary work where there is no newcomer."""
    active = list_active(host)
    remaining = [
        max(0.0, run.started_at + run.waiting.service_s - now)
        for run in active
        if run.status == RUNNING
    ]
    priority = newcomer.work.priority if newcomer else ORDINARY_PRIORITY
    slots = host.section.slots if host.section else 1
    return admission.estimate_wait(
        _list_ahead(active, priority),
        remaining,
        admission.count_usable_slots(slots, priority),
    )


def estimate_prefill_wait(
    host: AgentState, now: float, newcomer: admission.QueuedRequest | None
) -> float:
    """Estimate the wait of a long prompt until it is read."""
    active = list_active(host)
    unread = sum(
        max(0.0, run.started_at + run.waiting.prefill_s - now)
        for run in active
        if is_reading_long(run)
    )
    priority = newcomer.work.priority if newcomer else ORDINARY_PRIORITY
    return admission.estimate_prefill_wait(_list_ahead(active, priority), unread)


def _sum_own_unread(active: list[Run], now: float, peer: str) -> float:
    """Add up a peer's own part of the wait for long prompts."""
    unread = 0.0
    for run in active:
        if not routing.is_long_prefill(run.waiting.prefill_s):
            continue
        if not any(name == peer for name, _ in run.listeners):
            continue
        if run.status != RUNNING:
            unread += run.waiting.prefill_s
        elif is_reading_long(run):
            unread += max(0.0, run.started_at + run.waiting.prefill_s - now)
    return unread


def is_reading_long(run: Run) -> bool:
    """Whether the engine is reading a long prompt for a run."""
    is_unread = run.status == RUNNING and run.first_at == 0.0
    return is_unread and routing.is_long_prefill(run.waiting.prefill_s)


def list_active(host: AgentState) -> list[Run]:
    """List the runs that have not ended."""
    return [run for run in host.runs.values() if run.status != ENDED]


def _list_ahead(active: list[Run], priority: int) -> list[admission.QueuedRequest]:
    return [
        run.waiting
        for run in active
        if run.status != RUNNING and run.work.priority <= priority
    ]


def replay(run: Run, peer: str, request: str, after: int) -> list[Effect]:
    """Send a run's events again from a token on."""
    effects: list[Effect] = []
    texts = tuple(run.texts[after:])
    if texts:
        tokens = Tokens(request=request, attempt=run.attempt, first=after, texts=texts)
        effects.append(Send(peer, tokens))
    if run.end is not None:
        effects.append(Send(peer, _address(run.end, request, run.attempt)))
    return effects


def end_run(
    host: AgentState, now: float, run: Run, end: Finished | Failed
) -> list[Effect]:
    """End a run and tell its listeners."""
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
            report = make_report(host, now, peer)
            message = msgspec.structs.replace(message, report=report)
        effects.append(Send(peer, message))
    return effects


def _address(end: Finished | Failed, request: str, attempt: int) -> Finished | Failed:
    return msgspec.structs.replace(end, request=request, attempt=attempt)


def make_outcome(run: Run, finished: Finished) -> Outcome:
    """Make the record that answers a caller's later retry."""
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
    """Send a run's events to a listener no more."""
    run.listeners.pop((peer, request), None)


def must_run(run: Run) -> bool:
    """Whether a run goes on though nobody listens: it may not be repeated."""
    return not run.work.repeatable and run.status != RESERVED


def never_ran(run: Run) -> bool:
    """Whether an ended run had no effect: refused, expired or never reached."""
    if run.status != ENDED or run.work.repeatable:
        return False
    if run.end is None:
        return run.started_at == 0.0
    return isinstance(run.end, Failed) and run.end.ran == "no"
