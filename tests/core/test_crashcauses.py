"""Which requests and which parts of prompts are taken as the cause of crashes."""

import random

import pytest

from robinspindle.core import crashes
from robinspindle.core.causes import Cause
from robinspindle.core.crashcauses import ESTABLISHED_EVENTS, judge
from robinspindle.core.crashes import Crash, CrashedRun, Evidence
from robinspindle.core.fingerprints import FINGERPRINT_BYTES, Fingerprint

TARGETS = 6


def name(number):
    return Fingerprint(number.to_bytes(FINGERPRINT_BYTES, "big"))


BAD, SHARED, FIRST = name(1 << 130), name(2 << 130), name(3 << 130)


class World:
    """Evidence, and requests of which no two are alike."""

    def __init__(self):
        self.evidence = Evidence()
        self.requests = 0
        self.now = 0.0

    def make_run(self, *parts, seconds=0.1, wrote_s=0.08):
        self.requests += 1
        run = CrashedRun(seconds, wrote_s, frozenset(parts))
        return {name(1000 + self.requests): run}

    def crash(self, at, *runs):
        self.now = at
        merged = {whole: run for each in runs for whole, run in each.items()}
        crash = Crash(f"i{at}", "lm", at, merged)
        crashes.note_crash(self.evidence, crash, at)

    def succeed(self, at, *fingerprints):
        self.now = at
        for fingerprint in fingerprints:
            crashes.note_success(self.evidence, fingerprint, at)

    def judge(self, known=()):
        return judge(self.evidence, known, lambda service: TARGETS, self.now)

    def list_causes(self, known=()):
        return list(self.judge(known).causes)


def test_part_of_three_requests_that_differ_is_the_cause():
    world = World()
    for at in (1.0, 2.0, 3.0):
        assert world.list_causes() == []
        beside = [world.make_run(SHARED, seconds=5.0)] if at < 3.0 else []
        world.crash(at, world.make_run(BAD), *beside)
    assert world.list_causes() == [Cause(BAD)]


def test_part_that_succeeds_beside_it_is_not_blamed():
    world = World()
    for at in (1.0, 2.0, 3.0):
        world.crash(at, world.make_run(BAD, SHARED))
        world.succeed(at + 0.1, SHARED)
    assert world.list_causes() == [Cause(BAD)]


def test_parts_that_always_come_together_are_blamed_together():
    world = World()
    for at in (1.0, 2.0, 3.0):
        world.crash(at, world.make_run(BAD, SHARED))
    (cause,) = world.list_causes()
    assert cause.members == {BAD, SHARED}
    world.succeed(4.0, SHARED)
    assert world.list_causes() == [Cause(BAD)]


def test_one_more_crash_separates_parts_that_came_together():
    world = World()
    for at in (1.0, 2.0, 3.0):
        world.crash(at, world.make_run(BAD, SHARED))
    known = world.list_causes()
    world.crash(4.0, world.make_run(BAD))
    assert Cause(BAD) in world.list_causes(known)
    assert Cause(SHARED) not in world.list_causes([*known, Cause(BAD)])


def test_retried_request_is_blamed_rather_than_its_parts():
    world = World()
    run = world.make_run(BAD, SHARED)
    for at in (1.0, 2.0, 3.0):
        world.crash(at, run)
    assert world.list_causes() == [Cause(next(iter(run)))]


def test_part_that_crashes_targets_apart_from_a_blamed_request_is_found():
    world = World()
    run = world.make_run(BAD)
    for at in (1.0, 2.0, 3.0):
        world.crash(at, run)
    known = world.list_causes()
    world.crash(4.0, world.make_run(BAD))
    assert Cause(BAD) in world.list_causes(known)


def test_two_bad_parts_are_both_found():
    world = World()
    second = name(4 << 130)
    for number in range(3):
        world.crash(2.0 * number, world.make_run(BAD))
        world.crash(2.0 * number + 1.0, world.make_run(second))
    assert set(world.list_causes()) == {Cause(BAD), Cause(second)}


def test_first_part_of_many_requests_is_not_blamed_beside_the_cause():
    """It is in the request that crashes the target and in those that run beside it."""
    world = World()
    world.succeed(0.0, FIRST)
    for number in range(10):
        beside = [world.make_run(FIRST) for _ in range(20)]
        world.crash(1.0 + number, world.make_run(FIRST, BAD), *beside)
    assert world.list_causes() == [Cause(BAD)]
    assert FIRST not in world.judge().suspected


def test_new_first_part_is_not_blamed_beside_the_cause():
    """No request with it has succeeded yet."""
    world = World()
    for number in range(6):
        beside = [world.make_run(FIRST) for _ in range(20)]
        world.crash(1.0 + number, world.make_run(FIRST, BAD), *beside)
    causes = world.list_causes()
    assert Cause(FIRST) not in causes
    assert any(BAD in cause.members for cause in causes)


