"""Messages between the project's own processes. Codec: msgspec, MessagePack."""

from typing import Literal

import msgspec

from robinspindle.core.decoding import make_msgpack_decoder
from robinspindle.exceptions import BadDocumentError

Kind = Literal["generate", "call"]
Stage = Literal["whole", "prefill", "decode"]
Ran = Literal["no", "unknown", "partial"]


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Root of all messages."""


class Work(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a caller wants done.

    Attributes:
        request: The request's id, which also follows it through the logs.
        kind: A generation by an engine, or a call of a plain service.
        pool: The model or the service.
        workspace: Whose request it is.
        priority: Lower goes first.
        repeatable: Whether it may run more than once.
        key: Workspace and idempotency key, for a request that may not.
        digest: Digest of the caller's body, to tell a key used twice.
        adapter: Adapter that the engine applies.
        prompt: The prompt, for a generation.
        prompt_tokens: Estimated length of the prompt, tokens.
        prefix: Digest of the prompt's first block, to find its cache.
        prefix_tokens: Estimated length of that block, tokens.
        max_tokens: Most tokens to generate.
        resumed: Tokens of the answer that are already delivered.
        stage: Whether a target does all of a generation, or a part of it.
        export_to: Address of the engine that gets the prompt's cache, for the
            stage ``prefill``.
        method: HTTP method of a call.
        path: Path and query of a call.
        headers: Headers of a call.
        body: Body of a call.
        trace: The caller's ``traceparent``.
    """

    request: str
    kind: Kind
    pool: str
    workspace: str = ""
    priority: int = 5
    repeatable: bool = True
    key: str = ""
    digest: str = ""
    adapter: str = ""
    prompt: str = ""
    prompt_tokens: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    max_tokens: int = 0
    resumed: tuple[str, ...] = ()
    stage: Stage = "whole"
    export_to: str = ""
    method: str = ""
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    trace: str = ""


class Report(Message, frozen=True, kw_only=True):
    """A target's load, as its agent knows it.

    Attributes:
        target: The target.
        incarnation: Name of this run of the agent.
        serving: Whether it takes new work.
        stopping: Whether the agent itself is about to stop.
        running: Requests at the engine.
        queued: Requests that wait at the agent.
        own: How many of both are the receiving entry's.
        wait_s: Estimated wait of a new request of ordinary priority, seconds.
        prefill_wait_s: Estimated wait of a long prompt before it is read, seconds.
        own_prefill_s: How much of it the receiving entry's own prompts make.
        prefill_s: Seconds to read a prompt's token, at the best measured lately.
        step_s: Seconds between two tokens of one answer, at the best measured lately.
        slots: Requests that the engine works on at a time.
        prefixes: Digests of prefixes that the engine has in its cache, or None when
            they are those of ``prefix_version`` that the entry has.
        prefix_version: Number of the list of prefixes.
        prompt_rate: Prompt tokens offered a second, lately.
        token_rate: Answer tokens offered a second, lately.
        offset: Offset of the control stream that the agent has folded.
    """

    target: str
    incarnation: str
    serving: bool = True
    stopping: bool = False
    running: int = 0
    queued: int = 0
    own: int = 0
    wait_s: float = 0.0
    prefill_wait_s: float = 0.0
    own_prefill_s: float = 0.0
    prefill_s: float = 0.0
    step_s: float = 0.0
    slots: int = 1
    prefixes: tuple[str, ...] | None = None
    prefix_version: int = 0
    prompt_rate: float = 0.0
    token_rate: float = 0.0
    offset: int = -1


class Hello(Message, frozen=True, kw_only=True):
    """An entry is alive; the agent answers with a report.

    Attributes:
        offset: Offset of the control stream that the entry has folded.
        prefix_version: Number of the list of prefixes that the entry has.
    """

    offset: int = -1
    prefix_version: int = 0


