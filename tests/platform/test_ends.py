"""How requests end beside changes and silent targets: never with a closed connection.

The targets here are sound: they fall silent for a while and go on. Whoever waits for
one gets its whole answer or a refusal.
"""

import asyncio
import socket
import threading
import time
from enum import Enum

import pytest

from robinspindle.core.targets import is_gone
from robinspindle.gatewaysettings import GatewaySettings, Pledges
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.platform.deployment import (
    KINDS,
    Reply,
    deploy,
    make_configuration,
    make_route,
    read_reply,
    run,
    until,
    write_request,
)

SILENCE_S = 1.5
"""How long a sound target is silent, seconds: longer than any silence that is noticed
here, and shorter than its callers wait."""

GAP_MS = 100
STREAMS = [kind for kind in KINDS if kind[2]]
ONCE = [kind for kind in KINDS if kind[0] in ("/once/x", "/chat/x")]
MAY_REPEAT = ("/safe/x", "/digest/x")
BODY = b"x" * 2000
LONG_BODY = b"x" * 8_000_000
"""More than fits between a gateway and a target that does not read."""

LASTING = {"TimeoutMs": 20_000, "TargetGapMs": 8000}
"""Of routes whose requests outlast the time in which a target is forgotten."""

BIG = {"MaxBodyBytes": 16_000_000}


class End(Enum):
    """What a caller got."""

    WHOLE = "whole answer"
    REFUSED = "refusal"
    CLOSED = "closed connection"


ANSWERED = (End.WHOLE, End.REFUSED)


def find_end(reply: Reply) -> End:
    if not reply.is_whole:
        return End.CLOSED
    return End.WHOLE if reply.status == 200 else End.REFUSED


def make_routes(attempts=3, push="push", lm="lm", **more):
    more = {"MaxAttempts": attempts, "TargetGapMs": GAP_MS, **more}
    return [
        make_route("safe", "idempotent", push, **more),
        make_route("once", "non_idempotent", push, **more),
        make_route("chat", "stream", lm, **more),
        make_route("digest", "stream", lm, Resumable=True, **more),
    ]


def use(service):
    """Name a service as the only one of a weighted route."""
    return {"Service": None, "Backends": [{"Service": service, "Weight": 1.0}]}


CHANGES = {
    "none": {},
    "route to another service": {"routes": make_routes(push="gone", lm="gone")},
    "weights": {"routes": make_routes(**use("gone"))},
    "time-out below what was used": {"routes": make_routes(TimeoutMs=10)},
    "longer time-out": {"routes": make_routes(TimeoutMs=9000)},
    "one attempt": {"routes": make_routes(attempts=1)},
    "routes removed": {"routes": [make_route("other", "idempotent", "push")]},
    "services removed": {
        "routes": [make_route("other", "idempotent", "else")],
        "without_services": ("push", "lm"),
    },
    "idle limit": {"limits": {"IdleTimeoutMs": 10}},
    "workspaces": {"Tenants": [{"Name": "red", "ApiKeys": ["open-sesame-1"]}]},
    "limits": {"limits": {"MaxHeaderBytes": 500, "MaxBodyBytes": 2500}},
}
"""What a new configuration changes, by name; its version is added."""

change = pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
stream = pytest.mark.parametrize(
    ("path", "service", "role"), STREAMS, ids=[kind[0] for kind in STREAMS]
)
once = pytest.mark.parametrize(
    ("path", "service", "role"), ONCE, ids=[kind[0] for kind in ONCE]
)


