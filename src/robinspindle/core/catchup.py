"""Records that a process keeps for peers that are cut from the log."""

from dataclasses import dataclass, field

from robinspindle.messages import Fetch, Records

RECORDS_KEPT = 1024
RECORDS_PER_MESSAGE = 128
FETCH_DELAY_S = 0.5


@dataclass
class RecordWindow:
    """The last records of the control stream.

    Attributes:
        first: Offset of the first record kept.
        records: The records' bytes, in order without a gap.
        asked_at: When a peer was last asked.
        behind_since: Since when a peer is known to be ahead, None if none is.
    """

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    asked_at: float = -FETCH_DELAY_S
    behind_since: float | None = None


def keep_record(window: RecordWindow, offset: int, data: bytes) -> None:
    """Keep a record; one that leaves a gap starts the window anew."""
    if offset != window.first + len(window.records):
        window.first = offset
        window.records.clear()
    window.records.append(data)
    if len(window.records) > RECORDS_KEPT:
        surplus = len(window.records) - RECORDS_KEPT
        del window.records[:surplus]
        window.first += surplus


def make_records(window: RecordWindow, fetch: Fetch) -> Records | None:
    """Answer a peer, or return None when the records are no longer kept."""
    start = fetch.after + 1 - window.first
    if start < 0 or start >= len(window.records):
        return None
    records = tuple(window.records[start : start + RECORDS_PER_MESSAGE])
    return Records(first=fetch.after + 1, records=records)


def decide_fetch(window: RecordWindow, now: float, own: int, peer: int) -> Fetch | None:
    """Decide whether to ask a peer that says it is ahead.

    The log itself usually delivers within its round trip, so a peer is asked only
    after some patience.
    """
    if peer <= own:
        window.behind_since = None
        return None
    if window.behind_since is None:
        window.behind_since = now
    waited = now - max(window.behind_since, window.asked_at)
    if waited < FETCH_DELAY_S:
        return None
    window.asked_at = now
    return Fetch(after=own)
