import math
import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.core.zoneshares import (
    SHARE_HEADROOM,
    Gain,
    ZoneShare,
    draws_leave,
    find_leaving_probability,
    note_wanted,
)
from tests.core.zoneplay import STEP_S, ZoneLoad, play, play_home

TERMS = ZoneTerms()

OWN_CALLERS_SHARE = 0.05
"""By how much more of a zone's own callers may be late because it takes others."""

SWING_LIMIT = 0.15
"""Largest standard deviation of a settled share under a steady load: less than a
seventh of the callers take turns between two zones."""


def steady(*values):
    return lambda now: list(values)


def waves(now):
    return [
        80 * (1 + 0.55 * math.sin(2 * math.pi * (now / 17 + phase)))
        for phase in (0.1, 0.35, 0.6, 0.85)
    ]


@given(
    gain_s=st.floats(-10, 10),
    more_s=st.floats(0, 10),
    age_s=st.floats(0, 5),
    older_s=st.floats(0, 5),
)
def test_more_gain_leaves_more_and_older_state_less(gain_s, more_s, age_s, older_s):
    probability = find_leaving_probability(Gain(gain_s), age_s, 1.0, TERMS)
    assert 0.0 <= probability <= TERMS.most_share
    assert (
        find_leaving_probability(Gain(gain_s + more_s), age_s, 1.0, TERMS)
        >= probability
    )
    assert (
        find_leaving_probability(Gain(gain_s), age_s + older_s, 1.0, TERMS)
        <= probability
    )


def test_a_gain_that_others_do_not_share_is_taken_whatever_the_age():
    gain = Gain(total_s=0.03, lasting_s=0.02)
    assert find_leaving_probability(gain, 2.0, 1.0, TERMS) == TERMS.most_share
    assert find_leaving_probability(gain, 2.0, 0.0, TERMS) == 0.0
    assert find_leaving_probability(Gain(-0.01, 0.02), 2.0, 1.0, TERMS) == 0.0


def test_nothing_leaves_for_less_than_the_least_gain():
    assert find_leaving_probability(Gain(0.0019), 0.0, 1.0, TERMS) == 0.0
    assert find_leaving_probability(Gain(-1.0), 0.0, 1.0, TERMS) == 0.0


@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0, 1)), max_size=40))
def test_the_wanted_share_stays_between_zero_and_one(steps):
    share, now = ZoneShare(), 0.0
    for elapsed_s, probability in steps:
        now += elapsed_s
        note_wanted(share, now, probability)
        assert 0.0 <= share.wanted <= 1.0


def test_a_step_of_the_load_moves_the_share_smoothly_and_back_home():
    share, rng, shares = ZoneShare(), random.Random(1), []
    for step in range(80):
        probability = 1.0 if step < 40 else 0.0
        note_wanted(share, step * 0.05, probability)
        left = sum(draws_leave(share, probability, TERMS, rng) for _ in range(200))
        shares.append(left / 200)
    assert shares[0] < SHARE_HEADROOM + 0.1
    # All that may leave do so within two seconds, and nobody after it doesn't pay.
    assert shares[39] > TERMS.most_share - 0.1
    assert shares[40:] == [0.0] * 40


def test_waves_out_of_step_are_shared_without_harm_to_own_callers():
    load = ZoneLoad(waves, steady(90, 90, 90, 90))
    alone, shared = play_home(load, 51, 1), play(load, 51, 1)
    assert sum(shared.late) < 0.5 * sum(alone.late)
    for zone in range(4):
        assert shared.late_share(zone) <= alone.late_share(zone) + OWN_CALLERS_SHARE


@pytest.mark.parametrize("age_s", [0.1, 2.0])
@pytest.mark.parametrize("crowds", [1, 2])
def test_a_zone_at_three_times_its_load_is_relieved(age_s, crowds):
    rates = [240.0] * crowds + [40.0] * (4 - crowds)
    load = ZoneLoad(steady(*rates), steady(90, 90, 90, 90), age_s)
    alone, shared = play_home(load, 40, 2), play(load, 40, 2)
    assert sum(shared.late) < sum(alone.late)
    for zone in range(crowds, 4):
        assert shared.late_share(zone) <= alone.late_share(zone) + OWN_CALLERS_SHARE


@pytest.mark.parametrize("age_s", [0.1, 0.5, 2.0])
@pytest.mark.parametrize("gateways", [6, 105])
def test_the_share_settles_although_the_state_is_old(age_s, gateways):
    """A zone whose load is a third above its capacity, beside three with room."""
    load = ZoneLoad(
        steady(240, 100, 100, 100), steady(180, 180, 180, 180), age_s, 0.5, gateways
    )
    shares = [left[0] for left in play(load, 60, 3).left_shares]
    settled = shares[round(30 / STEP_S) :]
    seconds = round(1 / STEP_S)
    means = [
        statistics.mean(settled[at : at + seconds])
        for at in range(0, len(settled), seconds)
    ]
    assert statistics.pstdev(means) < SWING_LIMIT
    assert statistics.mean(means) > 0.15


def test_a_zone_half_lost_sends_its_callers_where_there_is_room():
    def capacities(now):
        return [45.0 if now > 10 else 90.0, 90.0, 90.0, 90.0]

    load = ZoneLoad(steady(70, 60, 60, 60), capacities)
    alone, shared = play_home(load, 40, 4), play(load, 40, 4)
    assert shared.late_share(0) < 0.2 < alone.late_share(0)
    for zone in (1, 2, 3):
        assert shared.late_share(zone) <= OWN_CALLERS_SHARE


def test_a_lost_zone_gets_nothing():
    load = ZoneLoad(steady(60, 60, 0), lambda now: [90.0, 90.0, 0.0])
    assert play(load, 20, 5).arrivals[2] == 0


def test_unlike_speeds_with_noise_move_less_than_a_tenth_without_need():
    load = ZoneLoad(steady(30, 60, 50, 40), steady(60, 150, 90, 80), noise=0.3)
    played = play(load, 30, 6)
    assert sum(played.arrivals) < 0.1 * sum(played.asked)
    assert sum(played.late) == 0
