"""Simulation of engines that change roles in bursts of prompts and of answers.

Work is modeled as a flow in virtual time. Prefill engines run prefill at full speed and
decode engines at a part of it; the remaining prefill work waits. An answer occupies
a slot for a fixed time, and an answer that finds no free slot is not served. A prompt
meets its deadline if its prefill waits for less than the latency objective.
"""

from dataclasses import dataclass, field

import pytest

from robinspindle.core import rebalancing
from robinspindle.core.engines import make_engine
from robinspindle.core.rebalancing import (
    PrefillDemand,
    RoleChangeHistory,
    decide_role_change,
    note_prefill_demand,
)
from robinspindle.core.targets import Announcement, Target

STEP_S = 0.05
CHECK_INTERVAL_S = 0.25
ROLE_CHANGE_S = 3.0
LATENCY_OBJECTIVE_S = 0.25
SLOTS = 32
ANSWER_S = 6.0
DECODE_PREFILL_SHARE = 0.15
"""Prefill speed of a decode engine, as a share of a prefill engine's speed."""


@dataclass(frozen=True)
class Burst:
    """A burst of work.

    Attributes:
        prefill_load: Additional prefill load, in prefill engines.
        answer_rate: Additional answers per second.
        from_s: When the burst begins, seconds.
        to_s: When the burst ends, seconds.
    """

    prefill_load: float
    answer_rate: float
    from_s: float
    to_s: float


@dataclass
class Fleet:
    """The engines and the results of the simulation.

    Attributes:
        pairs: All engines.
        away: When an engine that changes its role is back in service, seconds, by
            lifetime.
        answers: When the slot of each running answer becomes free, seconds.
        requested_s: Prefill work that was requested, seconds.
        met_s: Prefill work that met its deadline, seconds.
        answers_asked: Number of answers that were requested.
        answers_served: Number of answers that found a slot.
        backlog: Prefill work that waits, seconds.
        lost: Lifetimes of the engines that were lost.
    """

    pairs: list
    away: dict[str, float] = field(default_factory=dict)
    answers: list[float] = field(default_factory=list)
    requested_s: float = 0.0
    met_s: float = 0.0
    answers_asked: float = 0.0
    answers_served: float = 0.0
    backlog: float = 0.0
    lost: set[str] = field(default_factory=set)

    def list_present(self, is_prefill):
        """List the engines of one role that are in service."""
        return [
            (target, engine)
            for target, engine in self.pairs
            if engine.prefill_only is is_prefill
            and target.announced.lifetime not in self.away.keys() | self.lost
        ]


def simulate(
    bursts, base=(3.7, 20.0), engines=27, prefill_engines=8, for_s=40.0, lost_at=None
):
    """Simulate bursts in addition to a constant base load.

    Args:
        bursts: The bursts.
        base: Prefill load in prefill engines, and answers per second.
        engines: Number of engines.
        prefill_engines: How many of them are prefill engines at the start.
        for_s: Simulated time, seconds.
        lost_at: When four decode engines are lost, seconds; None for never.

    Returns:
        The share of the prefill work that met its deadline, and the share of the
        answers that found a slot.
    """
    fleet = Fleet([make_pair(n, n < prefill_engines) for n in range(engines)])
    demand, history, now = PrefillDemand(), RoleChangeHistory(), 0.0
    while now < for_s:
        now += STEP_S
        active_bursts = [b for b in bursts if b.from_s <= now < b.to_s]
        prefill_load = base[0] + sum(b.prefill_load for b in active_bursts)
        answer_rate = base[1] + sum(b.answer_rate for b in active_bursts)
        if lost_at is not None and now >= lost_at and not fleet.lost:
            lost_pairs = fleet.list_present(False)[:4]
            fleet.lost = {target.announced.lifetime for target, _ in lost_pairs}
        fleet.away = {name: end for name, end in fleet.away.items() if end > now}
        note_prefill_demand(demand, now, prefill_load * STEP_S)
        run_prefill(fleet, prefill_load)
        begin_answers(fleet, answer_rate, now)
        if round(now / STEP_S) % round(CHECK_INTERVAL_S / STEP_S) == 0:
            change_roles(fleet, demand, history, now)
    return fleet.met_s / fleet.requested_s, fleet.answers_served / fleet.answers_asked


