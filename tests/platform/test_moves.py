"""Answers move away from an engine that leaves, also where a move halts midway."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from robinspindle.core import moves
from robinspindle.core.policy import Policy
from robinspindle.zonetraffic import TrafficCause
from tests.platform import test_copies
from tests.platform.deployment import run, until
from tests.platform.test_copies import (
    ENGINE,
    PROMPT_TOKENS,
    ROUTES,
    check_broken,
    count_runs,
    deploy_engines,
)

EVENTS = 40
EVENT_S = 0.01

MOST_TOKENS = 200
"""What an answer may hold at most: by it, it would outlive an engine that leaves."""

EARLY_S = 60.0
"""A margin by which moves begin as soon as an engine says that it leaves, seconds."""

LOOKS_S = 0.3
"""Time in which a gateway finds engines that leave, seconds; no test fails by it."""

MOVES = Policy(moves_answers=True)


@pytest.fixture(autouse=True)
def begin_at_once(monkeypatch):
    """Have moves begin at once, and not as late as possible."""
    monkeypatch.setattr(moves, "MARGIN_S", EARLY_S)


@asynccontextmanager
async def deploy_moving(tmp_path, count=3, policy=MOVES, **engine):
    engine = {"Backups": False, "Moves": True} | engine
    async with deploy_engines(tmp_path, count, policy, **engine) as (d, engines):
        for each in engines:
            each.events, each.event_s = EVENTS, EVENT_S
        yield d, engines


async def begin(d, engines, path="/chat/x", id="r1"):
    """Begin a stream and hold it midway; returns its call and its engine."""
    prompt = d.prompt(out=str(MOST_TOKENS))
    call = asyncio.create_task(d.call(path, id=id, **prompt))
    await until(lambda: any(id in each.runs for each in engines))
    source = next(each for each in engines if id in each.runs)
    await until(lambda: source.runs[id].events >= 2)
    source.is_held = True
    return call, source


async def leave(d, source, steps=1):
    """Have an engine say that it leaves; it generates on after some steps of moves."""
    await d.announce(source, "draining")
    await until(lambda: len(source.moves) >= steps)
    source.is_held = False


def check_whole(reply):
    test_copies.check_whole(reply, EVENTS)


def list_others(engines, source):
    return [each for each in engines if each is not source]


def check_never_twice(engines):
    assert not any(each.overlaps for each in engines)


@pytest.mark.parametrize("path", ROUTES)
def test_answers_leave_an_engine_that_leaves_before_it_does(tmp_path, path):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines, path)
            await d.announce(source, "draining")
            check_whole(await call)
            assert not source.runs
            assert source.moves == [("r1", False), ("r1", True)]
            read = [n for each in list_others(engines, source) for n in each.read]
            assert len(read) == 1
            assert read[0] <= 1
            assert not any(each.copies for each in engines)
            check_never_twice(engines)

    run(main())


def test_several_answers_leave_one_after_the_other(tmp_path):
    async def main():
        async with deploy_moving(tmp_path, count=1) as (d, engines):
            source = engines[0]
            prompt = d.prompt(out=str(MOST_TOKENS))
            ids = [f"r{n}" for n in range(4)]
            calls = [
                asyncio.create_task(d.call("/chat/x", id=id, **prompt)) for id in ids
            ]
            await until(lambda: len(source.runs) == len(ids))
            await until(lambda: all(m.events >= 2 for m in source.runs.values()))
            source.is_held = True
            others = await add_engines(d, source, 2)
            await d.announce(source, "draining")
            for call in calls:
                check_whole(await call)
            assert source.moving_most == 1
            check_never_twice(others)

    run(main())


async def add_engines(d, source, count):
    """Add engines that did not exist when answers began."""
    added = [type(source)(f"n{n}", "lm", events=EVENTS) for n in range(count)]
    for each in added:
        await each.server.start()
        each.event_s = EVENT_S
        d.replicas[each.lifetime] = each
        await d.announce(each)
    everyone = [source, *added]
    for each in everyone:
        each.meet([other for other in everyone if other is not each])
    return added


@pytest.mark.parametrize("fault", ["refuse", "busy", "lost"])
def test_an_answer_whose_copy_fails_goes_on_where_it_is(tmp_path, fault):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines)
            source.move_faults.append(fault)
            await leave(d, source)
            check_whole(await call)
            assert source.moves == [("r1", False)]
            assert count_runs(engines) == 1

    run(main())


@pytest.mark.parametrize("fault", ["refuse", "busy", "unheard"])
def test_an_answer_that_is_not_stopped_goes_on_where_it_is(tmp_path, fault):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines)
            source.move_faults.extend(["ok", fault])
            await leave(d, source, 2)
            check_whole(await call)
            assert count_runs(engines) == 1
            await until(lambda: source.freed == ["h-r1"])
            assert not any(each.copies for each in engines)

    run(main())


STOPPED = ["lost", "source_dies", "source_dies_after", "goes_on"]
"""How the step that stops a run fails so that the run goes on at the destination."""


@pytest.mark.parametrize("fault", STOPPED)
def test_a_stopped_answer_goes_on_though_its_step_failed(tmp_path, fault):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines)
            source.move_faults.extend(["ok", fault])
            await leave(d, source, 2)
            check_whole(await call)
            assert sum(len(each.read) for each in list_others(engines, source)) == 1
            check_never_twice(engines)

    run(main())


@pytest.mark.parametrize("fault", ["stopped_without_room", "destination_dies"])
def test_a_stopped_answer_goes_on_at_its_source_if_nowhere_else(tmp_path, fault):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines)
            source.move_faults.extend(["ok", fault])
            await leave(d, source, 2)
            check_whole(await call)
            assert len(source.read) == 2
            assert source.read[1] <= 1

    run(main())


@pytest.mark.parametrize("path", ROUTES)
def test_an_answer_whose_source_dies_as_it_copies_ends_or_runs_again(tmp_path, path):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines, path)
            source.move_faults.append("source_dies")
            await leave(d, source)
            reply = await call
            if path == "/digest/x":
                check_whole(reply)
                assert count_runs(engines) == 2
                return
            check_broken(reply)
            assert count_runs(engines) == 1

    run(main())


def test_an_answer_whose_handle_lapsed_ends_and_never_runs_twice(tmp_path):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            for each in engines:
                each.hold_s = 0.0
            call, source = await begin(d, engines)
            await leave(d, source, 2)
            check_broken(await call)
            assert count_runs(engines) == 1

    run(main())


def test_a_caller_that_leaves_midway_leaves_nothing_behind(tmp_path):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call, source = await begin(d, engines)
            await d.announce(source, "draining")
            await until(lambda: source.moves)
            call.cancel()
            await until(lambda: not any(each.runs for each in engines))
            await until(lambda: not any(each.copies for each in engines))
            assert count_runs(engines) <= 2

    run(main())


def test_an_answer_that_ends_in_time_is_not_moved(tmp_path):
    async def main():
        async with deploy_moving(tmp_path) as (d, engines):
            call = asyncio.create_task(d.call("/chat/x", **d.prompt(out=str(EVENTS))))
            await until(lambda: any(each.runs for each in engines))
            source = next(each for each in engines if each.runs)
            # Forty events of 0.05 s may take the whole time of an engine that leaves.
            await until(lambda: source.runs["r1"].events >= 8)
            await d.announce(source, "draining")
            check_whole(await call)
            assert not source.moves

    run(main())


@pytest.mark.parametrize(
    ("policy", "engine"),
    [(Policy(), {}), (MOVES, {"Moves": False}), (MOVES, {"KvTokenBytes": 0})],
)
def test_nothing_is_moved_unless_it_is_offered_and_asked_for(tmp_path, policy, engine):
    async def main():
        async with deploy_moving(tmp_path, policy=policy, **engine) as (d, engines):
            call, source = await begin(d, engines)
            await d.announce(source, "draining")
            await asyncio.sleep(LOOKS_S)
            source.is_held = False
            check_whole(await call)
            assert not source.moves

    run(main())


def test_the_memory_of_an_answer_that_moves_to_another_zone_is_counted(tmp_path):
    """Guards against a charge for traffic that no count of ours tells of."""

    async def main():
        async with deploy_moving(tmp_path, count=2) as (d, engines):
            call, source = await begin(d, engines)
            (other,) = list_others(engines, source)
            await d.store.put("keyed.servers", other.lifetime, other.describe(zone="b"))
            targets = d.gateway.fleet.directory.targets
            await until(lambda: targets[other.lifetime].announced.zone == "b")
            counts = d.gateway.traffic.counts
            assert counts[TrafficCause.MEMORY] == 0
            await leave(d, source, steps=2)
            check_whole(await call)
            assert counts[TrafficCause.MEMORY] >= PROMPT_TOKENS * ENGINE["KvTokenBytes"]

    run(main())
