"""Calls to the platform for duties: how they are made, and how they end."""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Protocol, TypeVar

from robinspindle.calls import CallLimits, call_once
from robinspindle.connectionpool import ConnectionPool
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.logs import Log

Call = TypeVar("Call")

CALL_LIMITS = CallLimits(connect_s=0.5, first_s=1.0, silence_s=0.5)
"""How long the platform's answer is waited for."""


class DutyOutcome(Enum):
    """How the platform took a call."""

    TAKEN = "taken"
    FENCED = "a newer claim has been used"
    BUSY = "too many calls"
    REFUSED = "refused"
    UNSURE = "no answer"


class DutyDialect(Protocol):
    """How calls for duties are written on the wire."""

    def encode_report(self, report) -> bytes:
        """Write a report of a window's usage (`robinspindle.reporting.Report`)."""

    def encode_scale_order(self, order) -> bytes:
        """Write an order of targets (`robinspindle.scaler.ScaleOrder`)."""

    def decode_duty_outcome(self, status: int) -> DutyOutcome:
        """Read how a call was taken."""


def make_sender(
    pool: ConnectionPool,
    encode: Callable[[Call], bytes],
    decode: Callable[[int], DutyOutcome],
    clock: Callable[[], float],
    log: Log,
) -> Callable[[Call], Awaitable[DutyOutcome]]:
    """Make what sends calls of one kind to the platform.

    Args:
        pool: Connections to where it takes them.
        encode: Writes a call.
        decode: Reads how it was taken.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
    """

    async def send(call: Call) -> DutyOutcome:
        try:
            head, _ = await call_once(pool, clock, encode(call), CALL_LIMITS)
        except (ConnectionBrokenError, TimeoutError) as error:
            log("call for a duty without an answer", error=str(error))
            return DutyOutcome.UNSURE
        return decode(head.status)

    return send
