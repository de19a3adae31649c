"""Which gateway reports the usage of a window, when, and with which counts.

The platform must never receive two different reports of a window. The content of a
report is therefore a record in the store before it is first sent. It is appended only
if the store's topic still ends where its author has read it, so that each window has
one value, whichever gateway sends it.

The record is also a lease claim. Its author sends reports for less than the lease time
after it, and another gateway waits for longer than the lease time after it has read the
record (see `core.authority`). The fencing token stays the same while the same gateway
writes one record after another, so that a call which is executed late never has a lower
token than an earlier one.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from robinspindle.core.decoding import Whole, make_json_decoder
from robinspindle.core.usage import Account

DECIDE_SHARE = 0.2
"""Fraction of the allowed lateness that passes between the end of a window and the
decision on its counts. By then, gateways that changed their relay have sent their
counts again."""

SPILL_SHARE = 0.12
"""Fraction of it after which a gateway whose counts no neighbour has acknowledged
writes them to the store: before they are decided."""

TAKEOVER_SHARE = 0.4
"""Fraction of it after which the next gateway in order reports a window."""

TAKEOVER_STEP_SHARE = 0.1
"""Fraction of it by which each further gateway in that order waits longer."""

INCOMPLETE_SHARE = 0.35
"""Fraction of it for which a window's report waits for gateways that were reachable
recently and are not now. They may still be running requests, and send their counts when
they are back. The report doesn't wait longer, as most unreachable gateways have
restarted and send no more counts for the window, and the store or the platform may
become unavailable before a late report."""

MINORITY_SHARE = 0.85
"""Fraction of it after which a gateway that reaches only a minority of the others
decides too: the gateways of the majority go first, as they know more counts."""

GIVE_UP_FACTOR = 3.0
"""Multiple of the allowed lateness after which a report that can't be sent is given
up."""

WINDOW_KEYS = 64
"""Number of windows whose records the store keeps; their keys are reused after that."""

SPILL_KEYS = 4
"""Number of windows for which the store keeps the counts that one gateway wrote."""

CLAIM_KEY = "claim"


@dataclass(frozen=True)
class Schedule:
    """The times that are promised for reports.

    Attributes:
        window_s: Length of a window, seconds.
        late_s: How long after its end a window's report is due, seconds.
    """

    window_s: float
    late_s: float


class Record(msgspec.Struct):
    """A record in the store: the content of a window's report, or a lease claim alone.

    Attributes:
        holder: The gateway that wrote it.
        fence: The fencing token with which it sends.
        offset: The offset of the record in its topic.
        window: The number of the window; None for a claim alone.
        counts: The content of the report: number of requests by workspace.
    """

    holder: str
    fence: Whole
    offset: Whole
    window: Whole | None = None
    counts: dict[str, Whole] = {}


class Spilled(msgspec.Struct):
    """Counts that a gateway wrote to the store, as no peer acknowledged them."""

    accounts: list[Account]


decode_record = make_json_decoder(Record)
decode_spilled = make_json_decoder(Spilled)


class Stage(Enum):
    """The progress of a window's report."""

    OPEN = "open"
    DECIDED = "decided"
    ACKNOWLEDGED = "acknowledged"


@dataclass
class Reports:
    """What one gateway knows of reports.

    Attributes:
        records: The record of each decided window, by window.
        last: The newest record of all; None if there is none.
        acknowledged: Windows whose report the platform has accepted.
        first_window: The first window that this gateway reports by itself.
    """

    records: dict[int, Record] = field(default_factory=dict)
    last: Record | None = None
    acknowledged: set[int] = field(default_factory=set)
    first_window: int = 0


def make_window_key(window: int) -> str:
    """Make the store key of a window's record."""
    return f"usage/{window % WINDOW_KEYS}"


def make_spill_key(gateway: str, window: int) -> str:
    """Make the store key for the counts of a gateway in a window."""
    return f"counts/{gateway}/{window % SPILL_KEYS}"


def is_spill_key(key: str) -> bool:
    """Whether a store key is that of a gateway's counts."""
    return key.startswith("counts/")


def apply_record(reports: Reports, record: Record) -> bool:
    """Apply a record from the store.

    Returns:
        Whether it is the newest of all.
    """
    if record.window is not None:
        known = reports.records.get(record.window)
        if known is None or record.offset > known.offset:
            reports.records[record.window] = record
    if reports.last is not None and record.offset <= reports.last.offset:
        return False
    reports.last = record
    return True


def forget_store_offsets(reports: Reports) -> None:
    """Forget the last record, as a store restored from a backup reuses its offsets."""
    reports.last = None


def note_acknowledged(reports: Reports, windows: set[int]) -> None:
    """Note windows whose report the platform has accepted."""
    reports.acknowledged |= windows


def find_stage(reports: Reports, window: int) -> Stage:
    """Find the progress of a window's report."""
    if window in reports.acknowledged:
        return Stage.ACKNOWLEDGED
    return Stage.DECIDED if window in reports.records else Stage.OPEN


def list_due(
    reports: Reports, schedule: Schedule, counted: set[int], wall_s: float
) -> list[int]:
    """List the windows that may be reported now, the oldest first.

    Args:
        reports: What is known of reports.
        schedule: The promised times.
        counted: Windows with any counts. Those before `first_window` are reported only
            if they have counts or a record.
        wall_s: The time of day, Unix seconds.
    """
    lateness_s = schedule.late_s * DECIDE_SHARE
    newest = int((wall_s - lateness_s) // schedule.window_s) - 1
    oldest = find_oldest(schedule, wall_s)
    own = range(max(reports.first_window, oldest), newest + 1)
    counted_or_decided = {
        w for w in counted | set(reports.records) if oldest <= w <= newest
    }
    found = set(own) | counted_or_decided
    return sorted(found - reports.acknowledged)


def find_oldest(schedule: Schedule, wall_s: float) -> int:
    """Find the oldest window whose report is not given up."""
    lasting_s = schedule.late_s * GIVE_UP_FACTOR
    return int((wall_s - lasting_s) // schedule.window_s)


def find_report_delay_s(
    schedule: Schedule, place: int, hears_most: bool, hears_all: bool
) -> float:
    """Find how long after the end of a window a gateway may report it, seconds.

    Args:
        schedule: The promised times.
        place: The gateway's position in the takeover order; 0 for the first.
        hears_most: Whether it receives datagrams from most of the gateways that were
            reachable recently.
        hears_all: Whether it receives datagrams from all of them.
    """
    first = (
        DECIDE_SHARE
        if place == 0
        else TAKEOVER_SHARE + TAKEOVER_STEP_SHARE * (place - 1)
    )
    incomplete = 0.0 if hears_all else INCOMPLETE_SHARE + TAKEOVER_STEP_SHARE * place
    minority = 0.0 if hears_most else MINORITY_SHARE
    return schedule.late_s * max(first, incomplete, minority)


def must_spill(schedule: Schedule, window: int, wall_s: float) -> bool:
    """Whether to write unacknowledged counts of a window to the store now."""
    late_s = wall_s - (window + 1) * schedule.window_s
    return SPILL_SHARE * schedule.late_s <= late_s <= schedule.late_s
