import random

from robinspindle.core.plainplacement import (
    LOAD_LAG_S,
    HomeLoad,
    PlainView,
    choose_plain_target,
)
from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.core.zoneplacement import Leaving
from robinspindle.core.zoneshares import ZoneShare
from tests.core.test_selection import make

DRAWS = 300


def count_leaving(targets, gateways=6, load=0.0, now=5.0):
    """Count the share that leaves zone "a", whose gateways have been so busy lately."""
    choices = [
        choose_plain_target(
            targets,
            now,
            PlainView(
                "a",
                gateways,
                ZoneTerms(),
                ZoneShare(1.0, now),
                HomeLoad(load, now),
                random.Random(seed),
            ),
        )
        for seed in range(DRAWS)
    ]
    left = [c for c in choices if c.target.announced.zone != "a"]
    assert all(choice.leaving for choice in left)
    return len(left) / DRAWS


def test_a_request_beside_another_stays_while_slots_at_home_are_free():
    assert count_leaving([make("i1", in_flight=2), make("i2", zone="b")]) == 0.0


def test_many_leave_a_zone_whose_slots_are_taken_by_all_gateways_together():
    """Six gateways with one and a half requests each before six slots."""
    targets = [make("i1", in_flight=2), make("i2", zone="b")]
    assert count_leaving(targets, load=1.5) > 0.8
    assert count_leaving(targets, gateways=1, load=1.5) == 0.0


def test_a_target_at_home_that_fails_sends_its_callers_away():
    targets = [make("i1", in_flight=1, faults=0.25), make("i2", zone="b")]
    assert count_leaving(targets) > 0.8


def test_a_zone_without_a_target_leaves_and_a_lost_one_gets_nothing():
    assert count_leaving([make("i2", zone="b")]) == 1.0
    assert count_leaving([make("i1", in_flight=9)], load=3.0) == 0.0
    view = PlainView("a", 6, ZoneTerms(), ZoneShare(), HomeLoad(), random.Random(1))
    choice = choose_plain_target([make("i2", zone="b")], 5.0, view)
    assert choice.leaving == Leaving.NO_TARGET


def test_a_crowd_is_forgotten_within_a_few_seconds():
    targets, load = [make("i1"), make("i2", zone="b")], HomeLoad(3.0, 0.0)
    view = PlainView("a", 6, ZoneTerms(), ZoneShare(1.0, 0.0), load, random.Random(1))
    for step in range(1, 41):
        choose_plain_target(targets, step * 0.1, view)
    assert load.in_flight < 3.0 * 2.72 ** (-3.5 / LOAD_LAG_S)
    assert choose_plain_target(targets, 4.1, view).target.announced.zone == "a"


def test_no_more_leave_for_a_target_than_its_room_for_guests():
    """Guards against all of a busy zone's requests going to one small target."""
    targets = [make("i1", in_flight=40), make("i2", zone="b", in_flight=40)]
    assert count_leaving(targets, gateways=1, load=40.0) == 0.0
    targets.append(make("i3", zone="b"))
    assert count_leaving(targets, gateways=1, load=40.0) == 1.0
