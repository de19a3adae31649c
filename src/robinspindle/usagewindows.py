"""How the report of each window's usage went, from the logs of gateways alone."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.dutycalls import DutyOutcome
from robinspindle.explaining import Line
from robinspindle.tables import format_table

DECIDED = "usage decided"
REPORTED = "usage reported"
MISSED = "usage missed"
SPILLED = "counts written to the store"


@dataclass
class WindowStory:
    """What the logs say of one window.

    Attributes:
        window: Its number.
        requests: Requests that its report counts; None where nobody decided.
        gateways: The gateways whose counts it adds up.
        decided_by: Who decided.
        spilled_by: Gateways that wrote their counts into the store.
        sent: Times that it was sent.
        holders: Who sent it, in order, and once in a row each.
        outcome: How the last sending ended.
        after_ms: How long after the window's end that was, milliseconds.
        in_time: Whether it was taken in time.
        missed: Why it was given up; empty if it was not.
    """

    window: int
    requests: int | None = None
    gateways: list[str] = field(default_factory=list)
    decided_by: str = ""
    spilled_by: list[str] = field(default_factory=list)
    sent: int = 0
    holders: list[str] = field(default_factory=list)
    outcome: str = ""
    after_ms: int | None = None
    in_time: bool = False
    missed: str = ""

    @property
    def state(self) -> str:
        """How it stands: acknowledged, late, missed, sent, decided or open."""
        if self.outcome == DutyOutcome.TAKEN.value:
            return "acknowledged" if self.in_time else "late"
        if self.missed:
            return "missed"
        if self.sent:
            return "sent"
        return "open" if self.requests is None else "decided"


def tell_windows(lines: Iterable[Line]) -> list[WindowStory]:
    """Tell of each window that the logs name, in their order."""
    found: dict[int, WindowStory] = {}
    for line in sorted(lines, key=lambda line: line.timestamp):
        window = line.fields.get("window")
        if line.text in NOTERS and isinstance(window, int):
            NOTERS[line.text](found.setdefault(window, WindowStory(window)), line)
    return [found[window] for window in sorted(found)]


def _note_decided(story: WindowStory, line: Line) -> None:
    story.requests = line.fields.get("requests")
    story.gateways = list(line.fields.get("gateways", []))
    story.decided_by = line.node


def _note_reported(story: WindowStory, line: Line) -> None:
    story.sent += 1
    if story.holders[-1:] != [line.node]:
        story.holders.append(line.node)
    if story.outcome == DutyOutcome.TAKEN.value:
        return
    story.outcome = str(line.fields.get("outcome", ""))
    story.after_ms = line.fields.get("after_ms")
    story.in_time = bool(line.fields.get("in_time"))


def _note_missed(story: WindowStory, line: Line) -> None:
    story.missed = str(line.fields.get("reason", ""))


def _note_spilled(story: WindowStory, line: Line) -> None:
    story.spilled_by.append(line.node)


NOTERS = {
    DECIDED: _note_decided,
    REPORTED: _note_reported,
    MISSED: _note_missed,
    SPILLED: _note_spilled,
}


def format_windows(stories: list[WindowStory]) -> str:
    """Lay the windows out for people."""
    if not stories:
        return "the logs name no window"
    head = ("window", "state", "requests", "gateways", "sent", "by", "after ms", "why")
    rows = [
        (
            story.window,
            story.state,
            "" if story.requests is None else story.requests,
            len(story.gateways),
            story.sent,
            ", ".join(story.holders),
            "" if story.after_ms is None else story.after_ms,
            story.missed,
        )
        for story in stories
    ]
    return format_table(head, rows)
