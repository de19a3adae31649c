"""Tasks that fail: each runs again, and is seen in logs and metrics."""

import asyncio

from robinspindle.core import taskfailures
from robinspindle.housekeeping import Job, do_jobs
from robinspindle.supervision import FailureLog, Supervisor, Task
from robinspindle.unexpected import report_to


class Seen:
    """What was logged and counted."""

    def __init__(self):
        self.now = 0.0
        self.lines = []
        self.counted = []
        self.failures = FailureLog(lambda: self.now, self._log, self.counted.append)

    def _log(self, text, **fields):
        self.lines.append(fields | {"text": text})


def supervise(scenario, monkeypatch=None):
    if monkeypatch is not None:
        monkeypatch.setattr(taskfailures, "FIRST_PAUSE_S", 0.001)
    seen = Seen()

    async def run():
        supervisor = Supervisor(lambda: seen.now, seen.failures)
        try:
            async with asyncio.timeout(10):
                await scenario(supervisor)
        finally:
            supervisor.cancel_all()

    asyncio.run(run())
    return seen


def test_a_task_that_fails_runs_again_and_tells_where_it_failed(monkeypatch):
    runs = []

    async def fail_twice():
        runs.append(1)
        if len(runs) < 3:
            raise ZeroDivisionError("odd")

    async def scenario(supervisor):
        await supervisor.start(Task("odd task", fail_twice))

    seen = supervise(scenario, monkeypatch)
    assert len(runs) == 3
    assert seen.counted == ["odd task", "odd task"]
    assert seen.lines[0]["part"] == "odd task"
    assert seen.lines[0]["error"] == "ZeroDivisionError('odd')"
    assert seen.lines[0]["place"].startswith("test_supervision.py:")


def test_a_task_is_not_lost_as_what_it_waits_for_is_cancelled(monkeypatch):
    runs = []

    async def wait_in_vain():
        runs.append(1)
        if len(runs) == 1:
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future

    async def scenario(supervisor):
        await supervisor.start(Task("waits", wait_in_vain))

    assert supervise(scenario, monkeypatch).counted == ["waits"]
    assert len(runs) == 2


def test_a_cancelled_task_ends():
    async def wait():
        await asyncio.sleep(3600)

    async def scenario(supervisor):
        runner = supervisor.start(Task("waits", wait))
        await asyncio.sleep(0)
        supervisor.cancel_all()
        await asyncio.wait({runner})
        assert runner.cancelled()

    assert supervise(scenario).counted == []


def test_only_vital_tasks_count_as_failing():
    async def fail():
        raise ValueError

    async def scenario(supervisor):
        supervisor.start(Task("minor", fail))
        await asyncio.sleep(0.01)
        assert supervisor.find_failing_s(0.0) == 0.0
        told = []
        supervisor.start(Task("vital", fail, lambda: told.append(1), is_vital=True))
        await asyncio.sleep(0.01)
        assert supervisor.find_failing_s(0.05) > 0.0
        assert told == [1]

    supervise(scenario)


def test_the_same_failure_is_logged_at_intervals_and_counted_each_time():
    seen = Seen()

    def fail(now):
        raise ValueError("odd" * 10_000)

    done = []
    jobs = [Job("odd job", fail), Job("next job", done.append)]
    for number in range(300):
        seen.now = number * 0.1
        do_jobs(jobs, seen.now, seen.failures)
    assert len(done) == len(seen.counted) == 300
    assert len(seen.lines) == 3
    assert seen.lines[1]["repeated"] == 99
    assert len(seen.lines[0]["error"]) <= 500


def test_errors_in_callbacks_and_lost_tasks_are_logged_and_end_nothing(capfd):
    seen = Seen()

    async def fail_alone():
        raise ValueError("alone")

    async def scenario():
        loop = asyncio.get_running_loop()
        report_to(seen.failures, loop)
        loop.call_soon(lambda: 1 / 0)
        loop.create_task(fail_alone())
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    errors = [line["error"] for line in seen.lines]
    assert errors == ["ZeroDivisionError('division by zero')", "ValueError('alone')"]
    assert capfd.readouterr().err == ""
