"""Forwarding: what one request is, what a target said, and what to do about it.

A request goes to one target at a time. Whether it may go to another depends on what
is certain about the first: "did not run" is only believed when the target said so or
when nothing was sent.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.routes import STREAM, Route

Headers = tuple[tuple[bytes, bytes], ...]

MIN_ATTEMPT_S = 0.01
"""The shortest time worth giving a target, seconds: a few network round trips."""

MAX_SENDS = 3
"""The most times that one attempt is sent: full targets are seldom alone."""

LEAST_PATIENCE_S = 2.0
PATIENCE_AIMS = 4.0
PATIENCE_GAPS = 8.0
"""Callers give a stream up after a silence of the longest of these: seconds, times its
aim, times the pause that is in time; by the platform's page on requests."""

TIMEOUT_ANSWER_GRACE_S = 0.1
"""How long a target's own timeout answer is waited for, seconds: well under the
quarter of a second after which holding a request is counted against us."""


@dataclass(frozen=True)
class Part:
    """One part of a prompt: its id and its length in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """A prompt as the caller describes it.

    Attributes:
        model: The model.
        parts: Its parts in order; the last is the request's own.
        tokens: Tokens of the whole prompt.
        max_answer_tokens: The most tokens of the answer.
        expected_answer_tokens: The caller's guess of its tokens; 0 where it gives none.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int = 0


@dataclass(frozen=True)
class Request:
    """One attempt of a caller, decoded.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        host: Host name.
        headers: Headers that go on to a target unchanged.
        body: The whole body.
        wait_s: How long the caller will wait, seconds; None where it does not say.
        received_at: When its head came, steady seconds.
        prompt: What it says of its prompt; None for a plain request.
        caller: Who sends it, as far as it says: its credentials, or the workspace that
            they belong to; empty for none.
        key: The key that it carries; None for none, or where it is malformed.
    """

    id: str
    method: str
    target: bytes
    host: str
    headers: Headers = field(repr=False)
    body: bytes
    wait_s: float | None
    received_at: float
    prompt: Prompt | None = None
    caller: bytes = field(default=b"", repr=False)
    key: bytes | None = field(default=None, repr=False)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True)
class CacheSource:
    """Where a prompt that was read already can be fetched from."""

    address: str
    handle: str


@dataclass(frozen=True)
class Send:
    """One sending of a request to one target.

    Attributes:
        lifetime: The lifetime of the target that is meant; another one refuses.
        left_s: How long the target may work on it, seconds.
        priority: 0 is the most urgent, 9 the least.
        prefill_only: Whether the prompt is only to be read and held.
        source: Where the read prompt is to be fetched from, None to read it there.
        holder: Address of an engine from whose cache the target first fetches what it
            lacks of the prompt; empty for none.
        resume_after: Id of the last event the caller has; None from the beginning.
    """

    lifetime: str
    left_s: float
    priority: int
    prefill_only: bool = False
    source: CacheSource | None = None
    holder: str = ""
    resume_after: str | None = None


@dataclass(frozen=True)
class AnswerHead:
    """The head of a target's answer.

    Attributes:
        status: HTTP status.
        reason: Its phrase.
        headers: Headers for the caller.
        request_id: Id of the request it answers, empty where it names none.
        not_run: Whether the target says that it did not run the request.
        answered_by: The lifetime that answered, where it says so.
        sealed: Whether it is a whole answer in the target's name.
        idle_s: How long the target keeps an idle connection; None if not told.
    """

    status: int
    reason: bytes
    headers: Headers
    request_id: str
    not_run: bool
    answered_by: str
    sealed: bool
    idle_s: float | None


@dataclass(frozen=True)
class Refusal:
    """An answer of our own.

    Attributes:
        status: HTTP status.
        reason: Why, one word for logs and metrics.
        retry_s: When a new attempt is worth while, seconds; 0 for not said.
    """

    status: int
    reason: str
    retry_s: float = 0.0


NO_CONFIGURATION = Refusal(503, "no-configuration", 0.5)
NO_ROUTE = Refusal(404, "no-route")
UNKNOWN_KEY = Refusal(401, "unknown-key")
NOT_FRESH = Refusal(503, "configuration-not-fresh", 0.3)
BROKEN = Refusal(502, "broken")
TIMED_OUT = Refusal(504, "timed-out")


def find_deadline(request: Request, route: Route) -> float:
    """Find when the final answer of an attempt is due, steady seconds."""
    wait_s = route.timeout_s
    if request.wait_s is not None:
        wait_s = min(wait_s, request.wait_s)
    return request.received_at + wait_s


def find_first_event_deadline(request: Request, route: Route) -> float:
    """Find when a caller gives up if nothing of its answer has come, steady seconds."""
    due = find_deadline(request, route)
    if route.kind != STREAM:
        return due
    patience_s = max(
        LEAST_PATIENCE_S,
        PATIENCE_AIMS * route.latency_objective_s,
        PATIENCE_GAPS * route.gap_s,
    )
    return min(due, request.received_at + patience_s)


def may_send_again(route: Route, offers: int, runs: int) -> bool:
    """Whether a request may be sent to one more target to be run.

    Args:
        route: Its route.
        offers: Times that it was sent.
        runs: Targets that may have run it; those that turned it away don't count.
    """
    if offers >= MAX_SENDS:
        return False
    if runs == 0:
        return True
    return route.may_rerun and runs < route.attempts


def refuse_not_run(reason: str, retry_s: float, left_s: float) -> Refusal:
    """Refuse a request that has not run and never will.

    Callers honour the hint up to a third of the time that they have left.
    """
    return Refusal(503, reason, min(retry_s, max(0.0, left_s / 3)))


def refuse_unknown_outcome(left_s: float) -> Refusal:
    """Answer for a request that may have run."""
    return TIMED_OUT if left_s <= MIN_ATTEMPT_S else BROKEN


def format_retry_after(seconds: float) -> bytes:
    """Write a hint of seconds with its fraction, rounded up to a hundredth."""
    return f"{math.ceil(seconds * 100) / 100:g}".encode()
