from types import SimpleNamespace

from robinspindle.core.calleraccount import find_bound
from robinspindle.threadlimits import Reading, make_thread_limits

MEMORY_MB = 512
BODIES = 20
"""A process's memory, and how many bodies fill what its callers may hold."""


def test_a_crowd_takes_no_more_bodies_with_it_than_hold_too_much():
    # All that were being read were refused at the first excess.
    server = SimpleNamespace(limits=make_thread_limits(MEMORY_MB))
    readings = [Reading(server) for _ in range(BODIES)]
    for reading in readings:
        server.limits.begin(reading)
        server.limits.note_coming(reading, int(find_bound(MEMORY_MB)) // BODIES)
    assert sum(reading.has_given_way for reading in readings) == BODIES // 10
