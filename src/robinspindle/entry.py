"""The entry's process: sockets, threads and the clock around its decisions."""

import queue
import random
import signal
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import zmq

from robinspindle.controlstream import ControlStream
from robinspindle.core import burn, catchup, dispatch, leases, limits
from robinspindle.core.activerequests import (
    Dispatcher,
    LatencyObjective,
    StreamResumption,
)
from robinspindle.core.claims import apply_claims
from robinspindle.core.coordination import CoordinatorState, decide_coordinator_records
from robinspindle.core.documents import Configuration, WorkspaceSection
from robinspindle.core.effects import (
    AppendClaim,
    Deliver,
    Effect,
    Ended,
    Event,
    Refusal,
    Send,
)
from robinspindle.core.placement import find_addresses
from robinspindle.core.records import AnyRecord, encode_record
from robinspindle.core.state import State, read_configuration
from robinspindle.exceptions import EntryStoppedError
from robinspindle.keys import FleetKey
from robinspindle.loglink import LogLink
from robinspindle.logs import make_log
from robinspindle.logservice import CLAIMS, CONTROL, RecordsRead
from robinspindle.mailbox import Mailbox
from robinspindle.messages import AnyMessage, Fetch, Records, Report, Work
from robinspindle.metrics import EntryMetrics
from robinspindle.settings import EntrySettings
from robinspindle.transport import Connections, wait_for_any
from robinspindle.vmlist import ListFollower, VmsListed

CLAIMS_KEPT_S = 3.0
STOP_GRACE_S = 1.0
STOP_CALLERS_S = 10.0
STOP_LIMIT_S = 600.0
"""How long a stopping entry takes requests at least, and at the most waits for slow
callers and for its work, seconds."""

GONE = "gone"

log = make_log("entry")


@dataclass(frozen=True)
class Submitted:
    """A caller's request."""

    work: Work
    promise: LatencyObjective
    resumption: StreamResumption | None


@dataclass(frozen=True)
class HungUp:
    """A caller is gone."""

    request: str


@dataclass(frozen=True)
class StopAsked:
    """The process was asked to stop."""