class Offer(Message, frozen=True, kw_only=True):
    """An entry offers a request; the agent's word is final.

    Attributes:
        work: The request.
        attempt: Number of this try, unique in the request.
        left_s: Seconds left until the whole answer is due.
        first_left_s: Seconds left until the first token is due.
    """

    work: Work
    attempt: int
    left_s: float
    first_left_s: float


class Start(Message, frozen=True, kw_only=True):
    """Run what was reserved. An entry sends it once for an attempt, never again."""

    request: str
    attempt: int
    claim: int


class Cancel(Message, frozen=True, kw_only=True):
    """A request wants a run no more.

    Attributes:
        request: The id under which the entry knows it.
        run: The run's request id.
        attempt: The run's attempt.
        grace_s: How long the caller may come back to its stream.
    """

    request: str
    run: str
    attempt: int
    grace_s: float = 0.0


class Attach(Message, frozen=True, kw_only=True):
    """Join a run, or hear of one again from a token on.

    Attributes:
        request: The id under which the asking entry knows it.
        run: The run's request id.
        attempt: The run's attempt, -1 for the last one.
        after: Tokens that the entry already has.
        workspace: Whose request it is; a run is found by its name alone only for
            its own workspace.
        incarnation: The agent's incarnation that reserved it, empty for a run
            that may be repeated.
    """

    request: str
    run: str
    attempt: int = -1
    after: int = 0
    workspace: str = ""
    incarnation: str = ""


class Fetch(Message, frozen=True, kw_only=True):
    """Ask a peer for records of the control stream after an offset."""

    after: int


class Records(Message, frozen=True, kw_only=True):
    """Records of the control stream, in order without a gap."""

    first: int
    records: tuple[bytes, ...]


class Accepted(Message, frozen=True, kw_only=True):
    """The agent will run the request, or has reserved a place for it."""

    request: str
    attempt: int
    reserved: bool = False
    report: Report | None = None


class Refused(Message, frozen=True, kw_only=True):
    """The request was not run by this attempt.

    Attributes:
        request: The request.
        attempt: The try.
        reason: A short word: ``late``, ``full``, ``leaving``, ``pool``, ``expired``.
        retry_s: When a new try is worth while, seconds.
        report: The target's load.
    """

    request: str
    attempt: int
    reason: str
    retry_s: float = 0.0
    report: Report | None = None


class Tokens(Message, frozen=True, kw_only=True):
    """Tokens of an answer, numbered from 0 over the whole answer."""

    request: str
    attempt: int
    first: int
    texts: tuple[str, ...]


class Finished(Message, frozen=True, kw_only=True):
    """A run came to its end.

    Attributes:
        request: The request.
        attempt: The try.
        count: Tokens in the whole answer.
        finish: Why a generation ended.
        status: HTTP status of a call.
        headers: Headers of a call's answer.
        body: Body of a call's answer.
        report: The target's load.
    """

    request: str
    attempt: int
    count: int = 0
    finish: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    report: Report | None = None


class Failed(Message, frozen=True, kw_only=True):
    """A run broke off.

    Attributes:
        request: The request.
        attempt: The try.
        ran: What is known of its effect.
        reason: What happened.
    """

    request: str
    attempt: int
    ran: Ran
    reason: str


class Attached(Message, frozen=True, kw_only=True):
    """Answer to an attach.

    Attributes:
        request: The id under which the asking entry knows it.
        attempt: The run's attempt.
        status: ``joined``, ``not run`` (and it never will), or ``unknown``.
    """

    request: str
    attempt: int
    status: Literal["joined", "not run", "unknown"]


AnyMessage = (
    Report
    | Hello
    | Offer
    | Start
    | Cancel
    | Attach
    | Fetch
    | Records
    | Accepted
    | Refused
    | Tokens
    | Finished
    | Failed
    | Attached
)

_decode = make_msgpack_decoder(AnyMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: AnyMessage) -> bytes:
    """Encode a message for the wire."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> AnyMessage | None:
    """Decode a message, or return None for bytes that are none."""
    try:
        return _decode(data)
    except BadDocumentError:
        return None
