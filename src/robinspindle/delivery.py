"""One attempt at one target: the request goes out and its answer is passed on."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack

from robinspindle.choosing import Chooser
from robinspindle.copying import Copies
from robinspindle.core import forwarding, health, silence
from robinspindle.core.answertimes import note_answer_time
from robinspindle.core.engines import Engine, note_placed
from robinspindle.core.forwarding import AnswerHead, CacheSource
from robinspindle.core.interference import note_slot_hold
from robinspindle.core.peerdigests import Placement
from robinspindle.core.prefillplacement import RequestPlan
from robinspindle.core.priorities import LATE_LEVEL
from robinspindle.core.roomclaims import Use
from robinspindle.core.routes import STREAM
from robinspindle.core.silence import ExpectedResponse
from robinspindle.core.targets import Target
from robinspindle.crashwatch import Run
from robinspindle.ends import End
from robinspindle.hedging import claim_later
from robinspindle.httpclient import (
    ClientConnection,
    ConnectionBrokenError,
    Exchange,
    NotSentError,
)
from robinspindle.moving import Moves
from robinspindle.passages import Means, Passage, is_stopped, limit_wait
from robinspindle.passing import (
    Answer,
    pass_body,
    pass_stream,
    read_refusal,
)
from robinspindle.readingapart import ReadingApart
from robinspindle.readings import Readings
from robinspindle.relaylogs import RelayLog
from robinspindle.roomkeeping import claim_room
from robinspindle.sending import (
    Sending,
    borrow_connection,
    crashes_targets,
    expect,
    is_barred,
    make_send,
    make_stop,
    note_broken,
    note_turned_away,
    send_if_awaited,
    take_turn,
)

BAD_REQUEST = 400
"""No other target would run a request that one calls bad."""

LEAST_OTHER = 300
"""From here on a status is no success."""

UPSTREAM_FAULTS = frozenset((500, 502, 503, 504))
"""Statuses that count as a fault of the target."""

NoteSilent = Callable[[Passage, Exchange], None]


class Delivery:
    """Sends requests to the targets of their plans, and passes the answers on."""

    def __init__(
        self,
        means: Means,
        chooser: Chooser,
        copies: Copies,
        moves: Moves,
        log: RelayLog,
        note_silent: NoteSilent,
    ):
        """Prepare deliveries.

        Args:
            means: What the relay has.
            chooser: Chooses the hosts of prompts that were read apart.
            copies: Has answers copied.
            moves: Keeps which answers can be moved.
            log: Takes the lines of requests.
            note_silent: Told the requests that may run elsewhere while nothing is heard
                of their answers.
        """
        self._means = means
        self._note_silent = note_silent
        self._chooser = chooser
        self._log = log
        self._copies = copies
        self._moves = moves
        self._readings = Readings(means)
        self._apart = ReadingApart(means, self._readings, log)

    @property
    def placements(self) -> list[Placement]:
        """Prompts placed since they were last told to the peers."""
        return self._readings.placements

    async def carry_out(self, passage: Passage, plan: RequestPlan) -> End:
        """Send a request where its plan says, and pass its answer on."""
        link, size = self._means.link, passage.request.size
        # Not later: what is measured of targets begins with the send.
        await link.reserve(size)
        if plan.is_continued:
            return await self._continue(passage)
        engine = self._means.fleet.find_engine(plan.target)
        if plan.prefill_target is None:
            if engine is not None and passage.request.prompt is not None:
                return await self._send_unread(passage, plan, engine)
            return await self._send(passage, Sending(plan.target))
        try:
            with claim_room(self._means, passage, plan.target, Use.PROMISED):
                source = await self._apart.read(passage, plan)
        except NotSentError as error:
            return self._note_not_sent(passage, plan.prefill_target, error)
        if source is None:
            return End.NOT_RUN
        end = End.NOT_RUN
        try:
            await link.reserve(size)
            with ExitStack() as kept:
                reader = plan.prefill_target
                kept.enter_context(claim_room(self._means, passage, reader, Use.KEPT))
                end = await self._send_read(passage, plan, source, kept.close)
            return end
        finally:
            if end is not End.DELIVERED:
                self._apart.release(plan.prefill_target, source)

    async def _continue(self, passage: Passage) -> End:
        """Go on with a lost or stopped answer where its KV cache is."""
        place, passage.continuation = passage.continuation, None
        sending = Sending(
            place.target, source=place.source, is_continued=True, pool=place.pool
        )
        end = await self._send(passage, sending)
        self._means.metrics.continued.labels(end.value).inc()
        return end

    async def _send_read(
        self,
        passage: Passage,
        plan: RequestPlan,
        source: CacheSource,
        note_fetched: Callable[[], None],
    ) -> End:
        """Send a request whose prompt was read apart to the first host that takes it.

        What was read is not lost where a host turns out to want nothing.

        Args:
            passage: The request.
            plan: Where its prompt was read.
            source: What was read.
            note_fetched: Called when its answer begins: the reader keeps it no longer.
        """
        end = End.NOT_SENT
        while end is End.NOT_SENT:
            host = self._chooser.find_host(passage, plan)
            if host is None:
                return End.NOT_RUN
            engine = self._means.fleet.find_engine(host)
            if engine is not None:
                note_placed(engine, passage.request.prompt.parts)
            sending = Sending(host, source, on_first=note_fetched)
            end = await self._send(passage, sending)
        return end

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
        if crashes_targets(self._means, passage):
            # It became known while its prompt was read.
            return End.NOT_RUN
        passage.tried.add(target.announced.lifetime)
        since = self._means.clock()
        target.in_flight += 1
        try:
            if sending.pool is None:
                take_turn(self._means, target)
            with claim_room(self._means, passage, target, Use.TAKEN):
                return await self._send_claimed(passage, sending)
        except NotSentError as error:
            return self._note_not_sent(passage, target, error)
        except ConnectionBrokenError as error:
            return self._note_broken(passage, target, error, since)
        except TimeoutError:
            self._note_time(passage)
            passage.runs += 1
            passage.last_reason = "timed-out"
            return End.UNSURE
        finally:
            target.in_flight -= 1
            self._note_hold(passage, target)

    async def _send_claimed(self, passage: Passage, sending: Sending) -> End:
        """Send a request whose room at its target is accounted for."""
        target = sending.target
        async with (
            borrow_connection(self._means, target, sending.pool) as connection,
            self._means.guard.runs.watch(
                passage.named, target, passage.route.name
            ) as run,
        ):
            with self._copies.watch(passage, sending) as copied:
                return await self._exchange(passage, copied, connection, run)

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
        if is_barred(means, passage) or crashes_targets(means, passage):
            return End.NOT_RUN
        exchange = Exchange(passage.request.id)
        run.stop = make_stop(exchange)
        send = make_send(passage, sending, means.clock())
        written = means.dialect.encode_request(passage.request, send)
        with expect(target, self._expect_answer(passage, exchange)) as expected:
            async with limit_wait(passage, self._find_wait_s(passage)) as limit:
                sent_at = means.clock()
                send_if_awaited(passage, connection, exchange, written, sent_at)
                passage.offers += 1
                head = await exchange.read_head()
                left_s = self._find_wait_s(passage, has_begun=True)
                limit.reschedule(asyncio.get_running_loop().time() + left_s)
                passage.first_at = means.clock()
                if not head.not_run:
                    run.began_at = passage.first_at
                    self._count_begun(passage, sent_at)
                # What has begun to run does so for all its copies.
                run.stop = None
                health.note_heard(target, passage.first_at)
                self._note_begun(passage, sending)
                self._count_moved(passage, sending)
                sending.on_first()
                answer = Answer(target, head, exchange, connection, expected)
                with self._moves.watch(passage, answer):
                    end = await self._take_answer(passage, answer)
        if end is End.DELIVERED:
            self._note_time(passage)
            # Not after a failure: a target may answer so without having run it.
            means.guard.note_success(run)
        return end

    def _note_time(self, passage: Passage) -> None:
        """Note how long an answer took, or was waited for; a stop cuts waits short."""
        now = self._means.clock()
        if passage.sent_at is not None and now < self._means.ending.at:
            times, route = self._means.answer_times, passage.route.name
            note_answer_time(times, route, now - passage.sent_at)

    def _find_wait_s(self, passage: Passage, has_begun: bool = False) -> float:
        """Find how long a target's answer is waited for, or the rest of it, seconds."""
        due = passage.due if has_begun else passage.given_up_at
        due = min(due + forwarding.TIMEOUT_ANSWER_GRACE_S, self._means.ending.at)
        return due - self._means.clock()

    def _note_begun(self, passage: Passage, sending: Sending) -> None:
        was_read = sending.source is not None and not sending.is_continued
        if was_read and passage.read_at is not None:
            now, seconds = passage.first_at, passage.first_at - passage.read_at
            is_late = passage.plan.level == LATE_LEVEL
            self._means.lengths.note_handoff(passage.service, now, seconds, is_late)

    def _count_moved(self, passage: Passage, sending: Sending) -> None:
        """Count the KV cache that a sending has moved to another availability zone."""
        plan, means = passage.plan, self._means
        reader = plan.prefill_target if sending.source is not None else None
        if reader is None:
            return
        token_bytes = means.fleet.find_engine_spec(passage.service).token_bytes
        tokens = passage.request.prompt.tokens
        means.traffic.note_memory(reader, sending.target, tokens, token_bytes)

    def _count_begun(self, passage: Passage, sent_at: float) -> None:
        """Count a request that began to run, for the workspace whose key it carries.

        A stream begins with its first token, which comes with its head; anything else
        begins as it arrives, and its head comes with its end.
        """
        workspace = passage.permit.workspace
        if passage.count.is_done or workspace is None:
            return
        passage.count.is_done = True
        at = passage.first_at if passage.is_stream else sent_at
        self._means.book.count(workspace.name, at)

    def _expect_answer(self, passage: Passage, exchange: Exchange) -> ExpectedResponse:
        """Expect the first of an answer."""

        def end() -> None:
            exchange.fail(ConnectionBrokenError("the target started again"))

        def note_silent() -> None:
            self._note_silent(passage, exchange)

        return ExpectedResponse(
            since=self._means.clock(),
            silent_after_s=silence.find_first_event_timeout(passage.plan.first_event_s),
            abandon=note_silent if passage.route.may_rerun else None,
            lost_after_s=silence.find_lost_timeout(passage.plan.first_event_s),
            end=end,
        )

    async def _take_answer(self, passage: Passage, answer: Answer) -> End:
        target, head = answer.target, answer.head
        if head.not_run and head.status != BAD_REQUEST:
            await read_refusal(self._means, answer)
            self._note_not_run(passage, target, head)
            return End.NOT_RUN
        if head.status >= LEAST_OTHER:
            passage.fault = (head, await read_refusal(self._means, answer))
            passage.runs += 1
            health.note_answered(target)
            health.note_fault(target, head.status in UPSTREAM_FAULTS)
            passage.last_reason = f"status-{head.status}"
            return End.FAULT
        if not head.sealed or head.request_id != passage.request.id:
            raise ConnectionBrokenError("a success that is not the target's own")
        if passage.route.kind == STREAM:
            with claim_later(passage):
                await pass_stream(self._means, passage, answer)
        else:
            await pass_body(self._means, passage, answer)
        health.note_answered(target)
        health.note_fault(target, False)
        self._log.log_end(passage, target, "delivered")
        return End.DELIVERED

    def _note_not_run(self, passage: Passage, target: Target, head: AnswerHead) -> None:
        note_turned_away(self._means, target, head)
        passage.last_reason = "replaced" if target.replaced else "full"
        self._log.log_broken(passage, target, f"not run: status {head.status}")

    def _note_not_sent(
        self, passage: Passage, target: Target, error: NotSentError
    ) -> End:
        passage.tried.discard(target.announced.lifetime)
        passage.last_reason = error.obstacle.reason.value
        self._log.log_broken(passage, target, str(error))
        return End.NOT_SENT

    def _note_broken(
        self,
        passage: Passage,
        target: Target,
        error: ConnectionBrokenError,
        since: float,
    ) -> End:
        if not is_stopped(passage, target):
            note_broken(target, error, self._means.clock(), since)
        self._log.log_broken(passage, target, str(error))
        passage.last_reason = "broken"
        if not error.was_sent:
            return End.NOT_RUN
        passage.runs += 1
        return End.UNSURE
