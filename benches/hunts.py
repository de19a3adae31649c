"""``scripts/hunts``: what was found on the days that were played, from ``journal/``.

A hunt prints broken rules alone. A day may fail its gate without one, as where a size
of requests is left unserved; that stands only in the day's entry. Here each of them
counts, by deployment and version.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from benches.measure import ROOT
from robinspindle.tables import format_table

JOURNAL = ROOT / "journal"
VERSION_LENGTH = 8
SHORT_LENGTH = 100
"""Letters of a commit, and of what a day is short of, that are shown."""


class Day(msgspec.Struct):
    """One day of an entry.

    Attributes:
        name: Its name, with its seed where it has one.
        rules: Broken rules and how often.
        fault: Why the day counts as failed as a whole; None if it does not.
        short: What it lacked for its gate.
    """

    name: str
    rules: dict[str, int] = {}
    fault: str | None = None
    short: list[str] = []


class Entry(msgspec.Struct):
    """One entry of the journal.

    Attributes:
        id: Its id.
        at: When it began and ended; an empty end for a run that did not.
        cmd: What was run.
        head: The commit.
        dirty: Whether sources differed from it.
        site: The deployment; None for a run that did not end.
        days: The days that were played.
    """

    id: str
    at: list[str]
    cmd: str
    head: str
    dirty: bool
    site: str | None = None
    days: list[Day] = []


@dataclass
class Found:
    """What was found on one deployment with one version.

    Attributes:
        days: Days played.
        broken: Days with a broken rule.
        faults: Days that failed as a whole.
        short: Days that failed their gate without either.
        lines: What those and the others were, with their entry.
    """

    days: int = 0
    broken: int = 0
    faults: int = 0
    short: int = 0
    lines: list[str] = field(default_factory=list)


Key = tuple[str, str]


def read_entries(folder: Path) -> list[Entry]:
    """Read all entries of a journal in the order of their beginning."""
    paths = sorted(folder.glob("2*.json"))
    return [msgspec.json.decode(path.read_bytes(), type=Entry) for path in paths]


def count_found(entries: Iterable[Entry]) -> dict[Key, Found]:
    """Count what was found, by deployment and version."""
    found: dict[Key, Found] = {}
    for entry in entries:
        version = entry.head[:VERSION_LENGTH] + ("+" if entry.dirty else "")
        key = entry.site or "not ended", version
        here = found.setdefault(key, Found())
        for day in entry.days:
            _count_day(here, day, entry.id)
    return found


def _count_day(found: Found, day: Day, entry: str) -> None:
    found.days += 1
    where = f"{day.name} ({entry})"
    if day.rules:
        found.broken += 1
        found.lines.append(f"{where}: broken {dict(day.rules)}")
    if day.fault:
        found.faults += 1
        found.lines.append(f"{where}: {day.fault[:SHORT_LENGTH]}")
    if day.short and not day.rules and not day.fault:
        found.short += 1
        found.lines += [f"{where}: {short[:SHORT_LENGTH]}" for short in day.short]


def format_found(found: dict[Key, Found]) -> str:
    """Lay out what was found, a row for each deployment and version."""
    head = ["deployment", "version", "days", "rule broken", "fault", "gate alone"]
    rows = [
        [site, version, here.days, here.broken, here.faults, here.short]
        for (site, version), here in sorted(found.items())
    ]
    lines = [
        f"{site} {version}: {line}"
        for (site, version), here in sorted(found.items())
        for line in here.lines
    ]
    return "\n".join([format_table(head, rows), "", *lines])


def main() -> int:
    """Print what was found; ends with 1 if anything was."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cmd", default="hunt", help="hunt, score or run")
    parser.add_argument("--since", default="", help="entries from this time on")
    parser.add_argument("--version", default="", help="first letters of a commit")
    parser.add_argument("--journal", type=Path, default=JOURNAL)
    args = parser.parse_args()
    entries = [
        entry
        for entry in read_entries(args.journal)
        if entry.cmd == args.cmd
        and entry.at[0] >= args.since
        and entry.head.startswith(args.version)
    ]
    found = count_found(entries)
    print(format_found(found))
    totals = Counter[str]()
    for here in found.values():
        totals.update(broken=here.broken, faults=here.faults, short=here.short)
    return 1 if totals.total() else 0


if __name__ == "__main__":
    sys.exit(main())
