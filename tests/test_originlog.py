"""Origins outlast the gateways that noted them."""

import asyncio

import msgspec
import pytest

from robinspindle.originlog import (
    MIN_INTERVAL_S,
    MOST_IN_RECORD,
    MOST_UNWRITTEN,
    WRITES_PER_S,
    OriginLog,
    decode,
    find_interval,
)
from tests.originfleet import MemoryStore, make_origin, name_stream


class Reader:
    def __init__(self, store):
        self.logged = []
        self.taken = {}
        self.log = OriginLog(store, "origins", lambda: 1, self._log)
        self.log.take = self.taken.__setitem__

    def _log(self, text, **fields):
        self.logged.append(text)


def run(coroutine):
    return asyncio.run(coroutine)


def test_what_one_gateway_notes_another_one_reads():
    async def scenario():
        store = MemoryStore(per_read=1)
        first, second = Reader(store), Reader(store)
        first.log.note(name_stream(1), make_origin(1))
        await first.log.write()
        first.log.note(name_stream(2), make_origin(2, "v2"))
        await first.log.write()
        assert await second.log.look()
        assert second.taken == {
            name_stream(1): make_origin(1),
            name_stream(2): make_origin(2, "v2"),
        }

    run(scenario())


def test_a_stream_that_is_whole_is_not_written():
    async def scenario():
        store = MemoryStore(per_read=1)
        writer = Reader(store)
        writer.log.note(name_stream(1), make_origin(1))
        writer.log.drop(name_stream(1))
        await writer.log.write()
        assert store.records == []

    run(scenario())


def test_what_the_store_did_not_take_is_written_later(monkeypatch):
    monkeypatch.setattr("robinspindle.originlog.FAILED_PAUSE_S", 0.0)

    async def scenario():
        store = MemoryStore(per_read=1)
        store.is_away = True
        writer = Reader(store)
        writer.log.note(name_stream(1), make_origin(1))
        await writer.log.write()
        assert writer.logged == ["origins not kept yet"]
        store.is_away = False
        await writer.log.write()
        (record,) = store.records
        assert len(decode(record).tells) == 1

    run(scenario())


def test_a_look_says_whether_all_was_read():
    async def scenario():
        store = MemoryStore(per_read=1)
        reader = Reader(store)
        store.is_away = True
        assert not await reader.log.look()
        store.is_away = False
        assert await reader.log.look()

    run(scenario())


def test_trimmed_and_malformed_records_are_passed_over():
    async def scenario():
        store = MemoryStore(per_read=1)
        writer, reader = Reader(store), Reader(store)
        store.records += [b"gone", b"\xc1", msgspec.msgpack.encode([[["x"]]])]
        store.first = 1
        writer.log.note(name_stream(1), make_origin(1))
        await writer.log.write()
        assert await reader.log.look()
        assert reader.taken == {name_stream(1): make_origin(1)}
        assert reader.logged == ["kept origins not believed"] * 2

    run(scenario())


def test_a_look_that_began_before_a_write_is_not_shared_with_one_after_it():
    async def scenario():
        store = MemoryStore(per_read=1)
        writer, reader = Reader(store), Reader(store)
        early = asyncio.create_task(reader.log.look())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert store.reads == 1
        writer.log.note(name_stream(1), make_origin(1))
        await writer.log.write()
        late = [asyncio.create_task(reader.log.look()) for _ in range(3)]
        await asyncio.gather(early, *late)
        assert reader.taken
        assert store.reads <= 3

    run(scenario())


def test_a_cancelled_look_leaves_the_others_theirs():
    async def scenario():
        store = MemoryStore(per_read=1)
        reader = Reader(store)
        left, stays = (asyncio.create_task(reader.log.look()) for _ in range(2))
        await asyncio.sleep(0)
        left.cancel()
        assert await stays

    run(scenario())


def test_unwritten_origins_are_bounded():
    async def scenario():
        store = MemoryStore(per_read=1)
        writer = Reader(store)
        for number in range(MOST_UNWRITTEN + 10):
            writer.log.note(name_stream(number), make_origin(number))
        await writer.log.write()
        (record,) = store.records
        tells = decode(record).tells
        assert len(tells) == MOST_IN_RECORD
        assert tells[0].key == name_stream(10)

    run(scenario())


@pytest.mark.parametrize("writers", [1, 3, 27, 420])
def test_all_relays_together_write_within_what_the_store_takes(writers):
    interval_s = find_interval(writers)
    assert interval_s >= MIN_INTERVAL_S
    assert writers / interval_s <= WRITES_PER_S + 1e-6
