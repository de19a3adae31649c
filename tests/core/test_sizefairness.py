import pytest

from robinspindle.core.sizefairness import (
    SizeFairness,
    is_underserved,
    note_arrival,
    note_not_served,
    note_served,
)

SMALL, LARGE = 1000, 40_000


def add_requests(fairness, tokens, asked, served, now=0.0, route="r"):
    for number in range(asked):
        note_arrival(fairness, now, route, tokens)
        if number < served:
            note_served(fairness, now, route, tokens)


def test_rarely_served_size_class_is_underserved():
    fairness = SizeFairness()
    add_requests(fairness, SMALL, 20, 20)
    add_requests(fairness, LARGE, 4, 0)
    assert is_underserved(fairness, 0.0, "r", LARGE)
    assert not is_underserved(fairness, 0.0, "r", SMALL)


def test_class_with_its_fair_share_is_not_underserved():
    fairness = SizeFairness()
    add_requests(fairness, SMALL, 20, 20)
    add_requests(fairness, LARGE, 4, 3)
    assert not is_underserved(fairness, 0.0, "r", LARGE)


def test_lost_request_no_longer_counts_as_served():
    fairness = SizeFairness()
    add_requests(fairness, SMALL, 20, 20)
    add_requests(fairness, LARGE, 4, 2)
    assert not is_underserved(fairness, 0.0, "r", LARGE)
    for _ in range(2):
        note_not_served(fairness, 0.0, "r", LARGE)
    assert is_underserved(fairness, 0.0, "r", LARGE)


def test_first_request_of_a_class_is_not_underserved():
    fairness = SizeFairness()
    add_requests(fairness, SMALL, 20, 20)
    add_requests(fairness, LARGE, 1, 0)
    assert not is_underserved(fairness, 0.0, "r", LARGE)


def test_old_requests_do_not_hide_an_underserved_class():
    fairness = SizeFairness()
    add_requests(fairness, LARGE, 20, 20, now=0.0)
    add_requests(fairness, SMALL, 20, 20, now=60.0)
    add_requests(fairness, LARGE, 5, 0, now=60.0)
    assert is_underserved(fairness, 60.0, "r", LARGE)


@pytest.mark.parametrize("asked", [0, 30])
def test_no_class_is_underserved_if_its_route_is_not_served(asked):
    fairness = SizeFairness()
    add_requests(fairness, LARGE, asked, 0)
    assert not is_underserved(fairness, 0.0, "r", LARGE)


def test_routes_are_counted_separately():
    fairness = SizeFairness()
    add_requests(fairness, SMALL, 20, 20, route="other")
    add_requests(fairness, LARGE, 5, 0)
    assert not is_underserved(fairness, 0.0, "r", LARGE)
