"""Engines of two software versions of which one is full, before one gateway."""

import re

import pytest

from standins.replica import USUAL_VERSION, Replica
from tests.platform.deployment import deploy, run

OTHER_VERSION = "v2"
SLOTS = 6
"""What engines tell of themselves."""


async def add(d, lifetime, version=USUAL_VERSION):
    """Add an engine of a software version."""
    replica = Replica(lifetime, "lm", "decode")
    replica.software_version = version
    await replica.server.start()
    d.replicas[lifetime] = replica
    await d.announce(replica)
    return replica


def fill(d, replica, requests):
    """Have another gateway have requests under way at an engine."""
    engine = d.gateway.fleet.find_engine_of(replica.lifetime)
    engine.peers_in_flight["gateway-9"] = requests
    engine.slot_hold_s = 2.0


async def begin_broken(d):
    """Have a stream break off after its first event; returns who began it."""
    await d.configure(version=2, attempts=1)
    begun = await add(d, "a1")
    begun.behaviours.append("torn")
    broken = await d.call("/digest/x", **d.prompt())
    assert (broken.is_whole, list_ids(broken)) == (False, [1])
    return begun


def list_ids(reply):
    return [int(id) for id in re.findall(rb"^id: (\d+)\n.*\n\n", reply.body, re.M)]


def test_a_stream_is_taken_up_where_it_waits_for_a_slot_but_not_too_long(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            begun = await begin_broken(d)
            for number in range(2):
                await add(d, f"b{number}", OTHER_VERSION)
            d.gateway.relay.chooser.expects_long = lambda route, service: True
            fill(d, begun, SLOTS + 4)
            resumed = {"Last-Event-Id": "1", "Resumes": "r1"}
            reply = await d.call("/digest/x", id="r2", **d.prompt(), **resumed)
            assert (reply.status, list_ids(reply)) == (200, [2, 3])
            fill(d, begun, SLOTS * 10)
            reply = await d.call("/digest/x", id="r3", **d.prompt(), **resumed)
            assert reply.status == 503

    run(scenario())


@pytest.mark.parametrize("versions", [1, 2])
def test_a_stream_that_one_version_of_several_fits_is_not_lost_behind_new_ones(
    versions, tmp_path
):
    async def scenario():
        async with deploy(tmp_path) as d:
            begun = await begin_broken(d)
            if versions > 1:
                await add(d, "b1", OTHER_VERSION)
            resumed = {"Last-Event-Id": "1", "Resumes": "r1"}
            # Its prompt is long, so that it is not urgent for being short.
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", id="r2", **prompt, **resumed)
            assert reply.status == 200
            return [r.headers["x-request-priority"] for r in begun.arrivals]

    usual, taken_up = run(scenario())
    assert (taken_up == "0") == (versions > 1)


def test_where_one_version_is_listed_a_caller_is_refused_as_before(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            begun = await begin_broken(d)
            d.gateway.relay.chooser.expects_long = lambda route, service: True
            fill(d, begun, SLOTS + 4)
            resumed = {"Last-Event-Id": "1", "Resumes": "r1"}
            reply = await d.call("/digest/x", id="r2", **d.prompt(), **resumed)
            assert reply.status == 503

    run(scenario())


def test_a_new_stream_leaves_the_last_slots_of_a_version_to_its_streams(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            engines = [await add(d, "a1")]
            assert (await d.call("/digest/x", **prompt)).is_whole
            engines.append(await add(d, "b1", OTHER_VERSION))
            # It holds the prompt, which makes it the cheaper one.
            fill(d, engines[0], SLOTS - 1)
            assert (await d.call("/digest/x", id="r2", **prompt)).is_whole
            assert [len(engine.arrivals) for engine in engines] == [1, 1]

    run(scenario())
