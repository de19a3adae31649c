"""Replicas that misbehave now and then."""

import asyncio
import json
import random
from collections.abc import Callable

from soak.oracle import Oracle
from standins.rawhttp import RawRequest
from standins.replica import Replica

MISBEHAVIOURS = {
    "": ("full", "error", "unmarked", "reset", "garbage", "unsealed", "surplus")
    + ("twice", "interim", "unframed", "cut_unframed", "cut_head", "odd_status"),
    "decode": ("full", "reset", "torn", "error", "wrong_role", "garbage")
    + ("unframed", "torn_unframed", "reset_unframed", "cut_head", "odd_status"),
    "prefill": ("full", "reset", "error", "garbage", "cut_head", "odd_status"),
}
"""What a replica may do to a request, by its role."""


CRASHING = b"crash"
"""What the bodies of requests begin with that crash whoever runs them."""


def find_crashing_body(request: RawRequest) -> bytes | None:
    """Find what in a request crashes who runs it: the body, or nothing."""
    return request.body if request.body.startswith(CRASHING) else None


class SoakReplica(Replica):
    """A replica that misbehaves now and then and tells the oracle what it runs.

    Attributes:
        bad_share: Share of the requests to which it misbehaves.
        find_cause: Finds what in a request crashes it; None where nothing does.
        crash: Ends its life, told that cause; None where nothing crashes it.
        on_sent: Told the cause in a request that crashes it, as it comes.
        writes_s: How long it writes its answer to such a request before it ends,
            seconds; None where it ends before.
        run_s: How long it works on a request before it answers, seconds.
        event_s: Time between two events of its streams, seconds; 0 for none.
        speaks: Set while it writes anything at all.
        note_run: Told the id and headers of each request that it runs.
        tells_oracle: Whether what it runs is told, each request having its own body.
        began_at: When it began to listen, steady seconds; where that is told.
        take_role: Told the role that an order names; None where orders change nothing.
        rests_until: Until when it has asked anybody for rest, steady seconds.
        on_arrival: Told each request for this life as it comes to be run or read.
        on_answer: Told each of these as it is answered.
    """

    def __init__(self, lifetime, service, role, oracle: Oracle, rng: random.Random):
        super().__init__(lifetime, service, role)
        self._oracle = oracle
        self._rng = rng
        self.bad_share = 0.0
        self.find_cause: Callable[[RawRequest], bytes | None] = find_crashing_body
        self.crash: Callable[[bytes], None] | None = None
        self.writes_s: float | None = None
        self.on_sent: Callable[[bytes], None] = lambda body: None
        self.run_s = 0.0
        self.event_s = 0.0
        self.speaks = asyncio.Event()
        self.speaks.set()
        self.tells_oracle = True
        self.began_at = 0.0
        self.note_run: Callable[[str, dict[str, str]], None] = lambda id, headers: None
        self.take_role: Callable[[str], None] | None = None
        self.is_leaving = False
        self.rests_until = 0.0
        self.on_arrival: Callable[[RawRequest], None] = lambda request: None
        self.on_answer: Callable[[RawRequest], None] = lambda request: None

    async def _answer(self, request, writer) -> bool:
        if request.target == "/order" and self.take_role is not None:
            self.take_role(json.loads(request.body)["Stage"])
        if request.headers.get("x-expect-instance") == self.lifetime:
            self.on_arrival(request)
        cause = self.find_cause(request) if self.crash is not None else None
        if cause is not None:
            self.on_sent(cause)
            if self._is_run(request):
                await self._write_before_crash(request, writer)
                self.crash(cause)
                await asyncio.sleep(3600)
        elif request.method == "POST" and request.target != "/order":
            await asyncio.sleep(self.run_s)
            await self.speaks.wait()
            if self._rng.random() < self.bad_share:
                self.behaviours.append(self._rng.choice(MISBEHAVIOURS[self.role]))
            if self.tells_oracle:
                self._note(request)
            if request.headers.get("x-expect-instance") == self.lifetime:
                self.on_answer(request)
        return await super()._answer(request, writer)

    async def _be_ok(self, request, writer) -> bool:
        is_read = request.headers.get("x-stage") == "prefill"
        if not self.event_s or is_read or "x-model" not in request.headers:
            return await super()._be_ok(request, writer)
        self._begin_stream(request, writer)
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await self.speaks.wait()
            self._write_event(request, writer, number)
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        return True

    async def _write_before_crash(self, request, writer) -> None:
        if self.writes_s is None:
            return
        self._begin_stream(request, writer)
        self._write_event(request, writer, self._find_first(request))
        await writer.drain()
        await asyncio.sleep(self.writes_s)

    def _note(self, request) -> None:
        usual = "ok" if self.refusal is None else "refuse"
        behaviour = self.behaviours[0] if self.behaviours else usual
        turned_away = behaviour in ("full", "wrong_role", "refuse")
        if self._is_run(request) and not turned_away:
            id = request.headers["x-request-id"]
            self._oracle.note_run(id, request.body)
            self.note_run(id, request.headers)

    def _is_run(self, request) -> bool:
        is_read = request.headers.get("x-stage") == "prefill"
        is_other = request.headers.get("x-expect-instance") != self.lifetime
        return not is_read and not is_other
