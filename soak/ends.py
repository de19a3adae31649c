"""Callers that tell a whole answer, a refusal and a closed connection apart."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from soak.callers import KINDS, write_request
from soak.gateways import GatewayProcess
from soak.oracle import Oracle, expect_answer
from standins.rawhttp import LOOPBACK

DEADLINE_S = 4.0
"""How long a caller waits for its answer, as it says, seconds."""

LATE_SHARE = 0.7
"""Share of its time after which a request that is cut beside a change is excused."""

GAP_LIMIT_S = 2.0
"""Callers give a stream up after that long without an event, seconds."""

OK = 200


class End(StrEnum):
    """How a request ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    CLOSED = "closed"
    EXCUSED = "closed late"
    LEFT = "given up"
    WRONG = "wrong"


@dataclass
class EndAccount:
    """How requests ended, beside changes and apart from them.

    Attributes:
        is_beside: Whether a change of the configuration may be in force now.
        counts: Requests by kind, whether they ended beside a change, and their end.
        closed: Ids of requests whose connection was closed, with the seconds used.
    """

    is_beside: bool = False
    counts: Counter[tuple[str, bool, End]] = field(default_factory=Counter)
    closed: list[tuple[str, float]] = field(default_factory=list)

    def note(self, id: str, kind: str, end: End, used_s: float) -> None:
        """Take note of an end, and excuse a close after most of the time was used."""
        if end is End.CLOSED and used_s >= LATE_SHARE * DEADLINE_S:
            end = End.EXCUSED
        if end is End.CLOSED:
            self.closed.append((f"{kind} {id}", round(used_s, 2)))
        self.counts[kind, self.is_beside, end] += 1

    def count(self, end: End, is_beside: bool | None = None) -> int:
        """Count the requests with an end, of both times where none is given."""
        return sum(
            number
            for (_, beside, found), number in self.counts.items()
            if found is end and is_beside in (None, beside)
        )


async def call_for_ends(
    gateway: GatewayProcess,
    oracle: Oracle,
    account: EndAccount,
    rng: random.Random,
    name: str,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Send one request after another to a gateway, each on a connection of its own.

    Args:
        gateway: The gateway.
        oracle: Told what is sent.
        account: Told how each ended.
        rng: Chooses what is sent.
        name: What the requests' ids begin with.
        clock: Tells the present time, steady seconds.
    """
    number = 0
    while True:
        number += 1
        id, kind = f"{name}-{number}", rng.choice(KINDS)
        oracle.note_sent(id, kind)
        data = write_request(id, kind, rng, deadline_ms=round(DEADLINE_S * 1000))
        sent_at = clock()
        end = await ask(gateway.callers, data, id, kind)
        account.note(id, kind, end, clock() - sent_at)
        await asyncio.sleep(rng.uniform(0.0, 0.05))


async def ask(port: int, data: bytes, id: str, kind: str) -> End:
    """Send a request on a connection of its own and return how it ended.

    Args:
        port: The port of a gateway.
        data: The request as written.
        id: Its id, which its answer holds.
        kind: Its kind.
    """
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        async with asyncio.timeout(DEADLINE_S):
            writer.write(data)
            return await read_end(reader, id, kind)
    except TimeoutError:
        return End.LEFT
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return End.CLOSED
    finally:
        writer.close()


async def read_end(
    reader: asyncio.StreamReader,
    id: str,
    kind: str,
    on_head: Callable[[], None] = lambda: None,
) -> End:
    """Read an answer and return how its request ended.

    Args:
        reader: Where the answer comes.
        id: The request's id, which its answer holds.
        kind: Its kind.
        on_head: Called when the head has come.

    Raises:
        OSError: If the connection ended before the answer did.
        asyncio.IncompleteReadError: The same.
        ValueError: If it is no answer.
    """
    status, body = await _read_answer(reader, on_head)
    if status != OK:
        return End.REFUSED
    return End.WHOLE if body == expect_answer(id, kind) else End.WRONG


async def _read_answer(
    reader: asyncio.StreamReader, on_head: Callable[[], None]
) -> tuple[int, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    on_head()
    status = int(head.split()[1])
    if "transfer-encoding: chunked" not in head:
        length = int(head.partition("content-length:")[2].split()[0])
        return status, await reader.readexactly(length)
    body = b""
    while True:
        async with asyncio.timeout(GAP_LIMIT_S):
            size = int(await reader.readline(), 16)
            piece = await reader.readexactly(size + 2)
        body += piece[:size]
        if not size:
            return status, body
