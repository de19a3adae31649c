"""Writes what duties ask of the platform's API, and reads what it says to it."""

from typing import Any

from robinspindle.dutycalls import DutyOutcome
from robinspindle.platform.jsoncalls import write_json_call
from robinspindle.reporting import Report
from robinspindle.scaler import ScaleOrder

HOST = "platform"
"""What the API is called in the calls to it; it has an address and no name."""

OUTCOMES = {
    200: DutyOutcome.TAKEN,
    409: DutyOutcome.FENCED,
    429: DutyOutcome.BUSY,
}


def encode_report(report: Report) -> bytes:
    """Write a report of a window's usage."""
    values = {"Window": report.window, "Counts": report.counts}
    return _encode("/usage", report.holder, report.fence, values)


def encode_scale_order(order: ScaleOrder) -> bytes:
    """Write an order of how many targets a service has in a zone."""
    return _encode(
        "/scale",
        order.holder,
        order.fence,
        {"Service": order.service, "Zone": order.zone, "Desired": order.desired},
    )


def _encode(path: str, holder: str, fence: int, values: dict[str, Any]) -> bytes:
    headers = (("X-Duty-Holder", holder), ("X-Fence-Token", fence))
    return write_json_call(path, HOST, headers, values)


def decode_duty_outcome(status: int) -> DutyOutcome:
    """Read how a call was taken."""
    return OUTCOMES.get(status, DutyOutcome.REFUSED)
