"""Gateways that know less than the others while replicas of a new version come."""

import time

import pytest

from robinspindle.core import targets
from robinspindle.core.versionrecords import (
    ServiceVersion,
    Use,
    VersionRecord,
    encode_record,
    make_key,
)
from robinspindle.peers import has_peer_without_store
from standins.replica import USUAL_VERSION, Replica
from tests.platform.deployment import deploy, join, run, until
from tests.platform.test_streamversions import (
    OTHER_VERSION,
    add,
    begin_broken,
    is_true_refusal,
    list_versions,
    make_single,
    take_up,
)


async def give_address(d, before, id="i9", version=OTHER_VERSION):
    """Give a replica's address to one of another version, which nobody lists yet."""
    port = before.server.port
    await before.server.stop()
    after = Replica(id, "lm", "decode")
    after.software_version = version
    await after.server.start(port)
    d.replicas[id] = after
    return after


@pytest.mark.parametrize("has_others", [True, False])
def test_an_old_list_joins_no_versions_at_an_address_that_was_given_anew(
    tmp_path, has_others
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            before = await begin_broken(d)
            after = await give_address(d, before)
            if has_others:
                await add(d, USUAL_VERSION)
            for number in range(4):
                reply, _ = await take_up(d, id=f"again-{number}")
                assert is_true_refusal(reply) or reply.is_whole
                assert list_versions(reply) <= {USUAL_VERSION}
            assert all(
                request.headers["x-expect-instance"] == before.lifetime
                for request in after.arrivals
            )

    run(scenario())


def test_a_gateway_that_lost_the_store_goes_on_with_no_stream_that_nobody_knows(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            (engine,) = await add(d)
            await until(lambda: d.gateway.versions.records.noted)
            d.store.trouble = "silent"
            d.store.server.reset_all()
            version = ServiceVersion("lm", OTHER_VERSION)
            value = encode_record(VersionRecord(Use.BEGINS))
            d.store.put_silently("keyed.gateways", make_key(version), value)
            reply, asked = await take_up(d, attempt="began-elsewhere")
            assert is_true_refusal(reply)
            assert asked == []
            d.store.trouble = ""
            d.store.server.reset_all()
            reply, asked = await take_up(d, id="r3", attempt="began-elsewhere")
            assert is_true_refusal(reply)
            assert asked == []
            assert not engine.arrivals

    run(scenario())


def test_gateways_are_told_that_another_one_has_lost_the_store(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d, join(tmp_path, d) as other:
            assert not has_peer_without_store(d.gateway.peers)
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
            targets.note_store_unavailable(other.gateway.directory, now)
            await until(lambda: has_peer_without_store(d.gateway.peers))

    run(scenario())
