"""Role changes while engines of several software versions serve."""

import pytest

from robinspindle.core import rebalancing
from robinspindle.core.engines import make_engine
from robinspindle.core.rebalancing import (
    DECODE_ROLE,
    PREFILL_ROLE,
    RoleChangeHistory,
    decide_role_change,
)
from robinspindle.core.statements import Statements
from robinspindle.core.targets import Announcement, Directory, Target
from robinspindle.core.versionroles import list_covered

ROLE_CHANGE_S = 3.0
OLD, NEW = "v1", "v2"


def make_engines(version, prefill_engines, decode_engines, long_answers=0):
    engines = []
    for number in range(prefill_engines + decode_engines):
        is_prefill = number < prefill_engines
        announced = Announcement(
            f"{version}-{number}",
            "s",
            "x:1",
            "a",
            48,
            role=PREFILL_ROLE if is_prefill else DECODE_ROLE,
            software_version=version,
        )
        engine = make_engine(is_prefill, 1000)
        engine.own_long_answers = 0 if is_prefill else long_answers
        engines.append((Target(announced), engine))
    return engines


def decide(engines, prefill_load, history=None):
    # What the fleet needs, it has needed for long.
    history = history or RoleChangeHistory(overloaded_since=0.0)
    return decide_role_change(engines, prefill_load, history, 100.0, ROLE_CHANGE_S)


def list_lifetimes(change):
    return [target.announced.lifetime for target in change.targets]


@pytest.mark.parametrize("prefill_load", [0.0, 1.5, 9.0])
def test_one_engine_of_a_version_that_only_prefills_generates_again(prefill_load):
    change = decide(make_engines(OLD, 3, 0) + make_engines(NEW, 1, 5), prefill_load)
    assert change.role == DECODE_ROLE
    assert len(change.targets) == 1
    assert list_lifetimes(change)[0].startswith(OLD)
    assert change.replaces_lost


def test_each_version_that_only_prefills_gets_an_engine_that_generates():
    engines = make_engines(OLD, 2, 0) + make_engines("v0", 3, 0)
    change = decide(engines + make_engines(NEW, 0, 5), 9.0)
    versions = {target.announced.software_version for target in change.targets}
    assert len(change.targets) == 2
    assert versions == {OLD, "v0"}


def test_the_engine_with_the_least_work_generates_again():
    engines = make_engines(OLD, 3, 0)
    for (_, engine), seconds in zip(engines, (3.0, 1.0, 2.0), strict=True):
        engine.own_backlog_s[0] = seconds
    change = decide(engines + make_engines(NEW, 0, 5), 9.0)
    assert list_lifetimes(change) == [f"{OLD}-1"]


def test_a_version_with_a_single_engine_may_only_prefill():
    assert decide(make_engines(OLD, 1, 0) + make_engines(NEW, 1, 5), 0.5) is None


def test_the_last_decode_engine_of_a_version_does_not_change():
    engines = make_engines(OLD, 1, 1) + make_engines(NEW, 0, 4, long_answers=5)
    change = decide(engines, 9.0)
    assert change.role == PREFILL_ROLE
    assert list_lifetimes(change) == [f"{NEW}-0"]


def test_a_version_keeps_an_engine_for_its_streams_when_one_crashes():
    """Guards against streams whose version was left one engine, which then crashed."""
    engines = make_engines(OLD, 0, 2) + make_engines(NEW, 1, 4, long_answers=5)
    change = decide(engines, 9.0)
    assert change.role == PREFILL_ROLE
    assert list_lifetimes(change) == [f"{NEW}-1"]


def test_several_changes_at_a_time_leave_each_version_its_share():
    engines = make_engines(OLD, 4, 5) + make_engines(NEW, 5, 13, long_answers=5)
    change = decide(engines, 0.39 * 9)
    kept = {
        OLD: 5 - sum(name.startswith(OLD) for name in list_lifetimes(change)),
        NEW: 13 - sum(name.startswith(NEW) for name in list_lifetimes(change)),
    }
    assert change.role == PREFILL_ROLE
    assert kept[OLD] >= rebalancing.LOW_LOAD_MIN_DECODE_SHARE * 9
    assert kept[NEW] >= rebalancing.LOW_LOAD_MIN_DECODE_SHARE * 18
    assert len(change.targets) == 6


