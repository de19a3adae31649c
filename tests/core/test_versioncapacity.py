"""Room for streams that can go on at one software version only."""

import pytest

from robinspindle.core.priorities import LATE_LEVEL
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.targets import Announcement, Directory, Target
from robinspindle.core.versioncapacity import (
    has_several_versions,
    should_refuse_take_up,
)

SLOTS = 8
OLD, NEW = "v1", "v2"


@pytest.mark.parametrize(
    ("versions", "is_several"),
    [((OLD,), False), ((OLD, OLD), False), ((OLD, NEW), True)],
)
def test_versions_count_that_are_listed_for_the_service(versions, is_several):
    directory = Directory()
    for number, version in enumerate((*versions, "of another service")):
        service = "s" if number < len(versions) else "other"
        announced = Announcement(
            f"i{number}", service, "x:1", "a", SLOTS, software_version=version
        )
        directory.targets[f"i{number}"] = Target(announced)
    assert has_several_versions(directory, "s", 100.0) is is_several


def test_a_version_that_is_gone_is_not_listed():
    directory = Directory()
    for version, gone_at in ((OLD, 99.0), (NEW, None)):
        announced = Announcement(
            version, "s", "x:1", "a", SLOTS, software_version=version
        )
        directory.targets[version] = Target(announced, gone_at=gone_at)
    assert not has_several_versions(directory, "s", 100.0)
    assert has_several_versions(directory, "s", 98.0)


@pytest.mark.parametrize(
    ("more", "is_refused"),
    [
        ({}, False),
        ({"has_capacity": False}, False),
        ({"level": LATE_LEVEL, "first_event_s": 3.0}, False),
        ({"slot_wait_s": 2.0, "first_event_s": 1.0}, False),
        ({"first_event_s": 3.3}, True),
        ({"slot_wait_s": 2.3, "first_event_s": 1.0}, True),
    ],
)
def test_a_take_up_is_refused_only_if_it_cannot_begin_in_time(more, is_refused):
    values = {
        "target": None,
        "prefill_target": None,
        "uncached_tokens": 0,
        "prefill_s": 0.0,
        "wait_s": 0.0,
        "first_event_s": 0.1,
        "cost_s": 0.0,
    }
    assert should_refuse_take_up(RequestPlan(**values | more), 4.0) is is_refused
