"""Service-level burn: how fast each workspace's promise is being spent.

A request is good if its answer was whole and in the promised time. The burn rate is
the share of bad requests over the share that the objective allows: at 1 the promise
is spent exactly in its period.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

BUCKET_S = 15.0
WINDOWS_S = {"1m": 60.0, "5m": 300.0, "1h": 3600.0}
KEPT_S = 3600.0


@dataclass
class Bucket:
    """Counts of one stretch of time.

    Attributes:
        begun: Start of the stretch, seconds.
        good: Requests that kept the promise.
        bad: Requests that did not, by who spent it.
    """

    begun: float
    good: int = 0
    bad: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ObjectiveKey:
    """Whose promise it is."""

    workspace: str
    work: str


@dataclass
class BurnCounts:
    """Good and bad requests of one entry, by subject."""

    buckets: dict[ObjectiveKey, deque[Bucket]] = field(default_factory=dict)


class BurnRow(msgspec.Struct, frozen=True, kw_only=True):
    """Burn of one subject over one window.

    Attributes:
        workspace: The workspace.
        work: The class of work.
        window: The window's name.
        objective: Share of requests that must be good.
        good: Good requests.
        bad: Bad requests.
        spenders: Bad requests by the target or decision that spent them.
    """

    workspace: str
    work: str
    window: str
    objective: float
    good: int
    bad: int
    spenders: dict[str, int]

    @property
    def rate(self) -> float:
        """How many times faster than allowed the promise is spent."""
        total = self.good + self.bad
        allowed = 1.0 - self.objective
        if not total or not self.bad:
            return 0.0
        return (self.bad / total) / allowed if allowed > 0 else float("inf")


def note_ended_request(
    ledger: BurnCounts, subject: ObjectiveKey, now: float, spender: str
) -> None:
    """Count one ended request; an empty spender means that it was good."""
    buckets = ledger.buckets.setdefault(subject, deque())
    begun = now - now % BUCKET_S
    if not buckets or buckets[-1].begun != begun:
        buckets.append(Bucket(begun))
    while buckets[0].begun < now - KEPT_S:
        buckets.popleft()
    bucket = buckets[-1]
    if spender:
        bucket.bad[spender] = bucket.bad.get(spender, 0) + 1
    else:
        bucket.good += 1


def list_burn(
    ledger: BurnCounts, now: float, objectives: dict[str, float]
) -> list[BurnRow]:
    """List the burn of every subject over every window."""
    rows = []
    for subject, buckets in ledger.buckets.items():
        for window, length in WINDOWS_S.items():
            inside = [bucket for bucket in buckets if bucket.begun >= now - length]
            spenders: dict[str, int] = {}
            for bucket in inside:
                _add_counts(spenders, bucket.bad)
            rows.append(
                BurnRow(
                    workspace=subject.workspace,
                    work=subject.work,
                    window=window,
                    objective=objectives.get(subject.work, 0.99),
                    good=sum(bucket.good for bucket in inside),
                    bad=sum(spenders.values()),
                    spenders=spenders,
                )
            )
    return rows


def merge_burn(rows: list[BurnRow]) -> list[BurnRow]:
    """Add up the rows of several entries."""
    merged: dict[tuple[str, str, str], BurnRow] = {}
    for row in rows:
        place = (row.workspace, row.work, row.window)
        other = merged.get(place)
        if other is None:
            merged[place] = row
            continue
        spenders = dict(other.spenders)
        _add_counts(spenders, row.spenders)
        merged[place] = msgspec.structs.replace(
            other,
            good=other.good + row.good,
            bad=other.bad + row.bad,
            spenders=spenders,
        )
    return list(merged.values())


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count
