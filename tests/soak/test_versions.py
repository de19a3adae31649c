"""Streams beside a release and dying gateways, on gateways as processes."""

import asyncio
import random

import pytest

from soak.oracle import Oracle
from soak.resuming import EVENTS, Connections, Habits, call_streams
from soak.versionaccount import FEWEST_TAKE_UPS, Try, VersionAccount
from soak.versions import play
from soak.world import World
from standins.rawhttp import RawServer


@pytest.mark.parametrize("seed", [1, 2])
def test_no_stream_holds_events_of_two_versions_in_a_release(seed, tmp_path):
    account = asyncio.run(play(seed, 10.0, tmp_path))
    assert account.streams > 30
    assert account.mixed == []
    assert not account.loses_streams()


@pytest.mark.parametrize(
    "name", ["all-killed", "one-version", "reversioned", "one-role", "out-of-step"]
)
def test_streams_that_callers_take_up_are_not_lost(name, tmp_path):
    account = asyncio.run(play(1, 20.0, tmp_path, name))
    assert account.mixed == []
    assert account.has_enough_take_ups()
    assert not account.loses_streams()


def test_a_stream_with_events_of_two_versions_is_a_finding():
    account = VersionAccount()
    for name, versions in [("a", {"v1"}), ("b", {"v2", "v1"}), ("c", set())]:
        account.note_stream(name, versions)
    assert account.streams == 2
    assert account.mixed == ["b: ['v1', 'v2']"]


@pytest.mark.parametrize(
    ("take_ups", "going_on", "loses"),
    [
        (FEWEST_TAKE_UPS, 5, True),
        (FEWEST_TAKE_UPS, 6, False),
        (FEWEST_TAKE_UPS - 1, 0, False),
    ],
)
def test_take_ups_are_judged_by_half_of_what_new_streams_get(take_ups, going_on, loses):
    account = VersionAccount()
    for number in range(10):
        account.note_try(Try.NEW, number > 0)
    for number in range(take_ups):
        account.note_try(Try.TAKE_UP, number < going_on)
    assert account.compute_share(Try.NEW) == 0.9
    assert account.loses_streams() is loses


class Gateway:
    """Stands in for a gateway's process."""

    def __init__(self, name, port):
        self.name, self.callers, self.process = name, port, object()


def test_a_caller_takes_a_broken_stream_up_at_another_gateway(tmp_path):
    async def scenario():
        requests = []

        async def answer(request, writer):
            requests.append(request)
            event = b"id: %d\ndata: x-1 v2\n\n" % len(requests)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
            if len(requests) == 3:
                writer.write(b"0\r\n\r\n")
            return False

        servers = [RawServer(answer) for _ in range(2)]
        for server in servers:
            await server.start()
        world, account = World(tmp_path, random.Random(1), Oracle()), VersionAccount()
        world.gateways = [Gateway(f"g{s.port}", s.port) for s in servers]
        names = {gateway.name for gateway in world.gateways}
        task = asyncio.create_task(call_streams(world, account, names, "c"))
        while not account.streams:
            await asyncio.sleep(0.01)
        task.cancel()
        for server in servers:
            await server.stop()
        return requests, account

    requests, account = asyncio.run(asyncio.wait_for(scenario(), 20))
    first, *others = [request.headers for request in requests[:3]]
    assert "resumes" not in first
    assert [h["resumes"] for h in others] == [first["x-request-id"]] * 2
    assert [h["last-event-id"] for h in others] == ["1", "2"]
    assert len({h["x-request-id"] for h in (first, *others)}) == 3
    assert (account.streams, account.mixed) == (1, [])
    # No engine of its version serves, so that no take-up counts.
    assert account.tries == {Try.NEW: 1}


class Engine:
    """Stands in for an engine that serves for long."""

    began_at = -1000.0
    is_leaving = False
    software_version = "v2"

    def __init__(self, role):
        self.role = role


async def answer_events(writer, first, last, is_ended):
    """Answer with events of a stream, and its end or not."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for number in range(first, last + 1):
        event = b"id: %d\ndata: x-%d v2\n\n" % (number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    if is_ended:
        writer.write(b"0\r\n\r\n")


@pytest.mark.parametrize(("had", "goes_on"), [(EVENTS, 1), (EVENTS - 1, 0)])
@pytest.mark.parametrize("roles", [("decode", "decode"), ("prefill", "prefill")])
def test_a_take_up_goes_on_by_an_event_or_by_the_end_that_alone_is_owed(
    had, goes_on, roles, tmp_path
):
    async def scenario():
        answers = [(1, had, False), (1, 0, True)]

        async def answer(request, writer):
            await answer_events(writer, *answers.pop(0))
            return False

        servers = [RawServer(answer) for _ in range(2)]
        for server in servers:
            await server.start()
        world, account = World(tmp_path, random.Random(1), Oracle()), VersionAccount()
        world.gateways = [Gateway(f"g{s.port}", s.port) for s in servers]
        world.replicas = {str(n): Engine(role) for n, role in enumerate(roles)}
        names = {gateway.name for gateway in world.gateways}
        task = asyncio.create_task(call_streams(world, account, names, "c"))
        while not account.streams:
            await asyncio.sleep(0.01)
        task.cancel()
        for server in servers:
            await server.stop()
        return account

    account = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert account.tries == {Try.NEW: 1, Try.TAKE_UP: 1}
    assert account.successes[Try.TAKE_UP] == goes_on


def test_callers_leave_after_a_share_of_the_events_but_the_last():
    rng, habits = random.Random(1), Habits(leave_share=0.5, last_left=3)
    left = [habits.leaves(rng, event) for event in (1, 2, 3) * 100]
    assert 100 < sum(left) < 200
    assert not any(habits.leaves(rng, 4) for _ in range(100))
    assert not any(Habits().leaves(rng, event) for event in (1, 2, 3) * 100)


@pytest.mark.parametrize(
    ("is_kept", "is_open", "used"),
    [(True, True, 1)] + [(True, False, 4), (False, True, 4)],
)
def test_callers_use_a_connection_again_until_it_is_gone(is_kept, is_open, used):
    async def scenario():
        writers = []

        async def answer(request, writer):
            if writer not in writers:
                writers.append(writer)
            await answer_events(writer, 1, EVENTS, True)
            return is_open

        server = RawServer(answer)
        await server.start()
        connections = Connections(is_kept)
        for _ in range(4):
            reader, writer = connection = await connections.take(server.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"0\r\n\r\n")
            connections.give_back(server.port, connection, is_whole=True)
            await asyncio.sleep(0.05)
        connections.close()
        await server.stop()
        return len(writers)

    assert asyncio.run(scenario()) == used
