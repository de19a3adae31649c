"""Counts of what each workspace had run, by window, as all gateways come to know them.

Each gateway counts for itself and only upwards. Its counts are told as totals, so that
telling them twice, late or over two ways adds nothing: the larger one holds. What a
neighbour has not confirmed is told again. A neighbour confirms with the number of the
newest datagram that it had from us.
"""

import math
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

import msgspec

MAX_COUNTS_PER_DATAGRAM = 1024
"""Counts that are told in one datagram, 12 KB where they are many: a relay that starts
has heard what it needs within a second."""

MAX_REPLACED_CHANGES = 4096
"""Changes beyond twice the counts that are kept although later ones replaced them."""

MAX_COUNT = 10**9
"""No workspace has more requests run in one window."""


class Account(msgspec.Struct, array_like=True):
    """What one gateway counted in one window, or what changed of it.

    Attributes:
        gateway: Its name.
        incarnation: When it started, Unix milliseconds; its counts begin anew with
            each.
        window: The window's number.
        counts: Requests that began to run, by workspace.
    """

    gateway: str
    incarnation: int
    window: int
    counts: dict[str, int]


@dataclass(frozen=True)
class CountKey:
    """Whose count of what one is.

    Attributes:
        gateway: The gateway that counted.
        incarnation: Its start, Unix milliseconds.
        window: The window's number.
        workspace: The workspace.
    """

    gateway: str
    incarnation: int
    window: int
    workspace: str


@dataclass
class NeighbourProgress:
    """How far one neighbour knows the counts.

    Attributes:
        started: Its start; who starts again knows nothing.
        change: All changes up to this one.
        told: The last change that was told, by the number of the datagram.
    """

    started: float
    change: int = 0
    told: dict[int, int] = field(default_factory=dict)


@dataclass
class Ledger:
    """All counts that one gateway knows.

    Attributes:
        counts: The counts of each window, by their place.
        changes: The number of each count's last change.
        order: All changes by their numbers, also those that a later one replaced.
        change: Number of the last change.
        neighbours: How far each neighbour knows them, by name.
    """

    counts: dict[int, dict[CountKey, int]] = field(default_factory=dict)
    changes: dict[CountKey, int] = field(default_factory=dict)
    order: list[tuple[int, CountKey]] = field(default_factory=list)
    change: int = 0
    neighbours: dict[str, NeighbourProgress] = field(default_factory=dict)


