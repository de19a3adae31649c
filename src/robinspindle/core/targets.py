"""Targets as one entry knows them: announced, leaving, failing, at work.

The platform's list says who exists; what this entry has seen itself decides whom it
uses. A target's entry may lapse while the platform's store is away although the target
serves on, so absence is only believed once the store has been back for a while.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from robinspindle.core.lifetimes import find_id, is_later
from robinspindle.core.silence import Liveness

RETURN_S = 2.0
"""How long after the store's return entries that lapsed may still come back, seconds:
the platform's own promise."""

MOST_IDS = 4096
"""Ids whose newest lifetime is remembered; more than have entries at a time."""


@dataclass(frozen=True)
class Announcement:
    """What the platform's list says of a target.

    Attributes:
        lifetime: This start of the target (`core.lives`).
        service: Its service.
        address: IP:PORT.
        zone: Its availability zone.
        slots: Requests that it works on at once.
        leaving: Whether it is about to leave.
        role: ``prefill``, ``decode`` or empty for a plain service.
        cold_s: How much longer it stays slow from its start, seconds, when it wrote
            the entry.
    """

    lifetime: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    role: str = ""
    cold_s: float = 0.0


@dataclass
class Target:
    """One lifetime of a target.

    Attributes:
        announced: What the list says.
        in_flight: Requests of this entry that are under way there.
        failures: Broken connections in a row.
        backoff_until: Until when it is put aside, steady seconds.
        faults: Share of its latest answers that were faults, 0 to 1.
        full_until: Until when it is taken as full, steady seconds.
        gone_at: From when it is taken as gone, steady seconds; None while listed.
        replaced: Whether its address answers for another lifetime.
        is_unreadable: Whether its entry can't be used at present.
        switching_to: The role that it was ordered to take, empty for none.
        switching_until: Until when it may be away for that, steady seconds.
        cold_until: Until when it is slow from its start, steady seconds.
        liveness: What is heard of it.
        refusals: Requests that it turned away since its last answer.
    """

    announced: Announcement
    in_flight: int = 0
    failures: int = 0
    backoff_until: float = 0.0
    faults: float = 0.0
    full_until: float = 0.0
    gone_at: float | None = None
    replaced: bool = False
    is_unreadable: bool = False
    switching_to: str = ""
    switching_until: float = 0.0
    cold_until: float = 0.0
    liveness: Liveness = field(default_factory=Liveness)
    refusals: int = 0


