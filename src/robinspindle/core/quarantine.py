"""Quarantine: requests that are rejected because they crash targets.

An entry is about one whole request, or about all requests whose prompts contain certain
parts. Every gateway keeps the whole list. Gateways exchange entries in their datagrams,
and the store keeps them when gateways stop. An operator can release a request. A
successful trial run can also clear it, as rejecting an innocent request permanently is
worse than one more crash.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

import msgspec

from robinspindle.core.causes import Cause, is_affected
from robinspindle.core.crashes import MAX_PARTS
from robinspindle.core.decoding import MAX_WHOLE, make_json_decoder, shorten
from robinspindle.core.fingerprints import (
    Fingerprint,
    FingerprintedRequest,
    get_head_hash,
    is_fingerprint,
)
from robinspindle.core.lifetimes import is_lifetime
from robinspindle.exceptions import BadDocumentError

FIRST_TRIAL_DELAY_S = 300.0
"""Time in quarantine after which a request may run once as a trial, seconds. It doubles
with each trial, as each one crashes a target if the request is the cause."""

MAX_TRIALS = 3
"""Maximum number of trials. With three crashes before the quarantine these make
six, three of them after all gateways knew the entry: as many as the platform allows.
After that only an operator can release the request."""

MAX_RETRY_S = 3600.0
"""Maximum retry delay that is sent to a caller, seconds: no caller retries a request
for longer than this."""

MAX_ENTRIES = 256
"""Maximum number of entries that are kept. The oldest one is removed first, and its
request is quarantined again only after it crashes targets again."""

MAX_NAMED_CRASHES = 8
"""Maximum number of crashes that an entry names as its reason."""

MAX_NAME_LENGTH = 200
"""Maximum length of the host and path that an entry keeps for operators, characters."""

KEY_PREFIX = "quarantine/"
"""Prefix of the store keys of quarantined requests; the rest of a key is the
fingerprint in hexadecimal digits."""


class Standing(Enum):
    """The status of a request by its newest entry."""

    QUARANTINED = "quarantined"
    RELEASED = "released"


@dataclass(frozen=True)
class Entry:
    """The newest decision on one request, or on all that contain certain parts.

    Attributes:
        fingerprint: The request, or the part.
        standing: Whether it is quarantined or released.
        at_ms: When that was decided, Unix milliseconds; a later entry replaces an
            earlier one.
        lifetimes: Lifetimes of targets that it crashed.
        name: Its host and path, or the ids of the parts, for operators; empty if they
            are not known.
        trials: Number of trial runs since it was first quarantined.
        companions: Other parts that a prompt must contain too.
    """

    fingerprint: Fingerprint
    standing: Standing
    at_ms: int
    lifetimes: tuple[str, ...] = ()
    name: str = ""
    trials: int = 0
    companions: frozenset[Fingerprint] = frozenset()

    @property
    def cause(self) -> Cause:
        """What crashes targets according to it."""
        return Cause(self.fingerprint, self.companions)


@dataclass
class Quarantine:
    """The known entries of quarantined and released requests.

    Attributes:
        entries: By fingerprint, the oldest first.
        head_hashes: Head hashes of all quarantined requests.
        stored: The entries that the store holds, by fingerprint.
        own: Times of the entries that this gateway decided itself, by fingerprint.
        revision: Changes with each entry.
    """

    entries: dict[Fingerprint, Entry] = field(default_factory=dict)
    head_hashes: set[bytes] = field(default_factory=set)
    stored: dict[Fingerprint, Entry] = field(default_factory=dict)
    own: dict[Fingerprint, int] = field(default_factory=dict)
    revision: int = 0


def merge_entry(quarantine: Quarantine, entry: Entry) -> bool:
    """Merge an entry into the known ones.

    Returns:
        Whether it is later than the known entry of its request.
    """
    known = quarantine.entries.get(entry.fingerprint)
    if known is not None and known.at_ms >= entry.at_ms:
        return False
    quarantine.entries.pop(entry.fingerprint, None)
    quarantine.entries[entry.fingerprint] = entry
    _keep_newest(quarantine.entries)
    quarantine.revision += 1
    quarantine.head_hashes = {
        get_head_hash(e.fingerprint) for e in list_quarantined(quarantine)
    }
    return True


def note_stored(quarantine: Quarantine, entry: Entry) -> None:
    """Note that the store holds an entry."""
    quarantine.stored[entry.fingerprint] = entry
    _keep_newest(quarantine.stored)


def merge_own_entry(quarantine: Quarantine, entry: Entry) -> bool:
    """Merge an entry that this gateway decided itself.

    Returns:
        Whether it is later than the known entry of its request.
    """
    is_new = merge_entry(quarantine, entry)
    if is_new:
        quarantine.own[entry.fingerprint] = entry.at_ms
        _keep_newest(quarantine.own)
    return is_new


def is_own(quarantine: Quarantine, entry: Entry) -> bool:
    """Whether this gateway decided an entry itself."""
    return quarantine.own.get(entry.fingerprint) == entry.at_ms


def _keep_newest(kept: dict) -> None:
    while len(kept) > MAX_ENTRIES:
        del kept[next(iter(kept))]


def note_not_stored(quarantine: Quarantine, fingerprint: Fingerprint) -> None:
    """Note that the store lost the entry of a request, which stays quarantined here.

    The store may have been restored from an old backup, and only an operator's entry
    releases a request.
    """
    quarantine.stored.pop(fingerprint, None)


def list_quarantined(quarantine: Quarantine) -> list[Entry]:
    """List the entries of all quarantined requests."""
    entries = quarantine.entries.values()
    return [e for e in entries if e.standing is Standing.QUARANTINED]


def find_quarantined(quarantine: Quarantine, fingerprint: Fingerprint) -> Entry | None:
    """Find the entry of a quarantined request; None if it is not quarantined."""
    entry = quarantine.entries.get(fingerprint)
    if entry is None or entry.standing is not Standing.QUARANTINED:
        return None
    return entry


def list_matching(quarantine: Quarantine, named: FingerprintedRequest) -> list[Entry]:
    """List the entries by which a request is quarantined."""
    found = []
    for fingerprint in named.list_known(quarantine.head_hashes, quarantine.entries):
        entry = find_quarantined(quarantine, fingerprint)
        if entry is not None and is_affected(named, entry.cause):
            found.append(entry)
    return found


def list_unstored(quarantine: Quarantine) -> list[Entry]:
    """List the entries that the store doesn't hold yet, or lost."""
    return [
        entry
        for fingerprint, entry in quarantine.entries.items()
        if fingerprint not in quarantine.stored
        or quarantine.stored[fingerprint].at_ms < entry.at_ms
    ]


