"""Types of a forwarded request and its answer, and rules for sending it again.

A request goes to one target at a time. Whether it may go to another one depends on what
is certain about the first: it counts as not run only if the target said so or if
nothing was sent.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.bodies import Body
from robinspindle.core.routes import STREAM, Route

Headers = tuple[tuple[bytes, bytes], ...]

MAX_TOKENS = 100_000_000
"""Maximum number of tokens in a prompt part: hundreds of times an engine's memory."""

MIN_ATTEMPT_S = 0.01
"""The shortest time for which it is worth sending a request, seconds: a few network
round trips."""

MAX_SENDS = 3
"""Maximum number of times that one attempt of a caller is sent: if a target is full,
others usually are too."""

MIN_STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_OBJECTIVES = 4.0
STREAM_TIMEOUT_GAPS = 8.0
"""A caller abandons a stream that has sent nothing for the longest of these times: a
fixed time, a multiple of its latency objective, a multiple of the allowed pause. The
platform's documentation of requests defines the three values."""

TIMEOUT_ANSWER_GRACE_S = 0.1
"""How long to wait for a target's own timeout response, seconds: well below the quarter
of a second after which holding a request counts against the gateway."""


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
        parts: Its parts in order; the last one belongs to this request alone.
        tokens: Tokens of the whole prompt.
        max_answer_tokens: Maximum tokens of the answer.
        expected_answer_tokens: The caller's guess of the answer's tokens; 0 if not
            given.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int = 0


@dataclass(frozen=True)
class Resumption:
    """A caller's return to a stream of which it has events.

    Attributes:
        attempt_id: Id of its attempt that brought the first event; empty if that is
            missing, malformed or ambiguous.
        is_event_clear: Whether it names one last event, or none.
    """

    attempt_id: str = ""
    is_event_clear: bool = True


@dataclass(frozen=True)
class Request:
    """One decoded attempt of a caller.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        host: Host name.
        headers: Headers that are passed on to a target unchanged.
        body: The whole body.
        wait_s: How long the caller will wait, seconds; None if not given.
        received_at: When its head was received, monotonic seconds.
        prompt: Its description of the prompt; None for a plain request.
        caller: The caller's identity, as far as known: its credentials, or the
            workspace that they belong to; empty if there are none.
        key: The bearer key that it carries, by which its workspace is found; None if
            missing or malformed.
        resumption: Which stream it goes on with; None if it asks for a whole answer.
    """

    id: str
    method: str
    target: bytes
    host: str
    headers: Headers = field(repr=False)
    body: Body
    wait_s: float | None
    received_at: float
    prompt: Prompt | None = None
    caller: bytes = field(default=b"", repr=False)
    key: bytes | None = field(default=None, repr=False)
    resumption: Resumption | None = None

    @property
    def size(self) -> int:
        """Size on the wire, bytes, without the headers that the gateway adds."""
        heads = (len(name) + len(value) for name, value in self.headers)
        return len(self.target) + sum(heads) + len(self.body)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True)
class CacheSource:
    """Where the KV cache of a prefilled prompt can be fetched from."""

    address: str
    handle: str


@dataclass(frozen=True)
class Send:
    """One request to one target.

    Attributes:
        lifetime: The lifetime of the target that is addressed; another one refuses.
        left_s: How long the target may work on it, seconds.
        priority: 0 is the most urgent, 9 the least.
        prefill_only: Whether the target only prefills the prompt and keeps the result.
        source: Where the KV cache of the whole prompt is fetched from, if another
            engine has prefilled it; None if the target prefills the prompt.
        cached_parts_address: Address of an engine from whose cache the target fetches
            the prompt parts that it lacks before its prefill; empty if it fetches none.
        resume_after: Id of the last event the caller has; None to start from the
            beginning.
        copy_address: Address of an engine to which the target sends the KV cache of the
            answer as it grows; empty for none.
    """

    lifetime: str
    left_s: float
    priority: int
    prefill_only: bool = False
    source: CacheSource | None = None
    cached_parts_address: str = ""
    resume_after: str | None = None
    copy_address: str = ""


