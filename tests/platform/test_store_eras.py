"""A store that is restored from a backup, without the records written after it.

Offsets go back and are assigned again, and only the era in the responses shows that. A
gateway that ignored the era would continue at an offset that means another record.
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
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.platform.deployment import deploy, make_configuration, run, until
from tests.platform.test_quarantine import list_stored, make_entry, put

TOPIC = "keyed.test"


async def enable_eras(store):
    """Have the store send its era from the beginning."""
    store.era = 1


def list_introduced(d):
    return [key for key in d.store._find(GATEWAYS_TOPIC).newest if "/" not in key]


def list_own_records(d):
    """List the store's records of the gateway's introduction."""
    return [r for r in d.store._find(GATEWAYS_TOPIC).records if b"gateway-1" in r]


async def restore_store(d, backup):
    d.store.return_from(backup)
    await until(lambda: d.gateway._store.era == d.store.era)


def test_an_older_configuration_of_the_backup_is_ignored(
    tmp_path,
):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            backup = d.store.take_copy()
            await d.configure(version=5)
            await d.configure(version=6)
            await restore_store(d, backup)
            assert d.version == 6
            # The offsets of the two lost versions are assigned again.
            for version in (7, 8):
                configuration = make_configuration(version)
                await d.store.put(CONFIGURATION_TOPIC, "config", configuration)
            await until(lambda: d.version == 8)

    run(main())


def test_a_removed_target_that_the_backup_contains_is_not_used(tmp_path):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            await d.add("alive")
            removed = await d.add("dead")
            backup = d.store.take_copy()
            await d.store.put(TARGETS_TOPIC, "dead", None)
            await until(lambda: "dead" not in d.gateway.directory.targets)
            await restore_store(d, backup)
            await d.add("later")
            for number in range(12):
                assert (await d.call("/safe/x", id=f"r{number}")).status == 200
            assert not removed.arrivals
            # A target that still runs is known again after its next entry.
            await d.announce(removed)

    run(main())


def test_a_target_whose_entry_is_lost_is_used_until_it_writes_it_again(tmp_path):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            backup = d.store.take_copy()
            replica = Replica("i1", "push")
            await replica.server.start()
            d.replicas["i1"] = replica
            await d.announce(replica)
            await restore_store(d, backup)
            assert (await d.call("/safe/x")).status == 200
            await d.announce(replica)
            assert (await d.call("/safe/x", id="r2")).status == 200

    run(main())


def test_a_gateway_that_the_backup_lacks_introduces_itself_again_once(tmp_path):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            await until(lambda: list_introduced(d))
            backup = d.store.take_copy()
            backup[GATEWAYS_TOPIC].newest.clear()
            backup[GATEWAYS_TOPIC].records.clear()
            await restore_store(d, backup)
            await until(lambda: list_introduced(d))
            assert len(list_own_records(d)) == 1
            await restore_store(d, d.store.take_copy())
            await until(lambda: d.gateway.peers_topic_known())
            assert len(list_own_records(d)) == 1

    run(main())


def test_a_peer_that_the_backup_lacks_is_kept_while_it_sends_datagrams(tmp_path):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            backup = d.store.take_copy()
            await d.store.put(GATEWAYS_TOPIC, "gateway-2", b"127.0.0.1:9 z 1")
            await until(lambda: "gateway-2" in d.gateway.peers.members)
            view = PeerView(heard_at=d.gateway._clock())
            d.gateway.peers.views["gateway-2"] = view
            await restore_store(d, backup)
            await until(lambda: d.gateway.peers_topic_known())
            assert "gateway-2" in d.gateway.peers.members

    run(main())


def test_the_quarantine_that_the_backup_lacks_is_written_again_once(tmp_path):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            backup = d.store.take_copy()
            await put(d.store, make_entry())
            await until(lambda: d.gateway.guard.quarantine.stored)
            await restore_store(d, backup)
            assert not list_stored(d)
            await until(lambda: list_stored(d))
            entry = make_entry()
            assert list_stored(d) == [quarantine.make_key(entry.fingerprint)]

    run(main())


def test_a_claim_of_an_earlier_era_is_not_used(tmp_path):
    async def main():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            authority = d.gateway.orderer.authority
            await until(lambda: authority.end is not None)
            claim = await d.gateway.orderer._claim()
            assert may_use(authority, claim, claim.sent_at)
            await restore_store(d, d.store.take_copy())
            await until(lambda: authority.end is not None)
            now = d.gateway._clock()
            assert not may_use(authority, claim, claim.sent_at)
            # No gateway claims while a lost claim may still be in use.
            assert not may_claim(authority, now)
            assert may_claim(authority, now + 2 * authority.lease_s)
            later = await d.gateway.orderer._claim()
            assert later.fence > claim.fence

    run(main())


def run_scenario(scenario):
    async def main():
        standin = LogStore()
        await standin.server.start()
        store = Store(HostPort(LOOPBACK, standin.server.port), time.monotonic)
        reported_eras = []
        store.note_era = reported_eras.append
        try:
            await scenario(store, standin, reported_eras)
        finally:
            await standin.server.stop()

    run(main())


def test_a_new_era_is_reported_except_for_the_first():
    async def scenario(store, standin, reported_eras):
        standin.era = 3
        await store.read_newest(TOPIC)
        await store.read_newest(TOPIC)
        assert (store.era, reported_eras) == (3, [])
        standin.era = 4
        with pytest.raises(EraChangedError):
            await store.read_newest(TOPIC)
        assert (store.era, reported_eras) == (4, [4])
        await store.read_newest(TOPIC)

    run_scenario(scenario)


def test_a_late_response_of_an_older_era_changes_nothing():
    async def scenario(store, standin, reported_eras):
        standin.era = 3
        await store.read_newest(TOPIC)
        standin.era = 2
        with pytest.raises(LogUnavailableError):
            await store.read_newest(TOPIC)
        assert (store.era, reported_eras) == (3, [])

    run_scenario(scenario)


def test_a_conditional_append_of_the_previous_era_raises_an_error():
    async def scenario(store, standin, reported_eras):
        standin.era = 3
        offset = await store.append_keyed(TOPIC, "a", b"1")
        standin.era = 4
        with pytest.raises(EraChangedError):
            await store.append_keyed(TOPIC, "a", b"2", expected_end=offset + 1)
        assert reported_eras == [4]

    run_scenario(scenario)


@pytest.mark.parametrize("era", ["", "one", "-1", "9" * 40])
def test_an_invalid_era_is_counted_and_changes_nothing(era):
    async def scenario(store, standin, reported_eras):
        standin.era = 3
        await store.read_newest(TOPIC)
        standin.era = era
        await store.read_newest(TOPIC)
        assert (store.era, reported_eras, store.unreadable_eras) == (3, [], 1)

    run_scenario(scenario)
