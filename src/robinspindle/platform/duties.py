"""Writes reports to the platform's API and reads what it says to them."""

import msgspec

from robinspindle.reporting import Report, ReportOutcome

OUTCOMES = {
    200: ReportOutcome.TAKEN,
    409: ReportOutcome.FENCED,
    429: ReportOutcome.BUSY,
}


def encode_report(report: Report) -> bytes:
    """Write a report of a window's usage."""
    body = msgspec.json.encode({"Window": report.window, "Counts": report.counts})
    head = (
        "POST /usage HTTP/1.1\r\n"
        "Host: platform\r\n"
        f"X-Duty-Holder: {report.holder}\r\n"
        f"X-Fence-Token: {report.fence}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def decode_report_outcome(status: int) -> ReportOutcome:
    """Read how a report was taken."""
    return OUTCOMES.get(status, ReportOutcome.REFUSED)
