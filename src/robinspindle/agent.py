"""The agent's process: sockets, threads and the clock around its decisions."""

import random
import signal
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import zmq

from robinspindle.controlstream import ControlStream
from robinspindle.core import agentcontrol, catchup, upstreamaccount
from robinspindle.core.effects import (
    Abort,
    AppendClaim,
    AppendRecord,
    Effect,
    GiveOrder,
    Launch,
    Send,
)
from robinspindle.core.runs import ENDED, RUNNING, AgentState
from robinspindle.engines import CacheEvents, Engine, EngineState
from robinspindle.exceptions import (
    BadDocumentError,
    EngineError,
    EngineUnreachableError,
    FencedError,
)
from robinspindle.health import make_health_server
from robinspindle.httpcalls import UpstreamLimits
from robinspindle.keys import FleetKey
from robinspindle.loglink import LogLink
from robinspindle.logs import make_log
from robinspindle.logservice import CONTROL, RecordsRead
from robinspindle.mailbox import Mailbox
from robinspindle.messages import (
    AnyMessage,
    Fetch,
    Finished,
    Hello,
    Ran,
    Records,
)
from robinspindle.metrics import AgentMetrics
from robinspindle.settings import AgentSettings
from robinspindle.transport import Listener, wait_for_any

TICK_S = 0.1
ASK_EVERY_S = 0.5
OUTCOMES_KEPT_S = 3600.0
PREFIXES_KEPT = 1024

log = make_log("agent")


@dataclass(frozen=True)
class TokensCame:
    """A run's tokens came from the engine."""

    key: tuple[str, int]
    texts: tuple[str, ...]


@dataclass(frozen=True)
class RunEnded:
    """A run came to its end."""

    key: tuple[str, int]
    finished: Finished


@dataclass(frozen=True)
class RunFailed:
    """A run broke off."""

    key: tuple[str, int]
    ran: Ran
    reason: str


@dataclass(frozen=True)
class OrderAnswered:
    """The engine answered an order; without a state nothing is known."""

    order: int
    state: EngineState | None
    reason: str


@dataclass(frozen=True)
class EngineAsked:
    """The engine answered what it is, or did not."""

    state: EngineState | None
    events: CacheEvents


@dataclass(frozen=True)
class StopAsked:
    """The process was asked to stop."""


