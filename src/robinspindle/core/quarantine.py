"""Quarantine: requests that are turned away because they crash targets.

Every gateway keeps the whole list. It travels with the gateways' datagrams, and in the
store it outlasts them all. An operator releases a request; one run after a while may
clear it too, as an innocent one that is turned away for good is worse than one crash
more.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

import msgspec

from robinspindle.core.fingerprints import Fingerprint, get_head_hash, is_fingerprint
from robinspindle.core.lifetimes import is_id
from robinspindle.exceptions import BadDocumentError

FIRST_TRIAL_S = 300.0
"""After so long in quarantine a request may run once more, seconds; then after twice as
long each time. It costs a target each time if the request is to blame."""

MAX_TRIALS = 3
"""Trials in all: with the crashes before them six, three of them after the verdict was
known to all, as many as the platform allows. Then only an operator releases it."""

MAX_RETRY_S = 3600.0
"""The longest hint that a caller gets, seconds: nobody keeps a request for longer."""

MAX_ENTRIES = 256
"""Requests in quarantine that are kept, 0.2 MB: 75 times what was ever seen at once.
The oldest falls out first, and has to crash targets anew to come back."""

MAX_NAMED_CRASHES = 8
"""Crashes that are named as the reason, the first ones."""

MAX_NAME_LENGTH = 200
"""Characters of a request's host and path that are kept for operators."""

KEY_PREFIX = "quarantine/"
"""What the keys of quarantined requests in the store begin with; the rest is the
fingerprint in hexadecimal digits."""


class Standing(Enum):
    """How a request stands by the newest that was said of it."""

    QUARANTINED = "quarantined"
    RELEASED = "released"


@dataclass(frozen=True)
class Entry:
    """What was last said of one request.

    Attributes:
        fingerprint: The request.
        standing: Whether it is turned away.
        at_ms: When that was said, Unix milliseconds; a later word replaces it.
        lifetimes: Targets that it crashed.
        name: Its host and path, for operators; empty where they are not known.
        trials: Runs that it was given since it was first quarantined.
    """

    fingerprint: Fingerprint
    standing: Standing
    at_ms: int
    lifetimes: tuple[str, ...] = ()
    name: str = ""
    trials: int = 0


@dataclass
class Quarantine:
    """What is known of requests in quarantine and of those that were released.

    Attributes:
        entries: By fingerprint, the oldest first.
        head_hashes: Marks of all that are turned away.
        stored: What the store holds, by fingerprint.
        own: When what this gateway said itself was said, by fingerprint.
    """

    entries: dict[Fingerprint, Entry] = field(default_factory=dict)
    head_hashes: set[bytes] = field(default_factory=set)
    stored: dict[Fingerprint, Entry] = field(default_factory=dict)
    own: dict[Fingerprint, int] = field(default_factory=dict)


def merge_entry(quarantine: Quarantine, entry: Entry) -> bool:
    """Take in what is said of a request.

    Returns:
        Whether it is news: later than what was known.
    """
    known = quarantine.entries.get(entry.fingerprint)
    if known is not None and known.at_ms >= entry.at_ms:
        return False
    quarantine.entries.pop(entry.fingerprint, None)
    quarantine.entries[entry.fingerprint] = entry
    _keep_newest(quarantine.entries)
    quarantine.head_hashes = {
        get_head_hash(e.fingerprint) for e in list_quarantined(quarantine)
    }
    return True


def note_stored(quarantine: Quarantine, entry: Entry) -> None:
    """Take note that the store holds an entry."""
    quarantine.stored[entry.fingerprint] = entry
    _keep_newest(quarantine.stored)


def merge_own_entry(quarantine: Quarantine, entry: Entry) -> bool:
    """Take in what this gateway says of a request itself; whether it is news."""
    is_news = merge_entry(quarantine, entry)
    if is_news:
        quarantine.own[entry.fingerprint] = entry.at_ms
        _keep_newest(quarantine.own)
    return is_news


def is_own(quarantine: Quarantine, entry: Entry) -> bool:
    """Whether this gateway said an entry itself."""
    return quarantine.own.get(entry.fingerprint) == entry.at_ms


def _keep_newest(kept: dict) -> None:
    while len(kept) > MAX_ENTRIES:
        del kept[next(iter(kept))]


def note_not_stored(quarantine: Quarantine, fingerprint: Fingerprint) -> None:
    """Take note that the store lost its entry of a request; the request stays here.

    The store may return from an old copy, and only an operator's word releases.
    """
    quarantine.stored.pop(fingerprint, None)


def list_quarantined(quarantine: Quarantine) -> list[Entry]:
    """List the entries of all requests that are turned away."""
    entries = quarantine.entries.values()
    return [e for e in entries if e.standing is Standing.QUARANTINED]


def find_quarantined(quarantine: Quarantine, fingerprint: Fingerprint) -> Entry | None:
    """Find why a request is turned away; None if it is not."""
    entry = quarantine.entries.get(fingerprint)
    if entry is None or entry.standing is not Standing.QUARANTINED:
        return None
    return entry


