"""Disaggregated prefill and KV cache transfers, through a whole gateway."""

import asyncio

from robinspindle.core import prefillmodel
from robinspindle.core.prefillmodel import PrefillSample
from tests.platform.deployment import (
    deploy,
    make_configuration,
    make_route,
    run,
    until,
)


def test_a_prompt_is_prefilled_on_another_engine_and_fetched_from_it(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            prefill_engine = await d.add("p1", "lm", "prefill")
            decode_engine = await d.add("d1", "lm", "decode")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", **prompt)
            assert reply.is_whole
            assert prefill_engine.arrivals[0].headers["x-stage"] == "prefill"
            source = decode_engine.arrivals[0].headers["x-kv-source"]
            assert source == f"{prefill_engine.server.address}/h1"

    run(scenario())


def test_cached_prompt_parts_are_fetched_from_another_engine(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            configuration = make_configuration(version=2)
            engine = configuration["Services"][1]["Engine"]
            engine |= {"KvTokenBytes": 131072, "LinkMbps": 8800000.0}
            await d.store.put("keyed.op", "config", configuration)
            await until(lambda: d.version == 2)
            prefill_engines = [
                await d.add(name, "lm", "prefill") for name in ("p1", "p2")
            ]
            decode_engine = await d.add("d1", "lm", "decode")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            assert (await d.call("/digest/x", **prompt)).is_whole
            first, second = sorted(
                prefill_engines, key=lambda r: len(r.arrivals), reverse=True
            )
            for busy in (first, decode_engine):
                d.gateway.fleet.find_engine_of(busy.lifetime).own_backlog_s[0] += 0.6
            prompt = d.prompt(parts="aa:4000,bb:4000,dd:2000", tokens=10000)
            assert (await d.call("/digest/x", id="r2", **prompt)).is_whole
            (arrival,) = second.arrivals
            holders = [first.server.address, decode_engine.server.address]
            assert arrival.headers["kv-fetch"] in holders

    run(scenario())


def test_the_decode_engine_prefills_if_the_prefill_engine_refuses(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            prefill_engine = await d.add("p1", "lm", "prefill")
            decode_engine = await d.add("d1", "lm", "decode")
            prefill_engine.behaviours.append("full")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", **prompt)
            assert reply.is_whole
            assert "x-kv-source" not in decode_engine.arrivals[0].headers

    run(scenario())


def test_a_decode_engine_that_leaves_during_prefill_gets_no_request(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            slow = make_route(
                "digest", "stream", "lm", TargetLatencyMs=20_000, TimeoutMs=30_000
            )
            await d.configure(version=2, routes=[slow])
            # The estimate for this prefill is 2 s, so the engine does not time out yet.
            prefill_model = d.gateway.fleet.paces.find("lm", True)
            for _ in range(50):
                prefillmodel.note_sample(prefill_model, PrefillSample(2000, 0, 0.4))
            prefill_engine = await d.add("p1", "lm", "prefill")
            leaving = await d.add("d1", "lm", "decode")
            for _ in range(50):
                decode_model = d.gateway.fleet.paces.find("lm", False)
                prefillmodel.note_sample(decode_model, PrefillSample(2000, 0, 0.8))
            prefill_engine.behaviours.append("held")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = asyncio.create_task(d.call("/digest/x", **prompt))
            await until(lambda: prefill_engine.arrivals)
            decode_engine = await d.add("d2", "lm", "decode")
            await d.announce(leaving, "draining")
            prefill_engine.gate.set()
            assert (await reply).is_whole
            assert not leaving.arrivals
            assert decode_engine.arrivals[0].headers["x-kv-source"].endswith("/h1")

    run(scenario())


def test_the_cache_of_a_prompt_that_is_not_needed_is_freed(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            prefill_engine = await d.add("p1", "lm", "prefill")
            decode_engine = await d.add("d1", "lm", "decode")
            decode_engine.behaviours.append("full")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", **prompt)
            assert reply.status == 503
            await until(lambda: prefill_engine.freed == ["h1"])

    run(scenario())


def test_an_engine_in_another_role_is_not_considered_replaced(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            decode_engine = await d.add("i1", "lm", "decode")
            decode_engine.behaviours.append("wrong_role")
            assert (await d.call("/chat/x", **d.prompt())).status == 503
            assert not d.gateway.directory.targets["i1"].replaced
            assert (await d.call("/chat/x", **d.prompt())).status == 200

    run(scenario())


def test_a_request_too_large_for_any_engine_is_not_lured_back(tmp_path):
    """Engines turned it away as if they were full, and it came again and again."""

    async def scenario():
        async with deploy(tmp_path) as d:
            shape = {"Slots": 8, "KvCapacityTokens": 160, "RoleSwitchS": 0}
            services = [{"Name": "push"}, {"Name": "lm", "Engine": shape}]
            await d.configure(version=2, Services=services)
            engine = await d.add("d1", "lm", "decode")
            fits, large = d.prompt(), d.prompt(parts="aa:100,bb:61", tokens=161)
            assert (await d.call("/chat/x", **fits)).status == 200
            reply = await d.call("/chat/x", **large)
            assert (reply.status, reply.body) == (503, b"too-large\n")
            assert "retry-after" not in reply.headers
            assert len(engine.arrivals) == 1

    run(scenario())
