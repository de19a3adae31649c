"""Translates between HTTP heads on the wire and robinspindle's own types."""

from dataclasses import replace
from typing import Annotated

import msgspec

from robinspindle.core.bodies import Body
from robinspindle.core.decoding import (
    is_token,
    make_json_decoder,
    parse_amount,
    parse_whole,
)
from robinspindle.core.forwarding import (
    MAX_TOKENS,
    AnswerHead,
    CacheSource,
    Headers,
    Part,
    Prompt,
    Request,
    Resumption,
    Send,
)
from robinspindle.core.lifetimes import find_id
from robinspindle.core.streamversions import is_attempt_id
from robinspindle.core.targets import Announcement
from robinspindle.exceptions import BadDocumentError
from robinspindle.platform.jsoncalls import write_json_call

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Hop-by-hop headers, which are not forwarded. ``Content-Length`` and ``Expect`` are
among them, because they are written again where needed."""

SYSTEM_HEADERS = frozenset(
    (
        b"kv-fetch",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-kv-backup",
        b"x-kv-hold",
        b"x-kv-source",
        b"x-pin-ms",
        b"x-request-priority",
        b"x-stage",
    )
)
"""Headers that robinspindle sets itself; values from a caller are not forwarded."""

LEFT_OUT_OF_REQUESTS = HOP_HEADERS | SYSTEM_HEADERS
"""Headers that callers' requests are forwarded without, in lower case."""

ID_HEADER = b"x-request-id"
"""Header with the caller's id of one attempt."""

KEY_HEADER = b"authorization"
"""Header with the bearer key that identifies a caller's workspace."""

WORKSPACE_HEADER = b"x-tenant"
"""Header that names the workspace to targets."""

RESUME_HEADER = b"last-event-id"
"""Header with the id of the last event that the caller of a stream has received."""

FIRST_ATTEMPT_HEADER = b"resumes"
"""Header with the id of the attempt that brought the first event of such a stream."""

MISDIRECTED = 421
"""Status of a target that is not the expected one, so it did not run the request."""

UNAVAILABLE = 503
"""Status of a target that turns a request away; only then it may ask for rest."""

LEAVING_HEADER = b"server-leaving"
"""Header that is 1 in all answers of a target that is about to leave."""

REST_HEADER = b"retry-after"
"""Header with the seconds for which a target wants nothing from this gateway."""


MAX_HANDLE_LENGTH = 256
"""Longest handle of a KV cache, characters; it goes into a header."""

MAX_PART_ID_LENGTH = 256
"""Longest id of a prompt part in an engine's list, characters."""

MAX_WAIT_MS = 86_400_000.0
"""Longest time that a caller may say it waits, milliseconds: a day."""

MAX_RATE = 1e9
"""Highest limit on its rate that a target may name, requests per second, and longest
rest that it may ask for, seconds."""

MAX_IDLE_S = 86_400
"""Longest time that a target may keep an idle connection, seconds: a day."""

PartId = Annotated[str, msgspec.Meta(max_length=MAX_PART_ID_LENGTH)]
TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


def decode_request(method: str, target: bytes, headers: Headers, now: float) -> Request:
    """Decode the head of a caller's request; `add_body` adds the body later.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers as sent.
        now: When the head was received, monotonic seconds.
    """
    values = {name.lower(): value for name, value in headers}
    connection = values.get(b"connection", b"")
    return Request(
        id=values.get(ID_HEADER, b"").decode("latin-1"),
        method=method,
        target=target,
        host=values.get(b"host", b"").decode("latin-1"),
        headers=_list_forwarded(headers, connection, LEFT_OUT_OF_REQUESTS),
        body=b"",
        wait_s=_parse_wait_s(values.get(b"x-deadline-ms")),
        received_at=now,
        prompt=_parse_prompt(values),
        caller=values.get(KEY_HEADER, b""),
        key=_parse_bearer_key(headers),
        resumption=_parse_resumption(headers, values),
    )


def find_request_id(headers: Headers) -> str:
    """Return the caller's id of an attempt; empty if its headers don't tell it."""
    ids = (value for name, value in headers if name.lower() == ID_HEADER)
    return next(ids, b"").decode("latin-1")


def set_workspace(request: Request, name: str | None) -> Request:
    """Replace the key of a request with the workspace that the key belongs to.

    The caller's own value of the workspace header is dropped.

    Args:
        request: The request as its caller sent it.
        name: Its workspace; None if it has none.

    Returns:
        The request, whose headers contain no key.
    """
    headers = tuple(
        pair
        for pair in request.headers
        if pair[0].lower() not in (KEY_HEADER, WORKSPACE_HEADER)
    )
    if name is not None:
        headers += ((b"X-Tenant", name.encode()),)
    return replace(request, headers=headers, caller=(name or "").encode(), key=None)


