"""Answers go on from a copy of their KV cache after their engine was lost."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from robinspindle.core.policy import Policy
from standins.movingengine import MovingEngine
from tests.platform.deployment import SERVICES, deploy, run, until

EVENTS = 8
PROMPT_TOKENS = 160

ENGINE = {
    "Slots": 8,
    "KvCapacityTokens": 100_000,
    "RoleSwitchS": 0,
    "KvHoldS": 0.5,
    "KvTokenBytes": 100,
    "LinkMbps": 100_000,
    "Backups": True,
}

ROUTES = ["/chat/x", "/digest/x"]
"""Streams that may not run again, and streams that may be resumed."""


def make_services(**more):
    engine = {"Name": "lm", "MaxConnections": 100, "Engine": ENGINE | more}
    return [SERVICES[0], engine]


@asynccontextmanager
async def deploy_engines(tmp_path, count=3, policy=None, **engine):
    """Run a gateway and engines that copy their answers to one another."""
    async with deploy(tmp_path) as d:
        policy = policy or Policy(copies_answers=True)
        settings = replace(d.gateway.settings, policy=policy)
        d.reread = lambda: settings
        await until(lambda: d.gateway.settings.policy == policy)
        await d.configure(version=2, Services=make_services(**engine))
        engines = [MovingEngine(f"e{n}", "lm", events=EVENTS) for n in range(count)]
        for each in engines:
            await each.server.start()
            d.replicas[each.lifetime] = each
            await d.announce(each)
        for each in engines:
            each.meet([other for other in engines if other is not each])
        yield d, engines


async def begin(d, engines, path):
    """Begin a stream and hold its engine midway.

    Returns:
        Its call, the engine that runs it, and the one that keeps its copy.
    """
    call = asyncio.create_task(d.call(path, **d.prompt(out=str(EVENTS))))
    await until(lambda: any(each.holds("r1") for each in engines))
    source = next(each for each in engines if "r1" in each.runs)
    keeper = next(each for each in engines if each.holds("r1"))
    await until(lambda: source.runs["r1"].events >= 2)
    source.is_held = True
    return call, source, keeper


def list_events(reply):
    """List the ids of the events that a caller got."""
    lines = reply.body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def check_whole(reply, events=EVENTS):
    assert reply.is_whole
    assert list_events(reply) == list(range(1, events + 1))


def check_broken(reply):
    """Check that an answer truly ended: not whole, without a gap or a repetition."""
    events = list_events(reply)
    assert not reply.is_whole
    assert events == list(range(1, len(events) + 1))


def count_runs(engines):
    return sum(len(each.read) for each in engines)


@pytest.mark.parametrize("path", ROUTES)
def test_an_answer_whose_engine_crashes_goes_on_without_reading_its_prompt(
    tmp_path, path
):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, path)
            await source.crash()
            check_whole(await call)
            assert count_runs(engines) == 2
            assert keeper.read[0] <= 1
            assert not keeper.overlaps
            assert not any(each.copies for each in engines)

    run(main())


def test_a_copy_that_is_behind_is_completed_by_reading_the_rest_only(tmp_path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            for each in engines:
                each.copy_lag = 2
            call, source, keeper = await begin(d, engines, "/chat/x")
            await source.crash()
            check_whole(await call)
            assert 1 <= keeper.read[0] <= 3

    run(main())


@pytest.mark.parametrize("path", ROUTES)
def test_an_answer_without_a_copy_runs_again_only_where_it_may(tmp_path, path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, path)
            keeper.copies.clear()
            keeper.meet([])
            source.meet([])
            keeper.keep_copy = lambda id, memory: None
            await source.crash()
            reply = await call
            if path == "/digest/x":
                check_whole(reply)
                assert count_runs(engines) == 2
                return
            check_broken(reply)
            assert count_runs(engines) == 1

    run(main())


HALVES = ["reset", "torn_at_once", "garbage", "full", "error"]
"""How the engine that has the copy fails as the answer is to go on there."""


@pytest.mark.parametrize("half", HALVES)
def test_an_answer_that_may_not_run_again_ends_with_its_copy(tmp_path, half):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            keeper.behaviours.append(half)
            await source.crash()
            check_broken(await call)
            assert count_runs(engines) == 1

    run(main())


def test_a_copy_whose_engine_is_lost_too_serves_nobody(tmp_path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            await keeper.crash()
            await source.crash()
            check_broken(await call)
            assert count_runs(engines) == 1

    run(main())


def test_an_answer_whose_second_engine_is_lost_too_ends(tmp_path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            await source.crash()
            await until(lambda: "r1" in keeper.runs)
            await keeper.crash()
            check_broken(await call)
            assert count_runs(engines) == 2

    run(main())


def test_an_engine_that_lives_on_behind_a_broken_connection_stops(tmp_path):
    """Guards against an answer that two engines generate."""

    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            source.server.reset_all()
            check_whole(await call)
            assert "r1" not in source.runs
            assert not keeper.overlaps

    run(main())


def test_a_caller_that_leaves_leaves_nothing_behind(tmp_path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            call.cancel()
            await until(lambda: not source.runs)
            await until(lambda: not keeper.copies)
            assert count_runs(engines) == 1

    run(main())


def test_an_answer_goes_on_from_its_copy_while_its_gateway_ends(tmp_path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            closing = asyncio.create_task(d.gateway.close())
            await source.crash()
            check_whole(await call)
            await closing
            assert not keeper.overlaps

    run(main())


def test_a_copy_at_an_engine_that_leaves_meanwhile_is_not_used(tmp_path):
    async def main():
        async with deploy_engines(tmp_path) as (d, engines):
            call, source, keeper = await begin(d, engines, "/chat/x")
            await d.announce(keeper, "draining")
            await source.crash()
            check_broken(await call)
            assert count_runs(engines) == 1

    run(main())


@pytest.mark.parametrize(
    ("policy", "engine"),
    [(Policy(), {}), (None, {"Backups": False}), (None, {"LinkMbps": 0})],
)
def test_nothing_is_copied_unless_it_is_offered_and_asked_for(tmp_path, policy, engine):
    async def main():
        async with deploy_engines(tmp_path, policy=policy, **engine) as (d, engines):
            check_whole(await d.call("/chat/x", **d.prompt(out=str(EVENTS))))
            arrivals = [each for engine in engines for each in engine.arrivals]
            assert all("x-kv-backup" not in each.headers for each in arrivals)

    run(main())


def test_engines_of_another_software_version_get_no_copy(tmp_path):
    async def main():
        async with deploy_engines(tmp_path, count=2) as (d, engines):
            engines[1].software_version = "v2"
            await d.announce(engines[1])
            targets = d.gateway.directory.targets
            await until(lambda: targets["e1"].announced.software_version == "v2")
            check_whole(await d.call("/chat/x", **d.prompt(out=str(EVENTS))))
            arrivals = [each for engine in engines for each in engine.arrivals]
            assert all("x-kv-backup" not in each.headers for each in arrivals)

    run(main())
