"""Targets that turn a request away and ask for rest."""

import asyncio

import pytest

from standins.replica import Refusal
from tests.platform.deployment import KINDS, deploy, make_configuration, run, until
from tests.platform.test_disconnects import set_link
from tests.platform.test_leaving import (
    count,
    is_refusal,
    make_long_prompt,
    make_prompt,
)
from tests.platform.test_restarts import start_lifetime

GRACE_S = 0.5
SETTLE_S = 0.6
MOST = 2
"""From when after the answer at most how many requests may come, seconds; a wait until
then."""

CALLS = 20
"""Calls in the time of rest; a choice that minds no rest rarely passes most of them."""

FIRST_S = 200
SECOND_S = 400
TEST_S = 100
"""Rests that are over long after a test, the earlier one first; longer than any test,
seconds."""

LONG_MS = 1_200_000
"""So long a time that even a third of it is longer than any rest."""

LONG = str(SECOND_S)

NO_RESTS = ["0", "0.2", "-1", "-1e400", "nan", "soon", "", "1 2", "0x10"]
PAST_DATE = "Wed, 21 Oct 2015 07:28:00 GMT"
"""Values that ask for none, or for none any more."""


async def refuse_once(d, replica, path, role, refusal):
    """Have the only target turn one request away."""
    replica.refusal = refusal
    reply = await d.call(path, id="refused", **make_prompt(d, role))
    replica.refusal = None
    assert count([replica]) == [1]
    return reply


async def call_in_rest(d, path, role, calls=CALLS, **headers):
    """Call some times, later than requests may still come."""
    await asyncio.sleep(SETTLE_S)
    return [
        await d.call(path, id=f"c{n}", **make_prompt(d, role, n), **headers)
        for n in range(calls)
    ]


async def allow_long_waits(d):
    document = make_configuration(d.version + 1)
    for route in document["Routes"]:
        route["TimeoutMs"] = LONG_MS
    await d.store.put("keyed.op", "config", document)
    await until(lambda: d.version == document["Version"])


def note_times(replica):
    """Note when the target turns requests away, seconds of the event loop."""
    times, refuse = [], replica._be_refuse

    async def note(request, writer):
        times.append(asyncio.get_running_loop().time())
        return await refuse(request, writer)

    replica._be_refuse = note
    return times


@pytest.mark.parametrize("is_marked", [True, False])
@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_target_that_asks_for_rest_gets_two_requests_at_most(
    tmp_path, path, service, role, is_marked
):
    async def scenario():
        async with deploy(tmp_path) as d:
            resting = await d.add("t1", service, role)
            refusal = Refusal((LONG,), is_marked=is_marked)
            await refuse_once(d, resting, path, role, refusal)
            other = await d.add("t2", service, role)
            replies = await call_in_rest(d, path, role)
            assert [reply.status for reply in replies] == [200] * CALLS
            assert len(resting.arrivals) <= 1 + MOST
            assert len(other.arrivals) >= CALLS - MOST

    run(scenario())


