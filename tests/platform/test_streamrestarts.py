"""Streams go on although no gateway lives that knew of them."""

import asyncio

import pytest

from standins.replica import USUAL_VERSION
from tests.platform.deployment import deploy, restart_all, run, until
from tests.platform.test_streamversions import (
    OTHER_VERSION,
    OTHERS,
    add,
    list_ids,
    list_versions,
    make_single,
    take_up,
)

NOTED_S = 1.0
"""How long a stream has run before the gateways die, seconds."""


async def break_stream(d, version, id="r1"):
    """Have a stream of a version break off after its first event."""
    replicas = d.replicas.values()
    for replica in replicas:
        replica.behaviours.append("torn" if is_of(replica, version) else "full")
    reply = await d.call("/digest/x", id=id, **d.prompt())
    assert list_ids(reply) == [1]
    for replica in replicas:
        replica.behaviours.clear()


def is_of(replica, version):
    return replica.software_version == version


async def until_recorded(d, versions):
    """Wait until so many versions have records: before that they begin no streams."""
    await until(lambda: len(d.gateway.versions.records.noted) == versions)


@pytest.mark.parametrize("version", [USUAL_VERSION, OTHER_VERSION])
def test_no_stream_is_lost_with_all_gateways_while_two_versions_serve(
    tmp_path, version
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await add(d, USUAL_VERSION)
            await add(d, OTHER_VERSION)
            await until_recorded(d, 2)
            await break_stream(d, version)
            await asyncio.sleep(NOTED_S)
            async with restart_all(tmp_path, d) as restarted:
                await add(restarted, USUAL_VERSION, OTHERS)
                await add(restarted, OTHER_VERSION, OTHERS)
                reply, _ = await take_up(restarted)
                assert reply.is_whole
                assert list_ids(reply) == [2, 3]
                assert list_versions(reply) == {version}

    run(scenario())


def test_no_stream_is_lost_with_the_store_s_last_records_and_then_all_gateways(
    tmp_path,
):
    async def enable_eras(store):
        store.era = 1

    async def scenario():
        async with deploy(tmp_path, prepare=enable_eras) as d:
            await make_single(d)
            await add(d, USUAL_VERSION)
            await add(d, OTHER_VERSION)
            await until_recorded(d, 2)
            backup = d.store.take_copy()
            await break_stream(d, USUAL_VERSION)
            await asyncio.sleep(NOTED_S)
            d.store.return_from(backup)
            await until(lambda: d.gateway._store.era == d.store.era)
            await asyncio.sleep(NOTED_S)
            async with restart_all(tmp_path, d) as restarted:
                await add(restarted, USUAL_VERSION, OTHERS)
                await add(restarted, OTHER_VERSION, OTHERS)
                reply, _ = await take_up(restarted)
                assert reply.is_whole
                assert list_versions(reply) == {USUAL_VERSION}

    run(scenario())


def test_a_restarted_gateway_knows_streams_before_they_are_taken_up(tmp_path):
    """Guards against take-ups that time out where a busy gateway asks for origins."""

    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await add(d, USUAL_VERSION)
            await add(d, OTHER_VERSION)
            await until(lambda: len(d.gateway.versions.records.noted) == 2)
            await break_stream(d, USUAL_VERSION)
            await asyncio.sleep(NOTED_S)
            async with restart_all(tmp_path, d) as restarted:
                streams = restarted.gateway.streams
                await until(lambda: streams.table.entries)
                reply, _ = await take_up(restarted)
                assert reply.is_whole
                assert (streams.counts.asked, streams.counts.looked_up) == (0, 0)

    run(scenario())


@pytest.mark.parametrize("attempt", [None, "r1"])
def test_no_stream_is_lost_with_all_gateways_while_one_version_serves(
    tmp_path, attempt
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await add(d)
            await break_stream(d, USUAL_VERSION)
            async with restart_all(tmp_path, d) as restarted:
                reply, _ = await take_up(restarted, attempt=attempt)
                assert reply.is_whole
                assert list_ids(reply) == [2, 3]

    run(scenario())
