"""When a window's usage is decided, who reports it, and what it says for good.

The platform must never take two reports of a window that differ. So what a report says
is a record in the store before it is first sent, appended only where the store's topic
still ends as its author has read it: one value for each window, whoever sends it.

The record is a claim at the same time: its author sends for less than a lease after it,
and another gateway waits for over a lease after seeing it (see `core.authority`). As
long as one gateway follows itself, its fencing number stays, so that a call which is
carried out late never has a lower number than one before it.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from robinspindle.core.usage import Account

DECIDE_SHARE = 0.2
"""Part of the allowed lateness after which a window is decided: until then gateways
that changed their relay have told their counts again."""

SPILL_SHARE = 0.12
"""Part of it after which a gateway whose counts no neighbour has confirmed writes them
into the store: before they are decided on."""

TAKEOVER_SHARE = 0.4
"""Part of it after which the next gateway in order reports a window."""

TAKEOVER_STEP_SHARE = 0.1
"""Part of it between one gateway in that order and the next."""

INCOMPLETE_SHARE = 0.35
"""Part of it for which a window waits for gateways that were heard lately and are not
now: they may go on running requests, and tell what they counted when they are back.
Most that are silent are restarted and tell nothing more, and the store or the platform
may be lost before a late report."""

MINORITY_SHARE = 0.85
"""Part of it after which a gateway that hears few others decides all the same: those
that hear each other go first, as they know more."""

GIVE_UP_FACTOR = 3.0
"""Times the allowed lateness after which a report that can't be sent is given up."""

WINDOW_KEYS = 64
"""Windows whose records the store keeps: keys are used again after so many."""

SPILL_KEYS = 4
"""Windows for which the store keeps counts that one gateway wrote there."""

CLAIM_KEY = "claim"


@dataclass(frozen=True)
class Schedule:
    """What is promised of reports.

    Attributes:
        window_s: Length of a window, seconds.
        late_s: How long after its end a window's report is due, seconds.
    """

    window_s: float
    late_s: float


class Record(msgspec.Struct):
    """A record in the store: what a window's report says, or a claim alone.

    Attributes:
        holder: The gateway that wrote it.
        fence: The fencing number under which it sends.
        offset: Where the record lies.
        window: The window; None for a claim alone.
        counts: What its report says.
    """

    holder: str
    fence: int
    offset: int
    window: int | None = None
    counts: dict[str, int] = {}


class Spilled(msgspec.Struct):
    """Counts that a gateway wrote into the store, as it could not tell its peers."""

    accounts: list[Account]


class Stage(Enum):
    """How far a window's report is."""

    OPEN = "open"
    DECIDED = "decided"
    ACKNOWLEDGED = "acknowledged"


@dataclass
class Reports:
    """What one gateway knows of reports.

    Attributes:
        records: What each window's report says, by window.
        last: The newest record of all; None for none.
        acknowledged: Windows whose report the platform has taken.
        first_window: The first window that this gateway answers for.
    """

    records: dict[int, Record] = field(default_factory=dict)
    last: Record | None = None
    acknowledged: set[int] = field(default_factory=set)
    first_window: int = 0


def make_window_key(window: int) -> str:
    """Make the key of a window's record."""
    return f"usage/{window % WINDOW_KEYS}"


def make_spill_key(gateway: str, window: int) -> str:
    """Make the key under which a gateway writes its counts of a window."""
    return f"counts/{gateway}/{window % SPILL_KEYS}"


def is_spill_key(key: str) -> bool:
    """Whether a record's key is that of a gateway's counts."""
    return key.startswith("counts/")


def take_record(reports: Reports, record: Record) -> bool:
    """Take in a record that the store holds; whether it is the newest of all."""
    if record.window is not None:
        known = reports.records.get(record.window)
        if known is None or record.offset > known.offset:
            reports.records[record.window] = record
    if reports.last is not None and record.offset <= reports.last.offset:
        return False
    reports.last = record
    return True


def forget_store_offsets(reports: Reports) -> None:
    """Take note that the store returned from a copy: offsets are given out anew."""
    reports.last = None


def note_acknowledged(reports: Reports, windows: set[int]) -> None:
    """Take note of windows whose report the platform has taken."""
    reports.acknowledged |= windows


def find_stage(reports: Reports, window: int) -> Stage:
    """Find how far a window's report is."""
    if window in reports.acknowledged:
        return Stage.ACKNOWLEDGED
    return Stage.DECIDED if window in reports.records else Stage.OPEN


def list_due(
    reports: Reports, schedule: Schedule, counted: set[int], wall_s: float
) -> list[int]:
    """List the windows that may be reported now, the oldest first.

    Args:
        reports: What is known of reports.
        schedule: What is promised.
        counted: Windows in which anything was counted; those before the first that this
            gateway answers for are reported where others tell of them.
        wall_s: The time of day, Unix seconds.
    """
    lateness_s = schedule.late_s * DECIDE_SHARE
    newest = int((wall_s - lateness_s) // schedule.window_s) - 1
    oldest = find_oldest(schedule, wall_s)
    own = range(max(reports.first_window, oldest), newest + 1)
    told = {w for w in counted | set(reports.records) if oldest <= w <= newest}
    found = set(own) | told
    return sorted(found - reports.acknowledged)


def find_oldest(schedule: Schedule, wall_s: float) -> int:
    """Find the oldest window whose report is not given up yet."""
    lasting_s = schedule.late_s * GIVE_UP_FACTOR
    return int((wall_s - lasting_s) // schedule.window_s)


def find_report_delay_s(
    schedule: Schedule, place: int, hears_most: bool, hears_all: bool
) -> float:
    """Find how long after a window's end a gateway reports it, seconds.

    Args:
        schedule: What is promised.
        place: Its place in the order of those that may; 0 for the first.
        hears_most: Whether it hears most of those that were heard lately.
        hears_all: Whether it hears all of them.
    """
    first = (
        DECIDE_SHARE
        if place == 0
        else TAKEOVER_SHARE + TAKEOVER_STEP_SHARE * (place - 1)
    )
    patient = 0.0 if hears_all else INCOMPLETE_SHARE + TAKEOVER_STEP_SHARE * place
    alone = 0.0 if hears_most else MINORITY_SHARE
    return schedule.late_s * max(first, patient, alone)


def must_spill(schedule: Schedule, window: int, wall_s: float) -> bool:
    """Whether counts of a window that nobody confirmed belong into the store now."""
    late_s = wall_s - (window + 1) * schedule.window_s
    return SPILL_SHARE * schedule.late_s <= late_s <= schedule.late_s
