"""The path of one request: from a caller to a target and back, with second tries."""

import asyncio
import random

from robinspindle import guard
from robinspindle.choosing import Chooser
from robinspindle.core import forwarding, health, permits, retrywindows, silence
from robinspindle.core.engines import Engine, note_placed
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.forwarding import AnswerHead, Request
from robinspindle.core.interference import note_slot_hold
from robinspindle.core.peerdigests import Placement
from robinspindle.core.permits import Permit
from robinspindle.core.prefillplacement import RequestPlan
from robinspindle.core.priorities import LATE_LEVEL
from robinspindle.core.retrydetection import RetryDetector
from robinspindle.core.routes import (
    STREAM,
    Route,
    RouteTable,
    choose_service,
    find_rank,
    find_route,
)
from robinspindle.core.silence import ExpectedResponse
from robinspindle.core.targets import Target
from robinspindle.crashwatch import Run
from robinspindle.ends import End
from robinspindle.exceptions import CallerLeftError
from robinspindle.finalanswers import FinalAnswers
from robinspindle.httpclient import (
    ClientConnection,
    ConnectionBrokenError,
    Exchange,
)
from robinspindle.httpserver import Incoming
from robinspindle.passages import Means, Passage
from robinspindle.passing import Answer, pass_stream, pass_whole, read_whole
from robinspindle.readingapart import ReadingApart
from robinspindle.readings import Readings
from robinspindle.relaylogs import RelayLog
from robinspindle.replies import Reply
from robinspindle.sending import (
    Sending,
    borrow_connection,
    expect,
    is_barred,
    make_send,
    make_stop,
    note_broken,
    note_named_limit,
    note_turned_away,
    send_if_awaited,
)

CALLER_WAY_S = 0.008
"""Part of an aim that the way to the caller and back takes, seconds."""

BAD_REQUEST = 400
"""No other target would run a request that one calls bad."""

LEAST_OTHER = 300
"""From here on a status is no success."""

LEAST_FAULT = 500
"""Lower statuses speak of the request, and no other target would say otherwise."""

UPSTREAM_FAULTS = frozenset((500, 502, 503, 504))
"""Statuses that count as a fault of the target."""


