"""Calls of our own, beside callers' requests: to the store and to engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.connectionpool import ConnectionPool, borrow
from robinspindle.core import upstreamaccount
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.upstreamaccount import UpstreamAccount, UpstreamHolding
from robinspindle.httpclient import ConnectionBrokenError, Exchange

MOST_ANSWER_BYTES = 65536
"""Longest answer to a call that asks for no list or record."""

FIRST_PACE_S = 10.0
LEAST_PACE_BYTES_PER_S = 16384
"""How much of an answer has to have come on average once it has been coming for
`FIRST_PACE_S` seconds: a small share of the slowest link, so that only an answer that
may never end is given up."""


@dataclass
class Transfer:
    """How far one answer has come.

    Attributes:
        moved_at: When it was asked for, or something of it came last, steady seconds.
        received: Bytes of its body that have come.
        has_begun: Whether its head has come.
    """

    moved_at: float
    received: int = 0
    has_begun: bool = False


@dataclass(frozen=True)
class CallLimits:
    """How long one call of our own waits for each thing to happen, and for how much.

    There is no fixed time for the whole: what is large takes long over a slow link, and
    a call that is given up while its answer comes begins again at the first byte, so
    that it might never come. A least pace and a longest answer bound it.

    Attributes:
        connect_s: Longest wait for a new connection, seconds.
        first_s: Longest wait for the head of the answer, seconds.
        silence_s: Longest wait for each further piece of it, seconds.
        answer_bytes: Longest body of the answer.
    """

    connect_s: float
    first_s: float
    silence_s: float
    answer_bytes: int = MOST_ANSWER_BYTES


async def call_once(
    pool: ConnectionPool,
    clock: Callable[[], float],
    data: bytes,
    limits: CallLimits,
    transfer: Transfer | None = None,
    account: UpstreamAccount | None = None,
) -> tuple[AnswerHead, bytes]:
    """Make one call of our own and read its whole answer.

    Args:
        pool: Connections to whom it is made.
        clock: Tells the present time, steady seconds.
        data: The call.
        limits: How long is waited for each thing to happen.
        transfer: Told how far the answer has come, also where it does not come whole.
        account: Counts what is held of it; None where its kind is always short.

    Raises:
        ConnectionBrokenError: When no whole answer comes, or it seems to have no end.
        TimeoutError: When nothing of it comes for too long.
    """
    transfer = transfer or Transfer(clock())
    account = account or UpstreamAccount()
    holding = UpstreamHolding()

    def check() -> None:
        upstreamaccount.note_read(account, holding, transfer.received)
        if holding.has_given_way:
            raise ConnectionBrokenError("the largest answer where too much is held")

    async with borrow(pool, clock, limits.connect_s) as connection:
        exchange = Exchange("")
        connection.send(exchange, data)
        try:
            return await _read_answer(exchange, limits, transfer, clock, check)
        finally:
            upstreamaccount.note_ended(account, holding)


async def call_apart(
    pool: ConnectionPool,
    clock: Callable[[], float],
    data: bytes,
    limits: CallLimits,
    account: UpstreamAccount | None = None,
) -> tuple[AnswerHead, bytes]:
    """Make one call of our own on a connection that carries nothing else.

    Args:
        pool: Made for this call; closed in the end.
        clock: Tells the present time, steady seconds.
        data: The call.
        limits: How long is waited for each thing to happen.
        account: Counts what is held of its answer; None where its kind is always short.

    Raises:
        ConnectionBrokenError: When no whole answer comes, or it seems to have no end.
        TimeoutError: When nothing of it comes for too long.
    """
    try:
        return await call_once(pool, clock, data, limits, account=account)
    finally:
        pool.close()


async def _read_answer(
    exchange: Exchange,
    limits: CallLimits,
    transfer: Transfer,
    clock: Callable[[], float],
    check: Callable[[], None],
) -> tuple[AnswerHead, bytes]:
    """Wait for a whole answer for as long as something of it comes.

    Args:
        exchange: Takes the answer.
        limits: How long is waited for each thing to happen.
        transfer: Told how far the answer has come.
        clock: Tells the present time, steady seconds.
        check: Called at each piece; raises where the answer is to be read no further.
    """
    async with asyncio.timeout(limits.first_s):
        head = await exchange.read_head()
    transfer.has_begun = True
    transfer.moved_at = begun_at = clock()
    chunks = []
    while chunk := await _read_next(exchange, limits.silence_s):
        transfer.moved_at = clock()
        transfer.received += len(chunk)
        chunks.append(chunk)
        _check_end(transfer, begun_at, limits)
        check()
    return head, b"".join(chunks)


async def _read_next(exchange: Exchange, silence_s: float) -> bytes:
    async with asyncio.timeout(silence_s):
        return await exchange.read_chunk()


def _check_end(transfer: Transfer, begun_at: float, limits: CallLimits) -> None:
    """Check that an answer may still come to its end.

    Raises:
        ConnectionBrokenError: When it is longer or slower than any proper one.
    """
    if transfer.received > limits.answer_bytes:
        raise ConnectionBrokenError("an answer without end")
    late_s = transfer.moved_at - begun_at - FIRST_PACE_S
    if late_s > transfer.received / LEAST_PACE_BYTES_PER_S:
        raise ConnectionBrokenError("an answer that takes too long")
