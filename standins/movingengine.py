"""An engine of finite memory whose runs are copied to others as they grow."""

import asyncio
from dataclasses import dataclass

from standins.prompts import parse_parts
from standins.rawhttp import RawRequest
from standins.replica import Replica

EVENT_S = 0.03
"""Seconds from one event of a stream to the next."""

POLL_S = 0.005
"""How often an engine that is held looks whether it may go on, seconds."""

OVERLAP_S = 0.4
"""How long after a run has gone on elsewhere its earlier engine may still work on it,
seconds."""


@dataclass
class Memory:
    """What an engine keeps of a run.

    Attributes:
        tokens: Tokens of its prompt.
        events: Events that it holds.
    """

    tokens: int
    events: int = 0

    @property
    def size(self) -> int:
        """Tokens of memory; an event counts as one."""
        return self.tokens + self.events


class MovingEngine(Replica):
    """A replica that generates from memory, of which others may hold copies.

    Attributes:
        runs: What it generates now, by the id of the request.
        copies: What others have copied here, by the id of the request.
        read: Tokens that it read for each run, in the order of their begin: those of
            the prompt and of events that no copy held.
        copy_lag: Events by which the copies that it sends are behind.
        is_held: Whether it generates nothing further for now.
        overlaps: Ids of runs that another engine still worked on when it had gone on
            here for too long.
    """

    def __init__(
        self,
        lifetime: str,
        service: str,
        role: str = "decode",
        events: int = 8,
        memory_tokens: int = 10_000,
        hold_s: float = 5.0,
    ):
        super().__init__(lifetime, service, role, events)
        self.runs: dict[str, Memory] = {}
        self.copies: dict[str, Memory] = {}
        self.read: list[int] = []
        self.copy_lag = 0
        self.is_held = False
        self.overlaps: list[str] = []
        self._memory_tokens = memory_tokens
        self._hold_s = hold_s
        self._others: dict[str, MovingEngine] = {}

    @property
    def free_tokens(self) -> int:
        """Tokens of memory that nothing occupies."""
        kept = [*self.runs.values(), *self.copies.values()]
        return self._memory_tokens - sum(memory.size for memory in kept)

    def meet(self, others: "list[MovingEngine]") -> None:
        """Tell it the engines that it may copy to."""
        self._others = {other.server.address: other for other in others}

    async def crash(self) -> None:
        """End in the middle of everything, with all memory."""
        self.has_crashed = True
        self.runs.clear()
        self.copies.clear()
        await self.server.stop()

    def keep_copy(self, id: str, memory: Memory) -> None:
        """Keep what has arrived of another engine's run, as far as there is room."""
        kept = self.copies.pop(id, None)
        if memory.size <= self.free_tokens:
            self.copies[id] = memory
        elif kept is not None:
            self.copies[id] = kept

    async def _be_ok(self, request: RawRequest, writer) -> bool:
        id = request.headers["x-request-id"]
        done = int(request.headers.get("last-event-id", 0))
        memory = Memory(sum(tokens for _, tokens in parse_parts(request)), done)
        source = request.headers.get("x-kv-source", "")
        copy = None
        if source:
            copy = self._take_copy(source, id)
            if copy is None:
                return await self._be_full(request, writer)
        if memory.size + self.events > self.free_tokens:
            return await self._be_full(request, writer)
        copied = min(copy.size, memory.size) if copy else 0
        self.read.append(memory.size - copied)
        self.runs[id] = memory
        if copy is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(OVERLAP_S, self._note_overlap, id)
        try:
            return await self._generate(request, writer, memory)
        finally:
            self.runs.pop(id, None)

    def _take_copy(self, source: str, id: str) -> Memory | None:
        """Take a copy, which serves once; another request's is none."""
        if source != f"{self.server.address}/{id}":
            return None
        return self.copies.pop(id, None)

    async def _generate(self, request: RawRequest, writer, memory: Memory) -> bool:
        id = request.headers["x-request-id"]
        keeper = self._others.get(request.headers.get("x-kv-backup", ""))
        self._begin_stream(request, writer)
        for number in range(memory.events + 1, self.events + 1):
            while self.is_held and not (self.has_crashed or request.is_left()):
                await asyncio.sleep(POLL_S)
            if self.has_crashed or request.is_left():
                self._end_badly(id, keeper)
                return False
            self._write_event(request, writer, number)
            await writer.drain()
            memory.events = number
            if keeper is not None and not keeper.has_crashed:
                arrived = max(0, number - self.copy_lag)
                keeper.keep_copy(id, Memory(memory.tokens, arrived))
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        if keeper is not None:
            keeper.copies.pop(id, None)
        return True

    def _end_badly(self, id: str, keeper: "MovingEngine | None") -> None:
        """Leave a run's copy to lapse."""
        if not self.has_crashed:
            self.closed.append(id)
        if keeper is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._hold_s, keeper.copies.pop, id, None)

    def _note_overlap(self, id: str) -> None:
        if id in self.runs and any(id in other.runs for other in self._others.values()):
            self.overlaps.append(id)