class Relay:
    """Forwards requests to targets.

    Attributes:
        chooser: Chooses where they go.
    """

    def __init__(self, means: Means):
        self._means = means
        self._rng = random.Random()
        self._log = RelayLog(means)
        self._readings = Readings(means)
        self._apart = ReadingApart(means, self._readings, self._log)
        self._final = FinalAnswers(means, self._log, self._rng)
        self.chooser = Chooser(means, self._rng)
        self._patience = RetryDetector()

    @property
    def placements(self) -> list[Placement]:
        """Prompts placed since they were last told to the peers."""
        return self._readings.placements

    async def handle(self, incoming: Incoming, reply: Reply) -> None:
        """Serve one request of a caller."""
        request = self._means.dialect.decode_request(
            incoming.method, incoming.target, incoming.headers, incoming.at
        )
        request = self._means.dialect.add_body(request, incoming.body)
        passage = self._admit(request, reply)
        if isinstance(passage, forwarding.Refusal):
            self._final.refuse(request, reply, passage)
            return
        refusal = self._means.guard.find_refusal(passage.named)
        if refusal is not None:
            reply.refuse(refusal)
            self._log.log_turned_away(passage, refusal)
            return
        retrywindows.count_request(
            self._means.budget, self._means.clock(), passage.service
        )
        self.chooser.note_arrival(passage, self._means.clock())
        is_served = False
        try:
            is_served = await self._serve(passage)
        except asyncio.CancelledError:
            self._log.log_end(passage, None, "caller left")
            raise
        except CallerLeftError:
            self._log.log_end(passage, None, "caller left: found before a send")
            reply.break_off()
        except Exception as error:
            self._log.log_failed(request, error)
            raise
        finally:
            self.chooser.note_end(passage, self._means.clock(), is_served)

    def _admit(self, request: Request, reply: Reply) -> Passage | forwarding.Refusal:
        """Find a request's route and by whose key it may run, or why it may not."""
        means = self._means
        table = means.fleet.table
        if table is None:
            return forwarding.NO_CONFIGURATION
        route = find_route(table, request.host, request.path)
        if route is None:
            return forwarding.NO_ROUTE
        permit = permits.authorize(
            table, route, request, means.freshness, means.clock()
        )
        if isinstance(permit, forwarding.Refusal):
            return permit
        if table.keys is not None:
            # From here on nothing holds the key: neither a sending nor news of it.
            name = permit.workspace.name if permit.workspace else None
            request = means.dialect.set_workspace(request, name)
        return self._begin_passage(request, reply, table, route, permit)

    def _begin_passage(
        self,
        request: Request,
        reply: Reply,
        table: RouteTable,
        route: Route,
        permit: Permit,
    ) -> Passage:
        service = choose_service(route, self._rng)
        self.chooser.note_expected(request, route, service)
        return Passage(
            request,
            reply,
            route,
            service,
            FingerprintedRequest(request),
            forwarding.find_deadline(request, route),
            request.received_at + route.latency_objective_s - CALLER_WAY_S,
            forwarding.find_first_event_deadline(request, route),
            permit,
            find_rank(table, route, service, permit.workspace),
            is_long=self.chooser.expects_long(route, service),
            is_caller_retry=self._patience.note(route.name, request.wait_s),
        )

    async def _serve(self, passage: Passage) -> bool:
        """Serve a request; returns whether its caller got the whole answer."""
        while True:
            now = self._means.clock()
            if passage.given_up_at - now <= forwarding.MIN_ATTEMPT_S:
                self._final.give_up(passage, passage.last_reason or "too-late")
                return False
            plan = self.chooser.choose(passage, now)
            if plan is None:
                self._final.give_up(passage, passage.last_reason or "no-target")
                return False
            passage.plan = plan
            self._log.log_plan(passage, plan)
            if self.chooser.should_refuse(passage, plan, now):
                self._final.give_up(passage, "busy")
                return False
            left_s = passage.given_up_at - now
            if self._means.link.estimate_arrival(passage.request.size) > left_s:
                self._final.give_up(passage, "link-full")
                return False
            end = await self._carry_out(passage, plan)
            lifetime = plan.target.announced.lifetime
            self._means.metrics.count_try(passage.service, lifetime, end.value)
            if end is End.DELIVERED:
                return True
            if not self._may_go_on(passage, end):
                self._final.give_up(passage, passage.last_reason)
                return False

    def _may_go_on(self, passage: Passage, end: End) -> bool:
        left_s = passage.given_up_at - self._means.clock()
        route = passage.route
        if self._means.guard.find_refusal(passage.named) is not None:
            passage.last_reason = guard.REASON
            return False
        if is_barred(self._means, passage):
            return False
        if left_s <= forwarding.MIN_ATTEMPT_S:
            return False
        if end is End.FAULT and passage.fault[0].status < LEAST_FAULT:
            return False
        if end is End.NOT_RUN and passage.offers == 0:
            return len(passage.tried) < forwarding.MAX_SENDS
        if not forwarding.may_send_again(route, passage.offers, passage.runs):
            return False
        if retrywindows.take_retry(
            self._means.budget, self._means.clock(), passage.service
        ):
            self._means.metrics.repeats.inc()
            return True
        self._means.metrics.denied_repeats.inc()
        passage.last_reason += ", no repeat left"
        return False

    async def _carry_out(self, passage: Passage, plan: RequestPlan) -> End:
        link, size = self._means.link, passage.request.size
        # Not later: what is measured of targets begins with the send.
        await link.reserve(size)
        engine = self._means.fleet.find_engine(plan.target)
        if plan.prefill_target is None:
            if engine is not None and passage.request.prompt is not None:
                return await self._send_unread(passage, plan, engine)
            return await self._send(passage, Sending(plan.target))
        source = await self._apart.read(passage, plan)
        if source is None:
            return End.NOT_RUN
        taken = False
        try:
            await link.reserve(size)
            host = self.chooser.find_host(passage, plan)
            if host is None:
                return End.NOT_RUN
            engine = self._means.fleet.find_engine(host)
            if engine is not None:
                note_placed(engine, passage.request.prompt.parts)
            end = await self._send(passage, Sending(host, source))
            taken = end is End.DELIVERED
            return end
        finally:
            if not taken:
                self._apart.release(plan.prefill_target, source)

    async def _send_unread(
        self, passage: Passage, plan: RequestPlan, engine: Engine
    ) -> End:
        work = self._readings.begin(passage, plan.target, engine, plan)
        clock = self._means.clock
        try:
            sending = Sending(
                plan.target,
                cache_source=plan.cache_source,
                on_first=lambda: work.end(clock()),
            )
            return await self._send(passage, sending)
        finally:
            work.cancel()

    async def _send(self, passage: Passage, sending: Sending) -> End:
        """Send a request to be run, and pass its answer on."""
        target = sending.target
        if self._means.guard.find_refusal(passage.named) is not None:
            # It became known while its prompt was read.
            return End.NOT_RUN
        passage.tried.add(target.announced.lifetime)
        if not self._means.fleet.limits.take_turn(target, self._means.clock()):
            passage.last_reason = "limited"
            return End.NOT_RUN
        target.in_flight += 1
        try:
            async with (
                borrow_connection(self._means, target) as connection,
                self._means.guard.runs.watch(
                    passage.named, target, passage.route.name
                ) as run,
            ):
                return await self._exchange(passage, sending, connection, run)
        except ConnectionBrokenError as error:
            return self._note_broken(passage, target, error)
        except TimeoutError:
            passage.runs += 1
            passage.last_reason = "timed-out"
            return End.UNSURE
        finally:
            target.in_flight -= 1
            self._note_hold(passage, target)

    def _note_hold(self, passage: Passage, target: Target) -> None:
        engine = self._means.fleet.find_engine(target)
        if engine is not None and passage.first_at is not None:
            note_slot_hold(engine, self._means.clock() - passage.first_at)

    async def _exchange(
        self,
        passage: Passage,
        sending: Sending,
        connection: ClientConnection,
        run: Run,
    ) -> End:
        means, target = self._means, sending.target
        if is_barred(means, passage):
            return End.NOT_RUN
        exchange = Exchange(passage.request.id)
        run.stop = make_stop(exchange)
        send = make_send(passage, sending, means.clock())
        data = means.dialect.encode_request(passage.request, send)
        passage.offers += 1
        with expect(target, self._expect_answer(passage, exchange)) as expected:
            async with asyncio.timeout(self._find_wait_s(passage)) as limit:
                sent_at = means.clock()
                send_if_awaited(passage, connection, exchange, data, sent_at)
                head = await exchange.read_head()
                left_s = self._find_wait_s(passage, has_begun=True)
                limit.reschedule(asyncio.get_running_loop().time() + left_s)
                passage.first_at = means.clock()
                if not head.not_run:
                    self._count_begun(passage, sent_at)
                # What has begun to run does so for all its copies.
                run.stop = None
                health.note_heard(target, passage.first_at)
                note_named_limit(means, target, head, sent_at)
                self._note_begun(passage, sending)
                sending.on_first()
                answer = Answer(target, head, exchange, connection, expected)
                end = await self._take_answer(passage, answer)
        if end is End.DELIVERED:
            # Not after a failure: a target may answer so without having run it.
            means.guard.note_success(run)
        return end

    def _find_wait_s(self, passage: Passage, has_begun: bool = False) -> float:
        """Find how long a target's answer is waited for, or the rest of it, seconds."""
        due = passage.due if has_begun else passage.given_up_at
        return due + forwarding.TIMEOUT_ANSWER_GRACE_S - self._means.clock()

    def _note_begun(self, passage: Passage, sending: Sending) -> None:
        if sending.source is not None and passage.read_at is not None:
            now, seconds = passage.first_at, passage.first_at - passage.read_at
            is_late = passage.plan.level == LATE_LEVEL
            self._means.lengths.note_handoff(passage.service, now, seconds, is_late)

    def _count_begun(self, passage: Passage, sent_at: float) -> None:
        """Count a request that began to run, for the workspace whose key it carries.

        A stream begins with its first token, which comes with its head; anything else
        begins as it arrives, and its head comes with its end.
        """
        workspace = passage.permit.workspace
        if passage.is_counted or workspace is None:
            return
        passage.is_counted = True
        at = passage.first_at if passage.is_stream else sent_at
        self._means.book.count(workspace.name, at)

    def _expect_answer(self, passage: Passage, exchange: Exchange) -> ExpectedResponse:
        """Expect the first of an answer; leave a silent target if that is allowed."""

        def leave() -> None:
            exchange.fail(ConnectionBrokenError("nothing was heard in time"))

        def end() -> None:
            exchange.fail(ConnectionBrokenError("the target started again"))

        route = passage.route
        may_leave = route.may_rerun and passage.runs + 1 < route.attempts
        return ExpectedResponse(
            since=self._means.clock(),
            silent_after_s=silence.find_first_event_timeout(passage.plan.first_event_s),
            abandon=leave if may_leave else None,
            lost_after_s=silence.find_lost_timeout(passage.plan.first_event_s),
            end=end,
        )

    async def _take_answer(self, passage: Passage, answer: Answer) -> End:
        target, head = answer.target, answer.head
        if head.not_run and head.status != BAD_REQUEST:
            await read_whole(self._means, answer)
            self._note_not_run(passage, target, head)
            return End.NOT_RUN
        if head.status >= LEAST_OTHER:
            passage.fault = (head, await read_whole(self._means, answer))
            passage.runs += 1
            health.note_answered(target)
            health.note_fault(target, head.status in UPSTREAM_FAULTS)
            passage.last_reason = f"status-{head.status}"
            return End.FAULT
        if not head.sealed or head.request_id != passage.request.id:
            raise ConnectionBrokenError("a success that is not the target's own")
        if passage.route.kind == STREAM:
            await pass_stream(self._means, passage, answer)
        else:
            pass_whole(passage.reply, head, await read_whole(self._means, answer))
        health.note_answered(target)
        health.note_fault(target, False)
        self._log.log_end(passage, target, "delivered")
        return End.DELIVERED

    def _note_not_run(self, passage: Passage, target: Target, head: AnswerHead) -> None:
        note_turned_away(self._means, target, head)
        passage.last_reason = "replaced" if target.replaced else "full"
        self._log.log_broken(passage, target, f"not run: status {head.status}")

    def _note_broken(
        self, passage: Passage, target: Target, error: ConnectionBrokenError
    ) -> End:
        note_broken(target, error, self._means.clock())
        self._log.log_broken(passage, target, str(error))
        passage.last_reason = "broken"
        if not error.was_sent:
            return End.NOT_RUN
        passage.runs += 1
        return End.UNSURE