def find_trial_at_ms(entry: Entry) -> int | None:
    """Find when a quarantined request may run once, Unix milliseconds.

    Returns:
        None if only an operator can release it.
    """
    if entry.trials >= MAX_TRIALS:
        return None
    return entry.at_ms + int(FIRST_TRIAL_DELAY_S * 1000) * 2**entry.trials


def may_try(entry: Entry, now_ms: int) -> bool:
    """Whether a quarantined request may run once now."""
    trial_at_ms = find_trial_at_ms(entry)
    return trial_at_ms is not None and now_ms >= trial_at_ms


def find_retry_s(entry: Entry, now_ms: int) -> float:
    """Find the time until a quarantined request may run again, seconds."""
    trial_at_ms = find_trial_at_ms(entry)
    if trial_at_ms is None:
        return MAX_RETRY_S
    return min(MAX_RETRY_S, max(0.0, (trial_at_ms - now_ms) / 1000))


def begin_trial(entry: Entry, now_ms: int) -> Entry:
    """Make the entry of a request on trial.

    It stays quarantined, so that other gateways go on rejecting it.
    """
    begun = replace(entry, at_ms=now_ms, trials=entry.trials + 1)
    return supersede(entry, begun)


def make_entry(cause: Cause, lifetimes: Iterable[str], name: str, now_ms: int) -> Entry:
    """Make the entry of what is rejected from now on."""
    return Entry(
        cause.fingerprint,
        Standing.QUARANTINED,
        now_ms,
        tuple(sorted(lifetimes)[:MAX_NAMED_CRASHES]),
        name[:MAX_NAME_LENGTH],
        companions=cause.companions,
    )


