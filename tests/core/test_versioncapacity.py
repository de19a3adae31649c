"""Room for streams that can go on at one software version only."""

import pytest

from robinspindle.core.engines import make_engine
from robinspindle.core.priorities import LATE_LEVEL
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.targets import Announcement, Directory, Target
from robinspindle.core.versioncapacity import (
    has_several_versions,
    list_open,
    should_refuse_take_up,
)

SLOTS = 8
OLD, NEW = "v1", "v2"


def make_pairs(version, loads, role="decode"):
    """Make engines of a version, of which each has a number of requests under way."""
    pairs = []
    for number, load in enumerate(loads):
        lifetime = f"{version}-{role}-{number}"
        announced = Announcement(
            lifetime, "s", "x:1", "a", SLOTS, role=role, software_version=version
        )
        engine = make_engine(role == "prefill", 1000)
        engine.peers_in_flight["peer"] = load // 2
        pairs.append((Target(announced, in_flight=load - load // 2), engine))
    return pairs


def list_versions(pairs):
    return {target.announced.software_version for target, _ in pairs}


@pytest.mark.parametrize(
    ("old", "new", "versions"),
    [
        ([8], [0, 0, 0], {NEW}),
        ([6], [0, 0, 0], {NEW}),
        ([5], [0, 0, 0], {OLD, NEW}),
        ([8, 2], [0, 0], {OLD, NEW}),
        ([8, 4], [0, 0], {NEW}),
        ([0], [8, 8, 8], {OLD}),
        ([20], [0], {NEW}),
        ([8], [8, 8], {OLD, NEW}),
        ([6], [6], {OLD, NEW}),
    ],
)
def test_new_streams_leave_the_last_slots_of_a_version_to_those_bound_to_it(
    old, new, versions
):
    pairs = make_pairs(OLD, old) + make_pairs(NEW, new)
    assert list_versions(list_open(pairs)) == versions


@pytest.mark.parametrize("load", [0, 6, 8, 30])
def test_nothing_is_left_out_where_one_version_is_listed(load):
    pairs = make_pairs(OLD, [load, 0]) + make_pairs(OLD, [load], "prefill")
    assert list_open(pairs) == pairs


def test_prefill_engines_of_all_versions_stay():
    prefill = make_pairs(OLD, [9], "prefill")
    pairs = make_pairs(OLD, [8]) + prefill + make_pairs(NEW, [0])
    assert list_open(pairs) == prefill + make_pairs(NEW, [0])


def test_a_version_that_only_prefills_takes_no_slots_from_others():
    pairs = make_pairs(OLD, [0, 0], "prefill") + make_pairs(NEW, [8])
    assert list_open(pairs) == pairs


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
