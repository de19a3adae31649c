"""Entries of quarantined requests, in memory, in the store and in datagrams."""

import msgspec
import pytest

from robinspindle.core import quarantine
from robinspindle.core.causes import Cause
from robinspindle.core.crashupdates import (
    ClearedUpdate,
    CrashUpdate,
    QuarantineUpdate,
    RequestUpdates,
    RunUpdate,
    are_updates_valid,
    merge_updates,
    read_entry,
    write_entry,
)
from robinspindle.core.fingerprints import FINGERPRINT_BYTES, Fingerprint, get_head_hash
from robinspindle.core.quarantine import Entry, Quarantine, Standing
from robinspindle.exceptions import BadDocumentError

NAME = Fingerprint(bytes(range(FINGERPRINT_BYTES)))
ENTRY = quarantine.make_entry(Cause(NAME), {"i1@5", "i2", "i3"}, "shop/safe/x", 1000)


def test_stored_entry_is_decoded_as_encoded():
    key = quarantine.make_key(NAME)
    assert quarantine.is_key(key)
    value = quarantine.encode_entry(ENTRY)
    assert quarantine.decode_entry(quarantine.read_key(key), value) == ENTRY


def test_sent_entry_is_read_as_written():
    assert read_entry(write_entry(ENTRY)) == ENTRY


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[" * 5000,
        b"{}",
        b'{"standing": "hanged", "at_ms": 5}',
        b'{"standing": "quarantined", "at_ms": -5}',
        b'{"standing": "quarantined", "at_ms": "5"}',
        b'{"standing": "quarantined", "at_ms": 5, "trials": 77}',
        b'{"standing": "quarantined", "at_ms": 5, "lifetimes": ["a b"]}',
    ],
)
def test_invalid_record_is_rejected(value):
    with pytest.raises(BadDocumentError):
        quarantine.decode_entry(NAME, value)


@pytest.mark.parametrize("key", ["quarantine/", "quarantine/xyz", "quarantine/0011"])
def test_key_without_a_fingerprint_is_rejected(key):
    with pytest.raises(BadDocumentError):
        quarantine.read_key(key)


def test_later_entry_wins_in_any_order_of_arrival():
    released = quarantine.release(ENTRY, 10)
    assert released.at_ms > ENTRY.at_ms
    for order in ([ENTRY, released], [released, ENTRY]):
        known = Quarantine()
        for entry in order:
            quarantine.merge_entry(known, entry)
        assert quarantine.find_quarantined(known, NAME) is None
        assert not known.head_hashes


def test_quarantined_request_is_found_by_its_head_hash():
    known = Quarantine()
    assert quarantine.merge_entry(known, ENTRY)
    assert not quarantine.merge_entry(known, ENTRY)
    assert known.head_hashes == {get_head_hash(NAME)}
    assert quarantine.find_quarantined(known, NAME) == ENTRY


def test_record_lost_by_the_store_does_not_release():
    known = Quarantine()
    quarantine.merge_entry(known, ENTRY)
    quarantine.note_stored(known, ENTRY)
    assert quarantine.list_unstored(known) == []
    quarantine.note_not_stored(known, NAME)
    assert quarantine.find_quarantined(known, NAME) == ENTRY
    assert quarantine.list_unstored(known) == [ENTRY]


def test_older_record_in_the_store_is_written_again():
    known = Quarantine()
    quarantine.merge_entry(known, quarantine.release(ENTRY, 2000))
    quarantine.note_stored(known, ENTRY)
    assert len(quarantine.list_unstored(known)) == 1


def test_trial_intervals_grow_and_trials_end():
    entry, found = ENTRY, []
    while (at_ms := quarantine.find_trial_at_ms(entry)) is not None:
        assert not quarantine.may_try(entry, at_ms - 1)
        assert quarantine.may_try(entry, at_ms)
        found.append((at_ms - entry.at_ms) / 1000)
        entry = quarantine.begin_trial(entry, at_ms)
    assert found == [300.0, 600.0, 1200.0]
    assert quarantine.find_retry_s(entry, entry.at_ms) == quarantine.MAX_RETRY_S


def test_oldest_entries_are_removed():
    known = Quarantine()
    for number in range(quarantine.MAX_ENTRIES + 10):
        fingerprint = Fingerprint(number.to_bytes(FINGERPRINT_BYTES, "big"))
        entry = Entry(fingerprint, Standing.QUARANTINED, number)
        quarantine.merge_entry(known, entry)
    assert len(known.entries) == quarantine.MAX_ENTRIES
    assert min(entry.at_ms for entry in known.entries.values()) == 10


WITH_SHORT_PART = RunUpdate(NAME, 5, 5, [b"short"])

INVALID_UPDATES = [
    RequestUpdates(crashes=[CrashUpdate("i 1", "lm", 5, [])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", -5, [])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", 5, [RunUpdate(b"short", 5)])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", 5, [RunUpdate(NAME, -5)])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", 5, [RunUpdate(NAME, 5, -5)])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", 5, [WITH_SHORT_PART])]),
    RequestUpdates(cleared=[ClearedUpdate(b"short", 5)]),
    RequestUpdates(cleared=[ClearedUpdate(NAME, -5)]),
    RequestUpdates(quarantine=[QuarantineUpdate(NAME, "hanged", 5, [], "", 0)]),
    RequestUpdates(quarantine=[QuarantineUpdate(NAME, "quarantined", 5, [""], "", 0)]),
    RequestUpdates(
        quarantine=[QuarantineUpdate(NAME, "quarantined", 5, [], "", 0, [b"short"])]
    ),
]


@pytest.mark.parametrize("news", INVALID_UPDATES)
def test_invalid_updates_are_rejected(news):
    assert are_updates_valid(RequestUpdates())
    assert not are_updates_valid(news)


def test_updates_on_many_crashes_stay_far_below_a_datagram():
    runs = [RunUpdate(NAME, 1000, 500, [NAME])] * 64
    updates = RequestUpdates()
    for number in range(30):
        updates = merge_updates(
            updates, RequestUpdates([CrashUpdate(f"i{number}", "lm", 5, runs)])
        )
    assert len(msgspec.msgpack.encode(updates)) < 20_000
