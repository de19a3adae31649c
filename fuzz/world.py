"""A deployment in memory: the real decisions, fake interfaces, simulated time."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from fuzz.eventqueue import EventQueue
from fuzz.fakes import CHANGE_S, STEP_S, FakeLog, FakeTarget
from robinspindle.controlstream import ControlStream
from robinspindle.core import agentcontrol, catchup, dispatch, leases
from robinspindle.core.activerequests import Dispatcher, LatencyObjective
from robinspindle.core.claims import AnyClaim, apply_claims, encode_claims
from robinspindle.core.effects import (
    Abort,
    AppendClaim,
    AppendRecord,
    Chunk,
    Deliver,
    Effect,
    Ended,
    Event,
    GiveOrder,
    Launch,
    Refusal,
    Send,
)
from robinspindle.core.records import (
    AnyRecord,
    Checkpoint,
    ObservedEngine,
    encode_record,
)
from robinspindle.core.runs import AgentState
from robinspindle.core.state import encode_state
from robinspindle.logservice import CLAIMS, CONTROL, RecordsRead
from robinspindle.messages import (
    AnyMessage,
    Fetch,
    Finished,
    Hello,
    Records,
    Report,
    Work,
)

TICK_S = 0.1
MOST_DELAY_S = 0.02
CLAIM_RETRY_S = 3.0


@dataclass
class Process:
    """One process: alive or not, paused or not, cut or not.

    Attributes:
        name: Its name.
        life: Number of its run; a restart has a new one and knows nothing.
        is_alive: Whether it runs.
        is_paused: Whether it is frozen.
        is_cut: Whether it can't reach the log.
        is_stopping: Whether it was asked to stop.
        inbox: What happened to it while it was frozen.
        stream: The folded control stream.
        claims_next: Where it goes on reading claims.
        waiting: Claims to append, with the time they were made.
    """

    name: str
    life: int = 0
    is_alive: bool = True
    is_paused: bool = False
    is_cut: bool = False
    is_stopping: bool = False
    inbox: list[Callable] = field(default_factory=list)
    stream: ControlStream = field(default_factory=ControlStream)
    next_read: int = 0
    claims_next: int = 0
    waiting: list[tuple[float, AnyClaim]] = field(default_factory=list)
    entry: Dispatcher | None = None
    host: AgentState | None = None
    watch: leases.LeaseWatch | None = None


@dataclass
class CallerRow:
    """A caller's request and what came back.

    Attributes:
        work: The request.
        entry: The entry it went to, and that entry's life.
        at: When.
        texts: Tokens delivered.
        end: The last event.
        ends: How many last events came.
    """

    work: Work
    entry: tuple[str, int]
    at: float
    texts: list[str] = field(default_factory=list)
    end: Event | None = None
    ends: int = 0


@dataclass
class LeavingPeriod:
    """A time in which a target's agent knew that the target is leaving.

    Attributes:
        since: When it learnt so, simulated seconds.
        until: When it learnt otherwise or ended, simulated seconds.
    """

    since: float
    until: float = math.inf


class World:
    """All processes and fakes under one simulated clock."""

    def __init__(self, seed: int, text: str):
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.processes: dict[str, Process] = {}
        self.targets: dict[str, FakeTarget] = {}
        self.callers: dict[str, CallerRow] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.serial = 0
        self._events = EventQueue(100.0)
        self._arrivals: dict[tuple[str, str], float] = {}
        self.published = [text]
        self.cut_by_stop: list[str] = []
        self.leaving: dict[str, list[LeavingPeriod]] = {}

    @property
    def now(self) -> float:
        """The present time, seconds."""
        return self._events.now

    def make_id(self, word: str) -> str:
        """Make a unique id."""
        self.serial += 1
        return f"{word}-{self.serial}"

    def add_entry(self, name: str, zone: str) -> None:
        """Start an entry."""
        process = Process(name)
        self.processes[name] = process
        self._begin_entry(process, zone)

    def add_agent(self, target: FakeTarget) -> None:
        """Start an agent beside a target."""
        self.targets[target.name] = target
        process = Process(target.name)
        self.processes[target.name] = process
        self._begin_agent(process)

    def restart(self, name: str) -> None:
        """Start a killed process again, with nothing kept."""
        process = self.processes[name]
        if process.is_alive:
            return
        zone = process.entry.zone if process.entry else ""
        fresh = Process(name, life=process.life + 1, is_cut=process.is_cut)
        self.processes[name] = fresh
        if zone:
            self._begin_entry(fresh, zone)
        else:
            self._begin_agent(fresh)

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes[name]
        if not process.is_alive:
            return
        process.is_alive = False
        target = self.targets.get(name)
        if target and not target.is_service:
            for row, _, _ in target.running.values():
                row.ended = "abandoned"
            target.running.clear()

    def stop(self, name: str) -> None:
        """Ask a process to stop; it ends when nothing is under way any more."""
        process = self.processes[name]
        if process.is_stopping or not process.is_alive:
            return
        process.is_stopping = True
        if process.host is not None:
            self._reach(
                process,
                lambda: self._carry_out(
                    process, agentcontrol.stop(process.host, self.now)
                ),
            )

    def pause(self, name: str) -> None:
        """Freeze a process."""
        self.processes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Let a frozen process go on; what came meanwhile comes now."""
        process = self.processes[name]
        process.is_paused = False
        inbox, process.inbox = process.inbox, []
        for call in inbox:
            self._reach(process, call)

    def advance(self, seconds: float) -> None:
        """Let simulated time pass."""
        end = self.now + seconds
        self._events.run(end)
        self._events.now = end

    def submit(self, entry: str, work: Work, promise: LatencyObjective) -> None:
        """Send a caller's request to an entry."""
        process = self.processes[entry]
        row = CallerRow(work, (entry, process.life), self.now)
        self.callers[work.request] = row
        self._reach(
            process,
            lambda: self._carry_out(
                process, dispatch.submit(process.entry, self.now, work, promise)
            ),
        )

    def append(self, process: Process, record: AnyRecord) -> None:
        """Append to the control stream; a lost answer makes the writer repeat."""
        data = encode_record(record)
        if not process.is_cut and not self.log.append(CONTROL, data):
            self._later(0.5, lambda: process.is_cut or self.log.append(CONTROL, data))

    def checkpoint(self, name: str, keep: int) -> None:
        """Append a checkpoint of a process's state, then let retention trim."""
        process = self.processes[name]
        state = process.stream.state
        if not process.stream.is_ready or self.log.is_out or process.is_cut:
            return
        record = Checkpoint(
            id=self.make_id("checkpoint"),
            covers=state.offset,
            state=encode_state(state),
        )
        self.append(process, record)
        kept_from = len(self.log.streams[CONTROL]) - keep
        bound = min(kept_from, state.offset + 1)
        first = self.log.first.get(CONTROL, 0)
        self.log.first[CONTROL] = max(first, bound)

    def list_entries(self) -> list[Process]:
        """Return the entries that run."""
        return [p for p in self.processes.values() if p.entry and p.is_alive]

    def _begin_entry(self, process: Process, zone: str) -> None:
        rng = random.Random(self.rng.random())
        process.entry = Dispatcher(process.name, zone, rng)
        process.watch = leases.LeaseWatch(f"{process.name}/{process.life}")
        self._tick(process)

    def _begin_agent(self, process: Process) -> None:
        incarnation = f"{process.name}/{process.life}"
        process.host = AgentState(process.name, incarnation)
        self._note_leaving(process)
        self._tick(process)

    def _later(self, delay_s: float, call: Callable) -> None:
        self._events.add(delay_s, call)

    def _reach(self, process: Process, call: Callable) -> None:
        """Let something happen to a process, now or when it wakes."""
        if not process.is_alive or self.processes[process.name] is not process:
            return
        if process.is_paused:
            process.inbox.append(call)
        else:
            call()

    def _tick(self, process: Process) -> None:
        if not process.is_alive or self.processes[process.name] is not process:
            return
        self._later(TICK_S, lambda: self._tick(process))
        if process.is_paused:
            return
        self._read_log(process)
        self._write_claims(process)
        if process.entry is not None:
            self._carry_out(process, dispatch.tick(process.entry, self.now))
            self._keep_lease(process)
        else:
            self._ask_engine(process)
            self._carry_out(process, agentcontrol.tick(process.host, self.now))
            target = self.targets[process.name]
            target.step(self.now, self.rng)
        self._end_stopped(process)

    def _end_stopped(self, process: Process) -> None:
        """End a process that was asked to stop, once it is idle."""
        if not process.is_stopping:
            return
        if process.entry is not None:
            is_idle = not process.entry.active_requests
        else:
            is_idle = process.host.can_exit
        if not is_idle:
            return
        target = self.targets.get(process.name)
        if target is not None:
            self.cut_by_stop += target.running
        self.kill(process.name)

    def _read_log(self, process: Process) -> None:
        if process.is_cut or self.log.is_out or self.rng.random() < 0.3:
            return
        start = process.next_read
        first, records, following = self.log.read(CONTROL, start)
        restarts = start == 0 or first > start
        read = RecordsRead(CONTROL, first, tuple(records), following, restarts)
        process.stream.take_read(read)
        process.next_read = following
        self._fold(process)
        if process.entry is None:
            return
        first, records, following = self.log.read(CLAIMS, process.claims_next)
        keys: set[str] = set()
        for offset, data in enumerate(records, first):
            batch = apply_claims(process.entry.claims, offset, data)
            keys.update(record.key for record in batch)
        process.claims_next = following
        self._carry_out(
            process, dispatch.apply_claim_changes(process.entry, self.now, keys)
        )

    def _fold(self, process: Process) -> None:
        state = process.stream.state
        if process.entry is not None:
            dispatch.apply_state(process.entry, state)
        else:
            effects = agentcontrol.apply_state(process.host, self.now, state)
            self._note_leaving(process)
            self._carry_out(process, effects)

    def _note_leaving(self, process: Process) -> None:
        """Note whether an agent knows that its target is leaving."""
        target = process.host.target
        is_leaving = target is not None and not target.serving
        periods = self.leaving.setdefault(process.name, [])
        was_leaving = bool(periods) and periods[-1].until == math.inf
        if is_leaving and not was_leaving:
            periods.append(LeavingPeriod(self.now))
        elif was_leaving and not is_leaving:
            periods[-1].until = self.now

    def _write_claims(self, process: Process) -> None:
        """Append waiting claims in one batch; unanswered ones are tried again."""
        if not process.waiting or process.is_cut:
            return
        batch = [claim for _, claim in process.waiting]
        if self.log.append(CLAIMS, encode_claims(batch)):
            process.waiting.clear()
        elif process.entry is not None:
            oldest = self.now - CLAIM_RETRY_S
            process.waiting = [item for item in process.waiting if item[0] > oldest]

    def _keep_lease(self, process: Process) -> None:
        if not process.stream.is_ready:
            return
        process.watch.observe(self.now, process.stream.state.lease)
        id = self.make_id(f"lease-{process.name}")
        record = leases.decide_lease(process.watch, self.now, id, self.rng)
        if record is not None:
            self.append(process, record)

    def _ask_engine(self, process: Process) -> None:
        target = self.targets[process.name]
        found = ObservedEngine() if target.is_service else target.found
        busy = target.is_busy(self.now)
        effects = agentcontrol.update_engine_state(
            process.host, self.now, found, busy, str(target.boot)
        )
        self._carry_out(process, effects)

    def _carry_out(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(process, effect.peer, effect.message)
            elif isinstance(effect, Deliver):
                self._deliver(effect.request, effect.event)
            elif isinstance(effect, AppendClaim):
                process.waiting.append((self.now, effect.record))
            elif isinstance(effect, AppendRecord):
                self.append(process, effect.record)
            elif isinstance(effect, Launch):
                self._launch(process, effect)
            elif isinstance(effect, Abort):
                run = f"{effect.request}/{effect.attempt}"
                self.targets[process.name].running.pop(run, None)
            elif isinstance(effect, GiveOrder):
                self._give_order(process, effect)

    def _send(self, process: Process, peer: str, message: AnyMessage) -> None:
        pair = (process.name, peer)
        if pair in self.cut_links or (peer, process.name) in self.cut_links:
            return
        receiver = self.processes.get(peer)
        if receiver is None or not receiver.is_alive:
            return
        at = self.now + self.rng.uniform(0.001, MOST_DELAY_S)
        # A connection keeps the order of its messages.
        at = max(at, self._arrivals.get(pair, 0.0) + 1e-6)
        self._arrivals[pair] = at
        name = process.name
        self._later(
            at - self.now,
            lambda: self._reach(receiver, lambda: self._take(receiver, name, message)),
        )

    def _take(self, process: Process, peer: str, message: AnyMessage) -> None:
        if isinstance(message, Fetch):
            records = process.stream.answer_fetch(message)
            if records is not None:
                self._send(process, peer, records)
            return
        if isinstance(message, Records):
            process.stream.take_records(message)
            self._fold(process)
            return
        if isinstance(message, Hello | Report):
            own = process.stream.state.offset
            fetch = catchup.decide_fetch(
                process.stream.window, self.now, own, message.offset
            )
            if fetch is not None:
                self._send(process, peer, fetch)
        if process.entry is not None:
            effects = dispatch.receive(process.entry, self.now, peer, message)
        else:
            effects = agentcontrol.receive(process.host, self.now, peer, message)
        self._carry_out(process, effects)

    def _deliver(self, request: str, event: Event) -> None:
        row = self.callers[request]
        if isinstance(event, Chunk):
            row.texts.extend(event.texts)
        elif isinstance(event, Ended | Refusal):
            row.end = event
            row.ends += 1

    def _launch(self, process: Process, launch: Launch) -> None:
        key = (launch.request, launch.attempt)
        target = self.targets[process.name]

        def listen(kind: str, value: str) -> None:
            self._reach(process, lambda: self._note_run(process, key, kind, value))

        def begin() -> None:
            if target.is_busy(self.now):
                self._note_run(process, key, "unreached", "busy")
                return
            run = f"{launch.request}/{launch.attempt}"
            target.begin(self.now, run, launch.work, listen)

        self._reach(process, begin)

    def _note_run(
        self, process: Process, key: tuple[str, int], kind: str, value: str
    ) -> None:
        if kind == "token":
            effects = agentcontrol.add_tokens(process.host, self.now, key, (value,))
        elif kind == "end":
            finished = Finished(request="", attempt=0, finish="stop", status=200)
            effects = agentcontrol.finish_run(process.host, self.now, key, finished)
        else:
            ran = "no" if kind == "unreached" else "unknown"
            effects = agentcontrol.fail_run(process.host, self.now, key, ran, value)
        self._carry_out(process, effects)

    def _give_order(self, process: Process, order: GiveOrder) -> None:
        target = self.targets[process.name]

        def give() -> None:
            boot = target.boot
            if not target.take_order(self.now, order.fence, order.step):
                end = agentcontrol.end_order(
                    process.host, self.now, order.order, None, "refused number"
                )
                self._carry_out(process, end)
                return
            self._later(CHANGE_S, lambda: finish(boot))

        def finish(boot: int) -> None:
            if target.boot == boot:
                target.finish_order(order.step)
            lost = target.boot != boot or self.rng.random() < 0.1
            self._reach(process, lambda: answer(lost))

        def answer(lost: bool) -> None:
            if lost:
                agentcontrol.postpone_order(process.host, self.now)
                return
            effects = agentcontrol.end_order(
                process.host, self.now, order.order, target.found, ""
            )
            self._carry_out(process, effects)

        # The call leaves the process a moment after the decision.
        self._later(STEP_S, lambda: self._reach(process, give))
