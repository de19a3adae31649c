import asyncio
import time

import pytest

from robinspindle.exceptions import (
    LogConflictError,
    LogUnavailableError,
    RecordsTrimmedError,
)
from robinspindle.gatewaysettings import HostPort
from robinspindle.platform.store import Store
from standins.logstore import LogStore

TOPIC = "keyed.test"


def play(scenario):
    async def run():
        standin = LogStore()
        await standin.server.start()
        store = Store(HostPort("127.0.0.1", standin.server.port), time.monotonic)
        try:
            await scenario(store, standin)
        finally:
            await standin.server.stop()

    asyncio.run(run())


def test_records_are_read_on_from_the_newest():
    async def scenario(store, standin):
        await standin.put(TOPIC, "a", b"1")
        newest = await store.read_newest(TOPIC)
        assert [(i.key, i.value) for i in newest.items] == [("a", b"1")]
        await standin.put(TOPIC, "b", b"2")
        await standin.put(TOPIC, "a", None)
        more = await store.read_from(TOPIC, newest.end, 0.0)
        assert [(i.key, i.value) for i in more.items] == [("b", b"2"), ("a", None)]
        assert (await store.read_from(TOPIC, more.end, 0.0)).items == ()

    play(scenario)


def test_a_read_brings_a_part_of_what_is_long_and_tells_what_is_left():
    async def scenario(store, standin):
        for _ in range(4):
            await standin.put(TOPIC, "a", bytes(400 << 10))
        records = await store.read_from(TOPIC, 0, 0.0)
        assert (len(records.items), records.end, records.topic_end) == (2, 2, 4)

    play(scenario)


def test_records_that_are_gone_are_an_error_of_their_own():
    async def scenario(store, standin):
        await standin.put(TOPIC, "a", b"1")
        standin.compact(TOPIC)
        with pytest.raises(RecordsTrimmedError) as caught:
            await store.read_from(TOPIC, 0, 0.0)
        assert caught.value.first == 1

    play(scenario)


def test_an_append_that_names_another_end_changes_nothing():
    async def scenario(store, standin):
        assert await store.append_keyed(TOPIC, "a", b"1", expected_end=0) == 0
        with pytest.raises(LogConflictError) as caught:
            await store.append_keyed(TOPIC, "a", b"2", expected_end=0)
        assert caught.value.end == 1
        newest = await store.read_newest(TOPIC)
        assert newest.items[0].value == b"1"

    play(scenario)


def test_a_call_that_fails_tells_how_far_its_answer_had_come():
    async def scenario(store, standin):
        await standin.put(TOPIC, "a", bytes(1000))
        standin.trouble = "stalls"
        with pytest.raises(LogUnavailableError) as caught:
            await store.read_from(TOPIC, 0, 0.0)
        assert 0 < caught.value.received < 1000
        assert store.wasted_bytes == caught.value.received
        assert store.received_bytes == 0
        standin.trouble = ""
        await store.read_from(TOPIC, 0, 0.0)
        assert store.received_bytes > 1000

    play(scenario)


@pytest.mark.parametrize("trouble", ["busy", "reset", "silent", "lost"])
def test_no_good_answer_is_one_error_whatever_the_cause(trouble):
    async def scenario(store, standin):
        standin.trouble = trouble
        with pytest.raises(LogUnavailableError):
            await store.append_keyed(TOPIC, "a", b"1")

    play(scenario)
