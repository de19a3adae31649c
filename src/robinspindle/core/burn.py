"""Burn rates of service-level objectives, by workspace and class of work.

A request is good if its answer was complete and met its latency objectives. The burn
rate is the share of bad requests divided by the share that the objective allows: at 1
the error budget is used up exactly at the end of its period.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

BUCKET_S = 15.0
WINDOWS_S = {"1m": 60.0, "5m": 300.0, "1h": 3600.0}
RETENTION_S = 3600.0


@dataclass
class Bucket:
    """Counts of requests that ended within one interval of `BUCKET_S` seconds.

    Attributes:
        start: Start of the interval, monotonic seconds.
        good: Number of good requests.
        bad: Number of bad requests by cause, a target or a decision.
    """

    start: float
    good: int = 0
    bad: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ObjectiveKey:
    """The workspace and the class of work that an objective applies to."""

    workspace: str
    work: str


@dataclass
class BurnCounts:
    """Counts of good and bad requests at one entry, by workspace and class of work."""

    buckets: dict[ObjectiveKey, deque[Bucket]] = field(default_factory=dict)


class BurnRow(msgspec.Struct, frozen=True, kw_only=True):
    """Good and bad requests of a workspace and a class of work over one time window.

    Attributes:
        workspace: The workspace.
        work: The class of work.
        window: The window's name, a key of `WINDOWS_S`.
        objective: Share of requests that must be good.
        good: Number of good requests.
        bad: Number of bad requests.
        spenders: Number of bad requests by cause, a target or a decision.
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
        """The burn rate: share of bad requests over the share that is allowed."""
        total = self.good + self.bad
        allowed = 1.0 - self.objective
        if not total or not self.bad:
            return 0.0
        return (self.bad / total) / allowed if allowed > 0 else float("inf")


def note_ended_request(
    burn_counts: BurnCounts, objective_key: ObjectiveKey, now: float, cause: str
) -> None:
    """Count a request that has ended.

    Args:
        burn_counts: The entry's counts; updated.
        objective_key: The request's workspace and class of work.
        now: The current time, monotonic seconds.
        cause: The cause of a bad request, empty for a good request.
    """
    buckets = burn_counts.buckets.setdefault(objective_key, deque())
    start = now - now % BUCKET_S
    if not buckets or buckets[-1].start != start:
        buckets.append(Bucket(start))
    while buckets[0].start < now - RETENTION_S:
        buckets.popleft()
    bucket = buckets[-1]
    if cause:
        bucket.bad[cause] = bucket.bad.get(cause, 0) + 1
    else:
        bucket.good += 1


def list_burn(
    burn_counts: BurnCounts, now: float, objectives: dict[str, float]
) -> list[BurnRow]:
    """List the burn of each workspace and class of work over each window.

    Args:
        burn_counts: The entry's counts.
        now: The current time, monotonic seconds.
        objectives: Share of requests that must be good, by class of work; 0.99 for a
            class that is not listed.
    """
    rows = []
    for objective_key, buckets in burn_counts.buckets.items():
        for window, length in WINDOWS_S.items():
            inside = [bucket for bucket in buckets if bucket.start >= now - length]
            spenders: dict[str, int] = {}
            for bucket in inside:
                _add_counts(spenders, bucket.bad)
            rows.append(
                BurnRow(
                    workspace=objective_key.workspace,
                    work=objective_key.work,
                    window=window,
                    objective=objectives.get(objective_key.work, 0.99),
                    good=sum(bucket.good for bucket in inside),
                    bad=sum(spenders.values()),
                    spenders=spenders,
                )
            )
    return rows


def merge_burn(rows: list[BurnRow]) -> list[BurnRow]:
    """Sum the rows of several entries by workspace, class of work and window."""
    merged: dict[tuple[str, str, str], BurnRow] = {}
    for row in rows:
        row_key = (row.workspace, row.work, row.window)
        other = merged.get(row_key)
        if other is None:
            merged[row_key] = row
            continue
        spenders = dict(other.spenders)
        _add_counts(spenders, row.spenders)
        merged[row_key] = msgspec.structs.replace(
            other,
            good=other.good + row.good,
            bad=other.bad + row.bad,
            spenders=spenders,
        )
    return list(merged.values())


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count