def test_part_of_long_answers_is_not_blamed_when_all_targets_fail_at_once():
    world = World()
    for number in range(TARGETS):
        world.crash(5.0 + number * 0.05, world.make_run(SHARED, seconds=5.0))
    assert world.list_causes() == []


def test_established_part_needs_crashes_at_more_times():
    """A new version of the engines may crash on a part that others answered."""
    world = World()
    world.succeed(0.0, FIRST)
    for number in range(ESTABLISHED_EVENTS):
        assert world.list_causes() == []
        world.crash(1.0 + number, world.make_run(FIRST))
    assert world.list_causes() == [Cause(FIRST)]


def test_success_before_a_crash_does_not_clear_it():
    world = World()
    world.succeed(0.0, BAD)
    world.crash(1.0, world.make_run(BAD))
    assert crashes.count_crashes(world.evidence, BAD) == 1
    assert not crashes.note_success(world.evidence, BAD, 0.5)
    assert crashes.note_success(world.evidence, BAD, 1.5)


def test_late_report_of_a_crash_before_a_success_is_no_evidence():
    world = World()
    world.succeed(5.0, SHARED)
    world.crash(1.0, world.make_run(SHARED))
    assert crashes.count_crashes(world.evidence, SHARED) == 0


def test_known_cause_explains_what_its_requests_contain():
    world = World()
    for at in (1.0, 2.0, 3.0, 4.0):
        world.crash(at, world.make_run(BAD, SHARED))
    assert world.list_causes([Cause(BAD)]) == []
    assert SHARED not in world.judge([Cause(BAD)]).suspected


def test_survival_is_longer_than_answers_were_written_before_crashes():
    world = World()
    assert crashes.find_survival_s(world.evidence, BAD) == crashes.MIN_SURVIVAL_S
    world.crash(1.0, world.make_run(BAD, wrote_s=0.08))
    world.crash(2.0, world.make_run(BAD, wrote_s=4.0))
    assert crashes.find_survival_s(world.evidence, BAD) == 12.0


def test_chosen_parts_are_few_and_the_same_everywhere():
    parts = [name(n << 100) for n in range(1, 500)]
    chosen = crashes.choose_parts(Evidence(), parts, 0.0)
    assert len(chosen) == crashes.MAX_PARTS
    assert chosen == crashes.choose_parts(Evidence(), reversed(parts), 0.0)
    world = World()
    world.crash(1.0, world.make_run(parts[-1]))
    assert parts[-1] in crashes.choose_parts(world.evidence, parts, 1.0)


def simulate_own_crashes(seed, bad_share, seconds=120.0):
    """Simulate targets that crash for their own reasons, and requests with parts.

    Each target crashes every 12 s on average. Requests share one first part and one of
    40 others; a share of them contains a part that crashes its target at once.

    Returns:
        The causes found, and the crashes by the bad part before it was found.
    """
    rng, world = random.Random(seed), World()
    shared = [name((100 + n) << 130) for n in range(40)]
    running, causes, by_part, at = [], set(), 0, 0.0
    while at < seconds:
        at += rng.expovariate(60.0)
        for run in [run for run in running if run[0] <= at]:
            running.remove(run)
            world.succeed(run[0], *run[3])
        parts = {FIRST, rng.choice(shared)}
        is_bad = rng.random() < bad_share and Cause(BAD) not in causes
        target, run_s = rng.randrange(TARGETS), rng.choice([0.1, 0.1, 0.1, 4.0])
        parts |= {BAD} if is_bad else set()
        crashes_now = is_bad or rng.random() < TARGETS / 12.0 / 60.0
        if not crashes_now:
            running.append((at + run_s, at, target, parts, run_s))
            continue
        by_part += is_bad
        end = at + 0.1
        lost = [run for run in running if run[2] == target]
        running = [run for run in running if run[2] != target]
        lost += [(0.0, at, target, parts, 0.1)] if is_bad else []
        runs = []
        for _, since, _, held, usual_s in lost:
            suspects = crashes.choose_parts(world.evidence, held, end)
            runs.append(world.make_run(*suspects, seconds=max(usual_s, end - since)))
        world.crash(end, *runs)
        causes |= set(world.list_causes(causes))
    return causes, by_part


@pytest.mark.parametrize("seed", range(6))
def test_targets_that_crash_for_their_own_reasons_blame_nothing(seed):
    causes, _ = simulate_own_crashes(seed, bad_share=0.0)
    assert causes == set()


@pytest.mark.parametrize("seed", range(6))
def test_bad_part_is_found_among_other_crashes_and_nothing_else(seed):
    causes, by_part = simulate_own_crashes(seed, bad_share=0.01)
    assert causes == {Cause(BAD)}
    assert by_part <= 5
