"""A replica that takes its time as the users' replicas do: slots, prompts, caches."""

import asyncio
from collections import OrderedDict

from standins.promptcache import count_unread, keep
from standins.prompts import parse_parts
from standins.rawhttp import RawRequest
from standins.replica import Replica

READ_TOKENS_PER_S = 150_000.0
"""Pace of an engine that only reads, half of the users' figure: several share this
machine's cores with what is measured."""

GENERATING_SHARE = 0.5
"""Pace of reading between the tokens of others, against that."""

EVENT_S = 0.02
"""Seconds from one event of a stream to the next."""

CALL_S = 0.015
"""Seconds that a call of a plain service takes."""

CACHE_TOKENS = 300_000
"""Tokens of prompts that an engine keeps; the least recently used go first."""


class TimedReplica(Replica):
    """A replica with slots, one reading of a prompt at a time, and a prefix cache.

    Attributes:
        read_tokens: Tokens of prompts that it has read.
        kept_tokens: Tokens of prompts that it found in its cache.
    """

    def __init__(self, lifetime: str, service: str, role: str = "", slots: int = 6):
        super().__init__(lifetime, service, role)
        self.read_tokens = 0
        self.kept_tokens = 0
        self._slots = asyncio.Semaphore(slots)
        self._reading = asyncio.Lock()
        self._cache: OrderedDict[str, int] = OrderedDict()

    async def _be_ok(self, request: RawRequest, writer) -> bool:
        async with self._slots:
            if not self.role:
                await asyncio.sleep(CALL_S)
            elif "x-kv-source" not in request.headers:
                await self._read(request)
            return await super()._be_ok(request, writer)

    async def _read(self, request: RawRequest) -> None:
        parts = parse_parts(request)
        pace = READ_TOKENS_PER_S * (1.0 if self.role == "prefill" else GENERATING_SHARE)
        async with self._reading:
            unread = count_unread(self._cache, parts)
            self.read_tokens += unread
            self.kept_tokens += sum(tokens for _, tokens in parts) - unread
            await asyncio.sleep(unread / pace)
            keep(self._cache, parts, CACHE_TOKENS)
