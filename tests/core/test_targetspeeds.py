"""What gateways that share the measured speeds of targets believe of them."""

import math
import random
from dataclasses import replace

import pytest

from robinspindle.core import targetspeeds
from robinspindle.core.targetspeeds import SpeedSums, TargetSpeed
from tests.core.loadplay import Load, simulate

GATEWAYS = 24


def learn(per_s, find_ratio, until, noise=0.0, seed=1, start=0.0):
    """Have gateways measure a target and tell each other once a second.

    Args:
        per_s: Samples of all gateways per second.
        find_ratio: The real ratio at a time.
        until: When to stop, seconds.
        noise: Share of the time, in slots of 0.6 s, in which work takes 2.5 times as
            long.
        seed: Seeds the samples.
        start: When to begin, seconds.

    Returns:
        Times and what the first gateway believed then.
    """
    rng = random.Random(seed)
    speeds = [TargetSpeed() for _ in range(GATEWAYS)]
    noisy = [rng.random() < noise for _ in range(math.ceil(until / 0.6) + 1)]
    now, tell_at, believed = start, start + 1.0, []
    while now < until:
        now += rng.expovariate(per_s)
        while tell_at <= now:
            exchange(speeds, tell_at)
            believed.append((tell_at, speeds[0].ratio))
            tell_at += 1.0
        ratio = find_ratio(now) * rng.lognormvariate(0.0, 0.15)
        ratio *= 2.5 if now < until and noisy[int(now / 0.6)] else 1.0
        speed = rng.choice(speeds)
        targetspeeds.note_ratio(speed, ratio, now)
        targetspeeds.update_estimate(speed, now)
    return believed


def exchange(speeds, now):
    told = [targetspeeds.list_told({"e1": speed}, now) for speed in speeds]
    total = targetspeeds.add_sums(one for sums in told for one in sums)
    for speed, own in zip(speeds, told, strict=True):
        for one in targetspeeds.subtract_sums(total, own):
            targetspeeds.note_told(speed, "relay", one, now)
        targetspeeds.update_estimate(speed, now)


@pytest.mark.parametrize("ratio", [1.0, 1 / 2.4, 2.4])
@pytest.mark.parametrize("seed", range(5))
def test_noise_swings_no_estimate_by_more_than_a_fifth(ratio, seed):
    believed = learn(6.4, lambda now: ratio, 90.0, 0.15, seed)
    later = [value for now, value in believed if now > 15.0]
    usual = sorted(later)[len(later) // 2]
    assert usual / 1.2 < min(later) <= max(later) < usual * 1.2
    # The noise itself may be in it, as it is in that of all others.
    assert usual == pytest.approx(ratio, rel=0.12)


def test_few_samples_suffice():
    speed = TargetSpeed()
    for number in range(8):
        targetspeeds.note_ratio(speed, 1 / 2.4, number * 0.5)
        targetspeeds.update_estimate(speed, number * 0.5)
    assert speed.ratio == pytest.approx(1 / 2.4, rel=0.12)


def test_one_outlier_does_not_make_a_stranger_slow():
    speed = TargetSpeed()
    targetspeeds.note_ratio(speed, 16.0, 0.0)
    assert targetspeeds.update_estimate(speed, 0.0) < 1.2


@pytest.mark.parametrize("seed", range(5))
def test_a_lasting_slowness_is_found_within_the_patience_of_long_prompts(seed):
    """Callers of long prompts wait some ten seconds, and the slow target gets less."""

    def find_ratio(now):
        return 3.0 if now > 30.0 else 1.0

    believed = learn(6.4, find_ratio, 60.0, 0.15, seed)
    assert max(value for now, value in believed if now <= 30.0) < 1.5
    assert min(value for now, value in believed if now > 40.0) > 3.0 / 1.2


def test_what_is_not_confirmed_is_forgotten():
    speed = TargetSpeed()
    for number in range(100):
        targetspeeds.note_ratio(speed, 3.0, number * 0.1)
        targetspeeds.update_estimate(speed, number * 0.1)
    assert speed.ratio > 2.5
    assert targetspeeds.update_estimate(speed, 200.0) < 1.1


def test_what_a_peer_told_ends_with_it_or_in_time():
    speed, told = TargetSpeed(), SpeedSums("e1", 15, [400])
    targetspeeds.note_told(speed, "g2", told, 0.0)
    assert targetspeeds.update_estimate(speed, 0.0) > 3.0
    assert targetspeeds.update_estimate(speed, 21.0) == pytest.approx(1.0, rel=0.01)
    targetspeeds.note_told(speed, "g2", told, 22.0)
    targetspeeds.forget_peer(speed, "g2")
    assert targetspeeds.update_estimate(speed, 22.0) == pytest.approx(1.0, rel=0.01)


def test_more_targets_than_a_datagram_holds_take_turns():
    sums = [SpeedSums(f"e{number}", 8, [8]) for number in range(100)]
    turns = [targetspeeds.take_turn(sums, turn) for turn in range(3)]
    assert all(len(turn) <= targetspeeds.MAX_TOLD_SPEEDS for turn in turns)
    assert {one.lifetime for turn in turns for one in turn} == {
        one.lifetime for one in sums
    }


def test_engines_that_are_faster_get_their_share_near_the_limit():
    """Guards against gateways that each learn alone and never know the fast engines.

    The load takes 0.8 of all engines. A third of those that only prefill are 2.4 times
    as fast as the others, and no prompt is in a cache. Work counts from the time on in
    which an estimate has to be found.
    """
    fast = {f"p{number}" for number in range(0, 12, 3)}
    load = Load(
        per_s=260,
        for_s=15.0,
        warm_up_s=5.0,
        prefill_engines=12,
        decode_engines=4,
        gateways=24,
        tokens_per_s=125_000,
        documents=10**9,
        slowdowns=dict.fromkeys(fast, 1 / 2.4),
    )
    shared = simulate(replace(load, shares_speeds=True))
    alone = simulate(load)
    assert find_share(shared, fast) == pytest.approx(2.4, rel=0.1)
    assert find_share(alone, fast) < 2.0
    assert shared.in_time > 1.03 * alone.in_time


def find_share(outcome, fast):
    """Find how much more an engine in a set prefilled than another."""
    work = outcome.usual_busy_s
    others = {name for name in work if name[0] == "p"} - fast
    return (sum(work[n] for n in fast) / len(fast)) / (
        sum(work[n] for n in others) / len(others)
    )