def test_nothing_changes_where_no_version_can_spare_a_decode_engine():
    engines = (
        make_engines(OLD, 1, 1) + make_engines(NEW, 0, 1) + make_engines("v3", 0, 1)
    )
    assert decide(engines, 9.0) is None


def test_a_version_keeps_an_engine_that_generates_again_whatever_the_demand():
    """The change back is not undone: it would be made again a few seconds later."""
    engines = make_engines(OLD, 2, 1) + make_engines(NEW, 1, 1)
    for history in (RoleChangeHistory(), RoleChangeHistory(90.0, "")):
        change = decide(engines, 9.0, history)
        assert change is None


def test_a_change_back_keeps_the_interval_between_changes():
    engines = make_engines(OLD, 3, 0) + make_engines(NEW, 1, 5)
    assert decide(engines, 0.5, RoleChangeHistory(94.1, PREFILL_ROLE)) is None
    assert decide(engines, 0.5, RoleChangeHistory(93.9, PREFILL_ROLE)) is not None


@pytest.mark.parametrize("prefill_load", [0.0, 0.7, 1.5, 9.0])
@pytest.mark.parametrize("decode_engines", [1, 3, 6, 20])
@pytest.mark.parametrize("long_answers", [0, 24, 47])
def test_one_version_is_decided_as_if_there_were_none(
    prefill_load, decode_engines, long_answers
):
    changes = [
        decide(make_engines(version, 4, decode_engines, long_answers), prefill_load)
        for version in ("", NEW)
    ]
    described = [
        change and (change.role, change.replaces_lost, len(change.targets))
        for change in changes
    ]
    assert described[0] == described[1]


def make_directory(*targets):
    return Directory({target.announced.lifetime: target for target in targets})


@pytest.mark.parametrize(
    ("role", "more", "is_covered"),
    [
        (DECODE_ROLE, {}, True),
        (DECODE_ROLE, {"stated": Statements(full_until=101.0)}, True),
        (DECODE_ROLE, {"backoff_until": 101.0}, False),
        (DECODE_ROLE, {"gone_at": 99.0}, False),
        (
            DECODE_ROLE,
            {"switching_to": PREFILL_ROLE, "switching_until": 101.0},
            False,
        ),
        (PREFILL_ROLE, {"stated": Statements(full_until=101.0)}, False),
        (PREFILL_ROLE, {"switching_to": DECODE_ROLE, "switching_until": 101.0}, True),
        (PREFILL_ROLE, {"switching_to": DECODE_ROLE, "switching_until": 99.0}, False),
    ],
)
def test_a_version_is_covered_by_engines_that_are_full_or_begin_to_generate(
    role, more, is_covered
):
    announced = Announcement("i1", "s", "x:1", "a", 48, role=role, software_version=OLD)
    directory = make_directory(Target(announced, **more))
    covered = {OLD} if is_covered else set()
    assert list_covered(directory, "s", 100.0) == covered
    assert list_covered(directory, "other", 100.0) == set()


def test_no_engine_changes_for_a_version_that_is_covered():
    """A decode engine that is full for a moment would be replaced again and again."""
    engines = make_engines(OLD, 3, 0) + make_engines(NEW, 1, 5)
    history = RoleChangeHistory()
    assert (
        decide_role_change(engines, 0.5, history, 100.0, ROLE_CHANGE_S, 0.0, {OLD})
        is None
    )


def test_roles_settle_while_several_versions_serve_at_any_demand():
    """A change back and a change to prefill must not follow each other for ever."""
    engines = make_engines(OLD, 3, 0) + make_engines(NEW, 1, 5)
    history, changes = RoleChangeHistory(), []
    for step in range(400):
        now = 100.0 + step * 0.25
        change = decide_role_change(engines, 9.0, history, now, ROLE_CHANGE_S)
        if change is None:
            continue
        changes.append(change)
        history.changed_at = now
        history.last_role = "" if change.replaces_lost else change.role
        named = {target.announced.lifetime for target in change.targets}
        for target, engine in engines:
            if target.announced.lifetime in named:
                engine.prefill_only = change.role == PREFILL_ROLE
    assert [change.role for change in changes] == [DECODE_ROLE, PREFILL_ROLE]