def make_pair(number, is_prefill):
    role = rebalancing.PREFILL_ROLE if is_prefill else rebalancing.DECODE_ROLE
    announced = Announcement(f"i{number}", "s", "x:1", "a", SLOTS, role=role)
    return Target(announced), make_engine(is_prefill, 1000)


def run_prefill(fleet, rate):
    """Run prefill for one step; callers abandon prompts that wait for two seconds."""
    capacity = len(fleet.list_present(True)) + DECODE_PREFILL_SHARE * len(
        fleet.list_present(False)
    )
    fleet.requested_s += rate * STEP_S
    if fleet.backlog / capacity < LATENCY_OBJECTIVE_S:
        fleet.met_s += rate * STEP_S
    left = max(0.0, fleet.backlog + (rate - capacity) * STEP_S)
    fleet.backlog = min(left, 2.0 * capacity)


def begin_answers(fleet, rate, now):
    """Begin the answers of one step, as far as slots are free."""
    fleet.answers = [free_at for free_at in fleet.answers if free_at > now]
    decode_engines = fleet.list_present(False)
    free = max(0.0, SLOTS * len(decode_engines) - len(fleet.answers))
    before = int(fleet.answers_asked)
    fleet.answers_asked += rate * STEP_S
    begun = min(int(fleet.answers_asked) - before, int(free))
    fleet.answers += [now + ANSWER_S] * begun
    fleet.answers_served += begun
    for _, engine in decode_engines:
        engine.own_long_answers = len(fleet.answers) // len(decode_engines)


def change_roles(fleet, demand, history, now):
    present = fleet.list_present(True) + fleet.list_present(False)
    rate = rebalancing.compute_prefill_load(demand, now)
    change = decide_role_change(present, rate, history, now, ROLE_CHANGE_S)
    if change is None:
        return
    history.changed_at = now
    history.last_role = "" if change.replaces_lost else change.role
    engines = {target.announced.lifetime: engine for target, engine in fleet.pairs}
    for target in change.targets:
        lifetime = target.announced.lifetime
        fleet.away[lifetime] = now + ROLE_CHANGE_S
        engines[lifetime].prefill_only = change.role == rebalancing.PREFILL_ROLE
        engines[lifetime].own_long_answers = 0


PROMPTS = (Burst(11.8, 5.0, 16.0, 30.0),)
ANSWERS_AFTER_PROMPTS = (Burst(9.0, 0.0, 4.0, 17.0), Burst(0.0, 35.0, 18.0, 34.0))


def disable_preparation(monkeypatch):
    """Let roles change only once a burst has begun, and few at a time."""
    monkeypatch.setattr(
        rebalancing, "_choose_thresholds", lambda *_: rebalancing._Thresholds()
    )
    monkeypatch.setattr(rebalancing, "_count_missing_decode_engines", lambda *_: 0)


def test_prepared_engines_meet_the_deadlines_of_a_burst_of_prompts():
    """All prefill meets its deadline; without preparation only 0.35 of it does."""
    prefill_share, answer_share = simulate(PROMPTS)
    assert prefill_share > 0.95
    assert answer_share == 1.0


def test_changes_after_the_start_of_a_burst_are_too_late(monkeypatch):
    disable_preparation(monkeypatch)
    prefill_share, answer_share = simulate(PROMPTS)
    assert 0.3 < prefill_share < 0.4
    assert answer_share == 1.0


def test_burst_of_answers_after_prompts_finds_slots():
    """With four engines lost, 0.47 of the prefill work meets its deadline and 0.99 of
    the answers find a slot. Without preparation the shares are 0.44 and 0.98."""
    prefill_share, answer_share = simulate(ANSWERS_AFTER_PROMPTS, lost_at=19.6)
    assert prefill_share > 0.46
    assert answer_share > 0.985


def test_burst_of_answers_after_prompts_without_preparation(monkeypatch):
    disable_preparation(monkeypatch)
    prefill_share, answer_share = simulate(ANSWERS_AFTER_PROMPTS, lost_at=19.6)
    assert 0.42 < prefill_share < 0.45
    assert 0.97 < answer_share < 0.985


@pytest.mark.parametrize("engines", [6, 9])
def test_small_fleet_keeps_half_of_its_engines_for_decode(engines):
    pairs = [make_pair(number, number < 2) for number in range(engines)]
    change = decide_role_change(pairs, 99.0, RoleChangeHistory(), 100.0, ROLE_CHANGE_S)
    assert engines - 2 - len(change.targets) >= engines / 2
