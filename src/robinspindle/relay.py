"""The path of one request: from a caller to a target and back, with second tries."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from robinspindle.core import budgets, forwarding, reading, targets
from robinspindle.core.engines import (
    Engine,
    find_allowed_pause,
    is_long,
    is_small,
    note_pace,
    note_pause,
    note_placed,
    note_read_begun,
)
from robinspindle.core.events import EventSplitter, take_events
from robinspindle.core.forwarding import AnswerHead, Request, Send, Source
from robinspindle.core.reading import Plan
from robinspindle.core.rebalance import Demand, note_demand, read_demand
from robinspindle.core.routes import STREAM, Route, choose_service, find_route
from robinspindle.core.selection import choose_target
from robinspindle.core.sharing import Placement
from robinspindle.core.targets import Target
from robinspindle.exceptions import BadDocumentError
from robinspindle.fleet import Fleet
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.httpclient import (
    ClientConnection,
    ConnectionBrokenError,
    Exchange,
)
from robinspindle.httpserver import Incoming, Reply
from robinspindle.logs import Log

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a new connection to a target, seconds: many round trips, and a
part of the shortest aim that leaves time for another target."""

FULL_REST_S = 0.05
"""How long a target that turned a request away is passed over, seconds: about the
time in which a few of its requests end."""

CALLER_WAY_S = 0.008
"""Part of an aim that the way to the caller and back takes, seconds."""

RETRY_BASE_S = 0.2
RETRY_SPREAD_S = 0.4
"""A refused caller is told to come back between these, seconds: queues of prompts last
some tenths of a second, and callers that come back together would meet again."""

SMALL_URGENCY = 1
LARGE_URGENCY = 4
"""Short prompts are read before long ones."""

BAD_REQUEST = 400
LEAST_FAULT = 500
"""Lower statuses speak of the request, and no other target would say otherwise."""

UPSTREAM_FAULTS = frozenset((500, 502, 503, 504))


class Dialect(Protocol):
    """How requests and answers are written on the wire."""

    def decode_request(
        self, method: str, target: bytes, headers: forwarding.Headers, now: float
    ) -> Request:
        """Decode the head of a caller's request."""

    def add_body(self, request: Request, body: bytes) -> Request:
        """Add the body."""

    def encode_request(self, request: Request, send: Send) -> bytes:
        """Write a request for a target."""

    def encode_release(self, source: Source) -> bytes:
        """Write a request that frees a prompt which was read and is not needed."""

    def decode_answer(
        self, status: int, reason: bytes, headers: forwarding.Headers
    ) -> AnswerHead:
        """Decode the head of a target's answer."""

    def decode_read(self, address: str, body: bytes) -> Source:
        """Decode the answer to a prompt that was only read."""


class End(Enum):
    """How one sending ended."""

    DELIVERED = "delivered"
    NOT_RUN = "not-run"
    UNSURE = "unsure"
    FAULT = "fault"


@dataclass
class Passage:
    """What has been done for one request so far.

    Attributes:
        request: The request.
        route: Its route.
        service: The service chosen for it.
        due: When its final answer is due, steady seconds.
        aim_at: When its first event, or its answer, should be on its way.
        tried: Lifetimes that it was sent to.
        offers: Times that it was sent to be run.
        runs: Targets that may have run it.
        reads: Times that its prompt was sent to be read apart.
        splitter: The events passed on so far.
        fault: A target's own failure that is passed on if nothing better comes.
        last_reason: Why the latest sending did not deliver.
        plan: The latest plan, for logs.
        read_at: When its prompt had been read apart, steady seconds.
        first_at: When its answer began, steady seconds.
    """

    request: Request
    route: Route
    service: str
    due: float
    aim_at: float
    tried: set[str] = field(default_factory=set)
    offers: int = 0
    runs: int = 0
    reads: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    fault: tuple[AnswerHead, bytes] | None = None
    last_reason: str = ""
    plan: Plan | None = None
    read_at: float | None = None
    first_at: float | None = None


