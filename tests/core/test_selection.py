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


def test_the_own_zone_is_preferred_unless_its_targets_are_busier():
    assert choose(make("i1", zone="b"), make("i2")) == "i2"
    assert choose(make("i1", zone="b"), make("i2", in_flight=1)) == "i1"


def test_faulty_answers_raise_the_cost_of_a_target():
    assert choose(make("i1", faults=0.4), make("i2", in_flight=3)) == "i2"


def test_the_warm_up_raises_the_cost_of_a_target():
    cold = make("i1", cold_until=6.0)
    assert choose(cold, make("i2")) == "i2"
    assert choose(cold, make("i2", in_flight=1)) == "i1"
    assert choose(make("i1", cold_until=4.0), make("i2", in_flight=1)) == "i1"
