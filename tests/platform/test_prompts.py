"""Prompts that are read apart, or fetched from caches, through a whole gateway."""

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


def test_a_prompt_is_read_apart_and_fetched_by_the_engine_that_generates(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            reader = await d.add("p1", "lm", "prefill")
            host = await d.add("d1", "lm", "decode")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", **prompt)
            assert reply.is_whole
            assert reader.arrivals[0].headers["x-stage"] == "prefill"
            source = host.arrivals[0].headers["x-kv-source"]
            assert source == f"{reader.server.address}/h1"

    run(play())


def test_what_another_engine_holds_of_a_prompt_is_fetched_from_its_cache(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            configuration = make_configuration(version=2)
            engine = configuration["Services"][1]["Engine"]
            engine |= {"KvTokenBytes": 131072, "LinkMbps": 8800000.0}
            await d.store.put("keyed.op", "config", configuration)
            await until(lambda: d.version == 2)
            readers = [await d.add(name, "lm", "prefill") for name in ("p1", "p2")]
            host = await d.add("d1", "lm", "decode")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            assert (await d.call("/digest/x", **prompt)).is_whole
            first, second = sorted(readers, key=lambda r: len(r.arrivals), reverse=True)
            for busy in (first, host):
                d.gateway.fleet.find_engine_of(busy.lifetime).own_backlog_s[0] += 0.6
            prompt = d.prompt(parts="aa:4000,bb:4000,dd:2000", tokens=10000)
            assert (await d.call("/digest/x", id="r2", **prompt)).is_whole
            (arrival,) = second.arrivals
            holders = [first.server.address, host.server.address]
            assert arrival.headers["kv-fetch"] in holders

    run(play())


def test_a_prompt_that_could_not_be_read_apart_is_read_where_it_is_answered(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            reader = await d.add("p1", "lm", "prefill")
            host = await d.add("d1", "lm", "decode")
            reader.behaviours.append("full")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", **prompt)
            assert reply.is_whole
            assert "x-kv-source" not in host.arrivals[0].headers

    run(play())


def test_a_host_that_leaves_while_a_prompt_is_read_gets_no_answer_to_generate(
    tmp_path,
):
    async def play():
        async with deploy(tmp_path) as d:
            slow = make_route(
                "digest", "stream", "lm", TargetLatencyMs=20_000, TimeoutMs=30_000
            )
            await d.configure(version=2, routes=[slow])
            # Readings take 2 s, so the reader's silence is none yet.
            pace = d.gateway.fleet.find_pace("lm", True)
            for _ in range(50):
                prefillmodel.note_sample(pace, PrefillSample(2000, 0, 0.4))
            reader = await d.add("p1", "lm", "prefill")
            leaving = await d.add("d1", "lm", "decode")
            for _ in range(50):
                host_pace = d.gateway.fleet.find_pace("lm", False)
                prefillmodel.note_sample(host_pace, PrefillSample(2000, 0, 0.8))
            reader.behaviours.append("held")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = asyncio.create_task(d.call("/digest/x", **prompt))
            await until(lambda: reader.arrivals)
            host = await d.add("d2", "lm", "decode")
            await d.announce(leaving, "draining")
            reader.gate.set()
            assert (await reply).is_whole
            assert not leaving.arrivals
            assert host.arrivals[0].headers["x-kv-source"].endswith("/h1")

    run(play())


def test_a_prompt_that_was_read_and_is_not_needed_is_freed(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            reader = await d.add("p1", "lm", "prefill")
            host = await d.add("d1", "lm", "decode")
            host.behaviours.append("full")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            reply = await d.call("/digest/x", **prompt)
            assert reply.status == 503
            await until(lambda: reader.freed == ["h1"])

    run(play())


def test_an_engine_in_another_role_is_not_taken_as_replaced(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            host = await d.add("i1", "lm", "decode")
            host.behaviours.append("wrong_role")
            assert (await d.call("/chat/x", **d.prompt())).status == 503
            assert not d.gateway.directory.targets["i1"].replaced
            assert (await d.call("/chat/x", **d.prompt())).status == 200

    run(play())
