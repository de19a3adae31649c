"""Exchanges: a caller's thread waits for the events of its own request."""

import contextlib
import queue
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from robinspindle.core.activerequests import LatencyObjective, StreamResumption
from robinspindle.core.documents import ClassSection, WorkspaceSection
from robinspindle.core.effects import Chunk, Ended, Event, Refusal, Started
from robinspindle.entry import GONE, Entry
from robinspindle.exceptions import CallerLeftError, EntryStoppedError
from robinspindle.messages import Work
from robinspindle.web import STOPPED_RETRY_S, HttpError

EVENT_WAIT_S = 300.0

CALLER_CHECK_S = 0.1
"""Interval at which a waiting thread looks whether its caller has left, seconds: work
for it has to end within half a second, and two comments in a stream may be needed."""


@dataclass
class Exchange:
    """One caller's request while its thread serves it.

    Attributes:
        entry: The entry.
        work: The request.
        workspace: Whose it is.
        work_class: What was promised.
        begun: When it came, monotonic seconds.
        has_caller_left: Tells whether the caller has closed its connection.
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
    has_caller_left: Callable[[], bool] = lambda: False
    events: queue.SimpleQueue = field(default_factory=queue.SimpleQueue)
    target: str = ""
    run: str = ""
    first_at: float = 0.0
    last_at: float = 0.0

    @property
    def must_go_on(self) -> bool:
        """Whether the answer is waited for, whether or not the caller seems to leave.

        Who sent a key may ask for the answer again, and a started run that may not be
        repeated goes on anyway.
        """
        is_started = bool(self.target) and not self.work.repeatable
        return is_started or bool(self.work.key)


def open_exchange(
    entry: Entry,
    work: Work,
    workspace: WorkspaceSection,
    work_class: ClassSection,
    resumption: StreamResumption | None,
    has_caller_left: Callable[[], bool],
) -> Exchange:
    """Take a request in and hand it to the entry's loop.

    Raises:
        HttpError: If its workspace is over its limits, or the entry has stopped.
    """
    retry_s = entry.admit(workspace)
    if retry_s > 0:
        text = f"workspace {workspace.name} is over its limits"
        raise HttpError(Refusal(429, "workspace_limit", text, "no", retry_s))
    now = time.monotonic()
    exchange = Exchange(entry, work, workspace, work_class, now, has_caller_left)
    promise = LatencyObjective(work_class.first_token_s, work_class.promised_s)
    try:
        exchange.events = entry.submit(work, promise, resumption)
    except EntryStoppedError as error:
        refusal = Refusal(503, "stopping", str(error), "no", STOPPED_RETRY_S)
        raise HttpError(refusal) from None
    return exchange


def next_event(exchange: Exchange) -> Event:
    """Wait for the next event of a request.

    Raises:
        CallerLeftError: If the caller has closed its connection meanwhile.
    """
    event = _wait_event(exchange)
    if isinstance(event, Started):
        exchange.target = event.target
        exchange.run = event.run
    if isinstance(event, Chunk):
        _note_tokens(exchange, len(event.texts))
    return event


def _wait_event(exchange: Exchange) -> Event:
    waiting_until = time.monotonic() + EVENT_WAIT_S
    while time.monotonic() < waiting_until:
        with contextlib.suppress(queue.Empty):
            return exchange.events.get(timeout=CALLER_CHECK_S)
        if not exchange.must_go_on and exchange.has_caller_left():
            raise CallerLeftError("closed by the caller")
    return Refusal(504, "too_long", "the entry gave no answer", "unknown", 1.0)


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
        CallerLeftError: If the caller has left; the request has ended.
    """
    with _ended_if_caller_leaves(exchange):
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
        CallerLeftError: If the caller has left; the request has ended.
    """
    event = wait_first(exchange)
    while not isinstance(event, Ended):
        if isinstance(event, Chunk):
            texts.extend(event.texts)
        with _ended_if_caller_leaves(exchange):
            event = next_event(exchange)
        if isinstance(event, Refusal):
            end_exchange(exchange, event.code)
            raise HttpError(event)
    return event


@contextlib.contextmanager
def _ended_if_caller_leaves(exchange: Exchange) -> Iterator[None]:
    try:
        yield
    except CallerLeftError:
        end_exchange(exchange, GONE)
        raise


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