class Caller:
    """Keeps a connection and sends requests on it."""

    def __init__(self, d, path):
        self._d = d
        self._path = path
        self._headers = d.prompt() if path in [kind[0] for kind in STREAMS] else {}
        self.reader = self.writer = None

    async def connect(self, buffer_bytes=0):
        """Connect; with a size, little fits between the gateway and this caller."""
        known = set(self._d.gateway._callers.connections)
        sock = socket.socket()
        if buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (LOOPBACK, self._d.port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        if buffer_bytes:
            await until(lambda: self._d.gateway._callers.connections - known)
            (accepted,) = self._d.gateway._callers.connections - known
            sock = accepted._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
            self.writer.transport.pause_reading()

    async def send(self, id, body=BODY, first=None):
        """Send a request, or only so many bytes of it first."""
        if self.writer is None:
            await self.connect()
        data = write_request("POST", self._path, id, body, self._headers)
        self.writer.write(data[:first])
        self._rest = data[first:] if first else b""

    def send_rest(self):
        self.writer.write(self._rest)

    async def wait(self):
        self.writer.transport.resume_reading()
        reply = await read_reply(self.reader)
        return find_end(reply)


def make_callers(d, kinds=KINDS):
    return {path: Caller(d, path) for path, _, _ in kinds}


async def send_all(callers, id="r", **more):
    for path, caller in callers.items():
        await caller.send(f"{id}{path}", **more)


async def wait_all(callers):
    return {path: await caller.wait() for path, caller in callers.items()}


async def add_targets(d, *behaviours):
    """Add a target of each service; each of its next requests is answered so."""
    targets = [await d.add("t-push"), await d.add("t-lm", "lm", "decode")]
    for target in targets:
        target.behaviours.extend(behaviours)
    return targets


def open_gates(targets):
    for target in targets:
        target.gate.set()


def count_arrivals(targets):
    return sum(len(target.arrivals) for target in targets)


def run_each(tmp_path, scenario, kinds=KINDS, pledges=None):
    """Run a scenario for each kind, with deployments of their own side by side.

    Returns:
        How the request of each ended, by its path.
    """

    async def run_one(number, kind):
        folder = tmp_path / str(number)
        folder.mkdir()
        async with deploy(folder, pledges=pledges) as d:
            return kind[0], await scenario(d, *kind)

    async def run_all():
        ones = (run_one(number, kind) for number, kind in enumerate(kinds))
        return dict(await asyncio.gather(*ones))

    return run(run_all())


def may_end(path, end):
    """Whether a request to a silent target may end so: refused only if repeatable."""
    return end is End.WHOLE or (end is End.REFUSED and path in MAY_REPEAT)


# Changes of the configuration.


@change
def test_a_change_while_requests_are_read_closes_no_connection(tmp_path, change):
    async def scenario():
        async with deploy(tmp_path) as d:
            await add_targets(d)
            callers = make_callers(d)
            await send_all(callers, first=-1000)
            await until(lambda: d.gateway._callers.count_busy() == len(KINDS))
            await d.configure(version=2, **change)
            for caller in callers.values():
                caller.send_rest()
            ends = await wait_all(callers)
            assert all(end in ANSWERED for end in ends.values()), ends

    run(scenario())


@change
def test_a_change_while_requests_wait_to_be_sent_closes_no_connection(tmp_path, change):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d)
            callers = make_callers(d)
            uplink = d.gateway.link.uplink
            uplink.bytes_per_s = 10_000.0
            await send_all(callers)
            await until(lambda: uplink.waiting_bytes > 0)
            assert count_arrivals(targets) < len(KINDS)
            await d.configure(version=2, **change)
            ends = await wait_all(callers)
            assert all(end in ANSWERED for end in ends.values()), ends

    run(scenario())


@change
def test_a_change_while_targets_work_leaves_their_answers_whole(tmp_path, change):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held", "held")
            callers = make_callers(d)
            await send_all(callers)
            await until(lambda: count_arrivals(targets) == len(KINDS))
            await d.configure(version=2, **change)
            await asyncio.sleep(0.2)
            open_gates(targets)
            ends = await wait_all(callers)
            assert set(ends.values()) == {End.WHOLE}, ends

    run(scenario())


@change
def test_a_change_in_the_middle_of_answers_leaves_them_whole(tmp_path, change):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held_midway", "held_midway")
            callers = make_callers(d)
            await send_all(callers)
            await until(lambda: count_arrivals(targets) == len(KINDS))
            await d.configure(version=2, **change)
            await asyncio.sleep(0.2)
            open_gates(targets)
            ends = await wait_all(callers)
            assert set(ends.values()) == {End.WHOLE}, ends

    run(scenario())


