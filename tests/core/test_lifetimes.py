import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import health, lifetimes, targets
from robinspindle.core.lifetimes import find_id, find_start_ms, is_later, make_lifetime
from robinspindle.core.targets import Announcement, Directory


@given(st.text(max_size=300), st.none() | st.integers(0, 2**60))
def test_an_id_and_its_start_are_found_again(id, born_ms):
    if lifetimes.is_id(id):
        lifetime = make_lifetime(id, born_ms)
        assert (find_id(lifetime), find_start_ms(lifetime)) == (id, born_ms)


@pytest.mark.parametrize("id", ["", "a b", "a\r\nX-Model: m", "a@5", "é", "x" * 201])
def test_what_would_not_be_one_word_on_the_wire_is_no_id(id):
    assert not lifetimes.is_id(id)


@pytest.mark.parametrize(
    ("lifetime", "other", "later"),
    [("i@6", "i@5", True), ("i@5", "i@6", False), ("i@5", "i@5", False)]
    + [("i@5", "i", True), ("i", "i@5", False), ("i", "i", False)],
)
def test_a_lifetime_is_later_by_its_start_alone(lifetime, other, later):
    assert is_later(lifetime, other) is later


def announce(directory, born_ms, now=0.0, **more):
    lifetime = make_lifetime("i1", born_ms)
    announced = Announcement(lifetime, "s", "1.2.3.4:5", "a", 4, **more)
    assert not targets.apply_announcement(directory, announced, now).is_superseded
    return directory.targets[lifetime]


def list_usable(directory, now):
    found = health.list_usable(directory, "s", now, set())
    return [target.announced.lifetime for target in found]


def test_a_target_that_starts_again_takes_over_nothing_of_its_life_before():
    directory = Directory()
    before = announce(directory, 5, leaving=True, cold_s=9.0)
    for _ in range(4):
        health.note_refused(before, 0.0)
    now = announce(directory, 6, now=1.0)
    assert list_usable(directory, 1.0) == ["i1@6"]
    assert (now.failures, now.faults, now.in_flight) == (0, 0.0, 0)
    assert health.find_slowness(now, 1.0) == 1.0
    assert targets.drop_gone(directory, 1.0) == [before]


def test_a_life_before_gets_no_work_from_when_the_new_one_is_known():
    directory = Directory(missing_grace_s=9.0)
    before = announce(directory, 5)
    announce(directory, 6, leaving=True, now=1.0)
    assert targets.is_gone(before, 1.0)
    assert list_usable(directory, 1.0) == []


@pytest.mark.parametrize("lifetime", ["i1@4", "i1", "i1@5"])
def test_news_of_a_life_that_is_over_never_brings_it_back(lifetime):
    directory = Directory()
    announce(directory, 5)
    announce(directory, 6, now=1.0)
    targets.drop_gone(directory, 2.0)
    assert targets.is_superseded(directory, lifetime)


def test_a_missing_entry_stands_for_all_lives_of_its_id():
    directory = Directory(missing_grace_s=0.5)
    announce(directory, 5)
    assert targets.note_missing(directory, 10.0, "i1")
    assert not targets.note_missing(directory, 10.0, "i1")
    assert list_usable(directory, 10.6) == []


def test_an_entry_that_turns_bad_takes_no_new_work_until_it_is_good_again():
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
    for number in range(targets.MOST_IDS + 10):
        announced = Announcement(f"i{number}@1", "s", "1.2.3.4:5", "a", 4)
        targets.note_announced(directory, announced, 0.0)
    assert len(directory.newest) == targets.MOST_IDS
