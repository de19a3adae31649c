"""Writes what duties ask of the platform's API, and reads what it says to it."""

from typing import Any

import msgspec

from robinspindle.dutycalls import DutyOutcome
from robinspindle.reporting import Report
from robinspindle.scaler import ScaleOrder

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
    body = msgspec.json.encode(values)
    head = (
        f"POST {path} HTTP/1.1\r\n"
        "Host: platform\r\n"
        f"X-Duty-Holder: {holder}\r\n"
        f"X-Fence-Token: {fence}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def decode_duty_outcome(status: int) -> DutyOutcome:
    """Read how a report was taken."""
    return OUTCOMES.get(status, DutyOutcome.REFUSED)