def test_a_prefill_engine_that_asks_for_rest_gets_two_prompts_at_most(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            resting = await d.add("p1", "lm", "prefill")
            await d.add("d1", "lm", "decode")
            await d.call("/digest/x", id="first", **make_long_prompt(d, "x"))
            resting.refusal = Refusal((LONG,))
            await d.call("/digest/x", id="refused", **make_long_prompt(d, "y"))
            resting.refusal = None
            assert count([resting]) == [2]
            await asyncio.sleep(SETTLE_S)
            calls = [
                d.call("/digest/x", id=f"c{n}", **make_long_prompt(d, f"c{n}"))
                for n in range(6)
            ]
            assert all(reply.is_whole for reply in await asyncio.gather(*calls))
            assert len(resting.arrivals) <= 2 + MOST

    run(scenario())


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_request_is_refused_at_once_until_the_first_target_has_rested(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await allow_long_waits(d)
            resting = [await d.add(f"t{n}", service, role) for n in range(3)]
            for replica, rest_s in zip(
                resting, (SECOND_S, FIRST_S, SECOND_S), strict=True
            ):
                replica.refusal = Refusal((str(rest_s),))
            late = {"X-Deadline-Ms": str(LONG_MS)}
            # All have been asked once two at a time have been tried three times.
            for number in range(CALLS):
                if all(count(resting)):
                    break
                prompt = make_prompt(d, role, number)
                await d.call(path, id=f"first{number}", **prompt, **late)
            assert all(count(resting))
            await asyncio.sleep(SETTLE_S)
            before = count(resting)
            for number in range(CALLS):
                prompt = make_prompt(d, role, number)
                reply = await d.call(path, id=f"c{number}", **prompt, **late)
                assert is_refusal(reply)
            left_s = float(reply.headers["retry-after"])
            assert FIRST_S - TEST_S <= left_s < SECOND_S - TEST_S
            after = count(resting)
            assert all(n - m <= MOST for n, m in zip(after, before, strict=True))

    run(scenario())


@pytest.mark.parametrize("rests", [("10000",), ("400.5",), ("0", LONG), (LONG, "0")])
def test_the_longest_rest_that_an_answer_asks_for_holds(tmp_path, rests):
    async def scenario():
        async with deploy(tmp_path) as d:
            resting = await d.add("t1")
            await refuse_once(d, resting, "/once/x", "", Refusal(rests))
            await d.add("t2")
            replies = await call_in_rest(d, "/once/x", "")
            assert [reply.status for reply in replies] == [200] * CALLS
            assert len(resting.arrivals) <= 1 + MOST

    run(scenario())


@pytest.mark.parametrize("rests", [(), *((text,) for text in (*NO_RESTS, PAST_DATE))])
def test_a_target_that_asks_for_no_rest_is_used_again(tmp_path, rests):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1")
            await refuse_once(d, target, "/once/x", "", Refusal(rests))
            while (await d.call("/once/x")).status != 200:
                await asyncio.sleep(0.05)

    run(scenario())


def test_a_target_is_used_again_after_its_rest(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            target = await d.add("t1")
            await refuse_once(d, target, "/once/x", "", Refusal(("1.5",)))
            statuses = []
            while statuses.count(200) <= MOST:
                await asyncio.sleep(0.05)
                statuses.append((await d.call("/once/x")).status)
            assert set(statuses) <= {200, 503}

    run(scenario())


def test_a_later_shorter_rest_does_not_shorten_the_first(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            resting = await d.add("t1")
            resting.behaviours += ["held_refuse", "refuse"]
            late = asyncio.create_task(d.call("/once/x", id="late"))
            await until(lambda: resting.arrivals)
            resting.refusal = Refusal((LONG,))
            await d.call("/once/x", id="first")
            resting.refusal = Refusal(("0.1",))
            resting.gate.set()
            assert is_refusal(await late)
            resting.refusal = None
            before = len(resting.arrivals)
            await d.add("t2")
            replies = await call_in_rest(d, "/once/x", "")
            assert [reply.status for reply in replies] == [200] * CALLS
            assert len(resting.arrivals) <= before + MOST

    run(scenario())


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_target_that_starts_again_under_its_id_need_not_rest(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            before = await start_lifetime(d, "i1", 5, service, role)
            await refuse_once(d, before, path, role, Refusal((LONG,)))
            now = await start_lifetime(d, "i1", 6, service, role)
            replies = await call_in_rest(d, path, role)
            assert [reply.status for reply in replies] == [200] * CALLS
            assert count([before, now]) == [1, CALLS]

    run(scenario())


def test_requests_that_wait_for_the_link_do_not_reach_a_resting_target(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await allow_long_waits(d)
            resting = await d.add("t1")
            resting.refusal = Refusal((LONG,))
            times = note_times(resting)
            set_link(d, bytes_per_s=50_000.0)
            late = {"X-Deadline-Ms": str(LONG_MS)}
            calls = [
                asyncio.create_task(
                    d.call("/once/x", id=f"r{n}", body=b"x" * 20_000, **late)
                )
                for n in range(10)
            ]
            replies = await asyncio.gather(*calls)
            assert all(is_refusal(reply) for reply in replies)
            assert sum(time >= times[0] + GRACE_S for time in times) <= MOST

    run(scenario())


def test_streams_are_not_taken_up_at_an_engine_that_asks_for_rest(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, attempts=1)
            resting = await d.add("t1", "lm", "decode")
            resting.behaviours += ["torn", "refuse"]
            prompt = make_prompt(d, "decode")
            assert not (await d.call("/digest/x", id="r1", **prompt)).is_whole
            resting.refusal = Refusal((LONG,))
            await d.call("/digest/x", id="refused", **make_prompt(d, "decode", 1))
            resting.refusal = None
            assert count([resting]) == [2]
            await asyncio.sleep(SETTLE_S)
            more = {"Last-Event-Id": "1", "Resumes": "r1", **prompt}
            replies = [
                await d.call("/digest/x", id=f"t{n}", **more) for n in range(CALLS)
            ]
            assert len(resting.arrivals) <= 2 + MOST
            assert sum(is_refusal(reply) for reply in replies) >= CALLS - MOST

    run(scenario())
