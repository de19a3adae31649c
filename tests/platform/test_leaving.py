"""Targets whose answers say that they leave, whatever their entries say."""

import asyncio

import pytest

from standins.rawhttp import LOOPBACK
from tests.platform.deployment import (
    KINDS,
    deploy,
    make_configuration,
    read_reply,
    run,
    until,
    write_request,
)
from tests.platform.test_disconnects import set_link
from tests.platform.test_restarts import start_lifetime

CALLS = 10
"""Calls after an answer; a choice that minds no leaving rarely passes all of them."""

LEAVING = 3
MOST_CALLS = 200
"""Targets that leave together, and calls in which each of them has answered."""

CONNECTIONS = 2
"""Connections to a target, all of which are in use."""

LONG_MS = 120_000
"""More time than a test has: a request that is held for so long fails it."""

ANSWERS = ["ok", "error", "bad_request", "full", "unmarked"]

PREFILLED = ("aa", "bb", "cc")


def make_prompt(d, role, number=0):
    return d.prompt(parts=f"p{number}:100,q{number}:50") if role else {}


def make_long_prompt(d, name):
    """Make a prompt that a prefill engine prefills."""
    parts = ",".join(f"{name}{part}:4000" for part in PREFILLED)
    return d.prompt(parts=parts, tokens=12000)


async def call_often(d, path, role, **headers):
    """Call some times; returns the statuses."""
    replies = [
        await d.call(path, id=f"later{n}", **make_prompt(d, role), **headers)
        for n in range(CALLS)
    ]
    return [reply.status for reply in replies]


async def add_leaving(d, path, service, role, count=LEAVING):
    """Add targets each of which has said in an answer that it leaves."""
    leaving = [await d.add(f"l{number}", service, role) for number in range(count)]
    for replica in leaving:
        replica.says_leaving = True
    for number in range(MOST_CALLS):
        if all(replica.arrivals for replica in leaving):
            break
        await d.call(path, id=f"first{number}", **make_prompt(d, role, number))
    assert all(replica.arrivals for replica in leaving)
    return leaving


async def limit_connections(d, most):
    """Allow a number of connections to each plain target."""
    document = make_configuration(d.version + 1)
    document["Services"][0] = {"Name": "push", "MaxConnections": most}
    await d.store.put("keyed.op", "config", document)
    await until(lambda: d.version == document["Version"])


def count(replicas):
    return [len(replica.arrivals) for replica in replicas]


def is_refusal(reply):
    return reply.status == 503 and float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_no_request_reaches_a_target_whose_answer_said_that_it_leaves(
    tmp_path, path, service, role, answer
):
    async def scenario():
        async with deploy(tmp_path) as d:
            leaving = await d.add("t1", service, role)
            leaving.says_leaving = True
            leaving.behaviours.append(answer)
            await d.call(path, id="first", **make_prompt(d, role))
            before = count([leaving])
            other = await d.add("t2", service, role)
            assert await call_often(d, path, role) == [200] * CALLS
            assert count([leaving]) == before
            assert count([other]) == [CALLS]

    run(scenario())


