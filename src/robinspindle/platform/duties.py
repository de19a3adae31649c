"""Encodes calls of singleton duties to the platform's API and decodes its responses."""

from typing import Any

from robinspindle.dutycalls import DutyOutcome
from robinspindle.platform.jsoncalls import write_json_call
from robinspindle.reporting import Report
from robinspindle.scaler import ScaleOrder

HOST = "platform"
"""Value of the ``Host`` header: the API has an address and no name."""

OUTCOMES = {
    200: DutyOutcome.TAKEN,
    409: DutyOutcome.FENCED,
    429: DutyOutcome.BUSY,
}


def encode_report(report: Report) -> bytes:
    """Encode a call that reports the usage of a window."""
    values = {"Window": report.window, "Counts": report.counts}
    return _encode("/usage", report.holder, report.fence, values)


def encode_scale_order(order: ScaleOrder) -> bytes:
    """Encode a call that sets the number of targets of a service in a zone."""
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
    """Return the outcome of a call from its HTTP status."""
    return OUTCOMES.get(status, DutyOutcome.REFUSED)
