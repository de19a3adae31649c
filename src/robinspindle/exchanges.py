"""Exchanges: a caller's thread waits for the events of its own request."""

import queue
import time
from dataclasses import dataclass, field

from robinspindle.core.activerequests import LatencyObjective, StreamResumption
from robinspindle.core.documents import ClassSection, WorkspaceSection
from robinspindle.core.effects import Chunk, Ended, Event, Refusal, Started
from robinspindle.entry import GONE, Entry
from robinspindle.messages import Work
from robinspindle.web import HttpError

EVENT_WAIT_S = 300.0


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


def open_exchange(
    entry: Entry,
    work: Work,
    workspace: WorkspaceSection,
    work_class: ClassSection,
    resumption: StreamResumption | None,
) -> Exchange:
    """Take a request in and hand it to the entry's loop.

    Raises:
        HttpError: If its workspace is over its limits.
    """
    retry_s = entry.admit(workspace)
    if retry_s > 0:
        text = f"workspace {workspace.name} is over its limits"
        raise HttpError(Refusal(429, "workspace_limit", text, "no", retry_s))
    exchange = Exchange(entry, work, workspace, work_class, time.monotonic())
    promise = LatencyObjective(work_class.first_token_s, work_class.promised_s)
    exchange.events = entry.submit(work, promise, resumption)
    return exchange


def next_event(exchange: Exchange) -> Event:
    """Wait for the next event of a request."""
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


def wait_first(exchange: Exchange) -> Event:
    """Wait for the first event that is worth an answer's head.

    Raises:
        HttpError: If the request is refused.
    """
    event = next_event(exchange)
    while isinstance(event, Started):
        event = next_event(exchange)
    if isinstance(event, Refusal):
        end_exchange(exchange, event.code)
        raise HttpError(event)
    return event


def wait_ended(exchange: Exchange, texts: list[str]) -> Ended:
    """Gather tokens until the answer is whole.

    Raises:
        HttpError: If the request is given up.
    """
    event = wait_first(exchange)
    while not isinstance(event, Ended):
        if isinstance(event, Chunk):
            texts.extend(event.texts)
        event = next_event(exchange)
        if isinstance(event, Refusal):
            end_exchange(exchange, event.code)
            raise HttpError(event)
    return event


def end_exchange(exchange: Exchange, end: str) -> None:
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
