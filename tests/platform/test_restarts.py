"""Targets that restart under the same id, and entries from other programs."""

import asyncio
import json

import pytest

from robinspindle.core.forwarding import Part
from standins.replica import Replica
from tests.platform.deployment import deploy, run, until

GARBAGE = [
    b"\xff\xfe\x00",
    b"[" * 5000,
    b"{}",
    b"x" * 50_000,
    json.dumps({"Service": "lm", "Address": 5, "State": "ready"}).encode(),
]


async def start_lifetime(d, id, born_ms, service="lm", role="decode"):
    """Start a new lifetime of a target, at a new address."""
    replica = Replica(id, service, role)
    replica.born_ms = born_ms
    await replica.server.start()
    d.replicas[f"{id}@{born_ms}"] = replica
    await d.store.put("keyed.servers", id, replica.describe())
    await until(lambda: f"{id}@{born_ms}" in d.gateway.directory.targets)
    return replica


def list_usable(d, service="lm"):
    now = d.gateway._clock()
    found = d.gateway.fleet.list_usable(service, now, set())
    return sorted(target.announced.lifetime for target in found)


def test_a_new_lifetime_is_used_instead_of_the_previous_one(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5)
            assert (await d.call("/chat/x", **d.prompt())).is_whole
            now = await start_lifetime(d, "i1", 6)
            assert (await d.call("/chat/x", id="r2", **d.prompt())).is_whole
            assert [len(before.arrivals), len(now.arrivals)] == [1, 1]
            # On the wire, a target is named by its id alone.
            assert now.arrivals[0].headers["x-expect-instance"] == "i1"

    run(scenario())


def test_a_new_lifetime_is_assumed_to_have_an_empty_cache(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await start_lifetime(d, "i1", 5)
            await d.call("/chat/x", **d.prompt())
            fleet = d.gateway.fleet
            assert "aa" in fleet.find_engine_of("i1@5").cached
            await start_lifetime(d, "i1", 6)
            engine = fleet.find_engine_of("i1@6")
            assert not engine.cached
            assert engine.backlog_s == 0.0

    run(scenario())


def test_a_stream_resumes_elsewhere_after_its_target_has_restarted(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5)
            before.behaviours.append("held")
            task = asyncio.create_task(d.call("/digest/x", **d.prompt()))
            await until(lambda: before.arrivals)
            now = await start_lifetime(d, "i1", 6)
            assert (await task).is_whole
            assert len(now.arrivals) == 1

    run(scenario())


def test_an_at_most_once_request_fails_after_its_target_has_restarted(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5, "push", "")
            before.behaviours.append("held")
            task = asyncio.create_task(d.call("/once/x"))
            await until(lambda: before.arrivals)
            now = await start_lifetime(d, "i1", 6, "push", "")
            reply = await task
            assert reply.status == 502
            assert not now.arrivals

    run(scenario())


def test_a_late_entry_of_the_previous_lifetime_is_ignored(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5)
            await start_lifetime(d, "i1", 6)
            await d.store.put("keyed.servers", "i1", before.describe())
            await start_lifetime(d, "i2", 1)
            assert list_usable(d) == ["i1@6", "i2@1"]
            assert d.gateway._entries.reasons == {"i1": "its start went back"}

    run(scenario())


def test_peer_reports_on_an_unknown_lifetime_do_not_affect_the_known_one(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await start_lifetime(d, "i1", 5)
            fleet = d.gateway.fleet
            assert fleet.find_engine_of("i1@6") is None
            assert fleet.note_reported_silent(["i1@6"], d.gateway._clock()) == []
            fleet.note_switching("i1@6", "prefill", d.gateway._clock())
            assert list_usable(d) == ["i1@5"]
            fleet.find_engine_of("i1@5").cached["aa"] = Part("aa", 5).tokens
            await start_lifetime(d, "i1", 6)
            assert not fleet.find_engine_of("i1@6").cached

    run(scenario())


@pytest.mark.parametrize("garbage", GARBAGE, ids=range(len(GARBAGE)))
def test_invalid_entries_are_ignored_and_other_targets_stay(tmp_path, garbage):
    async def scenario():
        async with deploy(tmp_path) as d:
            await start_lifetime(d, "i1", 5)
            for _ in range(2):
                await d.store.put("keyed.servers", "other", garbage)
            await d.store.put("keyed.servers", b"\xff\xff", b"x")
            await start_lifetime(d, "i2", 5)
            assert list_usable(d) == ["i1@5", "i2@5"]
            assert list(d.gateway._entries.reasons) == ["other"]
            assert (await d.call("/chat/x", **d.prompt())).is_whole

    run(scenario())


def test_a_gateway_serves_requests_if_an_entry_is_invalid_at_its_start(tmp_path):
    async def prepare(store):
        await store.put("keyed.servers", "other", GARBAGE[0])

    async def scenario():
        async with deploy(tmp_path, prepare=prepare) as d:
            await start_lifetime(d, "i1", 5)
            assert (await d.call("/chat/x", **d.prompt())).is_whole

    run(scenario())


def test_running_requests_end_normally_if_an_entry_becomes_invalid(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await start_lifetime(d, "i1", 5)
            replica.behaviours.append("held")
            task = asyncio.create_task(d.call("/chat/x", **d.prompt()))
            await until(lambda: replica.arrivals)
            await d.store.put("keyed.servers", "i1", b"?")
            await until(lambda: list_usable(d) == [])
            assert (await d.call("/chat/x", id="r2", **d.prompt())).status == 503
            replica.gate.set()
            assert (await task).is_whole
            await d.store.put("keyed.servers", "i1", replica.describe())
            await until(lambda: list_usable(d) == ["i1@5"])

    run(scenario())


def test_an_engine_without_a_role_is_not_used_beside_others(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await start_lifetime(d, "i1", 5)
            await start_lifetime(d, "i2", 5, role="")
            assert list_usable(d) == ["i1@5"]

    run(scenario())
