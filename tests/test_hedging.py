import asyncio
from types import SimpleNamespace

import pytest

from robinspindle.core.events import EventSplitter
from robinspindle.hedging import (
    begin_hedge,
    claim_answer,
    drop_hedge,
    fork_passage,
    join_hedge,
)
from robinspindle.httpclient import ConnectionBrokenError, Exchange
from robinspindle.passages import GivenUp, Hedge, Passage


def make_passage():
    request = SimpleNamespace(prompt=None, received_at=0.0)
    passage = Passage(request, None, None, "lm", None, 9.0, 1.0, 2.0)
    passage.offers = 1
    passage.splitter = EventSplitter(b"half of", "4", 4)
    return passage


async def never_end():
    await asyncio.Event().wait()


async def fail():
    return GivenUp("busy")


def begin(passage, work):
    exchange = Exchange("r1")
    second = fork_passage(passage, exchange)
    task = asyncio.get_running_loop().create_task(work())
    begin_hedge(passage, Hedge(second, task))
    return second, exchange


def test_a_second_attempt_continues_after_the_last_whole_event():
    async def scenario():
        passage = make_passage()
        second, _ = begin(passage, never_end)
        assert (second.splitter.last_id, second.splitter.rest) == ("4", b"")
        assert second.runs == 1
        assert second.tried is passage.tried

    asyncio.run(scenario())


def test_two_answers_are_never_joined_if_both_begin_at_once():
    async def scenario():
        passage = make_passage()
        second, exchange = begin(passage, never_end)
        claim_answer(second)
        with pytest.raises(ConnectionBrokenError):
            claim_answer(passage)
        with pytest.raises(ConnectionBrokenError):
            await exchange.read_head()
        assert passage.hedge is not None

    asyncio.run(scenario())


def test_a_second_attempt_ends_once_the_first_answer_goes_on():
    async def scenario():
        passage = make_passage()
        second, exchange = begin(passage, never_end)
        second.offers += 1
        task = passage.hedge.task
        claim_answer(passage)
        with pytest.raises(asyncio.CancelledError):
            await task
        assert exchange.error is None
        assert passage.hedge is None
        assert passage.offers == 2
        # It may have run at the second target.
        assert passage.runs == 1

    asyncio.run(scenario())


def test_a_third_answer_ends_both_attempts_before_it():
    async def scenario():
        passage = make_passage()
        second, exchange = begin(passage, never_end)
        third, second_exchange = begin(second, never_end)
        claim_answer(third)
        assert exchange.error is not None
        assert second_exchange.error is not None
        for earlier in (passage, second):
            with pytest.raises(ConnectionBrokenError):
                claim_answer(earlier)

    asyncio.run(scenario())


def test_a_third_attempt_ends_at_once_when_the_first_answer_goes_on():
    async def scenario():
        passage = make_passage()
        second, _ = begin(passage, never_end)
        second.offers += 1
        third, _ = begin(second, never_end)
        third.offers += 1
        tasks = passage.hedge.task, second.hedge.task
        claim_answer(passage)
        assert all(task.cancelling() for task in tasks)
        assert passage.runs == 2

    asyncio.run(scenario())


def test_a_second_attempt_that_was_not_sent_is_no_run():
    async def scenario():
        passage = make_passage()
        begin(passage, never_end)
        claim_answer(passage)
        assert (passage.offers, passage.runs) == (1, 0)

    asyncio.run(scenario())


def test_a_second_attempt_that_failed_counts_for_the_first():
    async def scenario():
        passage = make_passage()
        second, _ = begin(passage, fail)
        second.offers += 1
        second.runs += 1
        assert await passage.hedge.task == GivenUp("busy")
        join_hedge(passage)
        assert (passage.offers, passage.runs) == (2, 1)
        assert not passage.is_superseded

    asyncio.run(scenario())


def test_a_first_attempt_that_ended_beside_the_second_still_counts():
    async def scenario():
        passage = make_passage()
        second, _ = begin(passage, fail)
        second.offers += 1
        second.runs += 1
        await passage.hedge.task
        passage.runs += 1
        join_hedge(passage)
        assert passage.runs == 2

    asyncio.run(scenario())


def test_events_of_a_second_answer_that_broke_are_not_asked_for_again():
    async def scenario():
        passage = make_passage()
        second, _ = begin(passage, fail)
        claim_answer(second)
        second.splitter.last_id, second.splitter.events = "7", 7
        await passage.hedge.task
        join_hedge(passage)
        assert (passage.splitter.last_id, passage.splitter.events) == ("7", 7)
        # The next attempt's answer may be passed on.
        claim_answer(passage)

    asyncio.run(scenario())


def test_a_caller_that_leaves_ends_both_attempts():
    async def scenario():
        passage = make_passage()
        begin(passage, never_end)
        task = passage.hedge.task
        drop_hedge(passage)
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