class Relay:
    """Forwards requests to targets.

    Attributes:
        placements: Prompts placed since they were last told to the peers.
        demands: Tokens that are asked to be read, by service.
    """

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        budget: budgets.RepeatBudget,
        zone: str,
        log: Log,
        clock: Callable[[], float],
        metrics: GatewayMetrics,
    ):
        self.placements: list[Placement] = []
        self.demands: dict[str, Demand] = {}
        self._dialect = dialect
        self._fleet = fleet
        self._budget = budget
        self._zone = zone
        self._log = log
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random()
        self._releases: set[asyncio.Task] = set()

    async def handle(self, incoming: Incoming, reply: Reply) -> None:
        """Serve one request of a caller."""
        request = self._dialect.decode_request(
            incoming.method, incoming.target, incoming.headers, incoming.at
        )
        request = self._dialect.add_body(request, incoming.body)
        table = self._fleet.table
        if table is None:
            self._refuse(request, reply, forwarding.NO_CONFIGURATION)
            return
        route = find_route(table, request.host, request.path)
        if route is None:
            self._refuse(request, reply, forwarding.NO_ROUTE)
            return
        passage = Passage(
            request,
            route,
            choose_service(route, self._rng),
            forwarding.find_due(request, route),
            request.received_at + route.aim_s - CALLER_WAY_S,
        )
        budgets.count_request(self._budget, self._clock(), passage.service)
        try:
            await self._serve(passage, reply)
        except asyncio.CancelledError:
            self._log_end(passage, None, "caller left")
            raise

    def read_rate(self, service: str) -> float:
        """Tokens a second of prompts that this gateway is asked to have read."""
        demand = self.demands.get(service)
        return read_demand(demand, self._clock()) if demand else 0.0

    async def _serve(self, passage: Passage, reply: Reply) -> None:
        while True:
            now = self._clock()
            if passage.due - now <= forwarding.LEAST_TRY_S:
                self._give_up(passage, reply, passage.last_reason or "too-late")
                return
            plan = self._choose(passage, now)
            if plan is None:
                self._give_up(passage, reply, passage.last_reason or "no-target")
                return
            if passage.plan is None and plan.unread:
                demand = self.demands.setdefault(passage.service, Demand())
                note_demand(demand, now, plan.unread)
            passage.plan = plan
            self._log_plan(passage, plan)
            if self._is_hopeless(passage, plan, now):
                self._give_up(passage, reply, "busy")
                return
            end = await self._carry_out(passage, reply, plan)
            self._metrics.tries.labels(passage.service, end.value).inc()
            if end is End.DELIVERED:
                return
            if not self._may_go_on(passage, end):
                self._give_up(passage, reply, passage.last_reason)
                return

    def _choose(self, passage: Passage, now: float) -> Plan | None:
        usable = self._fleet.list_usable(passage.service, now, passage.tried)
        pairs = [(target, self._fleet.find_engine(target)) for target in usable]
        prompt = passage.request.prompt
        if prompt is None or any(engine is None for _, engine in pairs):
            plain = [
                t for t, engine in pairs if engine is None or not engine.reads_only
            ]
            if not plain:
                return None
            target = choose_target(plain, self._zone, self._rng)
            return Plan(target, None, 0, 0.0, 0.0, 0.0)
        if passage.reads:
            pairs = [pair for pair in pairs if not pair[1].reads_only]
        at = reading.Situation(
            now, passage.aim_at - now, passage.route.gap_s, self._zone
        )
        return reading.choose_plan(pairs, prompt, at)

    def _is_hopeless(self, passage: Passage, plan: Plan, now: float) -> bool:
        if passage.offers or passage.reads:
            return False
        left_s = passage.aim_at - now
        return reading.is_hopeless(plan, left_s, passage.route.aim_s)

    def _may_go_on(self, passage: Passage, end: End) -> bool:
        left_s = passage.due - self._clock()
        route = passage.route
        if left_s <= forwarding.LEAST_TRY_S:
            return False
        if end is End.FAULT and passage.fault[0].status < LEAST_FAULT:
            return False
        if end is End.NOT_RUN and passage.offers == 0:
            return len(passage.tried) < forwarding.MOST_OFFERS
        if not forwarding.may_offer_again(route, passage.offers, passage.runs):
            return False
        if budgets.take_repeat(self._budget, self._clock(), passage.service):
            self._metrics.repeats.inc()
            return True
        self._metrics.denied_repeats.inc()
        passage.last_reason += ", no repeat left"
        return False

    async def _carry_out(self, passage: Passage, reply: Reply, plan: Plan) -> End:
        engine = self._fleet.find_engine(plan.target)
        if plan.reader is None:
            if engine is not None and passage.request.prompt is not None:
                return await self._send_unread(passage, reply, plan, engine)
            return await self._send(passage, reply, plan.target, None, _ignore)
        source = await self._read_apart(passage, plan)
        if source is None:
            return End.NOT_RUN
        taken = False
        try:
            if engine is not None:
                note_placed(engine, passage.request.prompt.parts)
            end = await self._send(passage, reply, plan.target, source, _ignore)
            taken = end is End.DELIVERED
            return end
        finally:
            if not taken:
                self._release(plan.reader, source)

    async def _send_unread(
        self, passage: Passage, reply: Reply, plan: Plan, engine: Engine
    ) -> End:
        work = _Reading(engine, plan.unread, self._clock())
        self._place(plan.target, engine, passage, plan.unread)
        try:
            return await self._send(
                passage, reply, plan.target, None, lambda: work.end(self._clock())
            )
        finally:
            work.cancel()

    async def _read_apart(self, passage: Passage, plan: Plan) -> Source | None:
        """Have a prompt read; None when that failed."""
        reader = plan.reader
        engine = self._fleet.find_engine(reader)
        passage.reads += 1
        work = _Reading(engine, plan.unread, self._clock())
        self._place(reader, engine, passage, plan.unread)
        reader.in_flight += 1
        pool = self._fleet.find_pool(reader)
        connection = None
        send = self._make_send(passage, reader, None, read_only=True)
        try:
            connection = await pool.take(self._clock(), CONNECT_TIMEOUT_S)
            exchange = Exchange(passage.request.id)
            async with asyncio.timeout_at(passage.due):
                data = self._dialect.encode_request(passage.request, send)
                connection.send(exchange, data)
                head = await exchange.read_head()
                body = await exchange.read_body()
            if head.status != 200:
                self._note_unread(passage, reader, head)
                return None
            passage.read_at = self._clock()
            work.end(passage.read_at)
            targets.note_answered(reader)
            return self._dialect.decode_read(reader.announced.address, body)
        except ConnectionBrokenError as error:
            self._note_failure(passage, reader, error)
            return None
        except BadDocumentError as error:
            targets.note_fault(reader, True)
            self._log_broken(passage, reader, str(error))
            return None
        except TimeoutError:
            self._log_broken(passage, reader, "prompt not read in time")
            return None
        finally:
            work.cancel()
            reader.in_flight -= 1
            if connection is not None:
                pool.give_back(connection, self._clock())

    def _note_unread(self, passage: Passage, reader: Target, head: AnswerHead) -> None:
        if head.not_run:
            self._note_turned_away(reader, head)
        else:
            targets.note_fault(reader, True)
        self._log_broken(passage, reader, f"prompt not read: status {head.status}")

    def _count_prompt(self, passage: Passage, unread: int) -> None:
        tokens = passage.request.prompt.tokens
        self._metrics.prompt_tokens.labels("read").inc(unread)
        self._metrics.prompt_tokens.labels("cached").inc(tokens - unread)

    def _note_turned_away(self, target: Target, head: AnswerHead) -> None:
        # An engine in another role answers like another lifetime, in its own name.
        if head.answered_by not in ("", target.announced.lifetime):
            target.replaced = True
        else:
            targets.note_full(target, self._clock(), FULL_REST_S)

    def _place(
        self, target: Target, engine: Engine, passage: Passage, unread: int
    ) -> None:
        parts = passage.request.prompt.parts
        note_placed(engine, parts)
        self._count_prompt(passage, unread)
        note_read_begun(engine, self._clock(), unread)
        told = [(part.id, part.tokens) for part in parts]
        self.placements.append(Placement(target.announced.lifetime, told, unread))

    async def _send(
        self,
        passage: Passage,
        reply: Reply,
        target: Target,
        source: Source | None,
        on_first: Callable[[], None],
    ) -> End:
        """Send a request to be run, and pass its answer on.

        Args:
            passage: The request.
            reply: The answer to the caller.
            target: Where to.
            source: Where its read prompt is; None to read it there.
            on_first: Called when the answer begins.
        """
        passage.tried.add(target.announced.lifetime)
        target.in_flight += 1
        pool = self._fleet.find_pool(target)
        connection = None
        try:
            connection = await pool.take(self._clock(), CONNECT_TIMEOUT_S)
            async with asyncio.timeout_at(passage.due + forwarding.ANSWER_GRACE_S):
                exchange = Exchange(passage.request.id)
                send = self._make_send(passage, target, source)
                data = self._dialect.encode_request(passage.request, send)
                passage.offers += 1
                connection.send(exchange, data)
                head = await exchange.read_head()
                passage.first_at = self._clock()
                on_first()
                return await self._take_answer(
                    passage, reply, target, head, exchange, connection
                )
        except ConnectionBrokenError as error:
            return self._note_broken(passage, target, error)
        except TimeoutError:
            passage.runs += 1
            passage.last_reason = "timed-out"
            return End.UNSURE
        finally:
            target.in_flight -= 1
            if connection is not None:
                pool.give_back(connection, self._clock())

    async def _take_answer(
        self,
        passage: Passage,
        reply: Reply,
        target: Target,
        head: AnswerHead,
        exchange: Exchange,
        connection: ClientConnection,
    ) -> End:
        if head.not_run and head.status != BAD_REQUEST:
            await exchange.read_body()
            self._note_not_run(passage, target, head)
            return End.NOT_RUN
        if head.status >= 300:
            passage.fault = (head, await exchange.read_body())
            passage.runs += 1
            targets.note_answered(target)
            targets.note_fault(target, head.status in UPSTREAM_FAULTS)
            passage.last_reason = f"status-{head.status}"
            return End.FAULT
        if not head.sealed or head.request_id != passage.request.id:
            raise ConnectionBrokenError("a success that is not the target's own")
        if passage.route.kind == STREAM:
            reply.set_flow(connection.pause, connection.resume)
            await self._pass_stream(passage, reply, target, head, exchange)
        else:
            _pass_whole(reply, head, await exchange.read_body())
        targets.note_answered(target)
        targets.note_fault(target, False)
        self._log_end(passage, target, "delivered")
        return End.DELIVERED

    async def _pass_stream(
        self,
        passage: Passage,
        reply: Reply,
        target: Target,
        head: AnswerHead,
        exchange: Exchange,
    ) -> None:
        prompt = passage.request.prompt
        engine = self._fleet.find_engine(target)
        if prompt is None or engine is None or not is_long(prompt):
            await _pass_events(passage.splitter, reply, head, exchange, _ignore)
            return
        last_at = self._clock()

        def note_event() -> None:
            nonlocal last_at
            now = self._clock()
            allowed_s = find_allowed_pause(
                prompt,
                passage.splitter.events,
                self._fleet.count_event_tokens(passage.service),
                passage.due - now,
                passage.route.gap_s,
            )
            note_pause(engine, now - last_at, allowed_s)
            last_at = now

        engine.own_long += 1
        try:
            await _pass_events(passage.splitter, reply, head, exchange, note_event)
        finally:
            engine.own_long -= 1

    def _make_send(
        self,
        passage: Passage,
        target: Target,
        source: Source | None,
        read_only: bool = False,
    ) -> Send:
        prompt = passage.request.prompt
        urgency = min(9, passage.route.priority)
        if prompt is not None:
            urgency = SMALL_URGENCY if is_small(prompt) else LARGE_URGENCY
        events = passage.splitter.events
        return Send(
            lifetime=target.announced.lifetime,
            left_s=passage.due - self._clock(),
            urgency=urgency,
            read_only=read_only,
            source=source,
            resume_after=passage.splitter.last_id if events else None,
        )

    def _note_not_run(self, passage: Passage, target: Target, head: AnswerHead) -> None:
        self._note_turned_away(target, head)
        passage.last_reason = "replaced" if target.replaced else "full"
        self._log_broken(passage, target, f"not run: status {head.status}")

    def _note_broken(
        self, passage: Passage, target: Target, error: ConnectionBrokenError
    ) -> End:
        self._note_failure(passage, target, error)
        passage.last_reason = "broken"
        if not error.was_sent:
            return End.NOT_RUN
        passage.runs += 1
        return End.UNSURE

    def _note_failure(
        self, passage: Passage, target: Target, error: ConnectionBrokenError
    ) -> None:
        note = targets.note_refused if error.was_refused else targets.note_broken
        note(target, self._clock())
        self._log_broken(passage, target, str(error))

    def _give_up(self, passage: Passage, reply: Reply, reason: str) -> None:
        left_s = passage.due - self._clock()
        if reply.has_begun:
            reply.break_off()
            self._log_end(passage, None, f"broken off: {reason}")
            return
        if passage.fault is not None and self._may_pass_fault(passage):
            head, body = passage.fault
            _pass_whole(reply, head, body)
            self._log_end(passage, None, f"passed on: {reason}")
            return
        if passage.runs:
            refusal = forwarding.refuse_unsure(left_s)
        else:
            retry_s = RETRY_BASE_S + RETRY_SPREAD_S * self._rng.random()
            refusal = forwarding.refuse_unrun(reason, retry_s, left_s)
        reply.refuse(refusal)
        self._log_end(passage, None, f"refused {refusal.status}: {reason}")

    def _may_pass_fault(self, passage: Passage) -> bool:
        # A 503 whose target does not say that it did not run would be a promise.
        head, _ = passage.fault
        return head.status not in (408, 421, 429, 503) or passage.route.may_rerun

    def _refuse(
        self, request: Request, reply: Reply, refusal: forwarding.Refusal
    ) -> None:
        reply.refuse(refusal)
        self._log("refused", request=request.id, reason=refusal.reason)

    def _release(self, reader: Target, source: Source) -> None:
        """Free a prompt that was read and will not be fetched."""
        task = asyncio.get_running_loop().create_task(self._free(reader, source))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _free(self, reader: Target, source: Source) -> None:
        pool = self._fleet.find_pool(reader)
        connection = None
        try:
            connection = await pool.take(self._clock(), CONNECT_TIMEOUT_S)
            exchange = Exchange("")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection.send(exchange, self._dialect.encode_release(source))
                await exchange.read_head()
                await exchange.read_body()
        except (ConnectionBrokenError, TimeoutError) as error:
            # It lapses by itself a few seconds later.
            self._log("handle not freed", error=str(error))
        finally:
            if connection is not None:
                pool.give_back(connection, self._clock())

    def _log_broken(self, passage: Passage, target: Target, error: str) -> None:
        self._log(
            "target did not deliver",
            at=round(self._clock(), 4),
            request=passage.request.id,
            target=target.announced.lifetime,
            error=error,
        )

    def _log_plan(self, passage: Passage, plan: Plan) -> None:
        directory = self._fleet.directory
        now = self._clock()
        self._log(
            "request routed",
            routine=True,
            at=round(now, 4),
            request=passage.request.id,
            route=passage.route.name,
            configuration=self._fleet.table.version,
            target=plan.target.announced.lifetime,
            reader=plan.reader.announced.lifetime if plan.reader else "",
            in_flight=plan.target.in_flight,
            faults=round(plan.target.faults, 2),
            wait_ms=round(plan.wait_s * 1000, 1),
            first_ms=round(plan.first_s * 1000, 1),
            unread=plan.unread,
            left_ms=round((passage.aim_at - now) * 1000, 1),
            list_age_ms=round((now - directory.read_at) * 1000),
            store_away=directory.away_since is not None,
        )

    def _log_end(self, passage: Passage, target: Target | None, outcome: str) -> None:
        plan = passage.plan
        now = self._clock()
        end = outcome.partition(":")[0]
        held_s = now - passage.request.received_at
        self._metrics.requests.labels(passage.route.name, end).inc()
        self._metrics.latencies.record("held", passage.route.name, held_s)
        if passage.first_at is not None:
            first_s = passage.first_at - passage.request.received_at
            self._metrics.latencies.record("first", passage.route.name, first_s)
        self._log(
            "request ended",
            routine=outcome == "delivered",
            at=round(now, 4),
            request=passage.request.id,
            route=passage.route.name,
            target=target.announced.lifetime if target else "",
            reader=plan.reader.announced.lifetime if plan and plan.reader else "",
            planned_ms=round(plan.first_s * 1000, 1) if plan else None,
            wait_ms=round(plan.wait_s * 1000, 1) if plan else None,
            unread=plan.unread if plan else None,
            offers=passage.offers,
            events=passage.splitter.events,
            read_ms=self._since(passage, passage.read_at),
            first_ms=self._since(passage, passage.first_at),
            held_ms=self._since(passage, now),
            outcome=outcome,
        )

    def _since(self, passage: Passage, at: float | None) -> float | None:
        if at is None:
            return None
        return round((at - passage.request.received_at) * 1000, 1)


