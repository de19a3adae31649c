"""The quarantine in the store: who writes it, and when."""

import asyncio

from robinspindle.core import quarantine
from robinspindle.core.causes import Cause
from robinspindle.core.fingerprints import FINGERPRINT_BYTES, Fingerprint
from robinspindle.core.quarantine import Quarantine
from robinspindle.exceptions import LogUnavailableError
from robinspindle.quarantinekeeping import STEP_S, QuarantineKeeper, find_place

NAME = Fingerprint(bytes(FINGERPRINT_BYTES))
ENTRY = quarantine.make_entry(Cause(NAME), {"i1", "i2", "i3"}, "shop/x", 1000)
GATEWAYS = [f"gateway-{number}" for number in range(300)]


class Store:
    """Takes records, or does not."""

    def __init__(self):
        self.appended = []
        self.is_away = False

    async def append_keyed(self, topic, key, value, expected_end=None):
        if self.is_away:
            raise LogUnavailableError("away")
        self.appended.append((key, value))
        return 0


def make_keeper(store=None, place=0, lines=None):
    known = Quarantine()

    def log(text, **fields):
        if lines is not None:
            lines.append(text)

    keeper = QuarantineKeeper(
        store or Store(),
        "topic",
        known,
        lambda entry: quarantine.merge_entry(known, entry),
        lambda fingerprint: place,
        lambda: 0.0,
        log,
    )
    return keeper, known


def test_who_judged_writes_at_once_and_the_first_of_the_others_after_a_while():
    own, known = make_keeper(place=7)
    quarantine.merge_own_entry(known, ENTRY)
    assert own.list_due(0.0) == [ENTRY]
    first, known = make_keeper(place=0)
    quarantine.merge_entry(known, ENTRY)
    assert first.list_due(0.0) == []
    assert first.list_due(STEP_S) == [ENTRY]


def test_of_many_gateways_one_is_the_first_in_the_order_of_a_request():
    places = [find_place(NAME, one, GATEWAYS) for one in GATEWAYS]
    assert sorted(places) == list(range(300))


def test_what_came_from_the_store_is_not_written_again_unless_it_is_lost():
    keeper, known = make_keeper()
    key, value = quarantine.make_key(NAME), quarantine.encode_entry(ENTRY)
    keeper.apply(key, value)
    assert quarantine.find_quarantined(known, NAME) == ENTRY
    assert keeper.list_due(100.0) == []
    keeper.apply(key, None)
    assert quarantine.find_quarantined(known, NAME) == ENTRY
    keeper.list_due(200.0)
    assert keeper.list_due(200.0 + STEP_S) == [ENTRY]


def test_a_bad_record_is_counted_and_logged_and_believed_by_nobody():
    lines = []
    keeper, known = make_keeper(lines=lines)
    keeper.apply(quarantine.make_key(NAME), b"no record")
    keeper.apply("quarantine/zz", b"{}")
    assert keeper.unreadable == 2
    assert len(lines) == 2
    assert not known.entries


def test_a_write_that_failed_is_made_later(monkeypatch):
    async def play():
        store = Store()
        keeper, known = make_keeper(store)
        quarantine.merge_own_entry(known, ENTRY)
        store.is_away = True
        monkeypatch.setattr("robinspindle.quarantinekeeping.FAILED_PAUSE_S", 0.0)
        await keeper._write(ENTRY)
        assert keeper.list_due(1.0) == [ENTRY]
        store.is_away = False
        await keeper._write(ENTRY)
        assert keeper.list_due(2.0) == []
        assert len(store.appended) == 1

    asyncio.run(play())
