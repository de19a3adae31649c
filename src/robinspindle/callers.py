"""The callers' API: completions in OpenAI's form, models, and plain services."""

import hashlib
import queue
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from robinspindle import completions
from robinspindle.core.documents import (
    ClassSection,
    Configuration,
    ServiceSection,
    WorkspaceSection,
)
from robinspindle.core.effects import Chunk, Ended, Event, Refusal, Started
from robinspindle.core.flights import Comeback, Promise
from robinspindle.engines import HOP_HEADERS
from robinspindle.entry import GONE, Entry
from robinspindle.health import answer_health
from robinspindle.keys import digest_bearer_key
from robinspindle.messages import Work
from robinspindle.web import (
    Answer,
    Handler,
    HttpError,
    Request,
    answer_json,
    describe_error,
    make_error,
)

EVENT_WAIT_S = 300.0
SERVICES = "/services/"
PRIVATE_HEADERS = HOP_HEADERS | {"authorization", "host", "idempotency-key"}
SSE_HEADERS = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))
DEFAULT_CLASS = ClassSection(name="default")
LONGEST_KEY = 255


@dataclass
class Exchange:
    """One caller's request while its thread serves it.

    Attributes:
        entry: The entry.
        work: The request.
        workspace: Whose it is.
        work_class: What was promised.
        begun: When it came, monotonic seconds.
        events: Events from the entry's loop.
        target: The target that runs it.
        run: Name of the run.
        first_at: When the first token came.
        last_at: When the last token came.
    """

    entry: Entry
    work: Work
    workspace: WorkspaceSection
    work_class: ClassSection
    begun: float
    events: queue.SimpleQueue = field(default_factory=queue.SimpleQueue)
    target: str = ""
    run: str = ""
    first_at: float = 0.0
    last_at: float = 0.0


def make_callers_handler(entry: Entry) -> Handler:
    """Make the handler of the callers' listener."""

    def handle(request: Request) -> Answer:
        health = answer_health(request, entry.metrics.registry, lambda: entry.is_ready)
        if health is not None and request.path != "/metrics":
            return health
        configuration = entry.configuration
        if configuration is None:
            text = "no configuration is in force yet"
            raise HttpError(Refusal(503, "starting", text, "no", 1.0))
        workspace = find_workspace(configuration, request)
        if request.path == "/v1/models" and request.method == "GET":
            return answer_json(_list_models(configuration))
        if request.path == "/v1/chat/completions":
            return _complete(entry, workspace, request, completions.CHAT)
        if request.path == "/v1/completions":
            return _complete(entry, workspace, request, completions.TEXT)
        if request.path.startswith(SERVICES):
            return _call(entry, workspace, request)
        raise make_error(404, "not_found", f"nothing is at {request.path}")

    return handle


def find_workspace(configuration: Configuration, request: Request) -> WorkspaceSection:
    """Find whose key a request carries.

    Raises:
        HttpError: If it carries none, or one that is not known.
    """
    digest = digest_bearer_key(request.bearer)
    # Digests are compared, so the time of a comparison tells nothing of a key.
    for workspace in configuration.workspaces.values():
        if workspace.key_digest == digest:
            return workspace
    raise make_error(401, "invalid_api_key", "the bearer key is missing or not known")


def _list_models(configuration: Configuration) -> dict:
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "robinspindle"}
        for name in configuration.models
    ]
    return {"object": "list", "data": models}


