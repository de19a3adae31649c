"""Counts of the requests of each workspace, by window, replicated to all gateways.

Each gateway counts only its own requests, and its counts only grow. Counts are sent as
totals, and the larger total of a count wins. Counts that arrive twice, late or by two
routes therefore add nothing. A neighbour is a gateway with which this one exchanges
counts directly. It acknowledges counts by the number of the newest datagram that it
received from this gateway; counts that it has not acknowledged are sent again.
"""

import math
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

import msgspec

from robinspindle.core.decoding import MAX_WHOLE

MAX_COUNTS_PER_DATAGRAM = 1024
"""Maximum number of counts in one datagram: 12 KB if it is full. A relay that has just
started receives all counts that it needs within a second."""

MAX_REPLACED_CHANGES = 4096
"""Changes that later ones replaced are removed once the number of changes exceeds this
plus twice the number of counts."""

MAX_COUNT = 10**9
"""Maximum number of requests of one workspace in one window; higher ones are
invalid."""


class Account(msgspec.Struct, array_like=True):
    """What one gateway counted in one window, or only the counts that changed.

    Attributes:
        gateway: Its name.
        incarnation: When it started, Unix milliseconds; its counts start at zero with
            each incarnation.
        window: The number of the window.
        counts: Number of requests that started to run, by workspace.
    """

    gateway: str
    incarnation: int
    window: int
    counts: dict[str, int]


@dataclass(frozen=True)
class CountKey:
    """Identifies one count.

    Attributes:
        gateway: The gateway that counted.
        incarnation: When that gateway started, Unix milliseconds.
        window: The number of the window.
        workspace: The workspace.
    """

    gateway: str
    incarnation: int
    window: int
    workspace: str


@dataclass
class NeighbourProgress:
    """Which counts one neighbour has acknowledged.

    Attributes:
        started: When the neighbour started; it loses all counts when it restarts.
        change: Number of the last change that it acknowledged, with all before it.
        sent: Number of the last change that each datagram contains, by the number of
            the datagram.
    """

    started: float
    change: int = 0
    sent: dict[int, int] = field(default_factory=dict)


@dataclass
class Ledger:
    """All counts that one gateway knows.

    Attributes:
        counts: The counts of each window, by key.
        changes: The number of the last change of each count.
        order: All changes in the order of their numbers, also some that later ones
            replaced.
        change: Number of the last change.
        neighbours: Which counts each neighbour has acknowledged, by name.
    """

    counts: dict[int, dict[CountKey, int]] = field(default_factory=dict)
    changes: dict[CountKey, int] = field(default_factory=dict)
    order: list[tuple[int, CountKey]] = field(default_factory=list)
    change: int = 0
    neighbours: dict[str, NeighbourProgress] = field(default_factory=dict)


