"""Stand-in for one of the users' replicas: an engine or a plain service."""

import asyncio
import json
from collections import deque
from dataclasses import dataclass
from weakref import WeakSet

from standins.rawhttp import (
    RawRequest,
    RawServer,
    reset,
    write_answer,
    write_half,
    write_slowly,
)

LONG_ANSWER_BYTES = 1_000_000
"""Length of the body of a long answer, bytes."""

USUAL_VERSION = "v1"
"""The software version whose events don't tell it."""


@dataclass(frozen=True)
class Refusal:
    """How a replica turns requests away.

    Attributes:
        rests: Each ``Retry-After`` of its answer, as written; none for no header.
        status: The status.
        is_marked: Whether the answer says that the request did not run.
    """

    rests: tuple[str, ...]
    status: int = 503
    is_marked: bool = True


@dataclass(frozen=True)
class Surplus:
    """An answer that belongs to no request, sent where the next one is due.

    Attributes:
        status: Its status.
        id: The id that it carries; empty for none.
        is_marked: Whether it says that the request did not run.
    """

    status: int
    id: str
    is_marked: bool


ODD_STATUSES = (b"000", b"099", b"600", b"999")
"""Statuses that no answer has."""


class Replica:
    """One lifetime of a replica.

    Attributes:
        lifetime: Its id.
        service: Its service.
        role: ``prefill``, ``decode`` or empty.
        behaviours: How the next requests are answered, in turn; ``ok`` when empty.
        arrivals: All requests that came to be run or read.
        events: Events of a whole stream.
        orders: Orders that were given.
        freed: Handles that were freed.
        closed: Ids of requests whose connection closed before their end.
        held: Parts that its cache holds, by id, with their tokens.
        lists: How often it was asked for them.
        born_ms: When this life began, Unix milliseconds; None where it does not tell.
        software_version: The version of its software.
        crashes_on: The body of requests that end it as it begins to run them; None for
            none.
        has_crashed: Whether one did.
        list_pieces: Pieces in which that list comes, one after a pause.
        limit_per_s: The limit on its request rate that its answers name; None for none.
        says_leaving: Whether all its answers say that it leaves.
        refusal: How it turns away what no behaviour is left for; None where it doesn't.
        keep_alive_s: How long its answers say that it keeps connections, seconds; None
            where they don't.
        surplus: What it sends before each answer but the first on a connection; None
            for nothing.
    """

    def __init__(
        self,
        lifetime: str,
        service: str,
        role: str = "",
        events: int = 3,
        crashes_on: bytes | None = None,
    ):
        self.lifetime = lifetime
        self.service = service
        self.role = role
        self.events = events
        self.behaviours: deque[str] = deque()
        self.arrivals: list[RawRequest] = []
        self.orders: list[RawRequest] = []
        self.freed: list[str] = []
        self.closed: list[str] = []
        self.held: dict[str, int] = {}
        self.lists = 0
        self.list_pieces = 1
        self.limit_per_s: float | None = None
        self.says_leaving = False
        self.refusal: Refusal | None = None
        self.surplus: Surplus | None = None
        self._used = WeakSet()
        self.keep_alive_s: int | None = None
        self.born_ms: int | None = None
        self.software_version = USUAL_VERSION
        self.crashes_on = crashes_on
        self.has_crashed = False
        self.gate = asyncio.Event()
        self.server = RawServer(self._answer)

    def describe(self, state: str = "ready", zone: str = "a") -> dict:
        """Describe it as its entry in the store does."""
        entry = {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": zone,
            "Version": self.software_version,
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        if self.role:
            entry["Stage"] = self.role
        if self.born_ms is not None:
            entry["born"] = self.born_ms
        return entry

    async def _answer(self, request: RawRequest, writer) -> bool:
        if self.surplus is not None and writer in self._used:
            self._write_surplus(self.surplus, writer)
        self._used.add(writer)
        if request.method == "DELETE":
            self.freed.append(request.target.rpartition("/")[2])
            write_answer(writer, 200, headers=self._own_head(request))
            return True
        if request.target == "/kv-list":
            self.lists += 1
            rows = [["", id, tokens, "m"] for id, tokens in self.held.items()]
            body = {"epoch": "1", "NextPageToken": 7, "held": rows}
            data = json.dumps(body).encode()
            head = self._own_head(request)
            await write_slowly(writer, 200, data, self.list_pieces, head)
            return True
        if request.target == "/order":
            self.orders.append(request)
            write_answer(writer, 202, headers=self._own_head(request))
            return True
        self.arrivals.append(request)
        if request.headers.get("x-expect-instance") != self.lifetime:
            head = self._own_head(request) | {"X-Instance-Id": self.lifetime}
            write_answer(writer, 421, headers=head)
            return True
        is_read = request.headers.get("x-stage") == "prefill"
        if request.body == self.crashes_on and not (is_read or self.behaviours):
            self.has_crashed = True
            await self.server.stop()
            return False
        usual = "ok" if self.refusal is None else "refuse"
        behaviour = self.behaviours.popleft() if self.behaviours else usual
        return await getattr(self, "_be_" + behaviour)(request, writer)

    def _own_head(self, request: RawRequest) -> dict[str, str]:
        """Write what every answer carries, whatever was asked."""
        id = request.headers.get("x-request-id")
        head = {} if id is None else {"X-Request-Id": id}
        if self.keep_alive_s is not None:
            head["Keep-Alive"] = f"timeout={self.keep_alive_s}"
        return head | ({"Server-Leaving": "1"} if self.says_leaving else {})

    def _write_surplus(self, surplus: Surplus, writer) -> None:
        head = {"X-Request-Id": surplus.id} if surplus.id else {}
        if surplus.is_marked:
            head["X-Not-Executed"] = "1"
        write_answer(writer, surplus.status, b"surplus", head)

    def _head(self, request: RawRequest) -> dict[str, str]:
        head = self._own_head(request) | {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Response-Seal": f"seal-{self.lifetime}",
        }
        if self.limit_per_s is not None:
            head["Server-Limit"] = str(self.limit_per_s)
        return head

    async def _be_ok(self, request: RawRequest, writer) -> bool:
        if request.headers.get("x-stage") == "prefill":
            handle = {"KvHandle": f"h{len(self.arrivals)}", "Tokens": 1, "Version": 1}
            write_answer(writer, 200, json.dumps(handle).encode(), self._head(request))
        elif "x-model" in request.headers:
            self._begin_stream(request, writer)
            self._write_events(request, writer, self.events)
            writer.write(b"0\r\n\r\n")
        else:
            write_answer(
                writer, 200, b"body of " + self._id(request), self._head(request)
            )
        return True

    async def _be_long(self, request: RawRequest, writer) -> bool:
        """Answer with a long body."""
        write_answer(writer, 200, b"l" * LONG_ANSWER_BYTES, self._head(request))
        return True

    async def _be_full(self, request: RawRequest, writer) -> bool:
        head = self._head(request) | {"X-Not-Executed": "1"}
        write_answer(writer, 503, b"", head)
        return True

    async def _be_refuse(self, request: RawRequest, writer) -> bool:
        """It turns the request away as its refusal says."""
        refusal, head = self.refusal, self._head(request)
        if refusal.rests:
            head["Retry-After"] = "\r\nRetry-After: ".join(refusal.rests)
        if refusal.is_marked:
            head["X-Not-Executed"] = "1"
        write_answer(writer, refusal.status, b"", head)
        return True

    async def _be_wrong_role(self, request: RawRequest, writer) -> bool:
        """It answers in its own name that the request is for another role."""
        head = self._head(request) | {"X-Instance-Id": self.lifetime}
        write_answer(writer, 421, b"", head)
        return True

    async def _be_error(self, request: RawRequest, writer) -> bool:
        write_answer(writer, 500, b"fault", self._head(request))
        return True

    async def _be_bad_request(self, request: RawRequest, writer) -> bool:
        write_answer(writer, 400, b"", self._head(request) | {"X-Not-Executed": "1"})
        return True

    async def _be_missing(self, request: RawRequest, writer) -> bool:
        write_answer(writer, 404, b"", self._head(request))
        return True

    async def _be_unmarked(self, request: RawRequest, writer) -> bool:
        write_answer(writer, 503, b"fault", self._head(request))
        return True

    async def _be_reset(self, request: RawRequest, writer) -> bool:
        reset(writer)
        return False

    async def _be_garbage(self, request: RawRequest, writer) -> bool:
        writer.write(b"\x00\x01 this is no answer\r\n\r\n")
        return False

    async def _be_cut_head(self, request: RawRequest, writer) -> bool:
        """An answer that breaks off in its head, each time at another place."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Response-Seal: none\r\n"
        writer.write(head[: len(self.arrivals) % len(head)])
        return False

    async def _be_odd_status(self, request: RawRequest, writer) -> bool:
        """An answer whose status is that of no answer."""
        status = ODD_STATUSES[len(self.arrivals) % len(ODD_STATUSES)]
        lines = [f"{name}: {value}" for name, value in self._head(request).items()]
        head = "\r\n".join(["Content-Length: 2", *lines, "", ""]).encode()
        writer.write(b"HTTP/1.1 %b Odd\r\n%bok" % (status, head))
        return True

    async def _be_unsealed(self, request: RawRequest, writer) -> bool:
        head = self._head(request)
        del head["X-Response-Seal"]
        write_answer(writer, 200, b"whose body is this", head)
        return True

    async def _be_surplus(self, request: RawRequest, writer) -> bool:
        """An answer to an earlier request comes where this one's is due."""
        stale = {"X-Request-Id": "earlier", "X-Response-Seal": "seal-earlier"}
        write_answer(writer, 200, b"body of earlier", stale)
        return await self._be_ok(request, writer)

    async def _be_twice(self, request: RawRequest, writer) -> bool:
        """The answer comes twice."""
        await self._be_ok(request, writer)
        return await self._be_ok(request, writer)

    async def _be_interim(self, request: RawRequest, writer) -> bool:
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        return await self._be_ok(request, writer)

    async def _be_unframed(self, request: RawRequest, writer) -> bool:
        """An answer without a length ends with its connection."""
        self._write_unframed(request, writer)
        return False

    async def _be_empty_unframed(self, request: RawRequest, writer) -> bool:
        """The same, but it ends after its head."""
        self._write_unframed_head(request, writer)
        return False

    async def _be_torn_unframed(self, request: RawRequest, writer) -> bool:
        """A stream without a length ends with its connection, inside an event."""
        self._write_unframed_head(request, writer)
        number = self._find_first(request)
        writer.write(self._make_event(request, number))
        writer.write(self._make_event(request, number + 1)[:-3])
        return False

    async def _be_reset_unframed(self, request: RawRequest, writer) -> bool:
        """A stream without a length is reset between two events."""
        self._write_unframed_head(request, writer)
        writer.write(self._make_event(request, self._find_first(request)))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)
        return False

    async def _be_cut_unframed(self, request: RawRequest, writer) -> bool:
        """The same, reset before its end."""
        self._write_unframed(request, writer)
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)
        return False

    async def _be_torn(self, request: RawRequest, writer) -> bool:
        """A stream breaks off after one more event, in the middle of the next."""
        number = self._find_first(request)
        self._begin_stream(request, writer)
        self._write_events(request, writer, min(number, self.events))
        return await self._tear(writer, number + 1)

    async def _be_torn_at_gate(self, request: RawRequest, writer) -> bool:
        """The same, but it breaks off only once the gate opens."""
        self._begin_stream(request, writer)
        self._write_events(request, writer, 1)
        await self.gate.wait()
        return await self._tear(writer, 2)

    async def _be_torn_at_once(self, request: RawRequest, writer) -> bool:
        """A stream breaks off in the middle of its first event."""
        self._begin_stream(request, writer)
        return await self._tear(writer, self._find_first(request))

    async def _tear(self, writer, number: int) -> bool:
        """Break a stream off in the middle of an event."""
        piece = b"id: %d\ndata: half of" % number
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)
        return False

    async def _be_held(self, request: RawRequest, writer) -> bool:
        """Answer only once the gate opens, and notice a hang-up."""
        if await self._wait_for_gate(request):
            return await self._be_ok(request, writer)
        return False

    async def _be_held_midway(self, request: RawRequest, writer) -> bool:
        """Send the first part of an answer, and the rest once the gate opens."""
        if "x-model" not in request.headers:
            body = b"body of " + self._id(request)
            write_half(writer, 200, body, self._head(request))
            if not await self._wait_for_gate(request):
                return False
            writer.write(body[len(body) // 2 :])
            return True
        self._begin_stream(request, writer)
        self._write_events(request, writer, 1)
        if not await self._wait_for_gate(request):
            return False
        for number in range(2, self.events + 1):
            self._write_event(request, writer, number)
        writer.write(b"0\r\n\r\n")
        return True

    async def _be_head_only(self, request: RawRequest, writer) -> bool:
        """Begin a stream, and break it off before its first event."""
        self._begin_stream(request, writer)
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)
        return False

    async def _be_slow_event(self, request: RawRequest, writer) -> bool:
        """Send a stream of one event, in pieces that each come soon enough."""
        self._begin_stream(request, writer)
        pieces = [b"id: 1\n", *[b"data: x\n"] * 10, b"\n"]
        for piece in pieces:
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await asyncio.sleep(0.2)
        writer.write(b"0\r\n\r\n")
        return True

    async def _be_held_reset(self, request: RawRequest, writer) -> bool:
        """Break the connection once the gate opens."""
        await self.gate.wait()
        reset(writer)
        return False

    async def _be_held_full(self, request: RawRequest, writer) -> bool:
        """Refuse as full, but only once the gate opens."""
        await self.gate.wait()
        return await self._be_full(request, writer)

    async def _be_held_refuse(self, request: RawRequest, writer) -> bool:
        """Turn the request away as its refusal says by then, once the gate opens."""
        await self.gate.wait()
        return await self._be_refuse(request, writer)

    async def _wait_for_gate(self, request: RawRequest) -> bool:
        """Wait until the gate opens; returns whether the sender is still there."""
        while not self.gate.is_set():
            await asyncio.sleep(0.01)
            if request.is_left():
                self.closed.append(request.headers["x-request-id"])
                return False
        return True

    def _write_unframed(self, request: RawRequest, writer) -> None:
        self._write_unframed_head(request, writer)
        if "x-model" not in request.headers:
            writer.write(b"body of " + self._id(request))
            return
        for number in range(self._find_first(request), self.events + 1):
            writer.write(self._make_event(request, number))

    def _write_unframed_head(self, request: RawRequest, writer) -> None:
        lines = [f"{name}: {value}" for name, value in self._head(request).items()]
        head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        writer.write(head.encode())

    def _begin_stream(self, request: RawRequest, writer) -> None:
        lines = [f"{name}: {value}" for name, value in self._head(request).items()]
        lines.append("Content-Type: text/event-stream")
        lines.append("Transfer-Encoding: chunked")
        writer.write(
            ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines)).encode() + b"\r\n\r\n"
        )

    def _write_events(self, request: RawRequest, writer, last: int) -> None:
        for number in range(self._find_first(request), last + 1):
            self._write_event(request, writer, number)

    def _find_first(self, request: RawRequest) -> int:
        """Find the number of the first event that its caller does not have."""
        return int(request.headers.get("last-event-id", 0)) + 1

    def _write_event(self, request: RawRequest, writer, number: int) -> None:
        piece = self._make_event(request, number)
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))

    def _make_event(self, request: RawRequest, number: int) -> bytes:
        text = b"%s-%d" % (self._id(request), number)
        if self.software_version != USUAL_VERSION:
            text += b" " + self.software_version.encode()
        return b"id: %d\ndata: %s\n\n" % (number, text)

    def _id(self, request: RawRequest) -> bytes:
        return request.headers.get("x-request-id", "").encode()