def adds_crashes(entry: Entry, lifetimes: set[str]) -> bool:
    """Whether an entry lacks some of the crashes, and has room for more."""
    has_room = len(entry.lifetimes) < MAX_NAMED_CRASHES
    return has_room and not lifetimes <= set(entry.lifetimes)


def supersede(known: Entry | None, entry: Entry) -> Entry:
    """Make the time of an entry later than that of the known entry of its request.

    This is needed as the times of day of VMs differ and may be set back.

    Args:
        known: The known entry; None if there is none.
        entry: The new entry.
    """
    if known is None:
        return entry
    at_ms = min(MAX_WHOLE, max(entry.at_ms, known.at_ms + 1))
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
    companions: list[str] = []


_decode_record = make_json_decoder(_Record)


def make_key(fingerprint: Fingerprint) -> str:
    """Make the store key of a request's entry."""
    return KEY_PREFIX + fingerprint.hex()


def is_key(key: str) -> bool:
    """Whether a store key is that of a request's entry."""
    return key.startswith(KEY_PREFIX)


def read_key(key: str) -> Fingerprint:
    """Parse the fingerprint in a store key.

    Raises:
        BadDocumentError: If the key contains no fingerprint.
    """
    try:
        value = bytes.fromhex(key.removeprefix(KEY_PREFIX))
    except ValueError as error:
        raise BadDocumentError(f"key contains no fingerprint: {error}") from None
    if not is_fingerprint(value):
        raise BadDocumentError("key contains no fingerprint: wrong length")
    return Fingerprint(value)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry for the store, without its fingerprint."""
    record = _Record(
        entry.standing.value,
        entry.at_ms,
        list(entry.lifetimes),
        entry.name,
        entry.trials,
        sorted(one.hex() for one in entry.companions),
    )
    return msgspec.json.encode(record)


def decode_entry(fingerprint: Fingerprint, value: bytes) -> Entry:
    """Decode an entry from the store.

    Raises:
        BadDocumentError: If it is malformed or out of range.
    """
    record = _decode_record(value)
    try:
        standing = Standing(record.standing)
        companions = frozenset(map(bytes.fromhex, record.companions))
    except ValueError as error:
        raise BadDocumentError(shorten(str(error))) from None
    entry = Entry(
        fingerprint,
        standing,
        record.at_ms,
        tuple(record.lifetimes[:MAX_NAMED_CRASHES]),
        record.name[:MAX_NAME_LENGTH],
        record.trials,
        companions,
    )
    fault = find_fault(entry)
    if fault is not None:
        raise BadDocumentError(fault)
    return entry


def find_fault(entry: Entry) -> str | None:
    """Find which part of a received entry is invalid; None if it is valid."""
    if not is_fingerprint(entry.fingerprint):
        return "fingerprint"
    if not 0 <= entry.at_ms <= MAX_WHOLE:
        return "time"
    if not 0 <= entry.trials <= MAX_TRIALS:
        return "trials"
    if len(entry.companions) >= MAX_PARTS:
        return "companions"
    if not all(is_fingerprint(one) for one in entry.companions):
        return "companions"
    if not all(is_lifetime(lifetime) for lifetime in entry.lifetimes):
        return "lifetimes"
    return None