@change
def test_a_change_closes_no_connection_with_the_next_request_on_it(tmp_path, change):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held", "held")
            callers = make_callers(d)
            await send_all(callers)
            await send_all(callers, id="next")
            await until(lambda: count_arrivals(targets) == len(KINDS))
            await d.configure(version=2, **change)
            await asyncio.sleep(0.2)
            open_gates(targets)
            ends = await wait_all(callers), await wait_all(callers)
            assert set(ends[0].values()) == {End.WHOLE}, ends
            assert all(end in ANSWERED for end in ends[1].values()), ends

    run(scenario())


def test_two_changes_within_the_time_of_one_leave_answers_whole(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held", "held")
            callers = make_callers(d)
            await send_all(callers)
            await until(lambda: count_arrivals(targets) == len(KINDS))
            await d.configure(version=2, **CHANGES["services removed"])
            await d.configure(version=3, **CHANGES["time-out below what was used"])
            open_gates(targets)
            ends = await wait_all(callers)
            assert set(ends.values()) == {End.WHOLE}, ends

    run(scenario())


# Targets' entries, and settings.


@pytest.mark.parametrize("moment", ["held", "held_midway"])
def test_answers_come_whole_after_their_targets_entry_is_gone(tmp_path, moment):
    async def scenario(d, path, service, role):
        await d.configure(version=2, routes=make_routes(**LASTING))
        target = await d.add("t1", service, role)
        target.behaviours.append(moment)
        caller = Caller(d, path)
        await caller.send("r1")
        await until(lambda: target.arrivals)
        known = d.gateway.directory.targets["t1"]
        await d.store.put("keyed.servers", "t1", None)
        await until(lambda: is_gone(known, d.gateway._clock()))
        target.gate.set()
        return await caller.wait()

    ends = run_each(tmp_path, scenario)
    assert all(may_end(path, end) for path, end in ends.items()), ends


ENTRIES = {
    "leaving": {"State": "draining"},
    "another role": {"Stage": "prefill"},
    "another zone": {"Zone": "b"},
    "unreadable": {"Slots": "many"},
}
"""What changes in the entry of a target that works."""


@pytest.mark.parametrize("moment", ["held", "held_midway"])
@pytest.mark.parametrize("entry", ENTRIES.values(), ids=ENTRIES)
def test_a_change_of_targets_entries_leaves_their_answers_whole(
    tmp_path, entry, moment
):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, moment, moment)
            callers = make_callers(d)
            await send_all(callers)
            await until(lambda: count_arrivals(targets) == len(KINDS))
            for target in targets:
                document = target.describe() | entry
                await d.store.put("keyed.servers", target.lifetime, document)
            await d.configure(version=2)
            await asyncio.sleep(0.2)
            open_gates(targets)
            ends = await wait_all(callers)
            assert set(ends.values()) == {End.WHOLE}, ends

    run(scenario())


def make_reread(settings: GatewaySettings, pledges: Pledges):
    values = vars(settings) | {"pledges": pledges, "link_mbps": 1.0}
    return lambda: GatewaySettings(**values)