@dataclass(frozen=True)
class AnswerHead:
    """The head of a target's response.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        headers: Headers for the caller.
        request_id: Id of the request that it answers; empty if not given.
        not_run: Whether the target says that it did not run the request.
        answered_by: The lifetime that responded, if given.
        sealed: Whether it is a complete response in the target's name.
        idle_s: How long the target keeps an idle connection, seconds; None if not
            given.
        limit_per_s: Requests per second that the target takes from all gateways
            together; None if it names no limit.
        leaving: Whether the target says that it is about to leave.
        rest_s: Time for which the target wants nothing from this gateway, seconds; 0
            if it asks for no rest.
        is_misdirected: Whether the target says that it is not the expected one.
    """

    status: int
    reason: bytes
    headers: Headers
    request_id: str
    not_run: bool
    answered_by: str
    sealed: bool
    idle_s: float | None
    limit_per_s: float | None = None
    leaving: bool = False
    rest_s: float = 0.0
    is_misdirected: bool = False


@dataclass(frozen=True)
class Refusal:
    """A response by the gateway itself.

    Attributes:
        status: HTTP status.
        reason: Reason in one word, for logs and metrics.
        retry_s: When a new attempt is worthwhile, seconds; 0 if not said.
        detail: Which entry or limit it follows from, for logs; empty if not said.
    """

    status: int
    reason: str
    retry_s: float = 0.0
    detail: str = ""


NO_CONFIGURATION = Refusal(503, "no-configuration", 0.5)
NO_ROUTE = Refusal(404, "no-route")
UNKNOWN_KEY = Refusal(401, "unknown-key")
UNUSABLE_KEY = Refusal(503, "key-unusable", 1.0)
"""The key is known, but not whose it is."""

NOT_FRESH = Refusal(503, "configuration-not-fresh", 0.3)
STOPPING = Refusal(503, "stopping", 0.05)
"""Answers a request that a stopping server does not take."""

BROKEN = Refusal(502, "broken")
TIMED_OUT = Refusal(504, "timed-out")
TOO_LARGE = Refusal(503, "too-large")
"""It names no time to come again, as no later attempt would be served."""


def find_deadline(request: Request, route: Route) -> float:
    """Find the deadline of the final response to an attempt, monotonic seconds."""
    wait_s = route.timeout_s
    if request.wait_s is not None:
        wait_s = min(wait_s, request.wait_s)
    return request.received_at + wait_s


def find_first_event_deadline(request: Request, route: Route) -> float:
    """Find when a caller gives up if no event has arrived, monotonic seconds."""
    deadline = find_deadline(request, route)
    if route.kind != STREAM:
        return deadline
    stream_timeout_s = max(
        MIN_STREAM_TIMEOUT_S,
        STREAM_TIMEOUT_OBJECTIVES * route.latency_objective_s,
        STREAM_TIMEOUT_GAPS * route.gap_s,
    )
    return min(deadline, request.received_at + stream_timeout_s)


def may_send_again(route: Route, sends: int, runs: int) -> bool:
    """Check whether a request may be sent to one more target to be run.

    Args:
        route: Its route.
        sends: How many times it was sent.
        runs: Number of targets that may have run it, without those that rejected it.
    """
    if sends >= MAX_SENDS:
        return False
    if runs == 0:
        return True
    return route.may_rerun and runs < route.attempts


def refuse_not_run(reason: str, retry_s: float, left_s: float) -> Refusal:
    """Refuse a request that has not run and never will.

    Callers follow the retry hint up to a third of the time that they have left.
    """
    return Refusal(503, reason, min(retry_s, max(0.0, left_s / 3)))


def refuse_unknown_outcome(left_s: float) -> Refusal:
    """Make the response for a request that may have run."""
    return TIMED_OUT if left_s <= MIN_ATTEMPT_S else BROKEN


def format_retry_after(seconds: float) -> bytes:
    """Format a retry hint in seconds, rounded up to a hundredth."""
    return f"{math.ceil(seconds * 100) / 100:g}".encode()