@dataclass
class Directory:
    """All targets that one entry knows.

    Attributes:
        targets: By lifetime.
        newest: The newest lifetime of each id that had an entry, latest last.
        unavailable_since: Since when the store has been away; None while it answers.
        recovered_at: When the store last came back, steady seconds.
        known: Whether the list has been read at all.
        read_at: When it was last read, steady seconds.
        over: Lifetimes that are over as far as is known, latest last.
        reads_copy: Whether entries are read from a copy that the store returned from,
            and may be older than what is known.
        missing_grace_s: How long a target whose entry went is still used where there is
            no other, seconds; less than it may take to stop using a leaving one.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    newest: OrderedDict[str, str] = field(default_factory=OrderedDict)
    unavailable_since: float | None = None
    recovered_at: float = -RETURN_S
    known: bool = False
    read_at: float = 0.0
    over: OrderedDict[str, None] = field(default_factory=OrderedDict)
    reads_copy: bool = False
    missing_grace_s: float = 1.0


@dataclass(frozen=True)
class AnnouncementResult:
    """What became of a target's entry.

    Attributes:
        is_superseded: Whether it speaks of a life that is over, and was passed over.
        is_news: Whether it changes what is believed.
        ended: Earlier lifetimes of its id that are over by what it says.
    """

    is_superseded: bool = False
    is_news: bool = False
    ended: tuple[Target, ...] = ()


def apply_announcement(
    directory: Directory, announced: Announcement, now: float
) -> AnnouncementResult:
    """Take a target's entry in.

    Args:
        directory: What is known of targets.
        announced: What the entry says.
        now: The present time, steady seconds.
    """
    if is_superseded(directory, announced.lifetime):
        return AnnouncementResult(is_superseded=True)
    if directory.reads_copy and _is_over(directory, announced.lifetime, now):
        # One that lives after all writes its entry again within a heartbeat.
        return AnnouncementResult(is_superseded=True)
    directory.over.pop(announced.lifetime, None)
    ended = end_earlier_lifetimes(directory, announced.lifetime, now)
    is_news = note_announced(directory, announced, now)
    return AnnouncementResult(is_news=is_news, ended=tuple(ended))


def is_superseded(directory: Directory, lifetime: str) -> bool:
    """Whether a target was known to have started again since a lifetime began."""
    newest = directory.newest.get(find_id(lifetime))
    return newest not in (None, lifetime) and not is_later(lifetime, newest)


def note_announced(directory: Directory, announced: Announcement, now: float) -> bool:
    """Take note of a target's entry.

    Args:
        directory: What is known of targets.
        announced: What the entry says; its lifetime is not outlived.
        now: The present time, steady seconds.

    Returns:
        Whether it changes what is believed.
    """
    lifetime = announced.lifetime
    _note_newest(directory, lifetime)
    target = directory.targets.get(lifetime)
    cold_until = now + announced.cold_s
    if target is None:
        target = Target(announced, cold_until=cold_until)
        directory.targets[lifetime] = target
        return True
    changed = target.announced != announced or target.gone_at is not None
    changed = changed or target.is_unreadable
    target.is_unreadable = False
    if target.announced.leaving and not announced.leaving:
        # A notice to leave is never taken back; an older entry may come late.
        return False
    target.announced = announced
    target.cold_until = cold_until
    target.gone_at = None
    return changed


def end_earlier_lifetimes(
    directory: Directory, lifetime: str, now: float
) -> list[Target]:
    """Take the earlier lifetimes of an id as gone, and return those that were not.

    Args:
        directory: What is known of targets.
        lifetime: The lifetime that has begun.
        now: The present time, steady seconds.
    """
    earlier = [
        target
        for target in list_lives(directory, find_id(lifetime))
        if is_later(lifetime, target.announced.lifetime) and not is_gone(target, now)
    ]
    for target in earlier:
        target.gone_at = now
    return earlier


def list_lives(directory: Directory, id: str) -> list[Target]:
    """List the lifetimes of an id that are known."""
    return [
        target
        for lifetime, target in directory.targets.items()
        if find_id(lifetime) == id
    ]


def note_unreadable(directory: Directory, id: str) -> bool:
    """Take note that an id's entry names no target to use.

    What is under way there goes on; nothing new is sent until the entry is good again.

    Returns:
        Whether it changes what is believed.
    """
    lives = [t for t in list_lives(directory, id) if not t.is_unreadable]
    for target in lives:
        target.is_unreadable = True
    return bool(lives)


def note_missing(directory: Directory, now: float, id: str) -> bool:
    """Take note that an id's entry is gone.

    Returns:
        Whether it changes what is believed.
    """
    missing = [t for t in list_lives(directory, id) if t.gone_at is None]
    for target in missing:
        target.gone_at = max(
            now + directory.missing_grace_s, directory.recovered_at + RETURN_S
        )
    return bool(missing)


def _note_newest(directory: Directory, lifetime: str) -> None:
    directory.newest[find_id(lifetime)] = lifetime
    directory.newest.move_to_end(find_id(lifetime))
    while len(directory.newest) > MOST_IDS:
        directory.newest.popitem(last=False)


def note_store_unavailable(directory: Directory, now: float) -> bool:
    """Take note that the store does not answer; whether that is news."""
    if directory.unavailable_since is not None:
        return False
    directory.unavailable_since = now
    return True


def note_store_recovered(directory: Directory, now: float) -> bool:
    """Take note that the store answers again; whether that is news."""
    if directory.unavailable_since is None:
        return False
    directory.unavailable_since = None
    directory.recovered_at = now
    return True


def note_store_restored(directory: Directory, now: float) -> None:
    """Take note that the store has returned from a copy.

    Entries that it lost are written again within `RETURN_S`; those of targets that have
    ended since are back in it for a while.
    """
    directory.recovered_at = now
    directory.reads_copy = True


def note_restored_list_read(directory: Directory) -> None:
    """Take note that all entries of the copy have been read."""
    directory.reads_copy = False


def _is_over(directory: Directory, lifetime: str, now: float) -> bool:
    target = directory.targets.get(lifetime)
    return lifetime in directory.over or (target is not None and is_gone(target, now))


def is_gone(target: Target, now: float) -> bool:
    """Whether a target whose entry is missing is to be taken as gone."""
    return target.gone_at is not None and now >= target.gone_at


def drop_gone(directory: Directory, now: float) -> list[Target]:
    """Forget targets that are gone and have nothing under way, and return them."""
    gone = [
        target
        for target in directory.targets.values()
        if target.in_flight == 0 and is_gone(target, now)
    ]
    for target in gone:
        lifetime = target.announced.lifetime
        del directory.targets[lifetime]
        directory.over[lifetime] = None
    while len(directory.over) > MOST_IDS:
        directory.over.popitem(last=False)
    return gone
