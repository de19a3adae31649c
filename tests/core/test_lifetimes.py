import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import health, lifetimes, targets
from robinspindle.core.lifetimes import find_id, find_start_ms, is_later, make_lifetime
from robinspindle.core.targets import Announcement, Directory


@given(st.text(max_size=300), st.none() | st.integers(0, 2**60))
def test_an_id_and_its_start_are_parsed_back(id, start_ms):
    if lifetimes.is_id(id):
        lifetime = make_lifetime(id, start_ms)
        assert (find_id(lifetime), find_start_ms(lifetime)) == (id, start_ms)


@pytest.mark.parametrize("id", ["", "a b", "a\r\nX-Model: m", "a@5", "é", "x" * 201])
def test_texts_that_are_unsafe_in_a_header_are_no_ids(id):
    assert not lifetimes.is_id(id)


@pytest.mark.parametrize(
    ("lifetime", "other", "later"),
    [("i@6", "i@5", True), ("i@5", "i@6", False), ("i@5", "i@5", False)]
    + [("i@5", "i", True), ("i", "i@5", False), ("i", "i", False)],
)
def test_only_the_start_makes_a_lifetime_later(lifetime, other, later):
    assert is_later(lifetime, other) is later


def announce(directory, start_ms, now=0.0, **more):
    lifetime = make_lifetime("i1", start_ms)
    announced = Announcement(lifetime, "s", "1.2.3.4:5", "a", 4, **more)
    assert not targets.apply_announcement(directory, announced, now).is_superseded
    return directory.targets[lifetime]


def list_usable(directory, now):
    found = health.list_usable(directory, "s", now, set())
    return [target.announced.lifetime for target in found]


def test_a_target_that_starts_again_has_no_state_of_its_earlier_lifetime():
    directory = Directory()
    earlier = announce(directory, 5, leaving=True, cold_s=9.0)
    for _ in range(4):
        health.note_connection_refused(earlier, 0.0)
    now = announce(directory, 6, now=1.0)
    assert list_usable(directory, 1.0) == ["i1@6"]
    assert (now.failures, now.faults, now.in_flight) == (0, 0.0, 0)
    assert health.find_slowness(now, 1.0) == 1.0
    assert targets.drop_gone(directory, 1.0) == [earlier]


def test_an_earlier_lifetime_gets_no_work_once_a_later_one_is_known():
    directory = Directory(missing_grace_s=9.0)
    earlier = announce(directory, 5)
    announce(directory, 6, leaving=True, now=1.0)
    assert targets.is_gone(earlier, 1.0)
    assert list_usable(directory, 1.0) == []


@pytest.mark.parametrize("lifetime", ["i1@4", "i1", "i1@5"])
def test_an_entry_of_an_ended_lifetime_is_superseded(lifetime):
    directory = Directory()
    announce(directory, 5)
    announce(directory, 6, now=1.0)
    targets.drop_gone(directory, 2.0)
    assert targets.is_superseded(directory, lifetime)


def test_a_missing_entry_applies_to_all_lifetimes_of_its_id():
    directory = Directory(missing_grace_s=0.5)
    announce(directory, 5)
    assert targets.note_missing(directory, 10.0, "i1")
    assert not targets.note_missing(directory, 10.0, "i1")
    assert list_usable(directory, 10.6) == []


def test_a_target_with_an_invalid_entry_gets_no_work_until_it_is_valid():
    directory = Directory()
    target = announce(directory, 5)
    target.in_flight = 1
    assert targets.note_unreadable(directory, "i1")
    assert not targets.note_unreadable(directory, "i1")
    assert list_usable(directory, 0.0) == []
    assert targets.drop_gone(directory, 99.0) == []
    announce(directory, 5)
    assert list_usable(directory, 0.0) == ["i1@5"]


def test_remembered_ids_are_bounded():
    directory = Directory()
    for number in range(targets.MAX_REMEMBERED_IDS + 10):
        announced = Announcement(f"i{number}@1", "s", "1.2.3.4:5", "a", 4)
        targets.note_announced(directory, announced, 0.0)
    assert len(directory.newest_lifetimes) == targets.MAX_REMEMBERED_IDS
