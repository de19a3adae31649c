import math

from robinspindle.core.obstacles import (
    Obstacle,
    ObstacleReason,
    count_send_obstacles,
    find_send_obstacle,
)
from robinspindle.core.ratelimits import RateLimit
from robinspindle.core.targets import (
    Announcement,
    Directory,
    apply_announcement,
    drop_gone,
    note_missing,
    note_unreadable,
)


def announce(directory, lifetime="i1@5", now=0.0, **more):
    entry = Announcement(lifetime, "s", "10.0.0.1:80", "z", 4, **more)
    apply_announcement(directory, entry, now)
    return directory.targets[lifetime]


def find_reason(target, now, share_per_s=None):
    obstacle = find_send_obstacle(target, now, share_per_s)
    return obstacle and obstacle.reason


def test_a_target_that_said_nothing_may_get_requests():
    assert find_send_obstacle(announce(Directory()), 0.0, 1.0) is None


def test_who_leaves_by_an_entry_or_an_answer_gets_nothing_ever():
    never = Obstacle(ObstacleReason.LEAVING, math.inf)
    target = announce(Directory(), leaving=True)
    assert find_send_obstacle(target, 0.0) == never
    target = announce(Directory())
    target.stated.leaving = True
    assert find_send_obstacle(target, 0.0) == never


def test_a_target_that_is_gone_or_not_the_one_listed_gets_nothing():
    """Its entry may go without saying that it leaves, while a request waits."""
    directory = Directory()
    target = announce(directory)
    note_missing(directory, 10.0, "i1")
    assert find_reason(target, target.gone_at - 0.01) is None
    assert find_reason(target, target.gone_at) is ObstacleReason.GONE
    target = announce(directory, now=20.0)
    assert find_reason(target, 20.0) is None
    note_unreadable(directory, "i1")
    assert find_reason(target, 20.0) is ObstacleReason.UNREADABLE
    target = announce(directory, now=21.0)
    target.replaced = True
    assert find_reason(target, 21.0) is ObstacleReason.REPLACED


def test_an_entry_takes_back_nothing_that_an_answer_said():
    directory = Directory()
    announce(directory).stated.leaving = True
    target = announce(directory, now=1.0, leaving=False)
    assert find_reason(target, 1.0) is ObstacleReason.LEAVING


def test_an_entry_that_was_missing_brings_back_what_its_lifetime_said():
    directory = Directory()
    announce(directory).stated.leaving = True
    note_missing(directory, 10.0, "i1")
    assert drop_gone(directory, 20.0)
    target = announce(directory, now=21.0)
    assert find_reason(target, 21.0) is ObstacleReason.LEAVING


def test_a_start_under_the_same_id_has_said_nothing():
    directory = Directory()
    announce(directory).stated.leaving = True
    assert find_reason(announce(directory, "i1@6", 1.0), 1.0) is None


def test_a_target_rests_for_as_long_as_it_asked():
    target = announce(Directory())
    target.stated.rest_until = 4.0
    assert find_send_obstacle(target, 3.99) == Obstacle(ObstacleReason.RESTING, 4.0)
    assert find_send_obstacle(target, 4.0) is None


def test_an_entry_that_was_missing_does_not_end_a_rest():
    directory = Directory()
    announce(directory).stated.rest_until = 90.0
    note_missing(directory, 10.0, "i1")
    assert drop_gone(directory, 20.0)
    target = announce(directory, now=21.0)
    assert find_reason(target, 21.0) is ObstacleReason.RESTING


def test_leaving_counts_before_rest_and_rest_before_a_limit():
    target = announce(Directory())
    target.stated.limit = RateLimit(1.0, 0.0)
    target.stated.rest_until = 4.0
    assert find_reason(target, 0.0, 2.0) is ObstacleReason.RESTING
    target.stated.leaving = True
    assert find_reason(target, 0.0, 2.0) is ObstacleReason.LEAVING


def test_a_limit_keeps_requests_until_they_have_a_turn():
    target = announce(Directory())
    target.stated.limit = RateLimit(1.0, 0.0)
    obstacle = find_send_obstacle(target, 0.0, 2.0)
    assert obstacle == Obstacle(ObstacleReason.LIMITED, 0.5)
    assert find_reason(target, 0.0) is None


def test_targets_are_counted_by_what_keeps_requests_from_them():
    directory = Directory()
    announce(directory, "i1", leaving=True)
    announce(directory, "i2").stated.rest_until = 4.0
    announce(directory, "i3")
    counts = count_send_obstacles(directory.targets.values(), 1.0)
    assert counts == {ObstacleReason.LEAVING: 1, ObstacleReason.RESTING: 1}
