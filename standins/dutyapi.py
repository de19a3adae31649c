"""Stand-in for the platform's API for duties: reports of usage, orders of targets."""

import asyncio
import json
from dataclasses import dataclass

from standins.rawhttp import RawRequest, RawServer, reset, write_answer

FENCED = 409
TAKEN = 200
BUSY = 429


@dataclass(frozen=True)
class TakenReport:
    """A report that was taken."""

    holder: str
    fence: int
    window: int
    counts: dict[str, int]


@dataclass(frozen=True)
class TakenOrder:
    """An order of targets that was taken."""

    holder: str
    fence: int
    service: str
    zone: str
    desired: int


class DutyApi:
    """The platform's API.

    Attributes:
        trouble: How it answers: empty for well, ``busy`` for 429, ``reset``, ``silent``
            to say nothing, or ``lost`` to take the report and not answer.
        checks_fences: Whether a fence that is lower than one seen is refused.
        reports: The reports that it took.
        orders: The orders that it took.
        calls: How many calls it got.
    """

    def __init__(self, checks_fences: bool = True):
        self.trouble = ""
        self.checks_fences = checks_fences
        self.reports: list[TakenReport] = []
        self.orders: list[TakenOrder] = []
        self.calls = 0
        self.server = RawServer(self._answer)

    async def _answer(self, request: RawRequest, writer) -> bool:
        self.calls += 1
        if self.trouble == "busy":
            write_answer(writer, BUSY)
            return True
        if self.trouble == "reset":
            reset(writer)
            return False
        if self.trouble == "silent":
            await asyncio.sleep(3600)
        status = self._take(request)
        if self.trouble == "lost":
            await asyncio.sleep(3600)
        write_answer(writer, status)
        return True

    def _take(self, request: RawRequest) -> int:
        fence = int(request.headers["x-fence-token"])
        holder, body = request.headers["x-duty-holder"], json.loads(request.body)
        taken = self.orders if request.target == "/scale" else self.reports
        seen = max((call.fence for call in taken), default=0)
        if self.checks_fences and fence < seen:
            return FENCED
        if request.target == "/scale":
            wanted = (body["Service"], body["Zone"], body["Desired"])
            self.orders.append(TakenOrder(holder, fence, *wanted))
            return TAKEN
        report = TakenReport(holder, fence, body["Window"], body["Counts"])
        self.reports.append(report)
        return TAKEN