def _complete(
    entry: Entry,
    workspace: WorkspaceSection,
    request: Request,
    shape: completions.Shape,
) -> Answer:
    if request.method != "POST":
        raise make_error(405, "method_not_allowed", "use POST")
    body = completions.parse_body(request.body, shape.body)
    model, _, adapter = body.model.partition(":")
    if model not in entry.configuration.models:
        text = f"no model {model} is served here"
        raise make_error(404, "model_not_found", text, "model")
    work_class = _find_class(entry.configuration, workspace)
    key = _read_key(request, workspace)
    repeatable = work_class.repeatable and not key
    work = Work(
        request=entry.make_id(),
        kind="generate",
        pool=model,
        workspace=workspace.name,
        priority=work_class.priority,
        repeatable=repeatable,
        key=key,
        digest=hashlib.sha256(request.body).hexdigest()[:32] if key else "",
        adapter=adapter,
        prompt=body.prompt,
        prompt_tokens=completions.count_tokens(body.prompt),
        prefix=completions.digest_text(body.prefix),
        prefix_tokens=completions.count_tokens(body.prefix) if body.prefix else 0,
        max_tokens=body.token_limit,
        trace=request.headers.get("traceparent", ""),
    )
    comeback = _read_comeback(request)
    exchange = _open(entry, work, workspace, work_class, comeback)
    head = completions.AnswerHead(shape, work.request, body.model, int(time.time()))
    if body.stream:
        first = _wait_first(exchange)
        stream = _stream(exchange, head, first, body.wants_usage)
        return Answer(200, stream, SSE_HEADERS)
    return _collect(exchange, head)


def _call(entry: Entry, workspace: WorkspaceSection, request: Request) -> Answer:
    name, _, path = request.path[len(SERVICES) :].partition("/")
    service = entry.configuration.services.get(name)
    if service is None:
        raise make_error(404, "service_not_found", f"no service {name} is known here")
    work_class = _find_class(entry.configuration, workspace)
    repeatable = request.method in service.repeatable
    key = "" if repeatable else _read_key(request, workspace)
    work = Work(
        request=entry.make_id(),
        kind="call",
        pool=name,
        workspace=workspace.name,
        priority=work_class.priority,
        repeatable=repeatable,
        key=key,
        digest=_digest_call(request, service) if key else "",
        method=request.method,
        path=f"/{path}" + (f"?{request.query}" if request.query else ""),
        headers=tuple(
            (name, value)
            for name, value in request.headers.items()
            if name not in PRIVATE_HEADERS
        ),
        body=request.body,
    )
    exchange = _open(entry, work, workspace, work_class, None)
    ended = _wait_ended(exchange, [])
    _end(exchange, "whole")
    headers = tuple((name, value) for name, value in ended.headers)
    return Answer(ended.status, [ended.body], headers)


def _digest_call(request: Request, service: ServiceSection) -> str:
    text = f"{service.name}\n{request.method}\n{request.path}\n{request.query}\n"
    return hashlib.sha256(text.encode() + request.body).hexdigest()[:32]


def _find_class(
    configuration: Configuration, workspace: WorkspaceSection
) -> ClassSection:
    return configuration.classes.get(workspace.work, DEFAULT_CLASS)


def _read_key(request: Request, workspace: WorkspaceSection) -> str:
    key = request.headers.get("idempotency-key", "")
    if len(key) > LONGEST_KEY:
        text = f"Idempotency-Key is longer than {LONGEST_KEY} characters"
        raise make_error(400, "bad_key", text, "Idempotency-Key")
    return f"{workspace.name}/{key}" if key else ""


def _read_comeback(request: Request) -> Comeback | None:
    last = request.headers.get("last-event-id", "")
    if not last:
        return None
    run, _, rest = last.partition("/")
    target, _, number = rest.rpartition("/")
    if not target or not number.isdecimal():
        text = "Last-Event-ID is not one of this system's"
        raise make_error(400, "bad_event_id", text, "Last-Event-ID")
    return Comeback(run, target, int(number) + 1)


def _open(
    entry: Entry,
    work: Work,
    workspace: WorkspaceSection,
    work_class: ClassSection,
    comeback: Comeback | None,
) -> Exchange:
    retry_s = entry.admit(workspace)
    if retry_s > 0:
        text = f"workspace {workspace.name} is over its limits"
        raise HttpError(Refusal(429, "workspace_limit", text, "no", retry_s))
    exchange = Exchange(entry, work, workspace, work_class, time.monotonic())
    promise = Promise(work_class.first_token_s, work_class.promised_s)
    exchange.events = entry.submit(work, promise, comeback)
    return exchange


