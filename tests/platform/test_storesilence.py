"""Connections to the store that go silent for good while new ones work."""

import asyncio
import random
import time

import pytest

from robinspindle.core.storepolls import LATE_S
from robinspindle.exceptions import LogUnavailableError
from robinspindle.gatewaysettings import HostPort
from robinspindle.platform.store import CALL_TIMEOUT_S, Store
from soak.proxy import Proxy
from standins.logstore import LogStore
from standins.rawhttp import LOOPBACK

TOPIC = "keyed.test"
HOLD_S = 0.3

BEGUN_S = 0.2
"""Time until the head of an answer in pieces has come and its end has not, seconds."""


def run_scenario(scenario):
    async def run():
        standin = LogStore()
        await standin.server.start()
        link = Proxy(standin.server.port)
        await link.start()
        store = Store(HostPort(LOOPBACK, link.port), time.monotonic)
        store.silent = []
        store.note_silent = store.silent.append
        try:
            await scenario(store, standin, link)
        finally:
            await link.stop()
            await standin.server.stop()

    asyncio.run(run())


def silence(link):
    return link.silence(random.Random(0))


def test_a_poll_whose_connection_went_silent_is_made_again_on_a_new_one():
    async def scenario(store, standin, link):
        await store.read_from(TOPIC, 0, 0.0)
        polls = [asyncio.create_task(store.read_from(TOPIC, 0, HOLD_S))]
        # A second connection, which is idle as it goes silent.
        await asyncio.sleep(0.05)
        await store.read_from("keyed.other", 0, 0.0)
        assert silence(link) == 2
        await standin.put(TOPIC, "a", b"1")
        async with asyncio.timeout(HOLD_S + LATE_S + CALL_TIMEOUT_S / 2):
            records = await polls[0]
        assert [item.key for item in records.items] == ["a"]
        assert store.silent == [TOPIC]
        assert store.calls == 4

    run_scenario(scenario)


def test_a_poll_that_is_answered_in_time_is_made_once():
    async def scenario(store, standin, link):
        for _ in range(3):
            await store.read_from(TOPIC, 0, HOLD_S)
        assert (store.calls, store.silent) == (3, [])

    run_scenario(scenario)


def test_an_answer_on_its_way_is_waited_for():
    """A large configuration takes long over a slow link."""

    async def scenario(store, standin, link):
        standin.pieces = 20
        poll = asyncio.create_task(store.read_from(TOPIC, 0, HOLD_S))
        await asyncio.sleep(HOLD_S - BEGUN_S)
        await standin.put(TOPIC, "a", bytes(100_000))
        assert len((await poll).items) == 1
        assert (store.calls, store.silent) == (1, [])

    run_scenario(scenario)


def test_a_poll_of_a_store_that_is_away_fails_and_says_so():
    async def scenario(store, standin, link):
        await store.read_from(TOPIC, 0, 0.0)
        standin.trouble = "silent"
        with pytest.raises(LogUnavailableError):
            await store.read_from(TOPIC, 0, HOLD_S)
        assert store.silent == []

    run_scenario(scenario)


def test_a_call_in_vain_drops_idle_connections():
    """The next call would wait in vain on each of them."""

    async def scenario(store, standin, link):
        held = asyncio.create_task(store.read_from("keyed.other", 0, 0.05))
        await store.read_from(TOPIC, 0, 0.0)
        await held
        assert silence(link) == 2
        with pytest.raises(LogUnavailableError):
            await store.read_newest(TOPIC)
        async with asyncio.timeout(CALL_TIMEOUT_S / 2):
            await store.read_newest(TOPIC)

    run_scenario(scenario)
