"""Admission at a target: what to take in, what to run next, when to come back."""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.routing import is_long_prefill
from robinspindle.messages import Work

FIRST_PREFILL_S = 0.0004
FIRST_STEP_S = 0.02
FIRST_CALL_S = 0.05
FIRST_ANSWER_TOKENS = 128
LONGER_THAN_USUAL = 1.5
MOST_SHARE_OF_TIME = 0.9
LEAST_LEARNT_TOKENS = 200
CAUTION = 0.8
LEAST_PATIENCE_S = 0.5
SMOOTHING = 0.2
RISE = 0.02
DEMAND_WINDOW_S = 10.0
SPREAD = 0.5
LEAST_RETRY_S = 0.2
URGENT_PRIORITY = 0
URGENT_RESERVED = 1


@dataclass
class TargetSpeed:
    """Measured speed of a target, as moving averages.

    Attributes:
        prefill_s: Seconds to read one token of a prompt.
        step_s: Seconds between two tokens of one answer.
        call_s: Seconds that a call of a plain service takes.
        answers: Tokens of an answer, by workspace.
        fastest_prefill_s: The least seconds for one token of a prompt, lately.
        fastest_step_s: The least seconds between two tokens, lately.
    """

    prefill_s: float = FIRST_PREFILL_S
    step_s: float = FIRST_STEP_S
    call_s: float = FIRST_CALL_S
    answers: dict[str, float] = field(default_factory=dict)
    fastest_prefill_s: float = FIRST_PREFILL_S
    fastest_step_s: float = FIRST_STEP_S


