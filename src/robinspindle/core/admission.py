"""Admission control at a target: estimates, admission decisions and queue order."""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.routing import is_long_prefill
from robinspindle.messages import Work

INITIAL_PREFILL_S = 0.0004
"""Prefill time of one prompt token before the first measurement, seconds."""

INITIAL_STEP_S = 0.02
"""Time between two tokens of an answer before the first measurement, seconds."""

INITIAL_CALL_S = 0.05
"""Time of a call of a plain service before the first measurement, seconds."""

INITIAL_ANSWER_TOKENS = 128
"""Expected length of an answer in a workspace without completed answers, tokens."""

ANSWER_LENGTH_MARGIN = 1.5
"""An answer is expected to be at most this many times as long as the average."""

MAX_WORK_SHARE = 0.9
"""A request's own work counts as at most this share of the time until its deadline. A
request that needs more is refused only if its wait exceeds the rest of that time."""

MIN_MEASURED_TOKENS = 200
"""Shorter prompts don't update the measured prefill speed, tokens."""

ESTIMATE_DISCOUNT = 0.8
"""Share of the estimated work that a queued request is assumed to need at least."""

MIN_QUEUE_TIME_S = 0.5
"""A queued request that would miss its deadline is kept for at least this time,
seconds."""

SMOOTHING_FACTOR = 0.2
"""Weight of a new measurement in a moving average."""

FASTEST_RISE_FACTOR = 0.02
"""Weight of a slower measurement in the fastest recent time."""

LOAD_WINDOW_S = 10.0
"""Time constant of the decaying sums of offered load, seconds."""

MAX_JITTER_SHARE = 0.5
"""A retry delay is extended by up to this share of it."""

MIN_RETRY_S = 0.2
"""Shortest retry delay before jitter, seconds."""

URGENT_PRIORITY = 0
"""Requests of this priority may use the reserved slots."""

RESERVED_SLOTS = 1
"""Slots that only urgent requests may use."""


@dataclass
class TargetSpeed:
    """Measured speed of a target.

    Attributes:
        prefill_s: Moving average of the prefill time of one prompt token, seconds.
        step_s: Moving average of the time between two tokens of an answer, seconds.
        call_s: Moving average of the time of a call of a plain service, seconds.
        answer_tokens_by_workspace: Moving average of the length of an answer, tokens,
            by workspace.
        fastest_prefill_s: Fastest recent prefill time of one prompt token, seconds.
        fastest_step_s: Fastest recent time between two tokens, seconds.
    """

    prefill_s: float = INITIAL_PREFILL_S
    step_s: float = INITIAL_STEP_S
    call_s: float = INITIAL_CALL_S
    answer_tokens_by_workspace: dict[str, float] = field(default_factory=dict)
    fastest_prefill_s: float = INITIAL_PREFILL_S
    fastest_step_s: float = INITIAL_STEP_S


