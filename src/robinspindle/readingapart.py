"""Prompts that one engine reads for another: the reading and its release."""

import asyncio

from robinspindle.calls import MOST_ANSWER_BYTES
from robinspindle.core import health
from robinspindle.core.forwarding import AnswerHead, CacheSource
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.roomclaims import Use
from robinspindle.core.silence import (
    ExpectedResponse,
    find_first_event_timeout,
    find_lost_timeout,
)
from robinspindle.core.targets import Target
from robinspindle.exceptions import BadDocumentError, TurnedAwayError
from robinspindle.httpclient import ConnectionBrokenError, Exchange, NotSentError
from robinspindle.passages import Means, Passage, limit_wait
from robinspindle.readings import Readings
from robinspindle.relaylogs import RelayLog
from robinspindle.roomkeeping import claim_room
from robinspindle.sending import (
    Sending,
    borrow_connection,
    crashes_targets,
    expect,
    free_handle,
    make_send,
    make_stop,
    note_broken,
    note_turned_away,
    send_if_awaited,
    take_turn,
)

READING = " read"
"""What the kind of a reading ends with, after its route."""

READ = 200
"""The one status that says that a prompt was read."""


class ReadingApart:
    """Has prompts read apart, and frees those that are not fetched."""

    def __init__(self, means: Means, readings: Readings, log: RelayLog):
        self._means = means
        self._readings = readings
        self._log = log
        self._releases: set[asyncio.Task] = set()

    async def read(self, passage: Passage, plan: RequestPlan) -> CacheSource | None:
        """Have a prompt read at the plan's reader; None when that failed.

        Raises:
            NotSentError: If the reader is to get nothing now.
        """
        reader = plan.prefill_target
        engine = self._means.fleet.find_engine(reader)
        take_turn(self._means, reader)
        passage.reads += 1
        work = self._readings.begin(passage, reader, engine, plan)
        reader.in_flight += 1
        since = self._means.clock()
        try:
            with claim_room(self._means, passage, reader, Use.READ):
                head, body = await self._ask(
                    passage, Sending(reader, cache_source=plan.cache_source)
                )
            if head.status != READ:
                self._note_unread(passage, reader, head)
                return None
            passage.read_at = self._means.clock()
            work.end(passage.read_at)
            health.note_answered(reader)
            return self._means.dialect.decode_prefill_answer(
                reader.announced.address, body
            )
        except TurnedAwayError as error:
            self._log.log_broken(passage, reader, str(error))
        except NotSentError:
            passage.reads -= 1
            raise
        except ConnectionBrokenError as error:
            note_broken(reader, error, self._means.clock(), since)
            self._log.log_broken(passage, reader, str(error))
        except BadDocumentError as error:
            health.note_fault(reader, True)
            self._log.log_broken(passage, reader, str(error))
        except TimeoutError:
            self._log.log_broken(passage, reader, "prompt not read in time")
        finally:
            work.cancel()
            reader.in_flight -= 1
        return None

    def release(self, reader: Target, source: CacheSource) -> None:
        """Free a prompt that was read and will not be fetched."""
        task = asyncio.get_running_loop().create_task(self._free(reader, source))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _ask(
        self, passage: Passage, sending: Sending
    ) -> tuple[AnswerHead, bytes]:
        means = self._means
        send = make_send(passage, sending, means.clock(), prefill_only=True)
        exchange = Exchange(passage.request.id)
        async with (
            borrow_connection(means, sending.target) as connection,
            means.guard.runs.watch(
                passage.named, sending.target, passage.route.name + READING
            ) as run,
        ):
            if crashes_targets(means, passage):
                raise TurnedAwayError("it became known before its prompt was sent")
            run.stop = make_stop(exchange)
            with expect(sending.target, self._expect_reading(passage, exchange)):
                async with limit_wait(passage, passage.given_up_at - means.clock()):
                    written = means.dialect.encode_request(passage.request, send)
                    now = means.clock()
                    send_if_awaited(passage, connection, exchange, written, now)
                    head = await exchange.read_head()
                    health.note_heard(sending.target, means.clock())
                    body = await exchange.read_body(MOST_ANSWER_BYTES)
                    means.guard.note_run_time(run)
                    return head, body

    def _expect_reading(self, passage: Passage, exchange: Exchange) -> ExpectedResponse:
        """Expect a prompt to be read; it may always be read elsewhere instead."""

        def end() -> None:
            exchange.fail(ConnectionBrokenError("the reader started again"))

        return ExpectedResponse(
            since=self._means.clock(),
            silent_after_s=find_first_event_timeout(passage.plan.first_event_s),
            abandon=lambda: exchange.fail(ConnectionBrokenError("not read in time")),
            lost_after_s=find_lost_timeout(passage.plan.first_event_s),
            end=end,
        )

    def _note_unread(self, passage: Passage, reader: Target, head: AnswerHead) -> None:
        if head.not_run:
            note_turned_away(self._means, reader, head)
        else:
            health.note_fault(reader, True)
        text = f"prompt not read: status {head.status}"
        self._log.log_broken(passage, reader, text)

    async def _free(self, reader: Target, source: CacheSource) -> None:
        pool = self._means.fleet.make_call_pool(reader)
        await free_handle(self._means, pool, source)
