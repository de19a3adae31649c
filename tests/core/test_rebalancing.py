import pytest

from robinspindle.core import rebalancing
from robinspindle.core.engines import make_engine
from robinspindle.core.rebalancing import (
    DECODE_ROLE,
    PREFILL_ROLE,
    PrefillDemand,
    RoleChangeHistory,
    compute_prefill_load,
    decide_role_change,
    note_prefill_demand,
)
from robinspindle.core.targets import Announcement, Target

SWITCH_S = 3.0


def make_fleet(readers=2, hosts=4, long_answers=0):
    fleet = []
    for number in range(readers + hosts):
        role = PREFILL_ROLE if number < readers else DECODE_ROLE
        announced = Announcement(f"i{number}", "s", "x:1", "a", 48, role=role)
        engine = make_engine(role == PREFILL_ROLE, 1000)
        engine.own_long = 0 if role == PREFILL_ROLE else long_answers
        fleet.append((Target(announced), engine))
    return fleet


def decide(fleet, rate, history=None, now=100.0):
    return decide_role_change(
        fleet, rate, history or RoleChangeHistory(), now, SWITCH_S
    )


def name(change):
    return [target.announced.lifetime for target in change.targets]


def test_nothing_changes_while_the_readers_keep_up():
    assert decide(make_fleet(), 0.3 * 2) is None


def test_a_generating_engine_without_answers_begins_to_read():
    fleet = make_fleet(long_answers=5)
    fleet[4][1].own_long = 0
    change = decide(fleet, 1.5)
    assert (change.role, name(change)) == (PREFILL_ROLE, ["i4"])


def test_half_of_the_engines_go_on_generating():
    assert decide(make_fleet(3, 3), 9) is None


def test_engines_that_are_needed_for_answers_stay():
    assert decide(make_fleet(long_answers=24), 9) is None


def test_readers_turn_to_answers_that_crowd():
    change = decide(make_fleet(3, 3, long_answers=40), 0.1)
    assert (change.role, len(change.targets)) == (DECODE_ROLE, 1)


def test_the_last_reader_stays():
    assert decide(make_fleet(1, 5, long_answers=48), 0.0) is None


def test_a_large_fleet_changes_an_eighth_at_a_time():
    change = decide(make_fleet(7, 15), 22)
    assert len(change.targets) == 2


def test_many_engines_are_prepared_for_a_crowd_while_it_is_calm():
    assert decide(make_fleet(9, 18), 0.24 * 9) is None
    change = decide(make_fleet(9, 18), 0.5 * 9)
    assert (change.role, len(change.targets)) == (PREFILL_ROLE, 6)


def test_a_crowd_that_has_come_takes_few_engines_away():
    change = decide(make_fleet(9, 18), 0.7 * 9)
    assert (change.role, len(change.targets)) == (PREFILL_ROLE, 3)


def test_answers_that_crowd_take_readers_back_at_once():
    """However soon after a change in the other direction."""
    history = RoleChangeHistory(changed_at=93.0, last_role=PREFILL_ROLE)
    fleet = make_fleet(17, 6, long_answers=40)
    change = decide_role_change(fleet, 3.0, history, 100.0, SWITCH_S)
    assert (change.role, len(change.targets)) == (DECODE_ROLE, 2)
    assert change.replaces_lost


@pytest.mark.parametrize(
    ("rate", "turned"), [(3.0, 2), (17.0, 2), (20.0, 1), (40.0, 0)]
)
def test_prompts_and_answers_that_both_crowd_share_the_engines(rate, turned):
    fleet = make_fleet(17, 6, long_answers=40)
    change = decide_role_change(
        fleet, rate, RoleChangeHistory(90.0, PREFILL_ROLE), 100.0, SWITCH_S
    )
    assert (len(change.targets) if change else 0) == turned


@pytest.mark.parametrize(
    ("role", "since", "changes"),
    [
        (PREFILL_ROLE, 5.9, False),
        (PREFILL_ROLE, 6.1, True),
        (DECODE_ROLE, 6.1, False),
        (DECODE_ROLE, 20.1, True),
    ],
)
def test_changes_are_apart_and_turning_back_takes_longer(role, since, changes):
    history = RoleChangeHistory(changed_at=100.0 - since, last_role=role)
    assert (decide(make_fleet(), 9, history) is not None) is changes


def test_demand_is_a_mean_that_decays():
    demand = PrefillDemand()
    for step in range(1000):
        note_prefill_demand(demand, step * 0.01, 0.005)
    assert compute_prefill_load(demand, 10.0) == pytest.approx(0.5, rel=0.05)
    later = compute_prefill_load(demand, 10.0 + 10 * rebalancing.DEMAND_WINDOW_S)
    assert later < 1e-4


def test_where_no_engine_generates_a_reader_begins_to():
    change = decide(make_fleet(3, 0), 2.0)
    assert (change.role, len(change.targets)) == (DECODE_ROLE, 1)
    assert decide(make_fleet(1, 0), 2.0) is None


def test_no_engine_is_taken_from_crowded_answers_whose_longest_are_late():
    """The longest answers alone paid for it: 0.28 of them were served, 0.78 of all."""
    fleet = make_fleet(2, 5, long_answers=15)
    late = decide_role_change(
        fleet, 1.5, RoleChangeHistory(), 100.0, SWITCH_S, pressure=1.2
    )
    assert late is None
    assert decide(fleet, 1.5).role == PREFILL_ROLE


def test_engines_that_generated_and_were_lost_are_replaced_where_answers_crowd():
    """However much is to be read, and soon after a change in the other direction."""
    fleet = make_fleet(4, 2, long_answers=15)
    history = RoleChangeHistory(changed_at=90.0, last_role=PREFILL_ROLE)
    change = decide_role_change(fleet, 9.0, history, 100.0, SWITCH_S, pressure=1.2)
    assert (change.role, len(change.targets)) == (DECODE_ROLE, 1)


def test_a_loss_that_is_made_good_does_not_keep_from_turning_back():
    """Worth of a day on which an engine was lost for 4 s: 0.339 before, 0.615 after."""
    fleet = make_fleet(4, 1)
    change = decide(fleet, 2.0)
    assert (change.role, change.replaces_lost) == (DECODE_ROLE, True)
    assert not decide(make_fleet(2, 4), 1.5).replaces_lost


@pytest.mark.parametrize(("long_answers", "pressure"), [(15, 0.9), (5, 1.2)])
def test_neither_a_crowd_nor_slow_answers_alone_take_a_reader(long_answers, pressure):
    """Prompts that are read beside answers slow them too: then readers lack."""
    fleet = make_fleet(4, 2, long_answers=long_answers)
    assert (
        decide_role_change(fleet, 9.0, RoleChangeHistory(), 100.0, SWITCH_S, pressure)
        is None
    )
