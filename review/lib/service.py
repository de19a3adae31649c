"""A sound replica of a plain service, as the pages describe one."""

import asyncio
from dataclasses import dataclass

from review.lib.deployment import Record, now
from standins.rawhttp import RawRequest, RawServer, write_answer


@dataclass(frozen=True)
class Arrival:
    """A request that reached a replica and was run."""

    id: str
    at: float
    path: str


class Service:
    """One lifetime of a replica of a plain service.

    Attributes:
        id: Its id.
        name: Its service.
        work_s: How long it works on a request, seconds.
        state: What its entry says.
        arrivals: What it ran.
        finished: Ids of what it answered whole.
    """

    def __init__(self, id: str, name: str, record: Record, work_s: float = 0.02):
        self.id = id
        self.name = name
        self.work_s = work_s
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        self.finished: set[str] = set()
        self.server = RawServer(self._answer)
        self._record = record

    def describe(self, zone: str = "a") -> dict:
        """Describe it as its entry in the store does."""
        return {
            "Service": self.name,
            "Address": self.server.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": 48,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }

    async def _answer(self, request: RawRequest, writer) -> bool:
        id = request.headers.get("x-request-id", "")
        head = {"X-Request-Id": id}
        if request.headers.get("x-expect-instance") not in (None, self.id):
            head["X-Instance-Id"] = self.id
            write_answer(writer, 421, b"", head)
            return True
        if not id:
            write_answer(writer, 400, b"", {"X-Not-Executed": "1"})
            return True
        self.arrivals.append(Arrival(id, now(), request.target))
        self._record(f"replica {self.id} ({self.name}) runs {id} {request.target}")
        await asyncio.sleep(self.work_s)
        head["X-Response-Seal"] = f"seal.{self.id}.{id}"
        # One that is leaving says so in its answers.
        is_leaving = self.state == "draining"
        if is_leaving:
            head["Connection"] = "close"
        write_answer(writer, 200, f"{self.name} {id}".encode(), head)
        self.finished.add(id)
        return not is_leaving
