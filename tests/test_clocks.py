"""Suspended VMs and processes that are not run: seen before anything else is done."""

import asyncio
import time

import pytest

from robinspindle.clocks import PauseWatch, make_loop, read_clocks, read_steady
from robinspindle.core.pauses import ClockReadings, Pause, detect_pause
from robinspindle.core.silence import ExpectedResponse
from tests.platform.deployment import deploy, run, until


@pytest.mark.parametrize(
    ("steady", "running", "asked_s", "pause"),
    [
        # A wait that ended in time, by an event or by itself.
        (10.1, 5.1, 0.1, None),
        (10.02, 5.02, 0.1, None),
        (10.0, 5.0, None, None),
        # A timer that fires a little late, as on a busy VM.
        (10.3, 5.3, 0.1, None),
        # Suspended for 4 s; the running clock saw none of it.
        (14.1, 5.1, 0.1, Pause(4.0, True)),
        (14.0, 5.0, None, Pause(4.0, True)),
        # Not run for 3 s.
        (13.1, 8.1, 0.1, Pause(3.0, False)),
        # Waited for long because nothing had a time.
        (17.0, 12.0, None, None),
    ],
)
def test_a_pause_is_told_from_a_wait(steady, running, asked_s, pause):
    found = detect_pause(
        ClockReadings(10.0, 5.0), ClockReadings(steady, running), asked_s
    )
    if pause is None:
        assert found is None
    else:
        assert found.is_suspension == pause.is_suspension
        assert found.seconds == pytest.approx(pause.seconds)


def test_a_suspension_while_the_loop_is_at_work_is_told_before_its_next_wait():
    looks = [ClockReadings(1.0, 1.0), ClockReadings(1.1, 1.1), ClockReadings(8.1, 1.1)]
    watch, told = PauseWatch(lambda: looks.pop(0)), []
    watch.note = told.append
    watch.begin_wait()
    watch.end_wait(0.1)
    assert told == []
    watch.begin_wait()
    assert told[0].seconds == pytest.approx(7.0)


@pytest.mark.parametrize(("at_end", "told"), [(1.09, []), (1.6, [0.6])])
def test_a_long_turn_of_the_loop_is_told_before_its_next_wait(at_end, told):
    looks = [ClockReadings(1.0, 1.0), ClockReadings(at_end, at_end)]
    watch, seconds = PauseWatch(lambda: looks.pop(0)), []
    watch.note_long_turn = seconds.append
    watch.end_wait(0.1)
    watch.begin_wait()
    assert seconds == pytest.approx(told)


def test_the_loop_keeps_to_the_steady_clock_and_tells_before_it_handles_events():
    """A jump of the clock between two waits stands for a suspension."""
    skipped, order = [0.0], []

    def read():
        clocks = read_clocks()
        return ClockReadings(clocks.steady + skipped[0], clocks.running)

    watch = PauseWatch(read)
    watch.note = lambda pause: order.append("told")

    async def play():
        loop = asyncio.get_running_loop()
        assert abs(loop.time() - read_steady()) < 1.0
        skipped[0] = 5.0
        loop.call_later(0.01, order.append, "timer")
        while "timer" not in order:
            await asyncio.sleep(0.005)

    with asyncio.Runner(loop_factory=lambda: make_loop(watch)) as runner:
        runner.run(play())
    assert order == ["told", "timer"]
    assert time.monotonic() <= read_steady() + 1.0


def test_after_a_pause_nothing_goes_out_on_a_kept_connection(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            target = await d.add("push0")
            await d.call("/once/x")
            (pool,) = (p for p in d.gateway.fleet._pools.values() if p.idle)
            (kept,) = pool.idle
            d.gateway.note_pause(Pause(5.0, True))
            assert not pool.idle
            assert not kept.is_open
            assert (await d.call("/once/x", id="r2")).status == 200
            assert len(target.arrivals) == 2

    run(play())


def test_a_target_that_could_not_be_heard_meanwhile_is_not_silent(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            await d.add("push0")
            (target,) = d.gateway.directory.targets.values()
            now = d.gateway._clock()
            expected = ExpectedResponse(since=now - 5.0, silent_after_s=0.6)
            target.liveness.expected.add(expected)
            d.gateway.note_pause(Pause(5.0, True))
            assert d.gateway.fleet.leave_silent(now) == []
            assert d.gateway.fleet.leave_silent(now + 1.0) == [target]

    run(play())


def test_held_polls_are_looked_after_at_once(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            await until(lambda: d.gateway.is_ready)
            before = len(d.store.calls)
            d.gateway.note_pause(Pause(5.0, True))
            await until(lambda: len(d.store.calls) >= before + 4)
            await d.configure(version=9)

    run(play())