def list_unstored(quarantine: Quarantine) -> list[Entry]:
    """List what the store does not hold yet, or not any more."""
    return [
        entry
        for fingerprint, entry in quarantine.entries.items()
        if fingerprint not in quarantine.stored
        or quarantine.stored[fingerprint].at_ms < entry.at_ms
    ]


def find_trial_at_ms(entry: Entry) -> int | None:
    """Find from when a quarantined request may run once, Unix milliseconds.

    Returns:
        None where only an operator releases it.
    """
    if entry.trials >= MAX_TRIALS:
        return None
    return entry.at_ms + int(FIRST_TRIAL_S * 1000) * 2**entry.trials


def may_try(entry: Entry, now_ms: int) -> bool:
    """Whether a quarantined request may run once."""
    trial_at_ms = find_trial_at_ms(entry)
    return trial_at_ms is not None and now_ms >= trial_at_ms


def find_retry_s(entry: Entry, now_ms: int) -> float:
    """Find when a quarantined request may run again, seconds from now."""
    trial_at_ms = find_trial_at_ms(entry)
    if trial_at_ms is None:
        return MAX_RETRY_S
    return min(MAX_RETRY_S, max(0.0, (trial_at_ms - now_ms) / 1000))


def begin_trial(entry: Entry, now_ms: int) -> Entry:
    """Make the entry of a request that is being tried; it is turned away elsewhere."""
    begun = replace(entry, at_ms=now_ms, trials=entry.trials + 1)
    return supersede(entry, begun)


def make_entry(
    fingerprint: Fingerprint, lifetimes: Iterable[str], name: str, now_ms: int
) -> Entry:
    """Make the entry of a request that is to be turned away from now on."""
    told = tuple(sorted(lifetimes)[:MAX_NAMED_CRASHES])
    name = name[:MAX_NAME_LENGTH]
    return Entry(fingerprint, Standing.QUARANTINED, now_ms, told, name)


def adds_crashes(entry: Entry, lifetimes: set[str]) -> bool:
    """Whether crashes are known that an entry does not name, and has room for."""
    has_room = len(entry.lifetimes) < MAX_NAMED_CRASHES
    return has_room and not lifetimes <= set(entry.lifetimes)


def supersede(known: Entry | None, entry: Entry) -> Entry:
    """Make an entry later than what was said of its request before.

    Times of day differ between VMs, and may go back.

    Args:
        known: What was said before; None for nothing.
        entry: What is said now.
    """
    if known is None:
        return entry
    at_ms = max(entry.at_ms, known.at_ms + 1)
    return replace(entry, at_ms=at_ms, name=entry.name or known.name)


def release(entry: Entry, now_ms: int) -> Entry:
    """Make the entry of a request that may run again."""
    released = replace(entry, standing=Standing.RELEASED, at_ms=now_ms, trials=0)
    return supersede(entry, released)


class _Record(msgspec.Struct):
    standing: str
    at_ms: int
    lifetimes: list[str] = []
    name: str = ""
    trials: int = 0


def make_key(fingerprint: Fingerprint) -> str:
    """Make the key under which the store holds a request's entry."""
    return KEY_PREFIX + fingerprint.hex()


def is_key(key: str) -> bool:
    """Whether a key of the store is one of a request's entry."""
    return key.startswith(KEY_PREFIX)


def read_key(key: str) -> Fingerprint:
    """Read the fingerprint from a key.

    Raises:
        BadDocumentError: When there is none.
    """
    try:
        value = bytes.fromhex(key.removeprefix(KEY_PREFIX))
    except ValueError as error:
        raise BadDocumentError(f"no fingerprint: {error}") from None
    if not is_fingerprint(value):
        raise BadDocumentError("no fingerprint: its length is wrong")
    return Fingerprint(value)


def encode_entry(entry: Entry) -> bytes:
    """Write what the store holds of an entry, besides its key."""
    record = _Record(
        entry.standing.value,
        entry.at_ms,
        list(entry.lifetimes),
        entry.name,
        entry.trials,
    )
    return msgspec.json.encode(record)


def decode_entry(fingerprint: Fingerprint, value: bytes) -> Entry:
    """Read what the store holds of a request.

    Raises:
        BadDocumentError: When it can't be read or is out of all range.
    """
    try:
        record = msgspec.json.decode(value, type=_Record)
        standing = Standing(record.standing)
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadDocumentError(str(error)) from None
    entry = Entry(
        fingerprint,
        standing,
        record.at_ms,
        tuple(record.lifetimes[:MAX_NAMED_CRASHES]),
        record.name[:MAX_NAME_LENGTH],
        record.trials,
    )
    fault = find_fault(entry)
    if fault is not None:
        raise BadDocumentError(fault)
    return entry


def find_fault(entry: Entry) -> str | None:
    """Find what is wrong with an entry that was told; None where it can be believed."""
    if not is_fingerprint(entry.fingerprint):
        return "fingerprint"
    if entry.at_ms < 0:
        return "time"
    if not 0 <= entry.trials <= MAX_TRIALS:
        return "trials"
    if not all(is_lifetime(lifetime) for lifetime in entry.lifetimes):
        return "lifetimes"
    return None


def is_lifetime(text: str) -> bool:
    """Whether a text can name a lifetime."""
    return is_id(text.partition("@")[0])
