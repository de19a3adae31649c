"""Runs the long-lived tasks of a process, and each again after it has failed.

A failure is an error that nobody foresaw. It ends neither the process, with all that is
under way, nor the task for good: it is logged with its place, counted, and the task
runs again after a pause.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from robinspindle.core.taskfailures import (
    FailureHistory,
    find_failing_s,
    note_failure,
)
from robinspindle.logs import Log, find_place

LOG_INTERVAL_S = 10.0
"""How often the same failure at the same place is logged, seconds."""

MOST_PLACES = 1000
"""Places of failures that are remembered; the counts begin anew beyond them."""

MOST_ERROR_CHARACTERS = 500


@dataclass
class _Seen:
    logged_at: float
    count: int = 0


class FailureLog:
    """Logs failures nobody foresaw, the same one at intervals, and counts each."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: Log,
        count: Callable[[str], None] = lambda part: None,
    ):
        """Begin with none.

        Args:
            clock: Tells the present time, monotonic seconds.
            log: Takes log lines.
            count: Counts a failure of a part of the program.
        """
        self._clock = clock
        self._log = log
        self._count = count
        self._seen: dict[tuple[str, str, str], _Seen] = {}

    def note(self, part: str, error: BaseException, **fields: object) -> None:
        """Take note of a failure.

        Args:
            part: The part of the program in which it was.
            error: The error.
            fields: More for its log line.
        """
        self._count(part)
        now, place = self._clock(), find_place(error)
        if len(self._seen) > MOST_PLACES:
            self._seen.clear()
        seen = self._seen.get((part, type(error).__name__, place))
        if seen is not None and now - seen.logged_at < LOG_INTERVAL_S:
            seen.count += 1
            return
        repeated = 0 if seen is None else seen.count
        self._seen[(part, type(error).__name__, place)] = _Seen(now)
        self._log(
            "unexpected error",
            part=part,
            error=_describe(error),
            place=place,
            repeated=repeated,
            **fields,
        )

    def guard(self, part: str, do: Callable[..., None]) -> Callable[..., None]:
        """Wrap a callback so that its failures are noted and go no further."""

        def call(*args: object) -> None:
            try:
                do(*args)
            except Exception as error:
                self.note(part, error)

        return call


def _describe(error: BaseException) -> str:
    try:
        return repr(error)[:MOST_ERROR_CHARACTERS]
    except Exception:
        return type(error).__name__


def _note_nothing() -> None:
    """Stand for who is told of a task's failures."""


@dataclass(frozen=True)
class Task:
    """A task that runs as long as the process does.

    Attributes:
        name: Its name in logs and metrics.
        run: Runs it; called again after each failure.
        note_failure: Told of each failure, before the task rests.
        is_vital: Whether a gateway can't say what is true while it fails.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    note_failure: Callable[[], None] = _note_nothing
    is_vital: bool = False


@dataclass
class _Supervised:
    task: Task
    runner: asyncio.Task | None = None
    history: FailureHistory = field(default_factory=FailureHistory)


class Supervisor:
    """Runs the tasks of one process."""

    def __init__(self, clock: Callable[[], float], failures: FailureLog):
        """Begin with none.

        Args:
            clock: Tells the present time, monotonic seconds.
            failures: Takes the failures.
        """
        self._clock = clock
        self._failures = failures
        self._supervised: list[_Supervised] = []

    def start(self, task: Task) -> asyncio.Task:
        """Run a task from now on."""
        supervised = _Supervised(task)
        supervised.runner = asyncio.get_running_loop().create_task(
            self._run(supervised), name=task.name
        )
        self._supervised.append(supervised)
        return supervised.runner

    def cancel_all(self) -> None:
        """End all of them."""
        for supervised in self._supervised:
            supervised.runner.cancel()

    def find_failing_s(self, now: float) -> float:
        """Find for how long a vital task has been failing, seconds; 0 for none."""
        return max(
            (
                find_failing_s(supervised.history, now)
                for supervised in self._supervised
                if supervised.task.is_vital
            ),
            default=0.0,
        )

    async def _run(self, supervised: _Supervised) -> None:
        while True:
            try:
                await supervised.task.run()
            except asyncio.CancelledError as error:
                if asyncio.current_task().cancelling():
                    raise
                # Something that it waited for was cancelled, not the task itself.
                await self._rest(supervised, error)
            except Exception as error:
                await self._rest(supervised, error)
            else:
                return

    async def _rest(self, supervised: _Supervised, error: BaseException) -> None:
        task, history = supervised.task, supervised.history
        pause_s = note_failure(history, self._clock())
        self._failures.note(
            task.name, error, failures=history.count, rests_ms=round(pause_s * 1000)
        )
        self._failures.guard(task.name, task.note_failure)()
        await asyncio.sleep(pause_s)
