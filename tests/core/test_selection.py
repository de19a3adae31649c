import random

from robinspindle.core.selection import choose_target
from robinspindle.core.targets import Announcement, Target


def make(lifetime, zone="a", in_flight=0, faults=0.0, cold_until=0.0):
    announced = Announcement(lifetime, "s", "x:1", zone, 6)
    target = Target(announced, in_flight=in_flight, cold_until=cold_until)
    target.faults = faults
    return target


def choose(*targets):
    return choose_target(list(targets), "a", 5.0, random.Random(1)).announced.lifetime


def test_the_least_busy_target_is_chosen():
    assert choose(make("i1", in_flight=2), make("i2", in_flight=1)) == "i2"


def test_among_equals_the_own_zone_and_busy_ones_there_are_left():
    assert choose(make("i1", zone="b"), make("i2")) == "i2"
    assert choose(make("i1", zone="b"), make("i2", in_flight=1)) == "i1"


def test_a_target_that_fails_seems_busy():
    assert choose(make("i1", faults=0.4), make("i2", in_flight=3)) == "i2"


def test_a_target_that_is_slow_from_its_start_seems_busy():
    cold = make("i1", cold_until=6.0)
    assert choose(cold, make("i2")) == "i2"
    assert choose(cold, make("i2", in_flight=1)) == "i1"
    assert choose(make("i1", cold_until=4.0), make("i2", in_flight=1)) == "i1"
