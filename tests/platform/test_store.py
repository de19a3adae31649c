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
from standins.rawhttp import LOOPBACK

TOPIC = "keyed.test"


def run_scenario(scenario):
    async def run():
        standin = LogStore()
        await standin.server.start()
        store = Store(HostPort(LOOPBACK, standin.server.port), time.monotonic)
        try:
            await scenario(store, standin)
        finally:
            await standin.server.stop()

    asyncio.run(run())


def test_reading_continues_after_the_newest_records():
    async def scenario(store, standin):
        await standin.put(TOPIC, "a", b"1")
        newest = await store.read_newest(TOPIC)
        assert [(i.key, i.value) for i in newest.items] == [("a", b"1")]
        await standin.put(TOPIC, "b", b"2")
        await standin.put(TOPIC, "a", None)
        more = await store.read_from(TOPIC, newest.end, 0.0)
        assert [(i.key, i.value) for i in more.items] == [("b", b"2"), ("a", None)]
        assert (await store.read_from(TOPIC, more.end, 0.0)).items == ()

    run_scenario(scenario)


def test_a_read_is_limited_in_size_and_gives_the_end_of_the_topic():
    async def scenario(store, standin):
        for _ in range(4):
            await standin.put(TOPIC, "a", bytes(400 << 10))
        records = await store.read_from(TOPIC, 0, 0.0)
        assert (len(records.items), records.end, records.topic_end) == (2, 2, 4)

    run_scenario(scenario)


def test_trimmed_records_raise_their_own_error():
    async def scenario(store, standin):
        await standin.put(TOPIC, "a", b"1")
        standin.compact(TOPIC)
        with pytest.raises(RecordsTrimmedError) as caught:
            await store.read_from(TOPIC, 0, 0.0)
        assert caught.value.first == 1

    run_scenario(scenario)


def test_an_append_with_a_wrong_expected_end_changes_nothing():
    async def scenario(store, standin):
        assert await store.append_keyed(TOPIC, "a", b"1", expected_end=0) == 0
        with pytest.raises(LogConflictError) as caught:
            await store.append_keyed(TOPIC, "a", b"2", expected_end=0)
        assert caught.value.end == 1
        newest = await store.read_newest(TOPIC)
        assert newest.items[0].value == b"1"

    run_scenario(scenario)


def test_a_failed_call_gives_the_number_of_received_bytes():
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

    run_scenario(scenario)


@pytest.mark.parametrize("trouble", ["busy", "reset", "silent", "lost"])
def test_every_failed_call_raises_the_same_error(trouble):
    async def scenario(store, standin):
        standin.trouble = trouble
        with pytest.raises(LogUnavailableError):
            await store.append_keyed(TOPIC, "a", b"1")

    run_scenario(scenario)
