"""Polls that are held, with a second call beside one that brings nothing in time.

An open connection may go silent for good while new ones work. Nothing tells that but an
answer that does not come.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from robinspindle.calls import Transfer
from robinspindle.exceptions import LogUnavailableError
from robinspindle.storerecords import Records

Read = Coroutine[Any, Any, Records[bytes]]
Call = asyncio.Task[Records[bytes]]


@dataclass(frozen=True)
class Polled:
    """What a held poll brought.

    Attributes:
        found: The answer.
        was_silent: Whether it came by the second call, while nothing of the first did.
    """

    found: Records[bytes]
    was_silent: bool


async def poll(
    held: Read,
    transfer: Transfer,
    due_s: float,
    ask_again: Callable[[], Read],
) -> Polled:
    """Await a held poll, and ask again on another connection where it is overdue.

    An answer that is on its way is waited for: a large one takes long over a slow link.

    Args:
        held: The poll.
        transfer: Told how far its answer has come.
        due_s: When its answer is due, seconds from now.
        ask_again: Makes the second call.

    Raises:
        LogUnavailableError: If no call is answered.
    """
    first = asyncio.ensure_future(held)
    calls = {first}
    try:
        await asyncio.wait(calls, timeout=due_s)
        if not first.done() and not transfer.has_begun:
            calls.add(asyncio.ensure_future(ask_again()))
        answered = await _await_answered(calls)
        was_silent = answered is not first and not transfer.has_begun
        return Polled(answered.result(), was_silent)
    finally:
        for call in calls:
            call.cancel()


async def _await_answered(calls: set[Call]) -> Call:
    """Await the first call that is answered, or the last one that fails."""
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        answered = [one for one in done if not _has_failed(one)]
        if answered or not pending:
            return (answered or list(done))[0]


def _has_failed(call: Call) -> bool:
    return isinstance(call.exception(), LogUnavailableError)