def encode_request(request: Request, send: Send) -> bytes:
    """Encode the head of a request to one target; the body follows as it came."""
    headers = request.headers
    if send.resume_after is not None:
        headers = tuple(pair for pair in headers if pair[0].lower() != RESUME_HEADER)
    lines = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"X-Deadline-Ms: %d" % max(1, int(send.left_s * 1000)))
    lines.append(b"X-Expect-Instance: " + find_id(send.lifetime).encode())
    lines.append(b"X-Request-Priority: %d" % send.priority)
    if send.prefill_only:
        lines.append(b"X-Stage: prefill")
    if send.cached_parts_address:
        lines.append(b"Kv-Fetch: " + send.cached_parts_address.encode())
    if send.source is not None:
        source = f"{send.source.address}/{send.source.handle}"
        lines.append(b"X-Kv-Source: " + source.encode())
    if send.copy_address:
        lines.append(b"X-Kv-Backup: " + send.copy_address.encode())
    if send.resume_after is not None:
        lines.append(b"Last-Event-Id: " + send.resume_after.encode())
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def decode_answer(status: int, reason: bytes, headers: Headers) -> AnswerHead:
    """Decode the head of a target's response."""
    values = {name.lower(): value for name, value in headers}
    connection = values.get(b"connection", b"")
    return AnswerHead(
        status=status,
        reason=reason,
        headers=_list_forwarded(headers, connection, HOP_HEADERS),
        request_id=values.get(ID_HEADER, b"").decode("latin-1"),
        # The status is not enough: a 503 without this header may be from a request
        # that ran.
        not_run=b"x-not-executed" in values or status == MISDIRECTED,
        answered_by=values.get(b"x-instance-id", b"").decode("latin-1"),
        # Targets sign their responses, and the signature is forwarded unchanged. A body
        # with a content encoding is not as the target signed it.
        sealed=b"x-response-seal" in values and b"content-encoding" not in values,
        idle_s=_parse_idle_s(values.get(b"keep-alive")),
        limit_per_s=_parse_rate(values.get(b"server-limit")),
        leaving=LEAVING_HEADER in values
        and "1" in _list_values(headers, LEAVING_HEADER),
        rest_s=_parse_rest_s(headers) if status == UNAVAILABLE else 0.0,
        is_misdirected=status == MISDIRECTED,
    )


class _PrefillBody(msgspec.Struct):
    handle: str = msgspec.field(name="KvHandle")


_decode_prefill_body = make_json_decoder(_PrefillBody)


def decode_prefill_answer(address: str, body: bytes) -> CacheSource:
    """Decode the body of the response to a prefill-only request.

    Args:
        address: Address of the prefill engine.
        body: The body of its response.

    Returns:
        Where the KV cache of the prompt can be fetched from.

    Raises:
        BadDocumentError: If it contains no handle.
    """
    handle = _decode_prefill_body(body).handle
    _check_handle(handle)
    return CacheSource(address, handle)


def _check_handle(handle: str) -> None:
    """Check that a handle can be named in a header.

    Raises:
        BadDocumentError: If it can't.
    """
    if not is_token(handle, MAX_HANDLE_LENGTH):
        raise BadDocumentError("a handle that no header may hold")


def encode_release(source: CacheSource) -> bytes:
    """Encode a request that frees an unneeded KV cache at its prefill engine."""
    return (
        f"DELETE /kv-handle/{source.handle} HTTP/1.1\r\nHost: {source.address}\r\n\r\n"
    ).encode()


def encode_move(
    source: Announcement, id: str, destination: str, is_last: bool
) -> bytes:
    """Encode a request that copies the KV cache of a run to another engine.

    Args:
        source: The engine that runs it.
        id: The id of the run's request.
        destination: Address of the other engine.
        is_last: Whether the run stops first, so that nothing is left to copy after it.
    """
    headers = (("X-Expect-Instance", find_id(source.lifetime)),)
    values = {"Id": id, "TargetVersion": destination, "Last": is_last}
    return write_json_call("/kv-move", source.address, headers, values)


class _MoveBody(msgspec.Struct):
    handle: str = msgspec.field(default="", name="KvHandle")


_decode_move_body = make_json_decoder(_MoveBody)


def decode_move_answer(body: bytes) -> str:
    """Decode the body of the response to such a request.

    Returns:
        The handle of the copy; empty if the response names none.

    Raises:
        BadDocumentError: If it is invalid.
    """
    if not body:
        return ""
    handle = _decode_move_body(body).handle
    if handle:
        _check_handle(handle)
    return handle


def encode_cache_list_call(address: str) -> bytes:
    """Encode a request for the list of prompt parts in an engine's cache."""
    return f"GET /kv-list HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


class _CacheList(msgspec.Struct):
    # Rows of an empty string, the id of a part, its number of tokens, and the model.
    held: list[tuple[str, PartId, TokenCount, str]]


