"""Hedged requests: a second attempt beside one whose target fell silent.

Silence does not prove that a target has ended. The first attempt goes on until the
answer of the second one has begun; what answers first is passed on, and the other
attempt is broken off. A third one may begin beside a second one in the same way.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from robinspindle.core.events import EventSplitter
from robinspindle.httpclient import ConnectionBrokenError, Exchange
from robinspindle.passages import Hedge, Passage

MAX_RIVALRY_S = 0.2
"""How long two targets may both generate one answer, seconds: half the time after which
that is a fault."""


def fork_passage(passage: Passage, exchange: Exchange) -> Passage:
    """Make the passage of a second attempt.

    Args:
        passage: The first attempt.
        exchange: Waits for the first attempt's answer; fails once the second one's has
            begun.
    """

    def supersede() -> None:
        passage.is_superseded = True
        exchange.fail(ConnectionBrokenError("another target answered first"))
        _break_rival(passage)

    # The silent target may have run the request.
    runs = passage.runs + 1
    return replace(
        passage,
        splitter=continue_events(passage.splitter),
        runs=runs,
        earlier_runs=runs,
        break_rival=supersede,
        wait=None,
    )


def continue_events(splitter: EventSplitter) -> EventSplitter:
    """Make a splitter for an answer that continues after the last complete event."""
    return EventSplitter(last_id=splitter.last_id, events=splitter.events)


def begin_hedge(passage: Passage, hedge: Hedge) -> None:
    """Record the second attempt of a request that is under way."""
    passage.hedge = hedge


def claim_answer(passage: Passage) -> None:
    """Make an attempt the one whose answer is passed on, and break off the others.

    Raises:
        ConnectionBrokenError: If another attempt's answer began first.
    """
    if passage.is_superseded:
        raise ConnectionBrokenError("another target answered first")
    drop_hedge(passage)
    _break_rival(passage)


@contextmanager
def claim_later(passage: Passage) -> Iterator[None]:
    """Make a stream whose head has come the one that is passed on, if it goes on.

    Its first event claims it at once; until then another attempt may go on instead.
    """
    if passage.break_rival is None and passage.hedge is None:
        yield
        return

    def claim() -> None:
        if not passage.is_superseded:
            claim_answer(passage)

    timer = asyncio.get_running_loop().call_later(MAX_RIVALRY_S, claim)
    try:
        yield
    finally:
        timer.cancel()


def _break_rival(passage: Passage) -> None:
    """Break off the attempt beside which an attempt began, if there is one."""
    break_rival, passage.break_rival = passage.break_rival, None
    if break_rival is not None:
        break_rival()


def drop_hedge(passage: Passage) -> None:
    """Break off the second attempt of a request, and those beside that one, if any."""
    hedge = passage.hedge
    if hedge is None:
        return
    # At once: before its own task ends, a third attempt's answer could begin.
    drop_hedge(hedge.passage)
    was_sent = hedge.passage.offers > passage.offers
    may_run = was_sent and not hedge.task.done()
    hedge.task.cancel()
    join_hedge(passage)
    passage.runs += int(may_run)


def join_hedge(passage: Passage) -> None:
    """Add what the second attempt has done to the first one, and forget the second."""
    second = passage.hedge.passage
    passage.hedge = None
    passage.offers = second.offers
    passage.reads = second.reads
    # A copy serves once.
    passage.copy = second.copy
    # The first attempt counts its own run as it ends.
    passage.runs += second.runs - second.earlier_runs
    passage.counts_as_served |= second.counts_as_served
    if passage.is_superseded:
        passage.is_superseded = False
        passage.splitter = second.splitter
        passage.longest_pause_s = second.longest_pause_s
    if second.fault is not None:
        passage.fault = second.fault
