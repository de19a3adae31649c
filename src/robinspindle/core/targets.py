"""A gateway's view of targets: announced, leaving, failing or serving.

The platform's list announces which targets exist; the gateway's own observations
decide which of them it uses. A target's entry may expire while the platform's store is
unavailable although the target still serves, so a missing entry counts only once the
store has been available again for a while.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from robinspindle.core.lifetimes import find_id, is_later
from robinspindle.core.silence import Liveness
from robinspindle.core.statements import Statements

PREFILL_ROLE = "prefill"
DECODE_ROLE = "decode"
"""Roles of engines: those that only prefill, and those that generate; targets of plain
services have none."""

REAPPEARANCE_S = 2.0
"""Time after the store recovers within which expired entries may reappear, seconds; the
platform guarantees it."""

MAX_REMEMBERED_IDS = 4096
"""Target ids whose latest lifetime is remembered; more than have entries at a time."""


MAX_LOST_VERSIONS = 256
"""Software versions whose lost targets are remembered."""


@dataclass(frozen=True)
class Announcement:
    """An entry of the platform's list about a target.

    Attributes:
        lifetime: The lifetime of the target (see `core.lifetimes`).
        service: The service that it belongs to.
        address: IP:PORT.
        zone: Its availability zone.
        slots: Requests that it processes concurrently.
        leaving: Whether it is about to leave.
        role: ``prefill``, ``decode`` or empty for a plain service.
        cold_s: Remaining warm-up time after its start when it wrote the entry, seconds.
        software_version: The version of its software.
    """

    lifetime: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    role: str = ""
    cold_s: float = 0.0
    software_version: str = ""


@dataclass
class Target:
    """One lifetime of a target.

    Attributes:
        announced: The latest entry of the platform's list.
        in_flight: Requests of this gateway that are in progress there.
        failures: Consecutive connection failures.
        failed_at: Time of the latest of them, monotonic seconds.
        lost_at: Time since which nothing answers at its address, monotonic seconds;
            None while something does or that is not known.
        backoff_until: End of its backoff, monotonic seconds.
        faults: Moving average of the share of faulty answers, 0 to 1.
        gone_at: Time from which it counts as gone, monotonic seconds; None while it is
            listed.
        replaced: Whether another lifetime answers at its address.
        is_unreadable: Whether its entry is invalid at present.
        switching_to: The role that it was ordered to change to; empty for none.
        switching_until: Time until which it may be unavailable for the role change,
            monotonic seconds.
        cold_until: End of its warm-up, monotonic seconds.
        liveness: What was received from it, and the responses expected from it.
        stated: What it has said of itself in its answers.
    """

    announced: Announcement
    in_flight: int = 0
    failures: int = 0
    failed_at: float = -math.inf
    lost_at: float | None = None
    backoff_until: float = 0.0
    faults: float = 0.0
    gone_at: float | None = None
    replaced: bool = False
    is_unreadable: bool = False
    switching_to: str = ""
    switching_until: float = 0.0
    cold_until: float = 0.0
    liveness: Liveness = field(default_factory=Liveness)
    stated: Statements = field(default_factory=Statements)


@dataclass
class Directory:
    """All targets that a gateway knows.

    Attributes:
        targets: Targets by lifetime.
        newest_lifetimes: The latest lifetime of each id that had an entry, the most
            recently announced one last.
        unavailable_since: Start of the store's outage, monotonic seconds; None while
            the store is available.
        recovered_at: Time when the store last recovered, monotonic seconds.
        is_list_read: Whether the list has been read at least once.
        read_at: Time of the last read of the list, monotonic seconds.
        ended_lifetimes: Lifetimes that are known to have ended, with what they said of
            themselves, most recent last.
        is_restored: Whether the entries are read from a store that was restored from a
            backup, and may be older than what is known.
        missing_grace_s: Time for which a target whose entry is gone is still used if
            there is no other, seconds; shorter than the time that the platform allows
            for stopping to use a leaving target.
        lost: Since when the latest target of a service and software version that was
            lost without a word is away, monotonic seconds, most recent last.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    newest_lifetimes: OrderedDict[str, str] = field(default_factory=OrderedDict)
    unavailable_since: float | None = None
    recovered_at: float = -REAPPEARANCE_S
    is_list_read: bool = False
    read_at: float = 0.0
    ended_lifetimes: OrderedDict[str, Statements] = field(default_factory=OrderedDict)
    is_restored: bool = False
    missing_grace_s: float = 1.0
    lost: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)


@dataclass(frozen=True)
class AnnouncementResult:
    """The result of applying an entry.

    Attributes:
        is_superseded: Whether the entry was ignored, because its lifetime has ended.
        has_changed: Whether it changed the directory.
        ended: Earlier lifetimes of the same id that ended because of the entry.
    """

    is_superseded: bool = False
    has_changed: bool = False
    ended: tuple[Target, ...] = ()


def apply_announcement(
    directory: Directory, announced: Announcement, now: float
) -> AnnouncementResult:
    """Apply an entry of the platform's list.

    Args:
        directory: The known targets.
        announced: The content of the entry.
        now: The current time, monotonic seconds.
    """
    if is_superseded(directory, announced.lifetime):
        return AnnouncementResult(is_superseded=True)
    if directory.is_restored and _is_over(directory, announced.lifetime, now):
        # A target that is still alive writes its entry again within a heartbeat.
        return AnnouncementResult(is_superseded=True)
    ended = end_earlier_lifetimes(directory, announced.lifetime, now)
    has_changed = note_announced(directory, announced, now)
    return AnnouncementResult(has_changed=has_changed, ended=tuple(ended))


