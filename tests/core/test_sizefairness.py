import pytest

from robinspindle.core.sizefairness import (
    SizeFairness,
    is_underserved,
    note_arrival,
    note_not_served,
    note_served,
)

SMALL, LARGE = 1000, 40_000


def serve(turns, tokens, asked, served, now=0.0, route="r"):
    for number in range(asked):
        note_arrival(turns, now, route, tokens)
        if number < served:
            note_served(turns, now, route, tokens)


def test_a_length_that_is_served_too_seldom_is_due():
    turns = SizeFairness()
    serve(turns, SMALL, 20, 20)
    serve(turns, LARGE, 4, 0)
    assert is_underserved(turns, 0.0, "r", LARGE)
    assert not is_underserved(turns, 0.0, "r", SMALL)


def test_it_is_due_no_longer_once_it_has_its_share():
    turns = SizeFairness()
    serve(turns, SMALL, 20, 20)
    serve(turns, LARGE, 4, 3)
    assert not is_underserved(turns, 0.0, "r", LARGE)


def test_one_that_counted_as_served_and_was_lost_gives_its_turn_back():
    turns = SizeFairness()
    serve(turns, SMALL, 20, 20)
    serve(turns, LARGE, 4, 2)
    assert not is_underserved(turns, 0.0, "r", LARGE)
    for _ in range(2):
        note_not_served(turns, 0.0, "r", LARGE)
    assert is_underserved(turns, 0.0, "r", LARGE)


def test_the_first_of_a_length_is_not_due_before_any_was_lost():
    turns = SizeFairness()
    serve(turns, SMALL, 20, 20)
    serve(turns, LARGE, 1, 0)
    assert not is_underserved(turns, 0.0, "r", LARGE)


def test_what_was_long_ago_does_not_hide_who_is_not_served_now():
    turns = SizeFairness()
    serve(turns, LARGE, 20, 20, now=0.0)
    serve(turns, SMALL, 20, 20, now=60.0)
    serve(turns, LARGE, 5, 0, now=60.0)
    assert is_underserved(turns, 60.0, "r", LARGE)


@pytest.mark.parametrize("asked", [0, 30])
def test_nothing_is_due_where_a_route_is_not_served_at_all(asked):
    turns = SizeFairness()
    serve(turns, LARGE, asked, 0)
    assert not is_underserved(turns, 0.0, "r", LARGE)


def test_routes_are_told_apart():
    turns = SizeFairness()
    serve(turns, SMALL, 20, 20, route="other")
    serve(turns, LARGE, 5, 0)
    assert not is_underserved(turns, 0.0, "r", LARGE)