def find_window(wall_s: float, window_s: float) -> int:
    """Find the window of a time of day, Unix seconds."""
    return int(wall_s // window_s)


def make_incarnation(started: float) -> int:
    """Make the name of a life from its start, Unix seconds."""
    return round(started * 1000) if math.isfinite(started) else 0


def count_started_request(
    ledger: Ledger, gateway: str, life: int, window: int, workspace: str
) -> None:
    """Count one request of our own that began to run."""
    place = CountKey(gateway, life, window, workspace)
    _set(ledger, place, _read(ledger, place) + 1)


def merge_accounts(ledger: Ledger, accounts: Iterable[Account]) -> None:
    """Take in what a neighbour tells, or the store holds."""
    for account in accounts:
        for workspace, count in account.counts.items():
            place = CountKey(
                account.gateway, account.incarnation, account.window, workspace
            )
            if count > _read(ledger, place):
                _set(ledger, place, count)


def resend_counts(ledger: Ledger, gateways: Iterable[str]) -> None:
    """Tell all neighbours again what some gateways counted, as they may be gone.

    Their own relay may have gone with them, and told only some.
    """
    names = set(gateways)
    for place in [place for place in ledger.changes if place.gateway in names]:
        _set(ledger, place, _read(ledger, place))


def list_unconfirmed(
    ledger: Ledger, neighbour: str, started: float, number: int, left_out: set[str]
) -> list[Account]:
    """List what a neighbour has not confirmed, the oldest change first.

    Args:
        ledger: The counts; changed in place.
        neighbour: Its name.
        started: Its start, as it tells.
        number: Number of the datagram in which it is told.
        left_out: The gateways of whose counts it is not told.
    """
    known = _find_confirmed(ledger, neighbour, started)
    told: list[CountKey] = []
    last = known.change
    # From the oldest that is not confirmed: what is looked at hangs on what is told.
    for change, place in _list_changes(ledger, known.change):
        if len(told) == MAX_COUNTS_PER_DATAGRAM:
            break
        last = change
        if ledger.changes.get(place) != change:
            continue
        # What an earlier life of the neighbour counted it does not know any more.
        is_own = place.gateway == neighbour
        knows = place.incarnation == make_incarnation(started) if is_own else False
        if not knows and (is_own or place.gateway not in left_out):
            told.append(place)
    known.told[number] = last
    return _gather(ledger, told)


def note_confirmed(ledger: Ledger, neighbour: str, started: float, number: int) -> None:
    """Take note that a neighbour has a datagram, and so all that was told before."""
    known = _find_confirmed(ledger, neighbour, started)
    if number not in known.told:
        return
    known.change = max(known.change, known.told[number])
    known.told = {n: c for n, c in known.told.items() if n > number}


def is_confirmed(ledger: Ledger, gateway: str, window: int) -> bool:
    """Whether some neighbour knows all that a gateway counted in a window."""
    places = _list_places(ledger, gateway, window)
    last = max((ledger.changes[place] for place in places), default=0)
    return any(known.change >= last for known in ledger.neighbours.values())


def list_accounts(ledger: Ledger, gateway: str, window: int) -> list[Account]:
    """Describe all that a gateway counted in a window, for each of its lives."""
    return _gather(ledger, _list_places(ledger, gateway, window))


def sum_by_workspace(ledger: Ledger, window: int) -> dict[str, int]:
    """Add a window's counts up by workspace."""
    totals: dict[str, int] = {}
    for place, count in ledger.counts.get(window, {}).items():
        totals[place.workspace] = totals.get(place.workspace, 0) + count
    return totals


def list_windows(ledger: Ledger) -> set[int]:
    """List the windows in which anything was counted."""
    return set(ledger.counts)


def list_gateways(ledger: Ledger, window: int) -> list[str]:
    """List the gateways that counted anything in a window."""
    return sorted({place.gateway for place in ledger.counts.get(window, {})})


def forget_before(ledger: Ledger, window: int) -> None:
    """Forget the counts of all windows before one."""
    forget_windows(ledger, [old for old in ledger.counts if old < window])


def forget_windows(ledger: Ledger, windows: Iterable[int]) -> None:
    """Forget the counts of windows that were reported: nobody asks for them again."""
    known = set(windows) & ledger.counts.keys()
    for window in known:
        for place in ledger.counts.pop(window):
            del ledger.changes[place]
    if known:
        _drop_replaced(ledger)


def is_valid_account(account: Account) -> bool:
    """Whether what a neighbour tells can be counts at all."""
    return account.window >= 0 and all(
        0 < count <= MAX_COUNT for count in account.counts.values()
    )


def _set(ledger: Ledger, place: CountKey, count: int) -> None:
    ledger.change += 1
    ledger.counts.setdefault(place.window, {})[place] = count
    ledger.changes[place] = ledger.change
    ledger.order.append((ledger.change, place))
    if len(ledger.order) > MAX_REPLACED_CHANGES + 2 * len(ledger.changes):
        _drop_replaced(ledger)


def _drop_replaced(ledger: Ledger) -> None:
    """Drop the changes that later ones have replaced."""
    changes = ledger.changes
    ledger.order = [pair for pair in ledger.order if changes.get(pair[1]) == pair[0]]


def _list_changes(ledger: Ledger, after: int) -> Iterator[tuple[int, CountKey]]:
    """List the changes after one, the oldest first."""
    start = bisect_right(ledger.order, after, key=lambda pair: pair[0])
    return islice(ledger.order, start, None)


def _read(ledger: Ledger, place: CountKey) -> int:
    return ledger.counts.get(place.window, {}).get(place, 0)


def _list_places(ledger: Ledger, gateway: str, window: int) -> list[CountKey]:
    return [p for p in ledger.counts.get(window, {}) if p.gateway == gateway]


def _find_confirmed(
    ledger: Ledger, neighbour: str, started: float
) -> NeighbourProgress:
    known = ledger.neighbours.get(neighbour)
    if known is None or known.started != started:
        known = ledger.neighbours[neighbour] = NeighbourProgress(started)
    return known


def _gather(ledger: Ledger, places: Iterable[CountKey]) -> list[Account]:
    accounts: dict[tuple[str, int, int], Account] = {}
    for place in places:
        key = (place.gateway, place.incarnation, place.window)
        account = accounts.setdefault(key, Account(*key, {}))
        account.counts[place.workspace] = _read(ledger, place)
    return list(accounts.values())