@dataclass
class OfferedLoad:
    """Work offered lately, as sums that decay.

    Attributes:
        prompt_tokens: Prompt tokens.
        answer_tokens: Tokens of answers.
        at: When the sums were last brought up to date.
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    at: float = 0.0


@dataclass
class QueuedRequest:
    """A request that waits at the agent.

    Attributes:
        work: The request.
        deadline: When its whole answer is due.
        first_token_deadline: When its first token is due.
        queued_at: When it came.
        service_s: Estimated seconds of one slot that it takes.
        prefill_s: Estimated seconds of them until its first token.
    """

    work: Work
    deadline: float
    first_token_deadline: float
    queued_at: float
    service_s: float
    prefill_s: float


@dataclass(frozen=True)
class AdmissionDecision:
    """Whether a request is taken in.

    Attributes:
        reason: Why not; empty when it is taken in.
        retry_s: When a new try is worth while, seconds.
    """

    reason: str = ""
    retry_s: float = 0.0


def note_offered_work(demand: OfferedLoad, now: float, work: Work) -> None:
    """Add an offered request to the demand, whether it is taken in or not."""
    kept = math.exp((demand.at - now) / DEMAND_WINDOW_S)
    prompt = 0 if work.stage == "decode" else work.prompt_tokens
    answer = 0 if work.stage == "prefill" else work.max_tokens
    demand.prompt_tokens = demand.prompt_tokens * kept + prompt
    demand.answer_tokens = demand.answer_tokens * kept + answer
    demand.at = now


def compute_rate(total: float, demand: OfferedLoad, now: float) -> float:
    """Turn one decaying sum into tokens a second."""
    return total * math.exp((demand.at - now) / DEMAND_WINDOW_S) / DEMAND_WINDOW_S


def note_first_token(pace: TargetSpeed, seconds: float, tokens: int) -> None:
    """Take note of the time from the start of a run to its first token.

    A short prompt says more about the running batch than about reading.
    """
    if tokens >= LEAST_LEARNT_TOKENS and seconds > 0:
        pace.prefill_s += SMOOTHING * (seconds / tokens - pace.prefill_s)
        pace.fastest_prefill_s = _follow_best(pace.fastest_prefill_s, seconds / tokens)


def note_steps(pace: TargetSpeed, seconds: float, steps: int) -> None:
    """Take note of the time that the later tokens of a run took."""
    if steps > 0 and seconds > 0:
        pace.step_s += SMOOTHING * (seconds / steps - pace.step_s)
        pace.fastest_step_s = _follow_best(pace.fastest_step_s, seconds / steps)


def _follow_best(best: float, seconds: float) -> float:
    """Follow a target's own speed, apart from how loaded it was when measured.

    Routing by the recent mean would shun a target for the load that it had, for as
    long as it is shunned.
    """
    return min(seconds, best + RISE * (seconds - best))


def note_answer_length(pace: TargetSpeed, workspace: str, tokens: int) -> None:
    """Take note of the length of a whole answer."""
    known = pace.answers.get(workspace, float(tokens))
    pace.answers[workspace] = known + SMOOTHING * (tokens - known)


def note_call(pace: TargetSpeed, seconds: float) -> None:
    """Take note of the time that a call took."""
    pace.call_s += SMOOTHING * (seconds - pace.call_s)


def estimate_prefill(pace: TargetSpeed, work: Work) -> float:
    """Estimate the seconds from the start of a run to its first token."""
    if work.kind == "call" or work.stage == "decode":
        return 0.0
    return (work.prompt_tokens + len(work.resumed)) * pace.prefill_s


def estimate_service(pace: TargetSpeed, work: Work) -> float:
    """Estimate the seconds of one slot that a request takes."""
    if work.kind == "call":
        return pace.call_s
    prefill = estimate_prefill(pace, work)
    if work.stage == "prefill":
        return prefill
    # Callers write the most they would take, not what they expect.
    usual = pace.answers.get(work.workspace, FIRST_ANSWER_TOKENS)
    tokens = min(work.max_tokens, round(usual * LONGER_THAN_USUAL))
    return prefill + max(1, tokens - len(work.resumed)) * pace.step_s


def estimate_wait(
    ahead: Iterable[QueuedRequest], remaining: list[float], slots: int
) -> float:
    """Estimate how long a request waits for a slot behind others.

    Args:
        ahead: Requests that go before it.
        remaining: Estimated seconds left of each run under way.
        slots: Runs that the target works on at a time.
    """
    queued = sum(waiting.service_s for waiting in ahead)
    if len(remaining) < slots and queued == 0:
        return 0.0
    soonest = min(remaining) if len(remaining) >= slots else 0.0
    return soonest + queued / slots


def estimate_prefill_wait(ahead: Iterable[QueuedRequest], unread_s: float) -> float:
    """Estimate how long a long prompt waits until it is read.

    Long prompts are read one after the other: several at once would only share the
    engine, hold slots that answers could use, and delay each other's first token.

    Args:
        ahead: Requests that go before it.
        unread_s: Seconds left of the long prompt that is being read.
    """
    return unread_s + sum(w.prefill_s for w in ahead if is_long_prefill(w.prefill_s))


def make_queue_key(waiting: QueuedRequest, shares: dict[str, int]) -> tuple:
    """Order of the queue: priority, then fairness, then slack to the deadline.

    Args:
        waiting: The request.
        shares: Runs under way by workspace.
    """
    work = waiting.work
    return (
        work.priority,
        shares.get(work.workspace, 0),
        waiting.deadline - waiting.service_s,
    )


def count_usable_slots(slots: int, priority: int) -> int:
    """Slots that a priority may use: urgent work always finds one kept free."""
    if priority <= URGENT_PRIORITY or slots <= URGENT_RESERVED:
        return slots
    return slots - URGENT_RESERVED


def decide_admission(
    waiting: QueuedRequest, now: float, wait_s: float, queue_s: float
) -> AdmissionDecision:
    """Decide whether a request is taken in, with the estimates of this moment.

    Args:
        waiting: The request.
        now: The present time, monotonic seconds.
        wait_s: Estimated wait before its run.
        queue_s: Longest wait that is allowed.
    """
    request = waiting.work.request
    if wait_s > queue_s:
        return AdmissionDecision("full", add_retry_jitter(request, wait_s - queue_s))
    if wait_s <= 0.0:
        # Whoever is not served now would not be served sooner by coming back.
        return AdmissionDecision()
    over_s = max(
        _find_excess(wait_s, waiting.service_s, waiting.deadline - now),
        _find_excess(wait_s, waiting.prefill_s, waiting.first_token_deadline - now),
    )
    if over_s > 0:
        return AdmissionDecision("late", add_retry_jitter(request, over_s))
    return AdmissionDecision()


def cannot_meet_deadline(waiting: QueuedRequest, now: float) -> bool:
    """Whether a request that still waits can't keep its promise any more."""
    latest = min(
        waiting.deadline - waiting.service_s * CAUTION,
        waiting.first_token_deadline - waiting.prefill_s * CAUTION,
    )
    return now > max(latest, waiting.queued_at + LEAST_PATIENCE_S)


def _find_excess(wait_s: float, work_s: float, left_s: float) -> float:
    """Return by how much a wait and the work after it are over what is left."""
    return wait_s + min(work_s, left_s * MOST_SHARE_OF_TIME) - left_s


def add_retry_jitter(request: str, seconds: float) -> float:
    """Spread callers that were refused together, so that they don't come together."""
    digest = hashlib.blake2b(request.encode(), digest_size=2).digest()
    fraction = int.from_bytes(digest, "big") / 65536
    return max(LEAST_RETRY_S, seconds) * (1.0 + SPREAD * fraction)