def _next_event(exchange: Exchange) -> Event:
    try:
        event = exchange.events.get(timeout=EVENT_WAIT_S)
    except queue.Empty:
        text = "the entry gave no answer"
        event = Refusal(504, "too_long", text, "unknown", 1.0)
    if isinstance(event, Started):
        exchange.target = event.target
        exchange.run = event.run
    if isinstance(event, Chunk):
        _note_tokens(exchange, len(event.texts))
    return event


def _note_tokens(exchange: Exchange, count: int) -> None:
    now = time.monotonic()
    latencies = exchange.entry.metrics.latencies
    if not exchange.first_at:
        exchange.first_at = now
        seconds = now - exchange.begun
        latencies.record("first_token", exchange.work_class.name, seconds)
    else:
        seconds = (now - exchange.last_at) / count
        latencies.record("between_tokens", exchange.work_class.name, seconds)
    exchange.last_at = now
    exchange.entry.metrics.tokens.inc(count)


def _wait_first(exchange: Exchange) -> Event:
    """Wait for the first event that is worth an answer's head.

    Raises:
        HttpError: If the request is refused.
    """
    event = _next_event(exchange)
    while isinstance(event, Started):
        event = _next_event(exchange)
    if isinstance(event, Refusal):
        _end(exchange, event.code)
        raise HttpError(event)
    return event


def _wait_ended(exchange: Exchange, texts: list[str]) -> Ended:
    """Gather tokens until the answer is whole.

    Raises:
        HttpError: If the request is given up.
    """
    event = _wait_first(exchange)
    while not isinstance(event, Ended):
        if isinstance(event, Chunk):
            texts.extend(event.texts)
        event = _next_event(exchange)
        if isinstance(event, Refusal):
            _end(exchange, event.code)
            raise HttpError(event)
    return event


def _collect(exchange: Exchange, head: completions.AnswerHead) -> Answer:
    texts: list[str] = []
    ended = _wait_ended(exchange, texts)
    usage = completions.make_usage(exchange.work.prompt_tokens, ended.count)
    _end(exchange, "whole")
    whole = completions.write_whole(head, "".join(texts), ended.finish, usage)
    return answer_json(whole)


def _stream(
    exchange: Exchange, head: completions.AnswerHead, first: Event, usage: bool
) -> Iterator[bytes]:
    """Write events as they come; ``[DONE]`` only after the whole answer."""
    event = first
    end = GONE
    try:
        while True:
            if isinstance(event, Chunk):
                last = event.first + len(event.texts) - 1
                id = f"{exchange.run}/{exchange.target}/{last}"
                part = completions.write_part(head, "".join(event.texts), None)
                yield completions.write_event(part, id)
            elif isinstance(event, Ended):
                end = "whole"
                yield from _write_end(exchange, head, event, usage)
                return
            elif isinstance(event, Refusal):
                end = event.code
                yield completions.write_event({"error": describe_error(event)})
                return
            event = _next_event(exchange)
    finally:
        _end(exchange, end)


def _write_end(
    exchange: Exchange, head: completions.AnswerHead, ended: Ended, usage: bool
) -> Iterator[bytes]:
    yield completions.write_event(completions.write_part(head, "", ended.finish))
    if usage:
        used = completions.make_usage(exchange.work.prompt_tokens, ended.count)
        yield completions.write_event(completions.write_usage(head, used))
    yield completions.DONE


def _end(exchange: Exchange, end: str) -> None:
    """Count how the promise was kept, and by whom it was spent if not."""
    seconds = time.monotonic() - exchange.begun
    promised = exchange.work_class
    first_s = exchange.first_at - exchange.begun if exchange.first_at else 0.0
    late = seconds > promised.promised_s or first_s > promised.first_token_s
    spender: str | None = ""
    if end == GONE:
        spender = None
    elif end != "whole":
        spender = f"refusal {end}"
    elif late:
        spender = f"target {exchange.target}"
    exchange.entry.metrics.latencies.record("answer", promised.name, seconds)
    exchange.entry.end(exchange.work.request, exchange.workspace, end, spender)
