"""Streams go on at the software version that began them, or not at all."""

import asyncio
import re
import time
from collections import deque
from contextlib import AsyncExitStack

import pytest

from robinspindle import sending
from robinspindle.core.versionrecords import (
    ServiceVersion,
    Use,
    VersionRecord,
    encode_record,
    make_key,
)
from standins.rawhttp import LOOPBACK
from standins.replica import USUAL_VERSION, Replica
from tests.platform.deployment import (
    deploy,
    join,
    make_configuration,
    make_route,
    run,
    until,
    write_request,
)

OTHER_VERSION = "v2"
OTHERS = 6
"""Replicas of another version; a choice that minds no version rarely misses them."""

KEYS = {"red": "open-sesame-1", "blue": "open-sesame-2"}


async def add(d, version=USUAL_VERSION, count=1, service="lm", role="decode"):
    """Add replicas of a software version."""
    first = len(d.replicas) + 1
    replicas = [
        Replica(f"i{number}", service, role) for number in range(first, first + count)
    ]
    for replica in replicas:
        replica.software_version = version
    await start(d, *replicas)
    return replicas


async def start(d, *replicas):
    """Start lifetimes, and have them announced."""
    names = []
    for replica in replicas:
        await replica.server.start()
        born = "" if replica.born_ms is None else f"@{replica.born_ms}"
        names.append(replica.lifetime + born)
        d.replicas[names[-1]] = replica
        await d.store.put("keyed.servers", replica.lifetime, replica.describe())
    targets = d.gateway.directory.targets
    await until(lambda: all(name in targets for name in names))


async def make_single(d, **more):
    """Let each attempt go to one target, so that a broken stream ends its answer."""
    version = d.version + 1
    document = make_configuration(version, attempts=1, **more)
    await d.store.put("keyed.op", "config", document)
    await until(lambda: d.version == version)


async def begin_broken(d, id="r1", path="/digest/x", version=USUAL_VERSION, **headers):
    """Have a stream break off in its second event, before others can serve it."""
    (replica,) = await add(d, version)
    replica.behaviours.append("torn")
    reply = await d.call(path, id=id, **d.prompt(), **headers)
    assert not reply.is_whole
    assert list_ids(reply) == [1]
    return replica


async def take_up(d, id="r2", path="/digest/x", last=1, attempt="r1", **headers):
    """Take a stream up as its caller does; returns the answer and who was asked."""
    before = count_arrivals(d)
    headers |= {"Last-Event-Id": str(last)}
    if attempt is not None:
        headers |= {"Resumes": attempt}
    reply = await d.call(path, id=id, **d.prompt(), **headers)
    after = count_arrivals(d)
    return reply, [name for name in after if after[name] != before[name]]


def count_arrivals(d):
    return {name: len(replica.arrivals) for name, replica in d.replicas.items()}


def list_ids(reply):
    return [int(id) for id in re.findall(rb"^id: (\d+)\n.*\n\n", reply.body, re.M)]


def list_versions(*replies):
    """List the versions whose events replies hold."""
    data = [line for r in replies for line in re.findall(rb"data: (.*)\n\n", r.body)]
    return {line.partition(b" ")[2].decode() or USUAL_VERSION for line in data}


def is_true_refusal(reply):
    return reply.status == 503 and "retry-after" in reply.headers