@pytest.mark.parametrize("path", ["/chat/x", "/digest/x"])
def test_no_request_reaches_an_engine_that_said_in_a_head_that_it_leaves(
    tmp_path, path
):
    async def scenario():
        async with deploy(tmp_path) as d:
            leaving = await d.add("t1", "lm", "decode")
            leaving.says_leaving = True
            leaving.behaviours.append("held_midway")
            prompt = make_prompt(d, "decode")
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            writer.write(write_request("POST", path, "first", b"hello", prompt))
            await reader.readuntil(b"data: first-1\n\n")
            await d.add("t2", "lm", "decode")
            assert await call_often(d, path, "decode") == [200] * CALLS
            assert count([leaving]) == [1]
            # What it runs goes on there.
            leaving.gate.set()
            await reader.readuntil(b"data: first-3\n\n")
            writer.close()

    run(scenario())


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_request_is_refused_at_once_where_all_targets_said_that_they_leave(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            document = make_configuration(2)
            for route in document["Routes"]:
                route["TimeoutMs"] = LONG_MS
            await d.store.put("keyed.op", "config", document)
            await until(lambda: d.version == 2)
            leaving = await add_leaving(d, path, service, role)
            before = count(leaving)
            for number in range(CALLS):
                late = {"X-Deadline-Ms": str(LONG_MS), **make_prompt(d, role, number)}
                assert is_refusal(await d.call(path, id=f"r{number}", **late))
            assert count(leaving) == before

    run(scenario())


def test_no_prompt_is_prefilled_by_an_engine_that_said_that_it_leaves(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            leaving = await d.add("p1", "lm", "prefill")
            engine = await d.add("d1", "lm", "decode")

            async def answer_and_leave(request, writer):
                leaving.says_leaving = True
                return await leaving._be_ok(request, writer)

            # The list of its cache must not say so before.
            leaving._be_last = answer_and_leave
            leaving.behaviours.append("last")
            await d.call("/digest/x", id="first", **make_long_prompt(d, "x"))
            assert count([leaving]) == [1]
            other = await d.add("p2", "lm", "prefill")
            for name in PREFILLED:
                prompt = make_long_prompt(d, name)
                assert (await d.call("/digest/x", id=name, **prompt)).is_whole
            assert count([leaving]) == [1]
            assert other.arrivals
            assert count([engine]) == [1 + len(PREFILLED)]

    run(scenario())


@pytest.mark.parametrize("path", ["/safe/x", "/digest/x"])
def test_no_second_attempt_goes_to_a_target_that_said_that_it_leaves(tmp_path, path):
    async def scenario():
        async with deploy(tmp_path) as d:
            service, role = ("lm", "decode") if "digest" in path else ("push", "")
            leaving = await add_leaving(d, path, service, role)
            before = count(leaving)
            silent = await d.add("silent", service, role)
            silent.behaviours.append("held")
            prompt = d.prompt("200") if role else {}
            call = asyncio.create_task(d.call(path, id="late", **prompt))
            await until(lambda: silent.arrivals or count(leaving) != before)
            other = await d.add("other", service, role)
            assert (await call).is_whole
            assert count(leaving) == before
            assert count([silent, other]) == [1, 1]

    run(scenario())


def test_no_retry_goes_to_a_target_that_said_that_it_leaves(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            leaving = await add_leaving(d, "/safe/x", "push", "")
            before = count(leaving)
            failing = await d.add("failing")
            failing.behaviours.append("held_reset")
            call = asyncio.create_task(d.call("/safe/x", id="late"))
            await until(lambda: failing.arrivals or count(leaving) != before)
            other = await d.add("other")
            failing.gate.set()
            assert (await call).status == 200
            assert count(leaving) == before
            assert count([other]) == [1]

    run(scenario())


@pytest.mark.parametrize("has_other", [False, True])
def test_a_request_that_waits_for_a_connection_does_not_reach_a_leaving_target(
    tmp_path, has_other
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await limit_connections(d, CONNECTIONS)
            leaving = await d.add("t1")
            leaving.says_leaving = True
            leaving.behaviours += ["held"] * CONNECTIONS
            first = [
                asyncio.create_task(d.call("/once/x", id=f"first{number}"))
                for number in range(CONNECTIONS)
            ]
            await until(lambda: count([leaving]) == [CONNECTIONS])
            waiting = [
                asyncio.create_task(d.call("/once/x", id=f"waiting{number}"))
                for number in range(CONNECTIONS)
            ]
            # They have been read by then, and have chosen their target.
            assert (await d.call("/unknown/x", id="unknown")).status == 404
            if has_other:
                await d.add("t2")
            leaving.gate.set()
            assert all(reply.status == 200 for reply in await asyncio.gather(*first))
            replies = await asyncio.gather(*waiting)
            assert count([leaving]) == [CONNECTIONS]
            assert all(is_refusal(reply) or reply.status == 200 for reply in replies)
            if has_other:
                assert await call_often(d, "/once/x", "") == [200] * CALLS
            else:
                assert all(is_refusal(reply) for reply in replies)
            assert count([leaving]) == [CONNECTIONS]

    run(scenario())


def test_a_request_that_waits_for_the_link_does_not_reach_a_leaving_target(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            leaving = await d.add("t1")
            leaving.says_leaving = True
            set_link(d, bytes_per_s=50_000.0)
            body = b"x" * 20_000
            calls = [
                asyncio.create_task(d.call("/safe/x", id=f"r{number}", body=body))
                for number in range(3)
            ]
            replies = await asyncio.gather(*calls)
            assert count([leaving]) == [1]
            assert sorted(reply.status for reply in replies) == [200, 503, 503]

    run(scenario())


@pytest.mark.parametrize("has_other", [False, True])
def test_a_stream_is_not_taken_up_at_its_engine_once_that_said_that_it_leaves(
    tmp_path, has_other
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, attempts=1)
            leaving = await d.add("t1", "lm", "decode")
            leaving.says_leaving = True
            leaving.behaviours.append("torn")
            reply = await d.call("/digest/x", id="r1", **make_prompt(d, "decode"))
            assert not reply.is_whole
            if has_other:
                await d.add("t2", "lm", "decode")
            more = {"Last-Event-Id": "1", "Resumes": "r1", **make_prompt(d, "decode")}
            reply = await d.call("/digest/x", id="r2", **more)
            assert reply.status == 200 if has_other else is_refusal(reply)
            assert count([leaving]) == [1]

    run(scenario())


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_an_entry_does_not_take_back_that_a_target_leaves(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            leaving = await d.add("t1", service, role)
            leaving.says_leaving = True
            await d.call(path, id="first", **make_prompt(d, role))
            await d.add("t2", service, role)
            for slots in (6, 7):
                entry = leaving.describe() | {"Slots": slots}
                await d.store.put("keyed.servers", leaving.lifetime, entry)
            targets = d.gateway.directory.targets
            await until(lambda: targets["t1"].announced.slots == 7)
            assert await call_often(d, path, role) == [200] * CALLS
            assert count([leaving]) == [1]

    run(scenario())


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_target_that_starts_again_under_its_id_gets_requests(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5, service, role)
            before.says_leaving = True
            assert (await d.call(path, id="first", **make_prompt(d, role))).is_whole
            now = await start_lifetime(d, "i1", 6, service, role)
            assert await call_often(d, path, role) == [200] * CALLS
            assert count([before, now]) == [1, CALLS]

    run(scenario())


def test_an_answer_of_an_earlier_lifetime_says_nothing_of_a_later_one(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5, "push", "")
            before.says_leaving = True
            before.behaviours.append("held")
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            writer.write(write_request("POST", "/once/x", "first", b"hello", {}))
            await until(lambda: before.arrivals)
            now = await start_lifetime(d, "i1", 6, "push", "")
            before.gate.set()
            await read_reply(reader)
            writer.close()
            assert await call_often(d, "/once/x", "") == [200] * CALLS
            assert count([before, now]) == [1, CALLS]

    run(scenario())
