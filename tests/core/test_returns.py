import math

import pytest

from robinspindle.core import health, returns, targets
from robinspindle.core.returns import RESTART_S, Condition, find_restart_s
from robinspindle.core.targets import Announcement, Directory

NOW = 100.0


def add(directory, lifetime="e1", version="v1", role="decode", now=NOW, **more):
    announced = Announcement(
        lifetime, "lm", "1.2.3.4:5", "a", 8, role=role, software_version=version, **more
    )
    targets.note_announced(directory, announced, now)
    return directory.targets[lifetime]


def lose(target, now=NOW):
    health.note_connection_refused(target, now)
    return target


def find_version_return(directory, version, now=NOW):
    return returns.find_version_return_s(directory, "lm", version, now)


@pytest.mark.parametrize(
    ("changes", "condition"),
    [
        ({}, Condition.READY),
        ({"backoff_until": NOW + 1}, Condition.BACKOFF),
        ({"lost_at": NOW - 1, "backoff_until": NOW + 1}, Condition.LOST),
        ({"lost_at": NOW - 1, "gone_at": NOW}, Condition.LOST),
        ({"gone_at": NOW}, Condition.GONE),
        ({"replaced": True}, Condition.REPLACED),
        ({"is_unreadable": True}, Condition.INVALID),
        ({"switching_to": "prefill", "switching_until": NOW + 1}, Condition.SWITCHING),
    ],
)
def test_a_target_gets_nothing_for_one_reason(changes, condition):
    target = add(Directory())
    for name, value in changes.items():
        setattr(target, name, value)
    assert returns.find_condition(target, NOW) is condition


def test_what_was_tried_counts_only_where_nothing_else_keeps_a_target():
    target = add(Directory())
    assert returns.find_condition(target, NOW, {"e1"}) is Condition.TRIED
    health.note_full(target, NOW)
    assert returns.count_conditions([target], NOW, {"e1"}) == {"full": 1}


def test_a_crashed_target_is_expected_in_the_usual_time_and_then_in_twice_that():
    assert find_restart_s(NOW, NOW) == RESTART_S
    assert find_restart_s(NOW, NOW + 2.0) == RESTART_S - 2.0
    assert find_restart_s(NOW, NOW + RESTART_S) == RESTART_S
    assert find_restart_s(NOW, NOW + 2.5 * RESTART_S) == 1.5 * RESTART_S
    assert find_restart_s(NOW, NOW + returns.MAX_AWAY_S) == math.inf


def test_a_target_that_leaves_is_not_expected_back():
    directory = Directory()
    target = lose(add(directory))
    add(directory, leaving=True)
    assert returns.find_return_s(target, NOW) == math.inf
    target.gone_at = NOW
    targets.drop_gone(directory, NOW)
    assert find_version_return(directory, "v1") == math.inf


def test_a_target_whose_entry_went_before_is_not_expected_back():
    target = add(Directory())
    target.gone_at = NOW
    lose(target)
    assert target.lost_at is None


def test_an_engine_that_is_ordered_to_generate_is_expected_once_it_does():
    target = add(Directory(), role="prefill")
    assert returns.find_return_s(target, NOW) == math.inf
    health.note_switching(target, "decode", NOW + 3.0 + health.SWITCH_SLACK_S)
    assert returns.find_return_s(target, NOW) == pytest.approx(3.0)


def test_a_version_is_expected_back_until_one_of_its_targets_is_announced():
    directory = Directory()
    lose(add(directory)).gone_at = NOW + 1.0
    targets.drop_gone(directory, NOW + 1.0)
    assert find_version_return(directory, "v1", NOW + 1.0) == RESTART_S - 1.0
    assert find_version_return(directory, None, NOW + 1.0) == RESTART_S - 1.0
    assert find_version_return(directory, "v2", NOW + 1.0) == math.inf
    add(directory, "e2")
    assert find_version_return(directory, "v1", NOW + 1.0) == math.inf


def test_lost_versions_are_remembered_in_bounded_number():
    directory = Directory()
    for number in range(targets.MAX_LOST_VERSIONS + 1):
        lose(add(directory, f"e{number}", f"v{number}")).gone_at = NOW
    targets.drop_gone(directory, NOW)
    assert len(directory.lost) == targets.MAX_LOST_VERSIONS
    assert find_version_return(directory, "v0") == math.inf


@pytest.mark.parametrize(
    "note", [health.note_heard, lambda t, _: health.note_answered(t)]
)
def test_a_target_that_is_heard_is_lost_no_more(note):
    target = lose(add(Directory()))
    note(target, NOW + 1.0)
    assert target.lost_at is None
