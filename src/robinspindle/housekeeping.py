"""What a process does at short intervals: each job, whatever became of the others."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from robinspindle.supervision import FailureLog


@dataclass(frozen=True)
class Job:
    """One thing to do at each interval.

    Attributes:
        name: Its name in logs and metrics.
        do: Does it, told the present time in monotonic seconds.
    """

    name: str
    do: Callable[[float], None]


def do_jobs(jobs: Sequence[Job], now: float, failures: FailureLog) -> None:
    """Do all jobs.

    Args:
        jobs: The jobs.
        now: The present time, monotonic seconds.
        failures: Takes the failures; the other jobs are done all the same.
    """
    for job in jobs:
        try:
            job.do(now)
        except Exception as error:
            failures.note(job.name, error)
