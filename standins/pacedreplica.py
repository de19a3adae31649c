"""An engine that reads prompts at a pace, the most urgent first, as the users' do."""

import asyncio
import heapq
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count

from standins.promptcache import count_unread, keep
from standins.prompts import parse_parts
from standins.rawhttp import RawRequest
from standins.replica import Replica

GENERATING_SHARE = 0.5
"""Pace of reading between the tokens of others, against that of reading alone."""

EVENT_S = 0.03
"""Seconds from one event of a stream to the next."""

USUAL_URGENCY = 5
"""What a request that names no urgency counts as."""


class Turns:
    """Lets one reading on at a time, the most urgent first, then the oldest."""

    def __init__(self):
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._numbers = count()
        self._is_taken = False

    @asynccontextmanager
    async def take(self, urgency: int) -> AsyncIterator[None]:
        """Wait for a turn and keep it."""
        if self._is_taken:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (urgency, next(self._numbers), turn))
            await turn
        self._is_taken = True
        try:
            yield
        finally:
            self._pass_on()

    def _pass_on(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._is_taken = False


class PacedReplica(Replica):
    """An engine with slots, a queue of prompts by urgency, and a cache.

    Attributes:
        slowness: How many times longer it takes at present.
        is_silent: Whether it takes requests and says nothing.
        turned_away: Requests that found neither a slot nor a place in the queue.
        left_unread: Prompts whose callers had left when their turn came.
    """

    def __init__(
        self,
        lifetime: str,
        service: str,
        role: str,
        tokens_per_s: float,
        cache_tokens: int,
        slots: int = 64,
    ):
        super().__init__(lifetime, service, role, events=5)
        self.slowness = 1.0
        self.is_silent = False
        self.turned_away = 0
        self.left_unread = 0
        self._tokens_per_s = tokens_per_s
        self._cache_tokens = cache_tokens
        self.held: OrderedDict[str, int] = OrderedDict()
        self._slots = slots
        self._busy = 0
        self._turns = Turns()
        self._holders: dict[str, PacedReplica] = {}

    def meet(self, others: "list[PacedReplica]") -> None:
        """Tell it the engines from whose caches it may fetch."""
        self._holders = {other.server.address: other for other in others}

    async def _be_ok(self, request: RawRequest, writer) -> bool:
        while self.is_silent:
            await asyncio.sleep(EVENT_S)
        if self._busy >= self._slots:
            self.turned_away += 1
            return await self._be_full(request, writer)
        self._busy += 1
        try:
            if "x-kv-source" not in request.headers and not await self._read(request):
                return False
            if request.headers.get("x-stage") == "prefill":
                return await super()._be_ok(request, writer)
            self._begin_stream(request, writer)
            for number in range(1, self.events + 1):
                self._write_event(request, writer, number)
                await writer.drain()
                await asyncio.sleep(EVENT_S * self.slowness)
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self._busy -= 1

    async def _read(self, request: RawRequest) -> bool:
        """Read a prompt; false if its caller had left by then."""
        urgency = int(request.headers.get("x-request-priority", USUAL_URGENCY))
        async with self._turns.take(urgency):
            if request.is_left():
                self.left_unread += 1
                return False
            parts = parse_parts(request)
            unread = count_unread(self.held, parts)
            holder = self._holders.get(request.headers.get("kv-fetch", ""))
            if holder is not None:
                unread = min(unread, count_unread(holder.held, parts))
            pace = self._tokens_per_s
            pace *= 1.0 if self.role == "prefill" else GENERATING_SHARE
            await asyncio.sleep(unread / pace * self.slowness)
            keep(self.held, parts, self._cache_tokens)
            return True
