"""The quarantine as operators see it: read from the store, and a release written."""

from datetime import UTC, datetime

import msgspec

from robinspindle.core import quarantine
from robinspindle.core.quarantine import Entry, Standing
from robinspindle.exceptions import BadDocumentError, NotQuarantinedError
from robinspindle.following import KeyedStore
from robinspindle.tables import format_table

HEADS = ("fingerprint", "since", "trials", "request", "crashed")
"""Heads of the table's columns."""


class EntryRow(msgspec.Struct):
    """One request that is turned away, for programs.

    Attributes:
        fingerprint: Hexadecimal digits.
        standing: ``quarantined`` or ``released``.
        since: When that was said last, ISO 8601, UTC.
        trials: Runs that it was given since.
        request: Its host and path; empty where they are not known.
        crashed: Lifetimes of the targets that it crashed.
    """

    fingerprint: str
    standing: str
    since: str
    trials: int
    request: str
    crashed: list[str]


async def read_entries(store: KeyedStore, topic: str) -> list[Entry]:
    """Read all requests that are turned away, the latest first, without bad records.

    Raises:
        LogServiceError: When the store gives no good answer.
    """
    records = await store.read_newest(topic)
    found = [_read(record.key, record.value) for record in records.items]
    entries = [e for e in found if e and e.standing is Standing.QUARANTINED]
    return sorted(entries, key=lambda entry: -entry.at_ms)


async def release_entry(
    store: KeyedStore, topic: str, digits: str, now_ms: int
) -> Entry:
    """Let a request run again; every gateway that reads the store knows at once.

    Args:
        store: The store.
        topic: Where the quarantine lies.
        digits: The first digits of its fingerprint.
        now_ms: The present time, Unix milliseconds.

    Raises:
        NotQuarantinedError: When not just one is turned away that begins so.
        LogServiceError: When the store gives no good answer.
    """
    entries = await read_entries(store, topic)
    found = [e for e in entries if e.fingerprint.hex().startswith(digits.lower())]
    if len(found) != 1:
        text = f"{len(found)} requests in quarantine begin with {digits}"
        raise NotQuarantinedError(text)
    entry = quarantine.release(found[0], now_ms)
    key = quarantine.make_key(entry.fingerprint)
    await store.append_keyed(topic, key, quarantine.encode_entry(entry))
    return entry


def describe_entry(entry: Entry) -> EntryRow:
    """Describe an entry for programs."""
    since = datetime.fromtimestamp(entry.at_ms / 1000, UTC)
    return EntryRow(
        entry.fingerprint.hex(),
        entry.standing.value,
        since.isoformat(timespec="seconds"),
        entry.trials,
        entry.name,
        list(entry.lifetimes),
    )


def format_entries(entries: list[Entry]) -> str:
    """Write entries as a table for people."""
    if not entries:
        return "no request is turned away"
    rows = [describe_entry(entry) for entry in entries]
    cells = [
        (r.fingerprint[:16], r.since, str(r.trials), r.request, " ".join(r.crashed))
        for r in rows
    ]
    return format_table(HEADS, cells)


def _read(key: str, value: bytes | None) -> Entry | None:
    if not quarantine.is_key(key) or value is None:
        return None
    try:
        return quarantine.decode_entry(quarantine.read_key(key), value)
    except BadDocumentError:
        # Gateways log and count it; nobody believes it.
        return None
