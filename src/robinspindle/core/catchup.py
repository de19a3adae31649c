"""Catch-up from peers: recent records kept for processes that cannot reach the log."""

from dataclasses import dataclass, field

from robinspindle.messages import Fetch, Records

MAX_RECORDS = 1024
RECORDS_PER_MESSAGE = 128
FETCH_DELAY_S = 0.5
"""Time for which a peer must be ahead before it is asked for records, and time between
two requests, seconds."""


@dataclass
class RecordWindow:
    """The most recent records of the control stream.

    Attributes:
        first: Offset of the first record in the window.
        records: The records' bytes, in offset order without a gap.
        asked_at: When a peer was last asked for records, monotonic seconds.
        behind_since: Since when a peer is known to be ahead, monotonic seconds; None if
            none is.
    """

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    asked_at: float = -FETCH_DELAY_S
    behind_since: float | None = None


def keep_record(window: RecordWindow, offset: int, data: bytes) -> None:
    """Add a record to the window; a record after a gap replaces the whole window."""
    if offset != window.first + len(window.records):
        window.first = offset
        window.records.clear()
    window.records.append(data)
    if len(window.records) > MAX_RECORDS:
        surplus = len(window.records) - MAX_RECORDS
        del window.records[:surplus]
        window.first += surplus


def make_records(window: RecordWindow, fetch: Fetch) -> Records | None:
    """Make the message with the records that a peer requested.

    Returns:
        The message, or None if the window doesn't have the first of these records.
    """
    start = fetch.after + 1 - window.first
    if start < 0 or start >= len(window.records):
        return None
    records = tuple(window.records[start : start + RECORDS_PER_MESSAGE])
    return Records(first=fetch.after + 1, records=records)


def decide_fetch(
    window: RecordWindow, now: float, own_offset: int, peer_offset: int
) -> Fetch | None:
    """Decide whether to request records from a peer that reports a higher offset.

    The log itself usually delivers records within a round trip, so a peer is asked only
    after a delay.

    Args:
        window: The window of this process; updated.
        now: The current time, monotonic seconds.
        own_offset: Offset of the last record that this process has applied.
        peer_offset: Offset of the last record that the peer reports to have applied.

    Returns:
        The request, or None.
    """
    if peer_offset <= own_offset:
        window.behind_since = None
        return None
    if window.behind_since is None:
        window.behind_since = now
    waited = now - max(window.behind_since, window.asked_at)
    if waited < FETCH_DELAY_S:
        return None
    window.asked_at = now
    return Fetch(after=own_offset)