@dataclass
class OfferedLoad:
    """Recently offered work, as exponentially decaying sums.

    Attributes:
        prompt_tokens: Prompt tokens.
        answer_tokens: Maximum answer tokens.
        updated_at: When the sums were last updated, monotonic seconds.
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    updated_at: float = 0.0


@dataclass
class QueuedRequest:
    """A request in the agent's queue. All times are monotonic seconds.

    Attributes:
        work: The request.
        deadline: Deadline of the complete answer.
        first_token_deadline: Deadline of the first token.
        queued_at: When the request arrived.
        service_s: Estimated time for which the request occupies a slot, seconds.
        prefill_s: Part of the service time before the first token, seconds.
    """

    work: Work
    deadline: float
    first_token_deadline: float
    queued_at: float
    service_s: float
    prefill_s: float


@dataclass(frozen=True)
class AdmissionDecision:
    """Whether a request is admitted.

    Attributes:
        reason: Why the request is refused, empty if it is admitted.
        retry_s: Delay after which a retry may succeed, seconds.
    """

    reason: str = ""
    retry_s: float = 0.0


def note_offered_work(load: OfferedLoad, now: float, work: Work) -> None:
    """Add an offered request to the load, whether it is admitted or not."""
    decay = math.exp((load.updated_at - now) / LOAD_WINDOW_S)
    prompt = 0 if work.stage == "decode" else work.prompt_tokens
    answer = 0 if work.stage == "prefill" else work.max_tokens
    load.prompt_tokens = load.prompt_tokens * decay + prompt
    load.answer_tokens = load.answer_tokens * decay + answer
    load.updated_at = now


def compute_rate(total: float, load: OfferedLoad, now: float) -> float:
    """Convert one of the decaying sums into a rate, tokens per second."""
    return total * math.exp((load.updated_at - now) / LOAD_WINDOW_S) / LOAD_WINDOW_S


def note_first_token(speed: TargetSpeed, seconds: float, tokens: int) -> None:
    """Update the prefill speed with the time from a run's start to its first token.

    Short prompts are ignored because their time depends more on the running batch
    than on the prefill.
    """
    if tokens >= MIN_MEASURED_TOKENS and seconds > 0:
        speed.prefill_s += SMOOTHING_FACTOR * (seconds / tokens - speed.prefill_s)
        speed.fastest_prefill_s = _update_fastest(
            speed.fastest_prefill_s, seconds / tokens
        )


def note_steps(speed: TargetSpeed, seconds: float, steps: int) -> None:
    """Update the decode speed with the time of the tokens after the first."""
    if steps > 0 and seconds > 0:
        speed.step_s += SMOOTHING_FACTOR * (seconds / steps - speed.step_s)
        speed.fastest_step_s = _update_fastest(speed.fastest_step_s, seconds / steps)


def _update_fastest(fastest: float, seconds: float) -> float:
    """Return the fastest recent time, which is nearly free of the effect of load.

    The moving average includes that effect. If routing used it, a target that was
    loaded once would get no requests, and without them its average would stay high.
    """
    return min(seconds, fastest + FASTEST_RISE_FACTOR * (seconds - fastest))


def note_answer_length(speed: TargetSpeed, workspace: str, tokens: int) -> None:
    """Update a workspace's average length of a complete answer."""
    mean = speed.answer_tokens_by_workspace.get(workspace, float(tokens))
    speed.answer_tokens_by_workspace[workspace] = mean + SMOOTHING_FACTOR * (
        tokens - mean
    )


def note_call(speed: TargetSpeed, seconds: float) -> None:
    """Update the average time of a call of a plain service."""
    speed.call_s += SMOOTHING_FACTOR * (seconds - speed.call_s)


def estimate_prefill(speed: TargetSpeed, work: Work) -> float:
    """Estimate the time from the start of a run to its first token, seconds."""
    if work.kind == "call" or work.stage == "decode":
        return 0.0
    return (work.prompt_tokens + len(work.resumed)) * speed.prefill_s


def estimate_service(speed: TargetSpeed, work: Work) -> float:
    """Estimate the time for which a request occupies a slot, seconds."""
    if work.kind == "call":
        return speed.call_s
    prefill = estimate_prefill(speed, work)
    if work.stage == "prefill":
        return prefill
    # Callers set the longest answer that they accept, not the length they expect.
    mean_tokens = speed.answer_tokens_by_workspace.get(
        work.workspace, INITIAL_ANSWER_TOKENS
    )
    tokens = min(work.max_tokens, round(mean_tokens * ANSWER_LENGTH_MARGIN))
    return prefill + max(1, tokens - len(work.resumed)) * speed.step_s


def estimate_wait(
    ahead: Iterable[QueuedRequest], remaining: list[float], slots: int
) -> float:
    """Estimate how long a request will wait for a slot, seconds.

    Args:
        ahead: Requests that are ahead of it in the queue.
        remaining: Estimated remaining time of each running request, seconds.
        slots: Number of requests that the target runs at the same time.
    """
    queued = sum(queued_request.service_s for queued_request in ahead)
    if len(remaining) < slots and queued == 0:
        return 0.0
    soonest = min(remaining) if len(remaining) >= slots else 0.0
    return soonest + queued / slots


