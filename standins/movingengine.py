"""An engine of finite memory whose runs are copied to others as they grow."""

import asyncio
import json
from collections import deque
from dataclasses import dataclass

from standins.prompts import parse_parts
from standins.rawhttp import RawRequest, reset, write_answer
from standins.replica import Replica

EVENT_S = 0.03
"""Seconds from one event of a stream to the next."""

POLL_S = 0.005
"""How often an engine that is held looks whether it may go on, seconds."""

OVERLAP_S = 0.4
"""How long after a run has gone on elsewhere its earlier engine may still work on it,
seconds."""


MOVE_S = 0.02
"""Seconds of a step of a move."""


@dataclass
class Memory:
    """What an engine keeps of a run.

    Attributes:
        id: The id of its request.
        tokens: Tokens of its prompt.
        events: Events that it holds.
        is_stopped: Whether it is to stop, as it moves.
    """

    id: str
    tokens: int
    events: int = 0
    is_stopped: bool = False

    @property
    def size(self) -> int:
        """Tokens of memory; an event counts as one."""
        return self.tokens + self.events

    def copy(self, events: int) -> "Memory":
        """Copy the beginning of it."""
        return Memory(self.id, self.tokens, min(self.events, events))


class MovingEngine(Replica):
    """A replica that generates from memory, of which others may hold copies.

    Attributes:
        runs: What it generates now, by the id of the request.
        copies: What it keeps for runs that may go on here, by the source that names it.
        read: Tokens that it read for each run, in the order of their begin: those of
            the prompt and of events that no copy held.
        copy_lag: Events by which the copies that it sends are behind.
        is_held: Whether it generates nothing further for now.
        overlaps: Ids of runs that another engine still worked on when it had gone on
            here for too long.
        move_faults: How the next steps of moves go wrong, in turn; ``ok`` when empty.
        moves: Steps that it was asked for: ids, and whether the run was to stop.
        moving_most: The most steps that were under way at once.
        event_s: Seconds from one event of a stream to the next.
        hold_s: How long it keeps what nobody takes, seconds.
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
        self.move_faults: deque[str] = deque()
        self.moves: list[tuple[str, bool]] = []
        self.moving_most = 0
        self.event_s = EVENT_S
        self.hold_s = hold_s
        self._moving = 0
        self._memory_tokens = memory_tokens
        self._others: dict[str, MovingEngine] = {}

    @property
    def free_tokens(self) -> int:
        """Tokens of memory that nothing occupies."""
        kept = [*self.runs.values(), *self.copies.values()]
        return self._memory_tokens - sum(memory.size for memory in kept)

    def holds(self, id: str) -> bool:
        """Tell whether it keeps something of a run that may go on here."""
        return any(memory.id == id for memory in self.copies.values())

    def meet(self, others: "list[MovingEngine]") -> None:
        """Tell it the engines that it may copy to."""
        self._others = {other.server.address: other for other in others}

    async def crash(self) -> None:
        """End in the middle of everything, with all memory."""
        self.has_crashed = True
        self.runs.clear()
        self.copies.clear()
        await self.server.stop()

    def keep_copy(self, source: str, memory: Memory) -> bool:
        """Keep what has arrived of a run, if there is room for it."""
        kept = self.copies.pop(source, None)
        if self.has_crashed or memory.size > self.free_tokens:
            if kept is not None:
                self.copies[source] = kept
            return False
        self.copies[source] = memory
        loop = asyncio.get_running_loop()
        loop.call_later(self.hold_s, self._drop, source, memory)
        return True

    def _drop(self, source: str, memory: Memory) -> None:
        if self.copies.get(source) is memory:
            del self.copies[source]

    async def _answer(self, request: RawRequest, writer) -> bool:
        if request.target == "/kv-move":
            self._moving += 1
            self.moving_most = max(self.moving_most, self._moving)
            try:
                return await self._move(json.loads(request.body), writer)
            finally:
                self._moving -= 1
        if request.method == "DELETE":
            handle = request.target.rpartition("/")[2]
            for engine in [self, *self._others.values()]:
                engine.copies.pop(f"{self.server.address}/{handle}", None)
        return await super()._answer(request, writer)

    async def _move(self, body: dict, writer) -> bool:
        """Take one step of a move, or fail at it."""
        id, is_last = body["Id"], body["Last"]
        self.moves.append((id, is_last))
        fault = self.move_faults.popleft() if self.move_faults else "ok"
        run = self.runs.get(id)
        destination = self._others.get(body["TargetVersion"])
        if run is None or fault == "busy":
            write_answer(writer, 404 if run is None else 409)
            return True
        if destination is None or fault == "refuse":
            write_answer(writer, 503)
            return True
        if fault == "unheard":
            reset(writer)
            return False
        run.is_stopped = is_last and fault != "goes_on"
        await asyncio.sleep(MOVE_S)
        if fault == "source_dies":
            await self.crash()
            return False
        source = f"{self.server.address}/h-{id}"
        is_kept = destination.keep_copy(source, run.copy(run.events))
        if is_last:
            self.keep_copy(source, run.copy(run.events))
        if fault == "destination_dies":
            await destination.crash()
        if fault == "source_dies_after":
            await self.crash()
        if fault in ("lost", "source_dies_after"):
            reset(writer)
            return False
        if fault == "stopped_without_room":
            is_kept = destination.copies.pop(source, None) is None
        answer = {"KvHandle": f"h-{id}", "Created": run.events}
        write_answer(writer, 200 if is_kept else 503, json.dumps(answer).encode())
        return True

    async def _be_ok(self, request: RawRequest, writer) -> bool:
        id = request.headers["x-request-id"]
        done = int(request.headers.get("last-event-id", 0))
        memory = Memory(id, sum(tokens for _, tokens in parse_parts(request)), done)
        source = request.headers.get("x-kv-source", "")
        copy = self._take_copy(source, id)
        is_missing = source and copy is None
        if is_missing or memory.size + self.events > self.free_tokens:
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
            if self.runs.get(id) is memory:
                del self.runs[id]

    def _take_copy(self, source: str, id: str) -> Memory | None:
        """Take a copy, which serves once; another request's is none."""
        memory = self.copies.get(source)
        if memory is None or memory.id != id:
            return None
        for engine in [self, *self._others.values()]:
            engine.copies.pop(source, None)
        return memory

    async def _generate(self, request: RawRequest, writer, memory: Memory) -> bool:
        keeper = self._others.get(request.headers.get("x-kv-backup", ""))
        self._begin_stream(request, writer)
        for number in range(memory.events + 1, self.events + 1):
            while self.is_held and not self._must_end(request, memory):
                await asyncio.sleep(POLL_S)
            if self._must_end(request, memory):
                if request.is_left():
                    self.closed.append(memory.id)
                return False
            self._write_event(request, writer, number)
            await writer.drain()
            memory.events = number
            if keeper is not None:
                name = f"{keeper.server.address}/{memory.id}"
                keeper.keep_copy(name, memory.copy(max(0, number - self.copy_lag)))
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        if keeper is not None:
            keeper.copies.pop(f"{keeper.server.address}/{memory.id}", None)
        return True

    def _must_end(self, request: RawRequest, memory: Memory) -> bool:
        """Whether a run ends before its end."""
        return self.has_crashed or request.is_left() or memory.is_stopped

    def _note_overlap(self, id: str) -> None:
        if id in self.runs and any(id in other.runs for other in self._others.values()):
            self.overlaps.append(id)
