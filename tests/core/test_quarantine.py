"""Requests that are turned away: what is said of them, where and for how long."""

import msgspec
import pytest

from robinspindle.core import quarantine
from robinspindle.core.crashupdates import (
    CrashUpdate,
    QuarantineUpdate,
    RequestUpdates,
    are_updates_valid,
    merge_updates,
    read_entry,
    write_entry,
)
from robinspindle.core.fingerprints import FINGERPRINT_BYTES, Fingerprint, get_head_hash
from robinspindle.core.quarantine import Entry, Quarantine, Standing
from robinspindle.exceptions import BadDocumentError

NAME = Fingerprint(bytes(range(FINGERPRINT_BYTES)))
ENTRY = quarantine.make_entry(NAME, {"i1@5", "i2", "i3"}, "shop/safe/x", 1000)


def test_an_entry_is_read_from_the_store_as_it_was_written():
    key = quarantine.make_key(NAME)
    assert quarantine.is_key(key)
    value = quarantine.encode_entry(ENTRY)
    assert quarantine.decode_entry(quarantine.read_key(key), value) == ENTRY


def test_an_entry_is_read_from_a_peer_as_it_was_written():
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
def test_a_record_that_cannot_be_believed_is_refused(value):
    with pytest.raises(BadDocumentError):
        quarantine.decode_entry(NAME, value)


@pytest.mark.parametrize("key", ["quarantine/", "quarantine/xyz", "quarantine/0011"])
def test_a_key_without_a_fingerprint_is_refused(key):
    with pytest.raises(BadDocumentError):
        quarantine.read_key(key)


def test_the_later_word_counts_whatever_comes_first():
    released = quarantine.release(ENTRY, 10)
    assert released.at_ms > ENTRY.at_ms
    for order in ([ENTRY, released], [released, ENTRY]):
        known = Quarantine()
        for entry in order:
            quarantine.merge_entry(known, entry)
        assert quarantine.find_quarantined(known, NAME) is None
        assert not known.head_hashes


def test_what_is_turned_away_is_found_by_its_mark():
    known = Quarantine()
    assert quarantine.merge_entry(known, ENTRY)
    assert not quarantine.merge_entry(known, ENTRY)
    assert known.head_hashes == {get_head_hash(NAME)}
    assert quarantine.find_quarantined(known, NAME) == ENTRY


def test_a_record_that_the_store_lost_does_not_release():
    known = Quarantine()
    quarantine.merge_entry(known, ENTRY)
    quarantine.note_stored(known, ENTRY)
    assert quarantine.list_unstored(known) == []
    quarantine.note_not_stored(known, NAME)
    assert quarantine.find_quarantined(known, NAME) == ENTRY
    assert quarantine.list_unstored(known) == [ENTRY]


def test_an_older_record_in_the_store_is_written_anew():
    known = Quarantine()
    quarantine.merge_entry(known, quarantine.release(ENTRY, 2000))
    quarantine.note_stored(known, ENTRY)
    assert len(quarantine.list_unstored(known)) == 1


def test_trials_come_at_longer_and_longer_intervals_and_end():
    entry, found = ENTRY, []
    while (at_ms := quarantine.find_trial_at_ms(entry)) is not None:
        assert not quarantine.may_try(entry, at_ms - 1)
        assert quarantine.may_try(entry, at_ms)
        found.append((at_ms - entry.at_ms) / 1000)
        entry = quarantine.begin_trial(entry, at_ms)
    assert found == [300.0, 600.0, 1200.0]
    assert quarantine.find_retry_s(entry, entry.at_ms) == quarantine.MAX_RETRY_S


def test_the_oldest_fall_out():
    known = Quarantine()
    for number in range(quarantine.MAX_ENTRIES + 10):
        fingerprint = Fingerprint(number.to_bytes(FINGERPRINT_BYTES, "big"))
        entry = Entry(fingerprint, Standing.QUARANTINED, number)
        quarantine.merge_entry(known, entry)
    assert len(known.entries) == quarantine.MAX_ENTRIES
    assert min(entry.at_ms for entry in known.entries.values()) == 10


BAD_NEWS = [
    RequestUpdates(crashes=[CrashUpdate("i 1", "lm", 5, [])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", -5, [])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", 5, [(b"short", 5)])]),
    RequestUpdates(crashes=[CrashUpdate("i1", "lm", 5, [(NAME, -5)])]),
    RequestUpdates(cleared=[b"short"]),
    RequestUpdates(quarantine=[QuarantineUpdate(NAME, "hanged", 5, [], "", 0)]),
    RequestUpdates(quarantine=[QuarantineUpdate(NAME, "quarantined", 5, [""], "", 0)]),
]


@pytest.mark.parametrize("news", BAD_NEWS)
def test_news_that_cannot_be_true_are_not_believed(news):
    assert are_updates_valid(RequestUpdates())
    assert not are_updates_valid(news)


def test_news_of_many_crashes_stay_far_below_a_datagram():
    runs = [(NAME, 1000)] * 128
    news = RequestUpdates()
    for number in range(30):
        news = merge_updates(
            news, RequestUpdates([CrashUpdate(f"i{number}", "lm", 5, runs)])
        )
    assert len(msgspec.msgpack.encode(news)) < 20_000