_decode_cache_list = make_json_decoder(_CacheList)


def decode_cache_list(body: bytes) -> list[Part]:
    """Decode the list of prompt parts in an engine's cache.

    Raises:
        BadDocumentError: If it is invalid.
    """
    rows = _decode_cache_list(body).held
    return [Part(id, tokens) for _, id, tokens, _ in rows]


def add_body(request: Request, body: Body) -> Request:
    """Add the whole body to a decoded request."""
    return replace(request, body=body)


def _list_forwarded(
    headers: Headers, connection: bytes, left_out: frozenset[bytes]
) -> Headers:
    """List the headers to forward: those left out and of the connection are not."""
    options = _list_connection_options(connection)
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in left_out and lower not in options
    )


def _list_connection_options(connection: bytes) -> frozenset[bytes]:
    return frozenset(option.strip().lower() for option in connection.split(b","))


def _parse_bearer_key(headers: Headers) -> bytes | None:
    """Return the only bearer key of a request.

    The result is None if there is no key, or several, or one of another scheme.
    """
    keys = [value for name, value in headers if name.lower() == KEY_HEADER]
    scheme, _, key = keys[0].strip().partition(b" ") if len(keys) == 1 else (b"",) * 3
    key = key.strip()
    return key if scheme.lower() == b"bearer" and key else None


def _parse_resumption(
    headers: Headers, values: dict[bytes, bytes]
) -> Resumption | None:
    """Return which stream a request goes on with; None if it names none.

    Two different values of a header are ambiguous, as targets may use either.
    """
    if RESUME_HEADER not in values and FIRST_ATTEMPT_HEADER not in values:
        return None
    last_ids = _list_values(headers, RESUME_HEADER)
    attempt_ids = _list_values(headers, FIRST_ATTEMPT_HEADER)
    if not any(last_ids | attempt_ids):
        return None
    is_event_clear = len(last_ids) <= 1 and all(map(is_attempt_id, last_ids))
    is_attempt_clear = len(attempt_ids) == 1 and all(map(is_attempt_id, attempt_ids))
    if is_event_clear and is_attempt_clear:
        return Resumption(attempt_ids.pop())
    return Resumption(is_event_clear=is_event_clear)


def _list_values(headers: Headers, name: bytes) -> set[str]:
    return {
        value.strip().decode("latin-1")
        for header, value in headers
        if header.lower() == name
    }


def _parse_wait_s(value: bytes | None) -> float | None:
    """Convert a number of milliseconds to seconds; return None if it is invalid."""
    wait_ms = None if value is None else parse_amount(value, MAX_WAIT_MS)
    return None if wait_ms is None else max(0.0, wait_ms / 1000)


def _parse_rate(value: bytes | None) -> float | None:
    """Return a rate, requests per second; None if it is missing or invalid."""
    rate = None if value is None else parse_amount(value, MAX_RATE)
    return rate if rate is not None and rate >= 0.0 else None


def _parse_rest_s(headers: Headers) -> float:
    """Return the longest valid number of seconds in headers that ask for rest.

    Anything else, such as a date, asks for none.
    """
    # Repeated headers may have been joined into one.
    texts = ",".join(_list_values(headers, REST_HEADER)).split(",")
    return max((_parse_rate(text.encode("latin-1")) or 0.0) for text in texts)


def _parse_idle_s(value: bytes | None) -> float | None:
    """Return the ``timeout`` of a ``Keep-Alive`` header, seconds; None without one."""
    for parameter in (value or b"").split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout":
            return parse_whole(number, MAX_IDLE_S)
    return None


def _parse_prompt(values: dict[bytes, bytes]) -> Prompt | None:
    model = values.get(b"x-model")
    counts = values.get(b"x-token-count", b"").split(b",")
    if model is None or len(counts) != 2:
        return None
    tokens, max_answer_tokens = (parse_whole(count, MAX_TOKENS) for count in counts)
    hint = values.get(b"x-length-hint")
    expected = 0.0 if hint is None else parse_amount(hint, MAX_TOKENS)
    parts = _parse_parts(values.get(b"x-prompt-prefix", b""))
    if None in (tokens, max_answer_tokens, expected, parts):
        return None
    name = model.decode("latin-1")
    return Prompt(name, parts, tokens, max_answer_tokens, int(expected))


def _parse_parts(value: bytes) -> tuple[Part, ...] | None:
    """Parse the parts of a prompt; return None if one is invalid."""
    parts = []
    for part in value.decode("latin-1").split(","):
        if part.strip():
            id, _, text = part.strip().partition(":")
            tokens = parse_whole(text, MAX_TOKENS)
            if tokens is None:
                return None
            parts.append(Part(id, tokens))
    return tuple(parts)
