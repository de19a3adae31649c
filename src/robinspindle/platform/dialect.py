"""Translates requests and answers between HTTP heads and the product's types."""

from dataclasses import replace

import msgspec

from robinspindle.core.forwarding import (
    AnswerHead,
    CacheSource,
    Headers,
    Part,
    Prompt,
    Request,
    Send,
)
from robinspindle.core.lifetimes import find_id
from robinspindle.exceptions import BadDocumentError

ONE_CONNECTION = frozenset(
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
"""Headers of one connection; length and expectation are written anew where needed."""

OURS = frozenset(
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
"""Headers that only the system sets; a caller's own values are dropped."""

KEY = b"authorization"
WORKSPACE = b"x-tenant"

RESUME = b"last-event-id"
MISDIRECTED = 421


def decode_request(method: str, target: bytes, headers: Headers, now: float) -> Request:
    """Decode the head of a caller's request; the body is added later."""
    values = {name.lower(): value for name, value in headers}
    named = _list_named(values.get(b"connection", b""))
    kept = tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in ONE_CONNECTION
        and lower not in OURS
        and lower not in named
    )
    return Request(
        id=values.get(b"x-request-id", b"").decode("latin-1"),
        method=method,
        target=target,
        host=values.get(b"host", b"").decode("latin-1"),
        headers=kept,
        body=b"",
        wait_s=_read_ms(values.get(b"x-deadline-ms")),
        received_at=now,
        prompt=_read_prompt(values),
        caller=values.get(KEY, b""),
        key=_read_key(headers),
    )


def set_workspace(request: Request, name: str | None) -> Request:
    """Put the workspace of a request in the place of its key, for all that follows.

    Args:
        request: The request as its caller sent it.
        name: Its workspace; None for none. What the caller says of it is dropped.
    """
    headers = tuple(
        pair for pair in request.headers if pair[0].lower() not in (KEY, WORKSPACE)
    )
    if name is not None:
        headers += ((b"X-Tenant", name.encode()),)
    return replace(request, headers=headers, caller=(name or "").encode(), key=None)


def encode_request(request: Request, send: Send) -> bytes:
    """Write the head and body of a request for one target."""
    headers = request.headers
    if send.resume_after is not None:
        headers = tuple(pair for pair in headers if pair[0].lower() != RESUME)
    lines = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"X-Deadline-Ms: %d" % max(1, int(send.left_s * 1000)))
    lines.append(b"X-Expect-Instance: " + find_id(send.lifetime).encode())
    lines.append(b"X-Request-Priority: %d" % send.priority)
    if send.prefill_only:
        lines.append(b"X-Stage: prefill")
    if send.holder:
        lines.append(b"Kv-Fetch: " + send.holder.encode())
    if send.source is not None:
        source = f"{send.source.address}/{send.source.handle}"
        lines.append(b"X-Kv-Source: " + source.encode())
    if send.resume_after is not None:
        lines.append(b"Last-Event-Id: " + send.resume_after.encode())
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def decode_answer(status: int, reason: bytes, headers: Headers) -> AnswerHead:
    """Decode the head of a target's answer."""
    values = {name.lower(): value for name, value in headers}
    named = _list_named(values.get(b"connection", b""))
    kept = tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in ONE_CONNECTION and lower not in named
    )
    return AnswerHead(
        status=status,
        reason=reason,
        headers=kept,
        request_id=values.get(b"x-request-id", b"").decode("latin-1"),
        # Not the status: a 503 without this header may come from a request that ran.
        not_run=b"x-not-executed" in values or status == MISDIRECTED,
        answered_by=values.get(b"x-instance-id", b"").decode("latin-1"),
        # A target signs its answers; the signature travels on untouched.
        sealed=b"x-response-seal" in values and b"content-encoding" not in values,
        idle_s=_read_idle(values.get(b"keep-alive")),
    )


class _Read(msgspec.Struct):
    handle: str = msgspec.field(name="KvHandle")


def decode_prefill_answer(address: str, body: bytes) -> CacheSource:
    """Decode the answer to a prompt that was only read.

    Raises:
        BadDocumentError: When it names no handle.
    """
    try:
        return CacheSource(address, msgspec.json.decode(body, type=_Read).handle)
    except msgspec.MsgspecError as error:
        raise BadDocumentError(str(error)) from None


def encode_release(source: CacheSource) -> bytes:
    """Write a request that frees a prompt which was read and is not needed."""
    return (
        f"DELETE /kv-handle/{source.handle} HTTP/1.1\r\nHost: {source.address}\r\n\r\n"
    ).encode()


def encode_cache_list_call(address: str) -> bytes:
    """Write a call for what an engine's cache holds."""
    return f"GET /kv-list HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


class _List(msgspec.Struct):
    # Rows of a text that is empty, a part's id, its tokens, and the model.
    held: list[tuple[str, str, int, str]]


def decode_cache_list(body: bytes) -> list[Part]:
    """Decode what an engine's cache holds.

    Raises:
        BadDocumentError: When it can't be read.
    """
    try:
        rows = msgspec.json.decode(body, type=_List).held
    except msgspec.MsgspecError as error:
        raise BadDocumentError(str(error)) from None
    return [Part(id, tokens) for _, id, tokens, _ in rows]


def add_body(request: Request, body: bytes) -> Request:
    """Add the whole body to a decoded request."""
    return replace(request, body=body)


def _list_named(connection: bytes) -> frozenset[bytes]:
    return frozenset(word.strip().lower() for word in connection.split(b","))


def _read_key(headers: Headers) -> bytes | None:
    """Read the one bearer key of a request; None for none, several or another kind."""
    found = [value for name, value in headers if name.lower() == KEY]
    scheme, _, key = found[0].strip().partition(b" ") if len(found) == 1 else (b"",) * 3
    key = key.strip()
    return key if scheme.lower() == b"bearer" and key else None


def _read_ms(value: bytes | None) -> float | None:
    try:
        return None if value is None else max(0.0, float(value) / 1000)
    except ValueError:
        return None


def _read_idle(value: bytes | None) -> float | None:
    for word in (value or b"").split(b","):
        name, _, number = word.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def _read_prompt(values: dict[bytes, bytes]) -> Prompt | None:
    model = values.get(b"x-model")
    counts = values.get(b"x-token-count", b"").split(b",")
    if model is None or len(counts) != 2:
        return None
    try:
        tokens, max_answer_tokens = (int(count) for count in counts)
        expected = int(float(values.get(b"x-length-hint", b"0")))
        parts = tuple(_read_parts(values.get(b"x-prompt-prefix", b"")))
    except ValueError:
        return None
    return Prompt(model.decode("latin-1"), parts, tokens, max_answer_tokens, expected)


def _read_parts(value: bytes):
    for word in value.decode("latin-1").split(","):
        if word.strip():
            id, _, tokens = word.strip().partition(":")
            yield Part(id, int(tokens))
