"""The path of one request: from a caller to a target and back, with second tries."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from robinspindle.core import budgets, forwarding, targets
from robinspindle.core.events import EventSplitter, take_events
from robinspindle.core.forwarding import AnswerHead, Refusal, Request, Send
from robinspindle.core.routes import STREAM, Route, RouteTable, find_route
from robinspindle.core.routes import choose_service as choose_service_of
from robinspindle.core.targets import Directory, Target
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import (
    ClientConnection,
    ConnectionBrokenError,
    ConnectionPool,
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

CONNECTIONS_SHARE = 8
"""Entries among which a target's connections are divided."""

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

    def decode_answer(
        self, status: int, reason: bytes, headers: forwarding.Headers
    ) -> AnswerHead:
        """Decode the head of a target's answer."""


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
        tried: Lifetimes that it was sent to.
        offers: Times that it was sent.
        may_have_run: Whether any target may have run it.
        splitter: The events passed on so far.
        fault: A target's own failure that is passed on if nothing better comes.
        last_reason: Why the latest sending did not deliver.
    """

    request: Request
    route: Route
    service: str
    due: float
    tried: set[str] = field(default_factory=set)
    offers: int = 0
    may_have_run: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    fault: tuple[AnswerHead, bytes] | None = None
    last_reason: str = ""


class Relay:
    """Forwards requests to targets.

    Attributes:
        table: The configuration in force, None before the first.
        directory: The targets.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        budget: budgets.RepeatBudget,
        zone: str,
        log: Log,
        clock: Callable[[], float],
    ):
        self.table: RouteTable | None = None
        self.directory = directory
        self._dialect = dialect
        self._budget = budget
        self._zone = zone
        self._log = log
        self._clock = clock
        self._rng = random.Random()
        self._pools: dict[str, ConnectionPool] = {}

    async def handle(self, incoming: Incoming, reply: Reply) -> None:
        """Serve one request of a caller."""
        request = self._dialect.decode_request(
            incoming.method, incoming.target, incoming.headers, incoming.at
        )
        request = self._dialect.add_body(request, incoming.body)
        table = self.table
        if table is None:
            self._refuse(request, reply, forwarding.NO_CONFIGURATION)
            return
        route = find_route(table, request.host, request.path)
        if route is None:
            self._refuse(request, reply, forwarding.NO_ROUTE)
            return
        service = choose_service_of(route, self._rng)
        due = forwarding.find_due(request, route)
        passage = Passage(request, route, service, due)
        budgets.count_request(self._budget, self._clock(), service)
        try:
            await self._serve(passage, reply)
        except asyncio.CancelledError:
            self._log("caller left", request=request.id, route=route.name)
            raise

    def forget(self, target: Target) -> None:
        """Close the connections to a target that is gone."""
        pool = self._pools.pop(target.announced.lifetime, None)
        if pool is not None:
            pool.close()

    async def _serve(self, passage: Passage, reply: Reply) -> None:
        while True:
            now = self._clock()
            left_s = passage.due - now
            target = self._choose(passage, now)
            if target is None or left_s <= forwarding.LEAST_TRY_S:
                reason = "no-target" if target is None else "too-late"
                self._give_up(passage, reply, passage.last_reason or reason)
                return
            end = await self._try(passage, reply, target)
            if end is End.DELIVERED:
                return
            if not self._may_go_on(passage, end):
                self._give_up(passage, reply, passage.last_reason)
                return

    def _choose(self, passage: Passage, now: float) -> Target | None:
        usable = targets.list_usable(
            self.directory, passage.service, now, passage.tried
        )
        usable = [t for t in usable if t.announced.role != "prefill"]
        if not usable:
            return None
        from robinspindle.core.selection import choose_target

        return choose_target(usable, self._zone, self._rng)

    def _may_go_on(self, passage: Passage, end: End) -> bool:
        left_s = passage.due - self._clock()
        route = passage.route
        if end is End.NOT_RUN and not passage.may_have_run:
            if passage.offers == 0:
                return len(passage.tried) < 4 and left_s > forwarding.LEAST_TRY_S
            allowed = forwarding.may_offer_again(route, passage.offers, left_s)
        elif passage.splitter.events and not route.resumable:
            return False
        else:
            allowed = forwarding.may_run_again(route, passage.offers, left_s)
        if not allowed:
            return False
        now = self._clock()
        return budgets.take_repeat(self._budget, now, passage.service)

    async def _try(self, passage: Passage, reply: Reply, target: Target) -> End:
        passage.tried.add(target.announced.lifetime)
        target.in_flight += 1
        pool = self._find_pool(target)
        connection = None
        try:
            connection = await pool.take(self._clock(), CONNECT_TIMEOUT_S)
            async with asyncio.timeout_at(passage.due + forwarding.ANSWER_GRACE_S):
                return await self._exchange(passage, reply, target, connection)
        except ConnectionBrokenError as error:
            return self._note_broken(passage, target, error)
        except TimeoutError:
            passage.may_have_run = True
            passage.last_reason = "timed-out"
            return End.UNSURE
        finally:
            target.in_flight -= 1
            if connection is not None:
                if connection.can_be_reused:
                    pool.give_back(connection, self._clock())
                else:
                    connection.abort()
                    pool.give_back(connection, self._clock())

    async def _exchange(
        self,
        passage: Passage,
        reply: Reply,
        target: Target,
        connection: ClientConnection,
    ) -> End:
        request = passage.request
        send = self._make_send(passage, target)
        exchange = Exchange(request.id)
        passage.offers += 1
        connection.send(exchange, self._dialect.encode_request(request, send))
        head = await exchange.read_head()
        if head.not_run:
            return await self._note_not_run(passage, target, head, exchange)
        passage.may_have_run = True
        if head.status >= 300:
            return await self._take_failure(passage, reply, target, head, exchange)
        if not head.sealed or (request.id and head.request_id != request.id):
            raise ConnectionBrokenError("a success that is not the target's own")
        if passage.route.kind == STREAM:
            await self._pass_stream(passage, reply, head, exchange, connection)
        else:
            await self._pass_whole(reply, head, exchange)
        targets.note_answered(target)
        targets.note_fault(target, False)
        self._log_end(passage, target, "delivered")
        return End.DELIVERED

    def _make_send(self, passage: Passage, target: Target) -> Send:
        resume_after = None
        if passage.splitter.events:
            resume_after = passage.splitter.last_id
        return Send(
            lifetime=target.announced.lifetime,
            left_s=passage.due - self._clock(),
            urgency=min(9, passage.route.priority),
            resume_after=resume_after,
        )

    async def _note_not_run(
        self, passage: Passage, target: Target, head: AnswerHead, exchange: Exchange
    ) -> End:
        while await exchange.read_chunk():
            pass
        now = self._clock()
        if head.wrong_lifetime:
            target.replaced = True
        else:
            targets.note_full(target, now, FULL_REST_S)
        passage.last_reason = "replaced" if head.wrong_lifetime else "full"
        self._log(
            "target did not run it",
            request=passage.request.id,
            target=target.announced.lifetime,
            status=head.status,
        )
        return End.NOT_RUN

    async def _take_failure(
        self,
        passage: Passage,
        reply: Reply,
        target: Target,
        head: AnswerHead,
        exchange: Exchange,
    ) -> End:
        body = b""
        while chunk := await exchange.read_chunk():
            body += chunk
        targets.note_answered(target)
        targets.note_fault(target, head.status in UPSTREAM_FAULTS)
        passage.last_reason = f"status-{head.status}"
        passage.fault = (head, body)
        return End.FAULT

    async def _pass_whole(
        self, reply: Reply, head: AnswerHead, exchange: Exchange
    ) -> None:
        body = b""
        while chunk := await exchange.read_chunk():
            body += chunk
        reply.begin(head.status, head.reason, head.headers, len(body))
        reply.write(body)
        reply.end()

    async def _pass_stream(
        self,
        passage: Passage,
        reply: Reply,
        head: AnswerHead,
        exchange: Exchange,
        connection: ClientConnection,
    ) -> None:
        splitter = passage.splitter
        splitter.rest = b""
        while chunk := await exchange.read_chunk():
            events = take_events(splitter, chunk)
            if not events:
                continue
            if not reply.has_begun:
                reply.begin(head.status, head.reason, head.headers, None)
            reply.write(events)
        if splitter.rest:
            raise ConnectionBrokenError("the stream ended within an event")
        if not reply.has_begun:
            reply.begin(head.status, head.reason, head.headers, None)
        reply.end()

    def _note_broken(
        self, passage: Passage, target: Target, error: ConnectionBrokenError
    ) -> End:
        targets.note_broken(target, self._clock())
        passage.last_reason = "broken"
        if error.was_sent:
            passage.may_have_run = True
        self._log(
            "connection to target broke",
            request=passage.request.id,
            target=target.announced.lifetime,
            error=str(error),
            was_sent=error.was_sent,
        )
        return End.UNSURE if error.was_sent else End.NOT_RUN

    def _give_up(self, passage: Passage, reply: Reply, reason: str) -> None:
        left_s = passage.due - self._clock()
        if reply.has_begun:
            reply.break_off()
            self._log_end(passage, None, f"broken off: {reason}")
            return
        if passage.fault is not None and self._may_pass_fault(passage):
            head, body = passage.fault
            reply.begin(head.status, head.reason, head.headers, len(body))
            reply.write(body)
            reply.end()
            self._log_end(passage, None, f"passed on: {reason}")
            return
        if passage.may_have_run:
            refusal = forwarding.refuse_unsure(left_s)
        else:
            refusal = forwarding.refuse_unrun(reason, 0.25, left_s)
        reply.refuse(refusal)
        self._log_end(passage, None, f"refused {refusal.status}: {reason}")

    def _may_pass_fault(self, passage: Passage) -> bool:
        # A 503 whose target does not say that it did not run would be a promise.
        head, _ = passage.fault
        return head.status not in (408, 421, 429, 503) or passage.route.may_rerun

    def _refuse(self, request: Request, reply: Reply, refusal: Refusal) -> None:
        reply.refuse(refusal)
        self._log("refused", request=request.id, reason=refusal.reason)

    def _log_end(self, passage: Passage, target: Target | None, outcome: str) -> None:
        self._log(
            "request ended",
            request=passage.request.id,
            route=passage.route.name,
            target=target.announced.lifetime if target else "",
            offers=passage.offers,
            events=passage.splitter.events,
            held_ms=round((self._clock() - passage.request.received_at) * 1000, 1),
            outcome=outcome,
        )

    def _find_pool(self, target: Target) -> ConnectionPool:
        announced = target.announced
        pool = self._pools.get(announced.lifetime)
        if pool is None:
            host, _, port = announced.address.rpartition(":")
            service = self.table.services.get(announced.service)
            most = service.connections if service else CONNECTIONS_SHARE
            pool = ConnectionPool(
                HostPort(host, int(port)),
                self._dialect.decode_answer,
                max(2, most // CONNECTIONS_SHARE),
            )
            self._pools[announced.lifetime] = pool
        return pool
