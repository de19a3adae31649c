"""Which engines a request compares, under the load of a fleet of 680."""

import random

from robinspindle.core.engines import make_engine, note_placed
from robinspindle.core.enginesampling import MAX_COMPARED, sample_engines
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.targets import Announcement, Target

PROMPT = Prompt("m", (Part("shared", 500), Part("own", 50)), 550, 100)


def make_fleet(count):
    pairs = []
    for number in range(count):
        role, zone = ("prefill", "decode")[number % 2], "abcd"[number // 2 % 4]
        announced = Announcement(f"i{number}", "lm", "x:1", zone, 8, role=role)
        pairs.append((Target(announced), make_engine(role == "prefill", 10_000)))
    return pairs


def test_a_fleet_of_today_is_compared_whole():
    pairs = make_fleet(MAX_COMPARED)
    assert sample_engines(pairs, PROMPT, "a", random.Random(1)) is pairs


def test_a_large_fleet_is_compared_in_part_with_both_roles_home_and_the_holders():
    """Guards against decisions that take twenty milliseconds each."""
    pairs = make_fleet(680)
    note_placed(pairs[577][1], PROMPT.parts)
    found = sample_engines(pairs, PROMPT, "a", random.Random(1))
    assert len(found) <= MAX_COMPARED
    assert pairs[577] in found
    roles = [target.announced.role for target, _ in found]
    assert min(roles.count("prefill"), roles.count("decode")) >= 12
    assert sum(target.announced.zone == "a" for target, _ in found) >= 24


def test_engines_take_turns_in_the_sample():
    rng, seen = random.Random(1), set()
    for _ in range(200):
        found = sample_engines(make_fleet(680), PROMPT, "a", rng)
        seen |= {target.announced.lifetime for target, _ in found}
    assert len(seen) > 0.9 * 680