class Entry:
    """One entry process: the loop around a `Dispatcher`.

    Callers' threads hand requests over with `submit` and read the events of their
    own request from a queue. Only the loop's thread touches the decisions' state.
    """

    def __init__(self, settings: EntrySettings, key: FleetKey | None):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:8]
        self.stream = ControlStream()
        self.metrics = EntryMetrics()
        self.ledger = burn.BurnCounts()
        self.is_stopping = False
        self._rng = random.Random()
        self.dispatcher = Dispatcher(settings.name, settings.zone, self._rng)
        self._limits = limits.WorkspaceLimits({})
        self._lock = threading.Lock()
        self._moved = threading.Condition()
        self._mailbox = Mailbox()
        self._events: dict[str, queue.SimpleQueue] = {}
        self._context = zmq.Context()
        self._poller = zmq.Poller()
        identity = f"{settings.name}-{self.incarnation}"
        self._connections = Connections(self._context, identity, key)
        post = self._mailbox.post
        streams = (CONTROL, CLAIMS)
        self._link = LogLink(settings.log, streams, post, self._rng, CLAIMS_KEPT_S)
        self._claims_are_read = False
        self._watch = leases.LeaseWatch(identity)
        self._duties = CoordinatorState(identity)
        self._serial = 0
        self._is_closed = False
        self._stop_asked_at = 0.0
        self._ticked_at = 0.0
        self._vms = ListFollower(settings.vms, post) if settings.vms else None

    @property
    def state(self) -> State:
        """The folded control stream; safe to read from any thread."""
        return self.stream.state

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return read_configuration(self.stream.state)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self.is_stopping
            and self.stream.is_ready
            and self._claims_are_read
            and self.configuration is not None
        )

    @property
    def reports(self) -> dict[str, Report]:
        """The last reports by target."""
        known = dict(self.dispatcher.evidence)
        return {name: e.report for name, e in known.items() if e.report is not None}

    @property
    def is_log_reached(self) -> bool:
        """Whether the log service answered the last read."""
        return self._link.is_reached

    def make_id(self) -> str:
        """Make an id that is unique in the deployment."""
        with self._lock:
            self._serial += 1
            return f"{self.settings.name}-{self.incarnation}-{self._serial}"

    def admit(self, workspace: WorkspaceSection) -> float:
        """Take a request in by its workspace's limits; see `limits.admit`."""
        with self._lock:
            now = time.monotonic()
            return limits.admit(self._limits, self.configuration, workspace, now)

    def submit(
        self,
        work: Work,
        promise: LatencyObjective,
        resumption: StreamResumption | None = None,
    ) -> queue.SimpleQueue:
        """Hand a request over and return the queue of its events.

        Raises:
            EntryStoppedError: If the loop takes no more requests.
        """
        events: queue.SimpleQueue = queue.SimpleQueue()
        with self._lock:
            if self._is_closed:
                raise EntryStoppedError("the entry has stopped")
            self._events[work.request] = events
            self.metrics.in_flight.set(len(self._events))
        self._mailbox.post(Submitted(work, promise, resumption))
        return events

    def end(
        self, request: str, workspace: WorkspaceSection, end: str, spender: str | None
    ) -> None:
        """Note that a caller has been served, or is gone.

        Args:
            request: The request's id.
            workspace: Whose it is.
            end: How it ended, for the metrics.
            spender: Target or decision that broke the promise, empty for none, or
                None when it counts neither way.
        """
        subject = burn.ObjectiveKey(workspace.name, workspace.work or "default")
        with self._lock:
            self._events.pop(request, None)
            self.metrics.in_flight.set(len(self._events))
            limits.release(self._limits, workspace.name)
            if spender is not None:
                burn.note_ended_request(self.ledger, subject, time.monotonic(), spender)
        self.metrics.requests.labels(subject.work, end).inc()
        if end == GONE:
            self._mailbox.post(HungUp(request))

    def list_burn(self) -> list[burn.BurnRow]:
        """List the burn of every subject over every window."""
        configuration = self.configuration
        classes = configuration.classes if configuration else {}
        objectives = {name: work.objective for name, work in classes.items()}
        with self._lock:
            return burn.list_burn(self.ledger, time.monotonic(), objectives)

    def append_and_fold(self, record: AnyRecord, wait_s: float) -> bool:
        """Append a record and wait until it is folded here.

        Returns:
            Whether it was folded in time; its verdict is then in `state`.

        Raises:
            LogUnavailableError: If the log gave no answer.
        """
        offset = self._link.service.append(CONTROL, encode_record(record))
        with self._moved:
            return self._moved.wait_for(lambda: self.state.offset >= offset, wait_s)

    def run(self, has_requests: Callable[[], bool] = lambda: False) -> None:
        """Serve until a stop was asked for and nothing is under way.

        Args:
            has_requests: Tells whether callers' requests are still being read, or
                their answers written.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._mailbox.post(StopAsked()))
        # Nothing is to be read anew: the configuration comes through the log.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self._poller.register(self._mailbox, zmq.POLLIN)
        self._link.start()
        if self._vms is not None:
            self._vms.start()
        log("The entry is starting.", entry=self.settings.name)
        try:
            while not self._is_closed:
                self._turn(wait_for_any(self._poller, self._mailbox, dispatch.TICK_S))
                self._close_if_idle(time.monotonic(), has_requests)
        finally:
            self._refuse_rest()
            self._close()

    def _close_if_idle(self, now: float, has_requests: Callable[[], bool]) -> None:
        """Take no more requests if a stop was asked for and nothing is under way.

        The balancer needs a moment to see that the entry is not ready any more;
        requests that come meanwhile are served like all others.
        """
        if not self.is_stopping:
            return
        asked = now - self._stop_asked_at
        # Asked for first: what has been read is under way by then.
        is_awaited = asked <= STOP_CALLERS_S and has_requests()
        with self._lock:
            is_idle = asked > STOP_GRACE_S and not (self._events or is_awaited)
            self._is_closed = is_idle or asked > STOP_LIMIT_S

    def _turn(self, items: list) -> None:
        for peer, message in self._connections.receive_all():
            self._take_message(peer, message)
        for item in items:
            self._take_item(item)
        now = time.monotonic()
        if now - self._ticked_at >= dispatch.TICK_S:
            self._ticked_at = now
            self._carry_out(dispatch.tick(self.dispatcher, now))
            self._coordinate(now)

    def _take_message(self, peer: str, message: AnyMessage) -> None:
        now = time.monotonic()
        if isinstance(message, Fetch):
            records = self.stream.answer_fetch(message)
            if records is not None:
                self._connections.send(peer, records)
        elif isinstance(message, Records):
            self.stream.take_records(message)
            self._note_state()
        else:
            self._carry_out(dispatch.receive(self.dispatcher, now, peer, message))
        if isinstance(message, Report):
            own = self.state.offset
            fetch = catchup.decide_fetch(self.stream.window, now, own, message.offset)
            if fetch is not None:
                self._connections.send(peer, fetch)

    def _take_item(self, item: object) -> None:
        now = time.monotonic()
        if isinstance(item, Submitted):
            log("A request came.", request=item.work.request, pool=item.work.pool)
            effects = dispatch.submit(
                self.dispatcher, now, item.work, item.promise, item.resumption
            )
            self._carry_out(effects)
        elif isinstance(item, HungUp):
            self._carry_out(dispatch.handle_disconnect(self.dispatcher, item.request))
        elif isinstance(item, RecordsRead):
            self._take_records(now, item)
        elif isinstance(item, VmsListed):
            dispatch.apply_vm_list(self.dispatcher, set(item.leaving))
        elif isinstance(item, StopAsked) and not self.is_stopping:
            log("The entry was asked to stop.", entry=self.settings.name)
            self.is_stopping = True
            self._stop_asked_at = now

    def _take_records(self, now: float, read: RecordsRead) -> None:
        if read.stream == CONTROL:
            self.stream.take_read(read)
            self._note_state()
            return
        keys: set[str] = set()
        for offset, data in enumerate(read.records, read.first):
            batch = apply_claims(self.dispatcher.claims, offset, data)
            keys.update(record.key for record in batch)
        self._claims_are_read |= read.first + len(read.records) >= read.next
        self._carry_out(dispatch.apply_claim_changes(self.dispatcher, now, keys))

    def _note_state(self) -> None:
        before = self.dispatcher.state
        dispatch.apply_state(self.dispatcher, self.state)
        self.metrics.offset.set(self.state.offset)
        self._connect()
        if before.version != self.state.version:
            log("A configuration is in force.", version=self.state.version)
        with self._moved:
            self._moved.notify_all()

    def _connect(self) -> None:
        addresses = find_addresses(self.dispatcher)
        self._connections.update(addresses, self._poller)

    def _coordinate(self, now: float) -> None:
        if not self.stream.is_ready or self.is_stopping:
            return
        self._watch.observe(now, self.state.lease)
        records: list[AnyRecord] = []
        record = leases.decide_lease(self._watch, now, self.make_id(), self._rng)
        if record is not None:
            records.append(record)
        records += decide_coordinator_records(
            self._duties, self.state, self.reports, now, time.time(), self.make_id()
        )
        for record in records:
            self._link.append_record(record)

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._connections.send(effect.peer, effect.message)
            elif isinstance(effect, Deliver):
                self._deliver(effect.request, effect.event)
            elif isinstance(effect, AppendClaim):
                self._link.append_claim(effect.record)

    def _deliver(self, request: str, event: Event) -> None:
        is_last = isinstance(event, Ended | Refusal)
        with self._lock:
            events = self._events.get(request)
        if events is not None:
            events.put(event)
        if is_last and events is not None:
            code = event.code if isinstance(event, Refusal) else "whole"
            log("A request ended.", request=request, end=code)

    def _refuse_rest(self) -> None:
        """Refuse what is under way after a failure, or a stop that took too long."""
        text = "the entry has stopped before the whole answer came"
        with self._lock:
            self._is_closed = True
            rest = list(self._events.values())
        for events in rest:
            events.put(Refusal(504, "stopping", text, "unknown"))

    def _close(self) -> None:
        self._link.close()
        self._connections.close()
        self._context.destroy(linger=1000)
        log("The entry has stopped.", entry=self.settings.name)