class _Reading:
    """Tokens that an engine is believed to have before it, until they are read."""

    def __init__(self, engine: Engine, tokens: int, now: float):
        self._engine = engine
        self._tokens = tokens
        self._ahead = engine.unread
        self._began_at = now
        self._is_open = True
        engine.own_unread += tokens

    def end(self, now: float) -> None:
        """Note that the prompt has been read."""
        if self._is_open:
            self.cancel()
            note_pace(self._engine, self._ahead + self._tokens, now - self._began_at)

    def cancel(self) -> None:
        """Note that the prompt need not be read any more."""
        if self._is_open:
            self._is_open = False
            self._engine.own_unread -= self._tokens


async def _pass_events(
    splitter: EventSplitter,
    reply: Reply,
    head: AnswerHead,
    exchange: Exchange,
    on_events: Callable[[], None],
) -> None:
    splitter.rest = b""
    while chunk := await exchange.read_chunk():
        events = take_events(splitter, chunk)
        if not events:
            continue
        on_events()
        if not reply.has_begun:
            reply.begin(head.status, head.reason, head.headers, None)
        reply.write(events)
    if splitter.rest:
        raise ConnectionBrokenError("the stream ended within an event")
    if not reply.has_begun:
        reply.begin(head.status, head.reason, head.headers, None)
    reply.end()


def _pass_whole(reply: Reply, head: AnswerHead, body: bytes) -> None:
    reply.begin(head.status, head.reason, head.headers, len(body))
    reply.write(body)
    reply.end()


def _ignore() -> None:
    pass