def find_window(wall_s: float, window_s: float) -> int:
    """Find the number of the window of a time of day, Unix seconds."""
    return int(wall_s // window_s)


def make_incarnation(started: float) -> int:
    """Make the number of an incarnation from its start, Unix seconds."""
    return round(started * 1000) if math.isfinite(started) else 0


def count_started_request(
    ledger: Ledger, gateway: str, incarnation: int, window: int, workspace: str
) -> None:
    """Count a request of this gateway that started to run."""
    count_key = CountKey(gateway, incarnation, window, workspace)
    _set(ledger, count_key, _read(ledger, count_key) + 1)


def merge_accounts(ledger: Ledger, accounts: Iterable[Account]) -> None:
    """Merge the counts that a neighbour sent, or that the store holds."""
    for account in accounts:
        for workspace, count in account.counts.items():
            count_key = CountKey(
                account.gateway, account.incarnation, account.window, workspace
            )
            if count > _read(ledger, count_key):
                _set(ledger, count_key, count)


def resend_counts(ledger: Ledger, gateways: Iterable[str]) -> None:
    """Send the counts of some gateways to all neighbours again.

    This is for gateways that may have stopped: their relay may have stopped too, before
    it sent their counts to all.
    """
    names = set(gateways)
    for count_key in [
        count_key for count_key in ledger.changes if count_key.gateway in names
    ]:
        _set(ledger, count_key, _read(ledger, count_key))


def list_unacknowledged(
    ledger: Ledger, neighbour: str, started: float, number: int, left_out: set[str]
) -> list[Account]:
    """List the counts that a neighbour has not acknowledged, the oldest change first.

    Args:
        ledger: The counts; changed in place.
        neighbour: Its name.
        started: When it started, as it sent it.
        number: Number of the datagram in which the counts are sent.
        left_out: The gateways whose counts are not sent to it.
    """
    known = _find_progress(ledger, neighbour, started)
    unacknowledged: list[CountKey] = []
    last = known.change
    # Starts at the oldest change that is not acknowledged, so that the cost depends on
    # the number of counts to send.
    for change, count_key in _list_changes(ledger, known.change):
        if len(unacknowledged) == MAX_COUNTS_PER_DATAGRAM:
            break
        last = change
        if ledger.changes.get(count_key) != change:
            continue
        # The neighbour has its own counts, except those of its earlier incarnations,
        # which it lost when it restarted.
        is_own = count_key.gateway == neighbour
        has_count = (
            count_key.incarnation == make_incarnation(started) if is_own else False
        )
        if not has_count and (is_own or count_key.gateway not in left_out):
            unacknowledged.append(count_key)
    known.sent[number] = last
    return _gather(ledger, unacknowledged)


def note_received(ledger: Ledger, neighbour: str, started: float, number: int) -> None:
    """Note that a neighbour received a datagram, and with it all changes up to it."""
    known = _find_progress(ledger, neighbour, started)
    if number not in known.sent:
        return
    known.change = max(known.change, known.sent[number])
    known.sent = {n: c for n, c in known.sent.items() if n > number}


def is_acknowledged(ledger: Ledger, gateway: str, window: int) -> bool:
    """Whether some neighbour has acknowledged all counts of a gateway in a window."""
    count_keys = _list_keys(ledger, gateway, window)
    last = max((ledger.changes[count_key] for count_key in count_keys), default=0)
    return any(known.change >= last for known in ledger.neighbours.values())


def list_accounts(ledger: Ledger, gateway: str, window: int) -> list[Account]:
    """List all counts of a gateway in a window, for each of its incarnations."""
    return _gather(ledger, _list_keys(ledger, gateway, window))


def sum_by_workspace(ledger: Ledger, window: int) -> dict[str, int]:
    """Sum the counts of a window by workspace."""
    totals: dict[str, int] = {}
    for count_key, count in ledger.counts.get(window, {}).items():
        totals[count_key.workspace] = totals.get(count_key.workspace, 0) + count
    return totals


def list_windows(ledger: Ledger) -> set[int]:
    """List the windows with any counts."""
    return set(ledger.counts)


def list_gateways(ledger: Ledger, window: int) -> list[str]:
    """List the gateways with any counts in a window."""
    return sorted({count_key.gateway for count_key in ledger.counts.get(window, {})})


def forget_before(ledger: Ledger, window: int) -> None:
    """Remove the counts of all windows before one."""
    forget_windows(ledger, [old for old in ledger.counts if old < window])


def forget_windows(ledger: Ledger, windows: Iterable[int]) -> None:
    """Remove the counts of windows that were reported and are not needed any more."""
    known = set(windows) & ledger.counts.keys()
    for window in known:
        for count_key in ledger.counts.pop(window):
            del ledger.changes[count_key]
    if known:
        _drop_replaced(ledger)


def is_valid_account(account: Account) -> bool:
    """Whether the counts that a neighbour sent are in range."""
    return (
        0 <= account.window <= MAX_WHOLE
        and 0 <= account.incarnation <= MAX_WHOLE
        and all(0 < count <= MAX_COUNT for count in account.counts.values())
    )


def _set(ledger: Ledger, count_key: CountKey, count: int) -> None:
    ledger.change += 1
    ledger.counts.setdefault(count_key.window, {})[count_key] = count
    ledger.changes[count_key] = ledger.change
    ledger.order.append((ledger.change, count_key))
    if len(ledger.order) > MAX_REPLACED_CHANGES + 2 * len(ledger.changes):
        _drop_replaced(ledger)


def _drop_replaced(ledger: Ledger) -> None:
    """Remove the changes that later ones have replaced."""
    changes = ledger.changes
    ledger.order = [pair for pair in ledger.order if changes.get(pair[1]) == pair[0]]


def _list_changes(ledger: Ledger, after: int) -> Iterator[tuple[int, CountKey]]:
    """List the changes after one, the oldest first."""
    start = bisect_right(ledger.order, after, key=lambda pair: pair[0])
    return islice(ledger.order, start, None)


def _read(ledger: Ledger, count_key: CountKey) -> int:
    return ledger.counts.get(count_key.window, {}).get(count_key, 0)


def _list_keys(ledger: Ledger, gateway: str, window: int) -> list[CountKey]:
    return [k for k in ledger.counts.get(window, {}) if k.gateway == gateway]


def _find_progress(ledger: Ledger, neighbour: str, started: float) -> NeighbourProgress:
    known = ledger.neighbours.get(neighbour)
    if known is None or known.started != started:
        known = ledger.neighbours[neighbour] = NeighbourProgress(started)
    return known


def _gather(ledger: Ledger, count_keys: Iterable[CountKey]) -> list[Account]:
    accounts: dict[tuple[str, int, int], Account] = {}
    for count_key in count_keys:
        key = (count_key.gateway, count_key.incarnation, count_key.window)
        account = accounts.setdefault(key, Account(*key, {}))
        account.counts[count_key.workspace] = _read(ledger, count_key)
    return list(accounts.values())