class Agent:
    """One agent process."""

    def __init__(self, settings: AgentSettings, key: FleetKey | None):
        self.settings = settings
        self.host = AgentState(settings.target, uuid.uuid4().hex[:12])
        self.stream = ControlStream()
        self.metrics = AgentMetrics()
        self._rng = random.Random()
        self._mailbox = Mailbox()
        self._context = zmq.Context()
        self._listener = Listener(self._context, settings.listen, key)
        post = self._mailbox.post
        self._link = LogLink(settings.log, (CONTROL,), post, self._rng, OUTCOMES_KEPT_S)
        self._limits = UpstreamLimits(upstreamaccount.find_bound(settings.memory_mb))
        self._engine: Engine | None = None
        self._pool: ThreadPoolExecutor | None = None
        self._asked_at = 0.0
        self._ticked_at = 0.0
        self._is_asking = False
        self._cache_next = 0

    def run(self) -> None:
        """Serve until a stop was asked for and nothing is under way."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._mailbox.post(StopAsked()))
        # Nothing is to be read anew: the configuration comes through the log.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        poller = zmq.Poller()
        poller.register(self._listener.socket, zmq.POLLIN)
        poller.register(self._mailbox, zmq.POLLIN)
        self._link.start()
        log("The agent is listening.", target=self.host.name, at=self.settings.listen)
        while not self.host.can_exit:
            self._turn(wait_for_any(poller, self._mailbox, TICK_S))
        self._close()

    @property
    def is_ready(self) -> bool:
        """Whether new work is taken."""
        return self.stream.is_ready and self.host.is_serving

    def _turn(self, items: list) -> None:
        for peer, message in self._listener.receive_all():
            self._take_message(peer, message)
        for item in items:
            self._take_item(item)
        now = time.monotonic()
        if now - self._ticked_at >= TICK_S:
            self._ticked_at = now
            self._connect_engine()
            self._ask_engine(now)
            self._carry_out(agentcontrol.tick(self.host, now))
            self._show_metrics()

    def _take_message(self, peer: str, message: AnyMessage) -> None:
        now = time.monotonic()
        if isinstance(message, Fetch):
            records = self.stream.answer_fetch(message)
            if records is not None:
                self._listener.send(peer, records)
            return
        if isinstance(message, Records):
            self.stream.take_records(message)
            self._carry_out(agentcontrol.apply_state(self.host, now, self.stream.state))
            return
        if isinstance(message, Hello):
            own = self.stream.state.offset
            fetch = catchup.decide_fetch(self.stream.window, now, own, message.offset)
            if fetch is not None:
                self._listener.send(peer, fetch)
        self._carry_out(agentcontrol.receive(self.host, now, peer, message))

    def _take_item(self, item: object) -> None:
        now = time.monotonic()
        if isinstance(item, TokensCame):
            self._carry_out(
                agentcontrol.add_tokens(self.host, now, item.key, item.texts)
            )
        elif isinstance(item, RunEnded):
            self.metrics.runs.labels("whole").inc()
            self._carry_out(
                agentcontrol.finish_run(self.host, now, item.key, item.finished)
            )
        elif isinstance(item, RunFailed):
            self.metrics.runs.labels("failed").inc()
            log("A run broke off.", request=item.key[0], reason=item.reason)
            self._carry_out(
                agentcontrol.fail_run(self.host, now, item.key, item.ran, item.reason)
            )
        elif isinstance(item, RecordsRead):
            self.stream.take_read(item)
            self._carry_out(agentcontrol.apply_state(self.host, now, self.stream.state))
        elif isinstance(item, EngineAsked):
            self._take_engine_answer(now, item)
        elif isinstance(item, OrderAnswered):
            self._take_order_answer(now, item)
        elif isinstance(item, StopAsked) and not self.host.is_stopping:
            log("The agent was asked to stop.", target=self.host.name)
            self._carry_out(agentcontrol.stop(self.host, now))

    def _take_engine_answer(self, now: float, item: EngineAsked) -> None:
        self._is_asking = False
        added, removed = item.events.added, set(item.events.removed)
        self._cache_next = item.events.next
        kept = [p for p in self.host.prefixes if p not in removed and p not in added]
        agentcontrol.update_prefixes(self.host, tuple([*kept, *added][-PREFIXES_KEPT:]))
        if item.state is not None:
            self._carry_out(
                agentcontrol.update_engine_state(
                    self.host,
                    now,
                    item.state.to_observed(),
                    item.state.busy,
                    item.state.boot,
                )
            )

    def _take_order_answer(self, now: float, item: OrderAnswered) -> None:
        if item.state is None and not item.reason:
            log("An order's outcome is not known yet.", order=item.order)
            self.metrics.orders.labels("unknown").inc()
            agentcontrol.postpone_order(self.host, now)
            return
        log("An order ended.", order=item.order, reason=item.reason or "done")
        self.metrics.orders.labels("failed" if item.reason else "done").inc()
        found = item.state.to_observed() if item.state else None
        self._carry_out(
            agentcontrol.end_order(self.host, now, item.order, found, item.reason)
        )

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._listener.send(effect.peer, effect.message)
            elif isinstance(effect, Launch):
                self._pool.submit(self._run, effect)
            elif isinstance(effect, Abort):
                self._pool.submit(self._cancel, effect)
            elif isinstance(effect, GiveOrder):
                log("An order is given.", order=effect.order, action=effect.step.action)
                self._pool.submit(self._give_order, effect)
            elif isinstance(effect, AppendRecord):
                self._link.append_record(effect.record)
            elif isinstance(effect, AppendClaim):
                self._link.append_claim(effect.record)

    def _connect_engine(self) -> None:
        if self._engine is None and self.host.section is not None:
            section = self.host.section
            self._engine = Engine(section.address, section.slots, self._limits)
            self._pool = ThreadPoolExecutor(section.slots + 4, "target")

    def _ask_engine(self, now: float) -> None:
        due = now - self._asked_at >= ASK_EVERY_S
        if self._engine is not None and due and not self._is_asking:
            self._asked_at = now
            self._is_asking = True
            self._pool.submit(self._ask)

    def _ask(self) -> None:
        """Ask the engine what it is; a plain service has nothing to say."""
        events = CacheEvents(next=self._cache_next)
        state = None
        if self.host.section is not None and self.host.section.service:
            self._mailbox.post(EngineAsked(EngineState(), events))
            return
        try:
            state = self._engine.ask_state()
            events = self._engine.ask_cache_events(self._cache_next)
        except (EngineError, BadDocumentError):
            pass
        self._mailbox.post(EngineAsked(state, events))

    def _run(self, launch: Launch) -> None:
        key = (launch.request, launch.attempt)
        log("A run begins.", request=launch.request, kind=launch.work.kind)
        try:
            if launch.work.kind == "call":
                self._call(key, launch)
            else:
                self._generate(key, launch)
        except EngineUnreachableError as error:
            ran = "unknown" if error.was_reached else "no"
            self._mailbox.post(RunFailed(key, ran, str(error)))
        except Exception as error:
            self._mailbox.post(RunFailed(key, "unknown", repr(error)))

    def _call(self, key: tuple[str, int], launch: Launch) -> None:
        answer = self._engine.call(launch.work)
        finished = Finished(
            request="",
            attempt=0,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )
        self._mailbox.post(RunEnded(key, finished))

    def _generate(self, key: tuple[str, int], launch: Launch) -> None:
        run = f"{key[0]}/{key[1]}"
        for token in self._engine.generate(launch.work, run):
            if token.done:
                finished = Finished(request="", attempt=0, finish=token.done)
                self._mailbox.post(RunEnded(key, finished))
                return
            self._mailbox.post(TokensCame(key, (token.text,)))
        raise EngineUnreachableError("the stream ended early")

    def _cancel(self, abort: Abort) -> None:
        try:
            self._engine.cancel(f"{abort.request}/{abort.attempt}")
        except EngineError as error:
            log("A run could not be cancelled.", reason=str(error))

    def _give_order(self, order: GiveOrder) -> None:
        state, reason = None, ""
        try:
            state = self._engine.give_order(order.step, order.fence)
        except FencedError as error:
            reason = str(error)
        except EngineUnreachableError:
            pass
        except (EngineError, BadDocumentError) as error:
            reason = str(error)
        self._mailbox.post(OrderAnswered(order.order, state, reason))

    def _show_metrics(self) -> None:
        statuses = [run.status for run in self.host.runs.values()]
        running = statuses.count(RUNNING)
        self.metrics.running.set(running)
        self.metrics.queued.set(len(statuses) - running - statuses.count(ENDED))

    def _close(self) -> None:
        self._link.close()
        self._listener.close()
        if self._pool is not None:
            self._pool.shutdown(wait=False, cancel_futures=True)
        self._context.destroy(linger=1000)
        log("The agent has stopped.", target=self.host.name)


def run_agent(settings: AgentSettings, key: FleetKey | None) -> None:
    """Run an agent until it is asked to stop."""
    agent = Agent(settings, key)
    if settings.metrics:
        server = make_health_server(
            settings.metrics, agent.metrics.registry, lambda: agent.is_ready
        )
        threading.Thread(target=server.serve, daemon=True).start()
    agent.run()