def estimate_prefill_wait(ahead: Iterable[QueuedRequest], pending_s: float) -> float:
    """Estimate how long a long prompt will wait for its prefill, seconds.

    Long prompts are prefilled one at a time. Several at once would only share the
    engine, occupy slots that answers could use, and delay each other's first token.

    Args:
        ahead: Requests that are ahead of it in the queue.
        pending_s: Remaining time of the long prefill in progress, seconds.
    """
    return pending_s + sum(w.prefill_s for w in ahead if is_long_prefill(w.prefill_s))


def make_queue_key(
    queued_request: QueuedRequest, runs_by_workspace: dict[str, int]
) -> tuple:
    """Make the sort key of the queue; the request with the lowest key runs next.

    Requests are ordered by priority, then by the number of running requests of their
    workspace, then by the latest start that still meets the deadline.

    Args:
        queued_request: The request.
        runs_by_workspace: Number of running requests, by workspace.
    """
    work = queued_request.work
    return (
        work.priority,
        runs_by_workspace.get(work.workspace, 0),
        queued_request.deadline - queued_request.service_s,
    )


def count_usable_slots(slots: int, priority: int) -> int:
    """Count the slots that a priority may use. Some are reserved for urgent work."""
    if priority <= URGENT_PRIORITY or slots <= RESERVED_SLOTS:
        return slots
    return slots - RESERVED_SLOTS


def decide_admission(
    queued_request: QueuedRequest, now: float, wait_s: float, max_wait_s: float
) -> AdmissionDecision:
    """Decide whether a request is admitted, from the current estimates.

    Args:
        queued_request: The request.
        now: The current time, monotonic seconds.
        wait_s: Estimated wait before the request runs, seconds.
        max_wait_s: Longest wait that is allowed, seconds.

    Returns:
        The decision. Reasons for a refusal are ``full`` (the wait is too long) and
        ``late`` (the request would miss a deadline).
    """
    request = queued_request.work.request
    if wait_s > max_wait_s:
        return AdmissionDecision("full", add_retry_jitter(request, wait_s - max_wait_s))
    if wait_s <= 0.0:
        # A free slot is available, and no later retry would be answered sooner.
        return AdmissionDecision()
    excess_s = max(
        _find_excess(wait_s, queued_request.service_s, queued_request.deadline - now),
        _find_excess(
            wait_s, queued_request.prefill_s, queued_request.first_token_deadline - now
        ),
    )
    if excess_s > 0:
        return AdmissionDecision("late", add_retry_jitter(request, excess_s))
    return AdmissionDecision()


def cannot_meet_deadline(queued_request: QueuedRequest, now: float) -> bool:
    """Whether a queued request can no longer meet one of its deadlines."""
    latest = min(
        queued_request.deadline - queued_request.service_s * ESTIMATE_DISCOUNT,
        queued_request.first_token_deadline
        - queued_request.prefill_s * ESTIMATE_DISCOUNT,
    )
    return now > max(latest, queued_request.queued_at + MIN_QUEUE_TIME_S)


def _find_excess(wait_s: float, work_s: float, left_s: float) -> float:
    """Return by how much a wait and the following work exceed the time left."""
    return wait_s + min(work_s, left_s * MAX_WORK_SHARE) - left_s


def add_retry_jitter(request: str, seconds: float) -> float:
    """Add jitter to a retry delay, so that callers refused together retry apart.

    The jitter is derived from the request id, so it is deterministic.
    """
    digest = hashlib.blake2b(request.encode(), digest_size=2).digest()
    fraction = int.from_bytes(digest, "big") / 65536
    return max(MIN_RETRY_S, seconds) * (1.0 + MAX_JITTER_SHARE * fraction)