def test_an_answer_does_not_go_on_at_another_version(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            for version in (USUAL_VERSION, OTHER_VERSION):
                (replica,) = await add(d, version)
                replica.behaviours.append("torn")
            reply = await d.call("/digest/x", **d.prompt())
            assert not reply.is_whole
            assert list_ids(reply) == [1]
            assert sum(count_arrivals(d).values()) == 1

    run(scenario())


def test_an_answer_goes_on_at_its_own_version(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            (begun,) = await add(d)
            begun.behaviours.append("torn_at_gate")
            call = asyncio.create_task(d.call("/digest/x", **d.prompt()))
            await until(lambda: begun.arrivals)
            await add(d, OTHER_VERSION, OTHERS)
            (own,) = await add(d)
            begun.gate.set()
            reply = await call
            assert reply.is_whole
            assert list_ids(reply) == [1, 2, 3]
            assert list_versions(reply) == {USUAL_VERSION}
            assert own.arrivals

    run(scenario())


@pytest.mark.parametrize("version", [USUAL_VERSION, OTHER_VERSION])
def test_a_stream_is_taken_up_at_its_own_version_only(tmp_path, version):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await begin_broken(d, version=version)
            await add(d, USUAL_VERSION, OTHERS)
            await add(d, OTHER_VERSION, OTHERS)
            for number in range(4):
                reply, _ = await take_up(d, id=f"again-{number}")
                assert reply.is_whole
                assert list_ids(reply) == [2, 3]
                assert list_versions(reply) == {version}

    run(scenario())


@pytest.mark.parametrize(
    "resumes",
    [
        {},
        {"Resumes": "unknown"},
        {"Resumes": ""},
        {"Resumes": "r1", "resumes": "r2"},
        {"Resumes": "r1,r2"},
        {"Resumes": "r1\tr1"},
        {"Resumes": "\x80\xfe"},
        {"Resumes": "r" * 5000},
    ],
)
def test_a_take_up_that_names_no_known_stream_is_refused_and_not_run(tmp_path, resumes):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await begin_broken(d)
            await add(d, OTHER_VERSION)
            reply, asked = await take_up(d, attempt=None, **resumes)
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


def test_a_take_up_that_names_two_events_is_refused_and_not_run(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await begin_broken(d)
            reply, asked = await take_up(d, **{"last-event-id": "2"})
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


def test_a_stream_that_may_not_be_resumed_is_not_taken_up(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            await begin_broken(d, path="/chat/x")
            reply, asked = await take_up(d, path="/chat/x")
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


def test_a_stream_of_another_workspace_is_not_taken_up(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            document = make_configuration(2, attempts=1)
            for route in document["Routes"]:
                route["Public"] = False
            document["Tenants"] = [
                {"Name": name, "ApiKeys": [key], "Priority": 0}
                for name, key in KEYS.items()
            ]
            await d.store.put("keyed.op", "config", document)
            await until(lambda: d.version == 2)
            red, blue = ({"Authorization": f"Bearer {key}"} for key in KEYS.values())
            await begin_broken(d, **red)
            await add(d, OTHER_VERSION)
            reply, asked = await take_up(d, **blue)
            assert is_true_refusal(reply)
            assert not asked
            reply, _ = await take_up(d, id="r3", **red)
            assert reply.is_whole

    run(scenario())


def test_a_stream_of_another_service_is_not_taken_up(tmp_path):
    async def scenario():
        routes = [
            make_route("digest", "stream", "lm", Resumable=True, MaxAttempts=1),
            make_route("other", "stream", "lm2", Resumable=True, MaxAttempts=1),
        ]
        async with deploy(tmp_path) as d:
            await make_single(d, routes=routes)
            await begin_broken(d)
            await add(d, service="lm2")
            reply, asked = await take_up(d, path="/other/x")
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


def test_a_stream_is_taken_up_at_the_service_that_began_it(tmp_path):
    async def scenario():
        backends = [{"Service": f"lm{n}", "Weight": 1} for n in range(OTHERS)]
        route = make_route("digest", "stream", None, Resumable=True, MaxAttempts=1)
        async with deploy(tmp_path) as d:
            await make_single(d, routes=[route | {"Service": "lm"}])
            await begin_broken(d)
            for backend in backends:
                await add(d, service=backend["Service"])
            backends.append({"Service": "lm", "Weight": 1})
            await make_single(d, routes=[route | {"Backends": backends}])
            reply, asked = await take_up(d)
            assert reply.is_whole
            assert asked == ["i1"]
            backends[-1]["Weight"] = 0
            await make_single(d, routes=[route | {"Backends": backends}])
            reply, asked = await take_up(d, id="r3")
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


@pytest.mark.parametrize("state", ["draining", None])
def test_a_take_up_is_refused_once_no_replica_of_its_version_is_left(tmp_path, state):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            replica = await begin_broken(d)
            await add(d, OTHER_VERSION)
            if state is not None:
                await d.announce(replica, state)
            else:
                await d.store.put("keyed.servers", "i1", None)
                await until(lambda: "i1" not in d.gateway.directory.targets)
            reply, asked = await take_up(d)
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


@pytest.mark.parametrize("behaviour", ["full", "error", "reset", "torn_at_once"])
def test_the_version_is_fixed_with_the_first_event_only(tmp_path, behaviour):
    async def scenario():
        async with deploy(tmp_path) as d:
            behaviours = deque([behaviour, "torn"])
            versions = (USUAL_VERSION, OTHER_VERSION)
            for version in versions:
                (replica,) = await add(d, version)
                replica.behaviours = behaviours
            broken = await d.call("/digest/x", **d.prompt())
            assert list_ids(broken) == [1]
            for version in versions:
                await add(d, version, OTHERS)
            for number in range(4):
                reply, _ = await take_up(d, id=f"again-{number}")
                assert reply.is_whole
                assert list_versions(reply) == list_versions(broken)

    run(scenario())


def test_a_stream_is_taken_up_by_its_first_attempt_however_often_it_broke(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            replica = await begin_broken(d)
            replica.events = 5
            await add(d, OTHER_VERSION, OTHERS)
            for last in (1, 2):
                replica.behaviours.append("torn")
                reply, asked = await take_up(d, id=f"again-{last}", last=last)
                assert list_ids(reply) == [last + 1]
                assert asked == ["i1"]
            reply, asked = await take_up(d, id="r4", last=3)
            assert reply.is_whole
            assert list_ids(reply) == [4, 5]
            assert asked == ["i1"]

    run(scenario())


@pytest.mark.parametrize("seconds_later", [-60, 60])
def test_a_restart_under_the_same_id_with_another_version(tmp_path, seconds_later):
    """Who was sent a stream after its restart was taken for its earlier lifetime."""

    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            now_ms = time.time_ns() // 1_000_000
            before = Replica("i1", "lm", "decode")
            before.born_ms = now_ms - 100_000
            before.behaviours.append("torn")
            await start(d, before)
            assert list_ids(await d.call("/digest/x", **d.prompt())) == [1]
            after = Replica("i1", "lm", "decode")
            after.born_ms = now_ms + seconds_later * 1000
            after.software_version = OTHER_VERSION
            await start(d, after)
            (own,) = await add(d)
            await add(d, OTHER_VERSION, OTHERS)
            reply, asked = await take_up(d)
            if seconds_later < 0:
                assert is_true_refusal(reply)
                assert not asked
            else:
                assert reply.is_whole
                assert asked == [own.lifetime]

    run(scenario())


@pytest.mark.parametrize("is_kept", [True, False])
def test_a_stream_on_a_kept_connection_is_not_doubted_for_a_restart_after_it_opened(
    tmp_path, is_kept
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            now_ms = time.time_ns() // 1_000_000
            before = Replica("i1", "lm", "decode")
            before.born_ms = now_ms - 100_000
            await start(d, before)
            assert (await d.call("/digest/x", id="r0", **d.prompt())).is_whole
            for connection in list_connections(d, f"i1@{before.born_ms}"):
                # As if it had been opened that long ago.
                connection.opened_at -= 10.0 if is_kept else 0.0
            before.behaviours.append("torn")
            assert list_ids(await d.call("/digest/x", **d.prompt())) == [1]
            after = Replica("i1", "lm", "decode")
            after.born_ms = time.time_ns() // 1_000_000
            after.software_version = OTHER_VERSION
            await start(d, after)
            (own,) = await add(d)
            reply, asked = await take_up(d)
            assert list_ids(reply) == ([2, 3] if is_kept else [])
            assert asked == ([own.lifetime] if is_kept else [])

    run(scenario())


def list_connections(d, lifetime):
    """List the kept connections to a target."""
    pool = d.gateway.fleet.find_pool(d.gateway.directory.targets[lifetime])
    assert pool.idle
    return pool.idle


@pytest.mark.parametrize("is_told", [True, False])
def test_a_stream_is_taken_up_at_another_gateway(tmp_path, is_told):
    """One that was told of it serves alone; one that came later asks."""

    async def scenario():
        async with deploy(tmp_path) as d, AsyncExitStack() as stack:
            await make_single(d)
            if is_told:
                other = await stack.enter_async_context(join(tmp_path, d))
            await begin_broken(d)
            await add(d, OTHER_VERSION, OTHERS)
            if is_told:
                await until(lambda: other.gateway.streams.table.entries)
                await d.gateway.close()
            else:
                other = await stack.enter_async_context(join(tmp_path, d))
            await until(lambda: len(other.gateway.directory.targets) == OTHERS + 1)
            reply, asked = await take_up(other)
            assert reply.is_whole
            assert asked == ["i1"]
            reply, asked = await take_up(other, attempt="r9")
            assert is_true_refusal(reply)
            assert not asked

    run(scenario())


def test_an_engine_of_another_version_may_prefill_for_a_stream(tmp_path, monkeypatch):
    # A connection that a busy machine opens too late would count as a prefill.
    monkeypatch.setattr(sending, "CONNECT_TIMEOUT_S", 8.0)

    async def scenario():
        async with deploy(tmp_path) as d:
            # Time enough for the engines to be announced on a busy machine.
            more = {"TargetLatencyMs": 20_000, "TargetGapMs": 8000, "TimeoutMs": 20_000}
            route = make_route("digest", "stream", "lm", Resumable=True, **more)
            await d.configure(version=2, routes=[route])
            (prefill_engine,) = await add(d, OTHER_VERSION, role="prefill")
            (begun,) = await add(d)
            begun.behaviours.append("torn_at_gate")
            prompt = d.prompt(parts="aa:4000,bb:4000,cc:2000", tokens=10000)
            call = asyncio.create_task(d.call("/digest/x", **prompt))
            await until(lambda: begun.arrivals)
            await add(d, OTHER_VERSION, OTHERS)
            await add(d)
            begun.gate.set()
            reply = await call
            assert reply.is_whole
            assert list_versions(reply) == {USUAL_VERSION}
            assert len(prefill_engine.arrivals) == 2

    run(scenario())


def test_a_silent_target_keeps_its_stream_beside_another_version(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            (begun,) = await add(d)
            begun.behaviours.append("held_midway")
            call = asyncio.create_task(d.call("/digest/x", **d.prompt()))
            await until(lambda: begun.arrivals)
            others = await add(d, OTHER_VERSION, OTHERS)
            hedges = d.gateway.metrics.hedges
            await until(lambda: hedges._value.get() > 0)
            # Others would be sent it by now.
            await asyncio.sleep(0.2)
            begun.gate.set()
            reply = await call
            assert reply.is_whole
            assert list_versions(reply) == {USUAL_VERSION}
            assert not any(other.arrivals for other in others)

    run(scenario())


def test_a_caller_may_leave_while_its_stream_is_looked_for(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await make_single(d)
            (replica,) = await add(d)
            looked_for, left = asyncio.Event(), asyncio.Event()

            async def find(key):
                looked_for.set()
                try:
                    await asyncio.Event().wait()
                finally:
                    left.set()

            d.gateway.streams.find = find
            _, writer = await asyncio.open_connection(LOOPBACK, d.port)
            headers = {"Last-Event-Id": "1", "Resumes": "r1", **d.prompt()}
            writer.write(write_request("POST", "/digest/x", "r2", b"hello", headers))
            await looked_for.wait()
            writer.close()
            await left.wait()
            reply = await d.call("/digest/x", id="r3", **d.prompt())
            assert reply.is_whole
            assert len(replica.arrivals) == 1

    run(scenario())


@pytest.mark.parametrize("attempt", [None, "unknown"])
def test_an_unknown_stream_goes_on_where_one_version_can_have_begun_it(
    tmp_path, attempt
):
    async def scenario():
        async with deploy(tmp_path) as d:
            (engine,) = await add(d)
            await until(lambda: d.gateway.versions.records.noted)
            d.store.trouble = "busy"
            reply, asked = await take_up(d, id="unconfirmed", attempt=attempt)
            assert is_true_refusal(reply)
            assert asked == []
            d.store.trouble = ""
            reply, asked = await take_up(d, id="confirmed", attempt=attempt)
            assert list_ids(reply) == [2, 3]
            assert asked == [engine.lifetime]

    run(scenario())


@pytest.mark.parametrize("attempt", [None, "unknown"])
@pytest.mark.parametrize("serves", [False, True])
def test_no_unknown_stream_goes_on_where_another_version_can_have_begun_it(
    tmp_path, attempt, serves
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await add(d)
            (other,) = await add(d, OTHER_VERSION)
            await until(lambda: len(d.gateway.versions.records.noted) == 2)
            if not serves:
                await d.store.put("keyed.servers", other.lifetime, None)
                targets = d.gateway.directory.targets
                await until(lambda: other.lifetime not in targets)
            reply, asked = await take_up(d, attempt=attempt)
            assert is_true_refusal(reply)
            assert asked == []

    run(scenario())


def test_no_unknown_stream_goes_on_at_a_version_beside_one_that_others_have_recorded(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await add(d)
            await until(lambda: d.gateway.versions.records.noted)
            # The poll that would bring it is not answered before the take-up comes.
            version = ServiceVersion("lm", OTHER_VERSION)
            value = encode_record(VersionRecord(Use.BEGINS))
            d.store.put_silently("keyed.gateways", make_key(version), value)
            reply, asked = await take_up(d, attempt="unknown")
            assert is_true_refusal(reply)
            assert asked == []

    run(scenario())
