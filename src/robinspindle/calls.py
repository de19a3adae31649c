"""Calls of our own, beside callers' requests: to the store and to engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core.forwarding import AnswerHead
from robinspindle.httpclient import ConnectionPool, Exchange, borrow


@dataclass
class Transfer:
    """How far one answer has come.

    Attributes:
        moved_at: When it was asked for, or something of it came last, steady seconds.
        received: Bytes of its body that have come.
    """

    moved_at: float
    received: int = 0


@dataclass(frozen=True)
class CallLimits:
    """How long one call of our own waits for the next thing to happen, seconds.

    There is none for the whole: what is large takes long over a slow link, and a call
    that is given up while its answer comes begins again at the first byte, so that it
    might never come.

    Attributes:
        connect_s: Longest wait for a new connection.
        first_s: Longest wait for the head of the answer.
        silence_s: Longest wait for each further piece of it.
    """

    connect_s: float
    first_s: float
    silence_s: float


async def call_once(
    pool: ConnectionPool,
    clock: Callable[[], float],
    data: bytes,
    limits: CallLimits,
    transfer: Transfer | None = None,
) -> tuple[AnswerHead, bytes]:
    """Make one call of our own and read its whole answer.

    Args:
        pool: Connections to whom it is made.
        clock: Tells the present time, steady seconds.
        data: The call.
        limits: How long is waited for each thing to happen.
        transfer: Told how far the answer has come, also where it does not come whole.

    Raises:
        ConnectionBrokenError: When no whole answer comes.
        TimeoutError: When nothing of it comes for too long.
    """
    transfer = transfer or Transfer(clock())
    async with borrow(pool, clock, limits.connect_s) as connection:
        exchange = Exchange("")
        connection.send(exchange, data)
        return await _read_answer(exchange, limits, transfer, clock)


async def _read_answer(
    exchange: Exchange,
    limits: CallLimits,
    transfer: Transfer,
    clock: Callable[[], float],
) -> tuple[AnswerHead, bytes]:
    """Wait for a whole answer for as long as something of it comes."""
    async with asyncio.timeout(limits.first_s):
        head = await exchange.read_head()
    transfer.moved_at = clock()
    chunks = []
    while chunk := await _read_next(exchange, limits.silence_s):
        transfer.moved_at = clock()
        transfer.received += len(chunk)
        chunks.append(chunk)
    return head, b"".join(chunks)


async def _read_next(exchange: Exchange, silence_s: float) -> bytes:
    async with asyncio.timeout(silence_s):
        return await exchange.read_chunk()