def test_settings_read_again_leave_answers_whole(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held", "held")
            callers = make_callers(d)
            await send_all(callers)
            await until(lambda: count_arrivals(targets) == len(KINDS))
            d.reread = make_reread(d.gateway.settings, Pledges(leave_s=0.5, stop_s=4))
            d.gateway.reload()
            assert d.gateway.settings.pledges.leave_s == 0.5
            await asyncio.sleep(0.2)
            open_gates(targets)
            ends = await wait_all(callers)
            assert set(ends.values()) == {End.WHOLE}, ends

    run(scenario())


# Silent targets that go on.


OTHERS = {
    "no other": None,
    "another is full": "full",
    "another fails": "error",
    "another is silent too": "held",
    "another is well": "ok",
}
"""How another target answers, by its state; None for none."""

other = pytest.mark.parametrize("other", OTHERS.values(), ids=OTHERS)


async def ask_silent(d, path, service, role, behaviour, other=None):
    """Ask a target that is silent for a while; returns how the request ended."""
    await d.configure(version=2, routes=make_routes())
    names = ("t1", "t2") if other else ("t1",)
    targets = [await d.add(name, service, role) for name in names]
    for target in targets:
        target.behaviours.append(behaviour)
    caller = Caller(d, path)
    await caller.send("r1")
    await until(lambda: count_arrivals(targets))
    asked = next(target for target in targets if target.arrivals)
    for target in targets:
        if target is not asked:
            target.behaviours[0] = other
    change = make_configuration(version=3, routes=make_routes(TimeoutMs=9000))
    await d.store.put("keyed.op", "config", change)
    await asyncio.sleep(SILENCE_S)
    asked.gate.set()
    asyncio.get_running_loop().call_later(SILENCE_S, open_gates, targets)
    return await caller.wait()


@other
@pytest.mark.parametrize("pledges", [None, Pledges()], ids=["", "no retries left"])
def test_silence_before_an_answer_closes_no_connection(tmp_path, pledges, other):
    async def scenario(d, *kind):
        return await ask_silent(d, *kind, "held", other)

    ends = run_each(tmp_path, scenario, pledges=pledges)
    assert all(may_end(path, end) for path, end in ends.items()), ends


@other
def test_silence_in_the_middle_of_a_body_closes_no_connection(tmp_path, other):
    async def scenario(d, *kind):
        return await ask_silent(d, *kind, "held_midway", other)

    plain = [kind for kind in KINDS if kind not in STREAMS]
    ends = run_each(tmp_path, scenario, plain)
    assert all(may_end(path, end) for path, end in ends.items()), ends


@stream
@other
def test_a_stream_whose_target_is_silent_for_a_while_ends_whole(
    tmp_path, path, service, role, other
):
    async def scenario():
        async with deploy(tmp_path) as d:
            end = await ask_silent(d, path, service, role, "held_midway", other)
            assert end is End.WHOLE

    run(scenario())


@stream
def test_a_stream_whose_target_is_silent_ends_whole_without_retries_left(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path, pledges=Pledges()) as d:
            end = await ask_silent(d, path, service, role, "held_midway", "ok")
            assert end is End.WHOLE

    run(scenario())


@stream
def test_a_stream_with_long_pauses_ends_whole_beside_who_waits_at_its_silent_target(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes(TargetGapMs=2000))
            target = await d.add("t1", service, role)
            target.behaviours.extend(["held_midway", "held"])
            caller, waiting = Caller(d, path), Caller(d, "/chat/x")
            await caller.send("r1")
            await until(lambda: target.arrivals)
            await waiting.send("r2")
            await asyncio.sleep(SILENCE_S)
            target.gate.set()
            ends = await caller.wait(), await waiting.wait()
            assert ends == (End.WHOLE, End.WHOLE)

    run(scenario())


@stream
def test_a_stream_that_pauses_while_its_target_serves_others_ends_whole(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            target = await d.add("t1", service, role)
            target.behaviours.append("held_midway")
            caller = Caller(d, path)
            await caller.send("r1")
            await until(lambda: target.arrivals)
            for number in range(15):
                await d.call(path, id=f"other{number}", **d.prompt())
                await asyncio.sleep(0.1)
            target.gate.set()
            assert await caller.wait() is End.WHOLE

    run(scenario())


def test_a_target_that_stops_reading_for_a_while_closes_no_callers_connection(tmp_path):
    ends = run_each(tmp_path, ask_stalled)
    assert all(end in ANSWERED for end in ends.values()), ends


@once
def test_a_target_that_stops_reading_for_a_while_keeps_what_may_run_once(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            assert await ask_stalled(d, path, service, role) is End.WHOLE

    run(scenario())


async def ask_stalled(d, path, service, role):
    """Ask a target that reads no body for a while; returns how the request ended."""
    await d.configure(version=2, routes=make_routes(), limits=BIG)
    target = await d.add("t1", service, role)
    target.server.reads.clear()
    caller = Caller(d, path)
    await caller.send("r1", body=LONG_BODY)
    await until(lambda: target.server.waiting)
    await asyncio.sleep(2 * SILENCE_S)
    target.server.reads.set()
    return await caller.wait()


def test_a_gateway_that_was_busy_takes_no_target_for_silent(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            target = Replica("t1", "lm", "decode", events=20)
            target._be_paced = make_paced_stream(target)
            target.behaviours.append("paced")
            started = threading.Event()
            # In a thread, as the gateway's busy event loop must not hold it up.
            serve = threading.Thread(target=serve_apart, args=(target, started))
            serve.start()
            try:
                started.wait()
                await d.announce(target)
                caller = Caller(d, "/digest/x")
                await caller.send("r1")
                await until(lambda: target.arrivals)
                time.sleep(SILENCE_S)
                assert await caller.wait() is End.WHOLE
                assert d.gateway.directory.targets["t1"].liveness.silent_since is None
            finally:
                target.gate.set()
                serve.join()

    run(scenario())


def make_paced_stream(target):
    """Make a behaviour: a stream with an event every 0.1 s."""

    async def answer(request, writer):
        target._begin_stream(request, writer)
        for number in range(1, target.events + 1):
            target._write_event(request, writer, number)
            await writer.drain()
            await asyncio.sleep(GAP_MS / 1000)
        writer.write(b"0\r\n\r\n")
        return True

    return answer


def serve_apart(target, started):
    """Serve in an event loop of its own until the target's gate opens."""

    async def serve():
        await target.server.start()
        started.set()
        while not target.gate.is_set():
            await asyncio.sleep(0.01)
        await target.server.stop()

    run(serve())


# Two attempts beside each other.


repeated = pytest.mark.parametrize(
    ("path", "service", "role"),
    [kind for kind in KINDS if kind[0] in MAY_REPEAT],
    ids=MAY_REPEAT,
)


async def add_pair(d, path, service, role, first, second):
    """Ask one of two targets, each with its behaviour; returns them and the caller."""
    targets = [await d.add(name, service, role) for name in ("t1", "t2")]
    for target in targets:
        target.behaviours.append(first)
    caller = Caller(d, path)
    await caller.send("r1")
    await until(lambda: count_arrivals(targets))
    targets.sort(key=lambda target: not target.arrivals)
    targets[1].behaviours[0] = second
    return targets, caller


@repeated
def test_a_second_target_is_not_left_while_there_is_no_third(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            (_, second), caller = await add_pair(d, path, service, role, "held", "held")
            await until(lambda: second.arrivals)
            await asyncio.sleep(SILENCE_S)
            second.gate.set()
            assert await caller.wait() is End.WHOLE

    run(scenario())


@stream
def test_a_second_answer_without_an_event_does_not_end_the_first(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            (first, second), caller = await add_pair(
                d, path, service, role, "held_midway", "head_only"
            )
            await asyncio.sleep(SILENCE_S)
            first.gate.set()
            assert await caller.wait() is End.WHOLE

    run(scenario())


@repeated
def test_attempts_beside_each_other_keep_to_the_most_attempts(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes(attempts=2))
            (first, second), caller = await add_pair(
                d, path, service, role, "held_reset", "error"
            )
            await until(lambda: second.arrivals)
            third = await d.add("t3", service, role)
            first.gate.set()
            assert await caller.wait() is End.REFUSED
            assert third.arrivals == []

    run(scenario())


@repeated
def test_a_target_that_comes_while_the_only_one_is_silent_gets_the_request(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            target = await d.add("t1", service, role)
            target.behaviours.append("held")
            caller = Caller(d, path)
            await caller.send("r1")
            await asyncio.sleep(SILENCE_S)
            await d.add("t2", service, role)
            assert await caller.wait() is End.WHOLE

    run(scenario())


@stream
def test_an_event_that_comes_in_pieces_is_not_taken_for_silence(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            (_, second), caller = await add_pair(
                d, path, service, role, "slow_event", "ok"
            )
            assert await caller.wait() is End.WHOLE
            assert second.arrivals == []

    run(scenario())


# Callers.


@stream
def test_a_stream_goes_on_after_its_caller_took_nothing_for_a_while(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, routes=make_routes())
            target = await d.add("t1", service, role)
            target._be_long = make_long_stream(target)
            target.behaviours.append("long")
            caller = Caller(d, path)
            await caller.send("r1")
            await until(lambda: target.arrivals)
            await asyncio.sleep(SILENCE_S)
            assert await caller.wait() is End.WHOLE

    run(scenario())


def make_long_stream(target):
    """Make a behaviour: a stream of 16 MB as fast as it is taken."""

    async def answer(request, writer):
        target._begin_stream(request, writer)
        for number in range(1, 257):
            piece = b"id: %d\ndata: %s\n\n" % (number, b"x" * 65536)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    return answer


def test_a_caller_that_ends_its_sending_half_counts_as_gone(tmp_path):
    # A close looks the same, and work has to end soon after it.
    async def scenario(d, path, service, role):
        target = await d.add("t1", service, role)
        target.behaviours.append("held")
        caller = Caller(d, path)
        await caller.send("r1")
        await until(lambda: target.arrivals)
        caller.writer.write_eof()
        await until(lambda: target.closed == ["r1"])
        return await caller.wait()

    assert set(run_each(tmp_path, scenario).values()) == {End.CLOSED}


def make_bulk_stream(target):
    """Make a behaviour: a stream in one piece, a little more than is held for a caller.

    It has come whole before its caller is found to be slow.
    """

    async def answer(request, writer):
        target._begin_stream(request, writer)
        events = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 5001))
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events))
        return True

    return answer


def test_a_connection_is_read_again_after_a_caller_took_its_stream_too_slowly(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1", "lm", "decode")
            target._be_bulk = make_bulk_stream(target)
            target.behaviours.append("bulk")
            slow = Caller(d, "/chat/x")
            await slow.connect(buffer_bytes=4096)
            await slow.send("r1")
            known = d.gateway.directory.targets["t1"]
            await until(lambda: target.arrivals and known.in_flight == 0)
            caller = Caller(d, "/chat/x")
            await caller.send("r2")
            assert await caller.wait() is End.WHOLE
            assert await slow.wait() is End.WHOLE

    run(scenario())


# A stop.


def test_a_stop_leaves_answers_whole(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held", "held")
            callers = make_callers(d, ONCE)
            await send_all(callers)
            await until(lambda: count_arrivals(targets) == len(ONCE))
            d.gateway.begin_stop()
            await asyncio.sleep(3.0)
            open_gates(targets)
            ends = await wait_all(callers)
            assert set(ends.values()) == {End.WHOLE}, ends
            await until(d.gateway._stop.ended.is_set)

    run(scenario())


def test_a_stop_answers_the_next_request_that_was_read_already(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_targets(d, "held", "held")
            callers = make_callers(d)
            await send_all(callers)
            await send_all(callers, id="next")
            await until(lambda: count_arrivals(targets) == len(KINDS))
            d.gateway.begin_stop()
            open_gates(targets)
            ends = await wait_all(callers), await wait_all(callers)
            assert set(ends[0].values()) == {End.WHOLE}, ends
            assert all(end in ANSWERED for end in ends[1].values()), ends

    run(scenario())


def test_a_stop_answers_a_request_that_comes_behind_an_announced_close(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1", "lm", "decode")
            target.behaviours.append("held_midway")
            caller = Caller(d, "/chat/x")
            d.gateway.begin_stop()
            await caller.send("r1")
            await until(lambda: target.arrivals)
            await asyncio.sleep(0.2)
            await caller.send("r2")
            await asyncio.sleep(0.2)
            target.gate.set()
            assert await caller.wait() is End.WHOLE
            assert await caller.wait() in ANSWERED

    run(scenario())


def test_a_stop_waits_until_a_slow_caller_has_taken_its_answer(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1")
            target._id = lambda request: b"x" * 16_000_000
            caller = Caller(d, "/once/x")
            await caller.send("r1")
            await until(lambda: target.arrivals)
            d.gateway.begin_stop()
            await asyncio.sleep(3.5)
            assert not d.gateway._stop.ended.is_set()
            assert await caller.wait() is End.WHOLE
            await until(d.gateway._stop.ended.is_set)

    run(scenario())
