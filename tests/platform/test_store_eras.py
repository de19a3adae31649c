"""A store that returns from a copy: what it acknowledged since is gone.

Offsets go back and are given out again, and only the era in its answers tells. Before
it was looked at, a gateway went on reading from an offset that meant something else.
"""

import time

import pytest

from robinspindle.core import quarantine
from robinspindle.core.authority import may_claim, may_use
from robinspindle.core.peerdigests import PeerView
from robinspindle.exceptions import EraChangedError, LogUnavailableError
from robinspindle.gatewaysettings import HostPort
from robinspindle.platform.store import (
    CONFIGURATION_TOPIC,
    GATEWAYS_TOPIC,
    TARGETS_TOPIC,
    Store,
)
from standins.logstore import LogStore
from standins.replica import Replica
from tests.platform.deployment import deploy, make_configuration, run, until
from tests.platform.test_quarantine import list_stored, make_entry, put

TOPIC = "keyed.test"


async def tell_eras(store):
    """Have the store tell its era from the beginning."""
    store.era = 1


def list_introduced(d):
    return [key for key in d.store._find(GATEWAYS_TOPIC).newest if "/" not in key]


def list_own_records(d):
    """List the introductions of the gateway that the store has records of."""
    return [r for r in d.store._find(GATEWAYS_TOPIC).records if b"gateway-1" in r]


async def begin_era(d, copied):
    d.store.return_from(copied)
    await until(lambda: d.gateway._store.era == d.store.era)


def test_an_older_configuration_of_the_copy_is_passed_over_and_newer_ones_are_read(
    tmp_path,
):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            copied = d.store.take_copy()
            await d.configure(version=5)
            await d.configure(version=6)
            await begin_era(d, copied)
            assert d.version == 6
            # The offsets of the two that are lost are given out again.
            for version in (7, 8):
                configuration = make_configuration(version)
                await d.store.put(CONFIGURATION_TOPIC, "config", configuration)
            await until(lambda: d.version == 8)

    run(play())


def test_a_target_that_the_copy_brings_back_from_the_dead_is_not_used(tmp_path):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            await d.add("alive")
            dead = await d.add("dead")
            copied = d.store.take_copy()
            await d.store.put(TARGETS_TOPIC, "dead", None)
            await until(lambda: "dead" not in d.gateway.directory.targets)
            await begin_era(d, copied)
            await d.add("later")
            for number in range(12):
                assert (await d.call("/safe/x", id=f"r{number}")).status == 200
            assert not dead.arrivals
            # One that lives after all says so with its next entry.
            await d.announce(dead)

    run(play())


def test_a_target_whose_entry_is_lost_serves_on_until_it_writes_it_again(tmp_path):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            copied = d.store.take_copy()
            replica = Replica("i1", "push")
            await replica.server.start()
            d.replicas["i1"] = replica
            await d.announce(replica)
            await begin_era(d, copied)
            assert (await d.call("/safe/x")).status == 200
            await d.announce(replica)
            assert (await d.call("/safe/x", id="r2")).status == 200

    run(play())


def test_a_gateway_that_the_copy_lacks_introduces_itself_again_once(tmp_path):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            await until(lambda: list_introduced(d))
            copied = d.store.take_copy()
            copied[GATEWAYS_TOPIC].newest.clear()
            copied[GATEWAYS_TOPIC].records.clear()
            await begin_era(d, copied)
            await until(lambda: list_introduced(d))
            assert len(list_own_records(d)) == 1
            await begin_era(d, d.store.take_copy())
            await until(lambda: d.gateway.peers_topic_known())
            assert len(list_own_records(d)) == 1

    run(play())


def test_a_peer_that_the_copy_lacks_is_not_forgotten_while_it_is_heard(tmp_path):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            copied = d.store.take_copy()
            await d.store.put(GATEWAYS_TOPIC, "gateway-2", b"127.0.0.1:9 z 1")
            await until(lambda: "gateway-2" in d.gateway.peers.members)
            view = PeerView(heard_at=d.gateway._clock())
            d.gateway.peers.views["gateway-2"] = view
            await begin_era(d, copied)
            await until(lambda: d.gateway.peers_topic_known())
            assert "gateway-2" in d.gateway.peers.members

    run(play())


def test_the_quarantine_that_the_copy_lacks_is_written_again_once(tmp_path):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            copied = d.store.take_copy()
            await put(d.store, make_entry())
            await until(lambda: d.gateway.guard.quarantine.stored)
            await begin_era(d, copied)
            assert not list_stored(d)
            await until(lambda: list_stored(d))
            entry = make_entry()
            assert list_stored(d) == [quarantine.make_key(entry.fingerprint)]

    run(play())


def test_a_claim_of_an_era_that_is_gone_orders_nothing(tmp_path):
    async def play():
        async with deploy(tmp_path, prepare=tell_eras) as d:
            authority = d.gateway.orderer.authority
            await until(lambda: authority.end is not None)
            claim = await d.gateway.orderer._claim()
            assert may_use(authority, claim, claim.sent_at)
            await begin_era(d, d.store.take_copy())
            await until(lambda: authority.end is not None)
            now = d.gateway._clock()
            assert not may_use(authority, claim, claim.sent_at)
            # Nor does anybody claim while one that is gone may still be in use.
            assert not may_claim(authority, now)
            assert may_claim(authority, now + 2 * authority.lease_s)
            later = await d.gateway.orderer._claim()
            assert later.fence > claim.fence

    run(play())


def play_store(scenario):
    async def play():
        standin = LogStore()
        await standin.server.start()
        store = Store(HostPort("127.0.0.1", standin.server.port), time.monotonic)
        told = []
        store.note_era = told.append
        try:
            await scenario(store, standin, told)
        finally:
            await standin.server.stop()

    run(play())


def test_the_first_era_is_no_news_and_a_later_one_is():
    async def scenario(store, standin, told):
        standin.era = 3
        await store.read_newest(TOPIC)
        await store.read_newest(TOPIC)
        assert (store.era, told) == (3, [])
        standin.era = 4
        with pytest.raises(EraChangedError):
            await store.read_newest(TOPIC)
        assert (store.era, told) == (4, [4])
        await store.read_newest(TOPIC)

    play_store(scenario)


def test_a_late_answer_of_an_older_era_changes_nothing():
    async def scenario(store, standin, told):
        standin.era = 3
        await store.read_newest(TOPIC)
        standin.era = 2
        with pytest.raises(LogUnavailableError):
            await store.read_newest(TOPIC)
        assert (store.era, told) == (3, [])

    play_store(scenario)


def test_an_append_on_a_condition_of_the_era_before_is_not_believed():
    async def scenario(store, standin, told):
        standin.era = 3
        offset = await store.append_keyed(TOPIC, "a", b"1")
        standin.era = 4
        with pytest.raises(EraChangedError):
            await store.append_keyed(TOPIC, "a", b"2", expected_end=offset + 1)
        assert told == [4]

    play_store(scenario)


@pytest.mark.parametrize("era", ["", "one", "-1", "9" * 40])
def test_an_era_that_cannot_be_read_is_counted_and_changes_nothing(era):
    async def scenario(store, standin, told):
        standin.era = 3
        await store.read_newest(TOPIC)
        standin.era = era
        await store.read_newest(TOPIC)
        assert (store.era, told, store.unreadable_eras) == (3, [], 1)

    play_store(scenario)
