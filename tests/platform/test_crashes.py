"""Requests that crash the targets that run them, at one gateway.

Users saw a request under which three targets had ended go to targets 8 times more. The
evidence: the same path and body, with a new id each time, ran on each of the 12 targets
that ended, 0.1 to 0.2 s before their ends. Nothing was kept of what a request did to
targets beyond its one attempt.
"""

import asyncio

from robinspindle.core.crashes import Crash
from tests.platform.deployment import deploy, run, until

CRASHING = b"a body that crashes"


async def add_crashing(d, count, service="push", role=""):
    """Add targets that end, with all connections, when they run the crashing body."""
    return [
        await d.add(f"{service}{role}{n}", service, role, crashes_on=CRASHING)
        for n in range(count)
    ]


def count_arrivals(targets):
    return sum(len(target.arrivals) for target in targets)


def count_crashed(targets):
    return sum(target.has_crashed for target in targets)


def tell_crash(d, lifetime):
    """Have a peer tell of a crash under what the gateway suspects most."""
    guard = d.gateway.guard
    suspect = max(
        guard.evidence.crashes_by_request,
        key=lambda f: len(guard.evidence.crashes_by_request[f]),
    )
    guard.take_crash(Crash(lifetime, "push", guard.clock(), {suspect: 0.01}))


async def call(d, number, path="/safe/x", body=CRASHING, **headers):
    return await d.call(path, id=f"r{number}", body=body, **headers)


def test_after_three_crashes_a_request_reaches_no_target(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            targets = await add_crashing(d, 6)
            for number in range(8):
                await call(d, number)
            await until(lambda: d.gateway.guard.quarantine.entries)
            assert count_crashed(targets) == 3
            last = await call(d, 8)
            assert last.status == 503
            assert float(last.headers["retry-after"]) > 60
            before = count_arrivals(targets)
            await call(d, 9)
            assert count_arrivals(targets) == before

    run(play())


def test_a_prompt_that_crashes_engines_is_not_even_read(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            (reader,) = await add_crashing(d, 1, "lm", "prefill")
            hosts = await add_crashing(d, 6, "lm", "decode")
            for number in range(8):
                await call(d, number, "/digest/x", **d.prompt())
            assert count_crashed([*hosts, reader]) == 3
            before = count_arrivals([*hosts, reader])
            assert (await call(d, 9, "/digest/x", **d.prompt())).status == 503
            assert count_arrivals([*hosts, reader]) == before

    run(play())


def test_a_failure_clears_nothing(tmp_path):
    """A target may fail a request that it has not begun to run."""

    async def play():
        async with deploy(tmp_path) as d:
            targets = await add_crashing(d, 2)
            await call(d, 0, "/once/x")
            await call(d, 1, "/once/x")
            assert count_crashed(targets) == 2
            failing = await d.add("push2")
            failing.behaviours.append("error")
            assert (await call(d, 2, "/once/x")).status == 500
            assert d.gateway.guard.evidence.crashes_by_request

    run(play())


def test_others_are_served_as_before(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            await add_crashing(d, 5)
            for number in range(6):
                await call(d, number)
            for body in (b"another", b"", CRASHING + b"!"):
                assert (await call(d, 7, body=body)).status == 200
            assert (await call(d, 8, path="/safe/y")).status != 503

    run(play())


def test_copies_that_wait_are_not_run_once_the_request_is_known(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            targets = await add_crashing(d, 2)
            for target in targets:
                target.behaviours.append("held")
            # One copy waits at a target that has not begun to run it yet.
            waiting = asyncio.create_task(call(d, 0, "/once/x"))
            await until(lambda: count_arrivals(targets))
            for target in targets:
                await d.announce(target, "draining")
            others = [await d.add(f"push{n}", crashes_on=CRASHING) for n in (2, 3, 4)]
            for number in range(1, 6):
                last = await call(d, number, "/once/x")
            # While it waits only two more crash: a suspect runs once at a time.
            assert count_crashed(others) == 2
            assert last.status == 503
            tell_crash(d, "elsewhere")
            await until(lambda: waiting.done())
            assert waiting.result().status == 502
            await until(lambda: "r0" in targets[0].closed + targets[1].closed)
            assert count_crashed([*targets, *others]) == 2

    run(play())
