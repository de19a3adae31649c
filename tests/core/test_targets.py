from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import health, targets
from robinspindle.core.targets import Announcement, Directory


def announce(directory, lifetime="i1", now=0.0, **more):
    announced = Announcement(lifetime, "s", "1.2.3.4:5", "a", 4, **more)
    return targets.note_announced(directory, announced, now)


def list_usable_lifetimes(directory, now, tried=()):
    found = health.list_usable(directory, "s", now, set(tried))
    return sorted(target.announced.lifetime for target in found)


def test_an_unchanged_entry_changes_nothing():
    directory = Directory()
    assert announce(directory)
    assert not announce(directory)
    assert announce(directory, cold_s=1.0)


def test_a_leaving_target_is_never_usable_again():
    directory = Directory()
    announce(directory)
    announce(directory, leaving=True)
    assert not announce(directory)
    assert list_usable_lifetimes(directory, 0.0) == []


def test_a_missing_target_is_used_only_as_the_last_one_and_then_dropped():
    directory = Directory(missing_grace_s=0.7)
    announce(directory, "i1")
    announce(directory, "i2")
    targets.note_missing(directory, 10.0, "i1")
    assert list_usable_lifetimes(directory, 10.1) == ["i2"]
    assert list_usable_lifetimes(directory, 10.1, ["i2"]) == ["i1"]
    assert list_usable_lifetimes(directory, 10.8, ["i2"]) == []
    assert [t.announced.lifetime for t in targets.drop_gone(directory, 10.8)] == ["i1"]


def test_an_expired_entry_counts_until_two_seconds_after_the_store_recovered():
    directory = Directory(missing_grace_s=0.7)
    announce(directory)
    assert targets.note_store_unavailable(directory, 5.0)
    assert not targets.note_store_unavailable(directory, 6.0)
    assert targets.note_store_recovered(directory, 20.0)
    targets.note_missing(directory, 20.0, "i1")
    assert list_usable_lifetimes(directory, 21.9) == ["i1"]
    assert list_usable_lifetimes(directory, 22.0) == []
    announce(directory)
    assert list_usable_lifetimes(directory, 30.0) == ["i1"]


def test_connection_failures_start_a_backoff_that_ends():
    directory = Directory()
    announce(directory, "i1")
    announce(directory, "i2")
    bad = directory.targets["i1"]
    health.note_connection_failure(bad, 0.0)
    assert list_usable_lifetimes(directory, 0.1) == ["i1", "i2"]
    health.note_connection_failure(bad, 0.1)
    assert list_usable_lifetimes(directory, 0.2) == ["i2"]
    assert list_usable_lifetimes(directory, 0.2 + health.MAX_BACKOFF_S) == ["i1", "i2"]


def test_a_refused_connection_starts_a_backoff_at_once():
    directory = Directory()
    announce(directory, "i1")
    announce(directory, "i2")
    health.note_connection_refused(directory.targets["i1"], 0.0)
    assert list_usable_lifetimes(directory, 0.1) == ["i2"]


def test_if_all_targets_are_in_backoff_all_are_tried():
    directory = Directory()
    announce(directory)
    health.note_connection_refused(directory.targets["i1"], 0.0)
    assert list_usable_lifetimes(directory, 0.1) == ["i1"]


def test_a_full_target_is_not_used_for_a_moment():
    directory = Directory()
    announce(directory, "i1")
    announce(directory, "i2")
    health.note_full(directory.targets["i1"], 0.0)
    assert list_usable_lifetimes(directory, 0.01) == ["i2"]
    assert list_usable_lifetimes(directory, 0.06) == ["i1", "i2"]


@given(st.lists(st.booleans(), max_size=60))
def test_the_share_of_faults_stays_between_0_and_1(outcomes):
    directory = Directory()
    announce(directory)
    target = directory.targets["i1"]
    for faulty in outcomes:
        health.note_fault(target, faulty)
        assert 0.0 <= target.faults <= 1.0


@given(st.lists(st.floats(0.0, 100.0), max_size=30))
def test_a_backoff_never_exceeds_the_maximum(times):
    directory = Directory()
    announce(directory)
    target = directory.targets["i1"]
    for now in sorted(times):
        health.note_connection_failure(target, now)
        assert target.backoff_until <= now + health.MAX_BACKOFF_S


def test_a_target_is_slow_during_the_warm_up_that_its_entry_states():
    directory = Directory()
    announce(directory, now=10.0, cold_s=2.0)
    target = directory.targets["i1"]
    assert health.find_slowness(target, 11.9) > 1.0
    assert health.find_slowness(target, 12.0) == 1.0
    announce(directory, now=11.0, cold_s=0.2)
    assert health.find_slowness(target, 11.3) == 1.0


def test_the_backoff_doubles_with_each_rejection():
    directory = Directory()
    announce(directory)
    target = directory.targets["i1"]
    backoffs = []
    for _ in range(8):
        health.note_full(target, 0.0)
        backoffs.append(target.stated.full_until)
    assert backoffs[0] == health.INITIAL_FULL_BACKOFF_S
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] == health.MAX_FULL_BACKOFF_S
    health.note_answered(target)
    health.note_full(target, 10.0)
    assert target.stated.full_until == 10.0 + health.INITIAL_FULL_BACKOFF_S


def test_a_target_that_rests_is_not_used_even_if_no_other_is_healthy():
    directory = Directory()
    announce(directory)
    announce(directory, "i2")
    directory.targets["i1"].stated.rest_until = 5.0
    for _ in range(health.FAILURES_BEFORE_BACKOFF):
        health.note_connection_failure(directory.targets["i2"], 0.0)
    assert list_usable_lifetimes(directory, 0.1) == ["i2"]
    directory.targets["i2"].stated.rest_until = 6.0
    assert list_usable_lifetimes(directory, 0.1) == []
    assert list_usable_lifetimes(directory, 5.0) == ["i1"]


def test_connections_that_break_together_count_as_one_failure():
    directory = Directory()
    announce(directory)
    target = directory.targets["i1"]
    for since in (1.0, 2.0, 9.9):
        health.note_connection_failure(target, 10.0, since)
    assert health.is_healthy(target, 10.1)
    health.note_connection_failure(target, 10.2, 10.1)
    assert not health.is_healthy(target, 10.3)


def test_a_refused_connection_starts_a_backoff_though_another_broke_after_it_began():
    directory = Directory()
    announce(directory)
    target = directory.targets["i1"]
    health.note_connection_failure(target, 10.0, 1.0)
    health.note_connection_refused(target, 10.1, 9.9)
    assert not health.is_healthy(target, 10.2)
    until = target.backoff_until
    health.note_connection_refused(target, 10.1, 9.9)
    assert target.backoff_until == until
