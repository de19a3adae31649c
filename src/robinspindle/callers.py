"""The callers' API: completions in OpenAI's form, models, and plain services."""

import hashlib
import time
from collections.abc import Generator, Iterator

from robinspindle import completions
from robinspindle.core.activerequests import StreamResumption
from robinspindle.core.decoding import parse_whole
from robinspindle.core.documents import (
    ClassSection,
    Configuration,
    ServiceSection,
    WorkspaceSection,
)
from robinspindle.core.effects import Chunk, Ended, Event, Refusal
from robinspindle.core.workspaces import digest_bearer_key
from robinspindle.engines import HOP_HEADERS
from robinspindle.entry import GONE, Entry
from robinspindle.exceptions import CallerLeftError
from robinspindle.exchanges import (
    Exchange,
    end_exchange,
    next_event,
    open_exchange,
    wait_ended,
    wait_first,
)
from robinspindle.health import answer_health
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

SERVICES = "/services/"
PRIVATE_HEADERS = HOP_HEADERS | {"authorization", "host", "idempotency-key"}
SSE_HEADERS = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))
DEFAULT_CLASS = ClassSection(name="default")
LONGEST_KEY = 255


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
    # Digests are looked up, so the time of a look-up tells nothing of a key.
    workspace = configuration.workspaces_by_key.get(digest_bearer_key(request.bearer))
    if workspace is None:
        text = "the bearer key is missing or not known"
        raise make_error(401, "invalid_api_key", text)
    return workspace


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
    resumption = _read_resumption(request)
    exchange = open_exchange(
        entry, work, workspace, work_class, resumption, request.has_caller_left
    )
    head = completions.AnswerHead(shape, work.request, body.model, int(time.time()))
    if body.stream:
        first = wait_first(exchange)
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
    exchange = open_exchange(
        entry, work, workspace, work_class, None, request.has_caller_left
    )
    ended = wait_ended(exchange, [])
    end_exchange(exchange, "whole")
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


def _read_resumption(request: Request) -> StreamResumption | None:
    last = request.headers.get("last-event-id", "")
    if not last:
        return None
    run, _, rest = last.partition("/")
    target, _, number = rest.rpartition("/")
    events = parse_whole(number)
    if not target or events is None:
        text = "Last-Event-ID is not one of this system's"
        raise make_error(400, "bad_event_id", text, "Last-Event-ID")
    return StreamResumption(run, target, events + 1)


def _collect(exchange: Exchange, head: completions.AnswerHead) -> Answer:
    texts: list[str] = []
    ended = wait_ended(exchange, texts)
    usage = completions.make_usage(exchange.work.prompt_tokens, ended.count)
    end_exchange(exchange, "whole")
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
            event = yield from _await_event(exchange)
    finally:
        end_exchange(exchange, end)


def _await_event(exchange: Exchange) -> Generator[bytes, None, Event]:
    """Wait for the next event.

    A caller that has closed its sending half may still read. It gets comments, which
    can't be written to one that has left.
    """
    while True:
        try:
            return next_event(exchange)
        except CallerLeftError:
            yield completions.COMMENT


def _write_end(
    exchange: Exchange, head: completions.AnswerHead, ended: Ended, usage: bool
) -> Iterator[bytes]:
    yield completions.write_event(completions.write_part(head, "", ended.finish))
    if usage:
        used = completions.make_usage(exchange.work.prompt_tokens, ended.count)
        yield completions.write_event(completions.write_usage(head, used))
    yield completions.DONE
