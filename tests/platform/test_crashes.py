"""Requests that crash the targets that run them, at one gateway.

The tests guard against retries that crash one target after another. A request that had
crashed three targets was sent 8 more times: the same path and body, with a new id each
time, ran on all 12 crashed targets 0.1 to 0.2 s before each crash. Gateways kept no
record of crashes beyond a single attempt.
"""

import asyncio

from robinspindle.core.crashes import Crash, CrashedRun
from robinspindle.core.fingerprints import (
    FINGERPRINT_BYTES,
    Fingerprint,
    hash_part_head,
    make_part_fingerprint,
)
from tests.platform.deployment import deploy, run, until

CRASHING = b"a body that crashes"


async def add_crashing(d, count, service="push", role=""):
    """Add targets that crash, with all connections, when they run the crashing body."""
    return [
        await d.add(f"{service}{role}{n}", service, role, crashes_on=CRASHING)
        for n in range(count)
    ]


def count_arrivals(targets):
    return sum(len(target.arrivals) for target in targets)


def count_crashed(targets):
    return sum(target.has_crashed for target in targets)


def report_crash(d, lifetime):
    """Have a peer report a crash while the most suspected request was running."""
    guard = d.gateway.guard
    suspect = max(
        guard.evidence.crashes_by_suspect,
        key=lambda f: len(guard.evidence.crashes_by_suspect[f]),
    )
    guard.take_crash(
        Crash(lifetime, "push", guard.clock(), {suspect: CrashedRun(0.01)})
    )


async def call(d, number, path="/safe/x", body=CRASHING, **headers):
    return await d.call(path, id=f"r{number}", body=body, **headers)


def test_after_three_crashes_a_request_reaches_no_target(tmp_path):
    async def scenario():
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

    run(scenario())


def test_a_quarantined_prompt_is_not_prefilled(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            (prefill_engine,) = await add_crashing(d, 1, "lm", "prefill")
            decode_engines = await add_crashing(d, 6, "lm", "decode")
            for number in range(8):
                await call(d, number, "/digest/x", **d.prompt())
            assert count_crashed([*decode_engines, prefill_engine]) == 3
            before = count_arrivals([*decode_engines, prefill_engine])
            assert (await call(d, 9, "/digest/x", **d.prompt())).status == 503
            assert count_arrivals([*decode_engines, prefill_engine]) == before

    run(scenario())


def test_a_failed_request_does_not_discard_the_evidence(tmp_path):
    """A target may respond with an error to a request that it has not begun to run."""

    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_crashing(d, 2)
            await call(d, 0, "/once/x")
            await call(d, 1, "/once/x")
            assert count_crashed(targets) == 2
            failing = await d.add("push2")
            failing.behaviours.append("error")
            assert (await call(d, 2, "/once/x")).status == 500
            assert d.gateway.guard.evidence.crashes_by_suspect

    run(scenario())


def test_other_requests_are_still_served(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await add_crashing(d, 5)
            for number in range(6):
                await call(d, number)
            for body in (b"another", b"", CRASHING + b"!"):
                assert (await call(d, 7, body=body)).status == 200
            assert (await call(d, 8, path="/safe/y")).status != 503

    run(scenario())


def test_waiting_copies_of_a_quarantined_request_are_cancelled(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            targets = await add_crashing(d, 2)
            for target in targets:
                target.behaviours.append("held")
            # One copy waits at a target that has not started it yet.
            waiting = asyncio.create_task(call(d, 0, "/once/x"))
            await until(lambda: count_arrivals(targets))
            for target in targets:
                await d.announce(target, "draining")
            others = [await d.add(f"push{n}", crashes_on=CRASHING) for n in (2, 3, 4)]
            for number in range(1, 6):
                last = await call(d, number, "/once/x")
            # Only two more targets crash meanwhile, because at most one copy of a
            # suspected request runs at a time.
            assert count_crashed(others) == 2
            assert last.status == 503
            report_crash(d, "elsewhere")
            await until(lambda: waiting.done())
            assert waiting.result().status == 502
            await until(lambda: "r0" in targets[0].closed + targets[1].closed)
            assert count_crashed([*targets, *others]) == 2

    run(scenario())


def make_prompt(d, number, part="bad"):
    return d.prompt(parts=f"aa:100,{part}:50,own{number}:10")


def blame_part(d, part="bad"):
    """Have peers report three crashes under different requests that share a part."""
    guard = d.gateway.guard
    fingerprint = make_part_fingerprint(hash_part_head("m"), part)
    for number in range(3):
        whole = Fingerprint(bytes([number + 1]) * FINGERPRINT_BYTES)
        run = CrashedRun(0.05, 0.05, frozenset([fingerprint]))
        guard.take_crash(Crash(f"peer{number}", "lm", guard.clock(), {whole: run}))


async def add_engines(d):
    reader = await d.add("p1", "lm", "prefill")
    return [
        reader,
        await d.add("d1", "lm", "decode"),
        await d.add("d2", "lm", "decode"),
    ]


def test_prompts_with_a_blamed_part_are_refused_and_others_are_served(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            engines = await add_engines(d)
            blame_part(d)
            for number, path in enumerate(("/digest/x", "/chat/x")):
                reply = await call(d, number, path, b"sound", **make_prompt(d, number))
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
            assert count_arrivals(engines) == 0
            sound = make_prompt(d, 3, "good")
            assert (await call(d, 3, "/digest/x", b"sound", **sound)).status == 200

    run(scenario())


def test_stream_that_is_taken_up_is_refused_if_its_prompt_has_a_blamed_part(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            engines = await add_engines(d)
            blame_part(d)
            headers = make_prompt(d, 1) | {"Last-Event-Id": "1"}
            assert (await call(d, 1, "/digest/x", b"", **headers)).status == 503
            assert count_arrivals(engines) == 0

    run(scenario())


def test_prompt_that_waits_for_the_link_is_not_sent_once_its_part_is_blamed(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            engines = await add_engines(d)
            gate, link = asyncio.Event(), d.gateway.link
            waiting = []

            async def reserve(size):
                waiting.append(size)
                await gate.wait()

            link.reserve = reserve
            prompt = d.prompt(parts="aa:4000,bad:4000,own:2000", tokens=10000)
            waits = asyncio.create_task(call(d, 1, "/digest/x", b"", **prompt))
            await until(lambda: waiting)
            blame_part(d)
            gate.set()
            assert (await waits).status == 503
            assert count_arrivals(engines) == 0

    run(scenario())


def test_prompt_that_is_read_apart_is_broken_off_once_its_part_is_blamed(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            reader, *hosts = await add_engines(d)
            reader.behaviours.append("held")
            prompt = d.prompt(parts="aa:4000,bad:4000,own:2000", tokens=10000)
            waits = asyncio.create_task(call(d, 1, "/digest/x", b"", **prompt))
            await until(lambda: reader.arrivals)
            blame_part(d)
            assert (await waits).status == 503
            await until(lambda: reader.closed)
            assert count_arrivals(hosts) == 0

    run(scenario())