def is_superseded(directory: Directory, lifetime: str) -> bool:
    """Return whether a later lifetime of the same target is known."""
    newest = directory.newest_lifetimes.get(find_id(lifetime))
    return newest not in (None, lifetime) and not is_later(lifetime, newest)


def note_announced(directory: Directory, announced: Announcement, now: float) -> bool:
    """Record an entry of the platform's list.

    Args:
        directory: The known targets.
        announced: The content of the entry; its lifetime must not be superseded.
        now: The current time, monotonic seconds.

    Returns:
        Whether it changed the directory.
    """
    lifetime = announced.lifetime
    _note_newest(directory, lifetime)
    target = directory.targets.get(lifetime)
    cold_until = now + announced.cold_s
    if target is None:
        # Its entry may only have been missing, and it may have spoken before.
        stated = directory.ended_lifetimes.pop(lifetime, None) or Statements()
        target = Target(announced, cold_until=cold_until, stated=stated)
        directory.targets[lifetime] = target
        directory.lost.pop((announced.service, announced.software_version), None)
        return True
    changed = target.announced != announced or target.gone_at is not None
    changed = changed or target.is_unreadable
    target.is_unreadable = False
    if target.announced.leaving and not announced.leaving:
        # A target never withdraws its notice to leave; this entry is an older one that
        # arrived late.
        return False
    target.announced = announced
    target.cold_until = cold_until
    target.gone_at = None
    return changed


def end_earlier_lifetimes(
    directory: Directory, lifetime: str, now: float
) -> list[Target]:
    """Mark the earlier lifetimes of an id as gone.

    Args:
        directory: The known targets.
        lifetime: The lifetime that has begun.
        now: The current time, monotonic seconds.

    Returns:
        The earlier lifetimes that weren't gone before.
    """
    earlier = [
        target
        for target in list_lifetimes(directory, find_id(lifetime))
        if is_later(lifetime, target.announced.lifetime) and not is_gone(target, now)
    ]
    for target in earlier:
        target.gone_at = now
    return earlier


def list_lifetimes(directory: Directory, id: str) -> list[Target]:
    """List the known lifetimes of an id."""
    return [
        target
        for lifetime, target in directory.targets.items()
        if find_id(lifetime) == id
    ]


def note_unreadable(directory: Directory, id: str) -> bool:
    """Record that an id's entry is invalid.

    Requests in progress there continue; no new ones are sent until the entry is valid
    again.

    Returns:
        Whether it changed the directory.
    """
    lifetimes = [t for t in list_lifetimes(directory, id) if not t.is_unreadable]
    for target in lifetimes:
        target.is_unreadable = True
    return bool(lifetimes)


def note_missing(directory: Directory, now: float, id: str) -> bool:
    """Record that an id's entry is gone.

    Returns:
        Whether it changed the directory.
    """
    missing = [t for t in list_lifetimes(directory, id) if t.gone_at is None]
    for target in missing:
        target.gone_at = max(
            now + directory.missing_grace_s, directory.recovered_at + REAPPEARANCE_S
        )
    return bool(missing)


def _note_lost(directory: Directory, announced: Announcement, lost_at: float) -> None:
    version = (announced.service, announced.software_version)
    directory.lost[version] = lost_at
    directory.lost.move_to_end(version)
    while len(directory.lost) > MAX_LOST_VERSIONS:
        directory.lost.popitem(last=False)


def _note_newest(directory: Directory, lifetime: str) -> None:
    directory.newest_lifetimes[find_id(lifetime)] = lifetime
    directory.newest_lifetimes.move_to_end(find_id(lifetime))
    while len(directory.newest_lifetimes) > MAX_REMEMBERED_IDS:
        directory.newest_lifetimes.popitem(last=False)


def note_store_unavailable(directory: Directory, now: float) -> bool:
    """Record that the store doesn't respond; return whether it was available before."""
    if directory.unavailable_since is not None:
        return False
    directory.unavailable_since = now
    return True


def note_store_recovered(directory: Directory, now: float) -> bool:
    """Record that the store responds; return whether it was unavailable before."""
    if directory.unavailable_since is None:
        return False
    directory.unavailable_since = None
    directory.recovered_at = now
    return True


def note_store_restored(directory: Directory, now: float) -> None:
    """Record that the store was restored from a backup.

    Entries that it lost are written again within `REAPPEARANCE_S`. Entries of targets
    that have ended since the backup reappear in it for a while.
    """
    directory.recovered_at = now
    directory.is_restored = True


def note_restored_list_read(directory: Directory) -> None:
    """Record that all entries of the restored store have been read."""
    directory.is_restored = False


def _is_over(directory: Directory, lifetime: str, now: float) -> bool:
    target = directory.targets.get(lifetime)
    return lifetime in directory.ended_lifetimes or (
        target is not None and is_gone(target, now)
    )


def is_leaving(target: Target) -> bool:
    """Return whether a target is about to leave, by its entry or by its answers."""
    return target.announced.leaving or target.stated.leaving


def is_gone(target: Target, now: float) -> bool:
    """Return whether a target whose entry is missing counts as gone."""
    return target.gone_at is not None and now >= target.gone_at


def drop_gone(directory: Directory, now: float) -> list[Target]:
    """Remove and return the targets that are gone and have no request in progress."""
    gone = [
        target
        for target in directory.targets.values()
        if target.in_flight == 0 and is_gone(target, now)
    ]
    for target in gone:
        lifetime = target.announced.lifetime
        del directory.targets[lifetime]
        directory.ended_lifetimes[lifetime] = target.stated
        if target.lost_at is not None and not is_leaving(target):
            _note_lost(directory, target.announced, target.lost_at)
    while len(directory.ended_lifetimes) > MAX_REMEMBERED_IDS:
        directory.ended_lifetimes.popitem(last=False)
    return gone
