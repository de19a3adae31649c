"""A crowd of long prompts before engines that change their roles, in virtual time.

Work flows: readers read at their pace, engines that generate at half of it for half of
their time, and what is not read waits. Callers are in time if they wait for less than
their aim.
"""

from dataclasses import dataclass

import pytest

from robinspindle.core import rebalance
from robinspindle.core.engines import make_engine
from robinspindle.core.rebalance import Demand, History, decide_change, note_demand
from robinspindle.core.targets import Announcement, Target

STEP_S = 0.05
LOOK_S = 0.25
SWITCH_S = 3.0
AIM_S = 0.25
SLOTS = 32
BESIDE = 0.25
"""What an engine that generates reads beside answers, in paces of a reader."""


@dataclass
class Crowd:
    """Readers' seconds a second that are asked for, and answers that are generated."""

    calm: float
    peak: float
    from_s: float = 16.0
    to_s: float = 30.0
    answers: int = 100


def play(crowd, engines=27, readers=8, for_s=36.0):
    """Play a crowd; returns the share of the work that is read in time."""
    pairs = [make_pair(number, number < readers) for number in range(engines)]
    away, demand, history = {}, Demand(), History()
    backlog = asked = in_time = now = 0.0
    while now < for_s:
        now += STEP_S
        rate = crowd.peak if crowd.from_s <= now < crowd.to_s else crowd.calm
        note_demand(demand, now, rate * STEP_S)
        for lifetime in [one for one, until in away.items() if until <= now]:
            del away[lifetime]
        capacity = sum(
            1.0 if engine.reads_only else BESIDE
            for target, engine in pairs
            if target.announced.lifetime not in away
        )
        asked += rate * STEP_S
        if backlog / capacity < AIM_S:
            in_time += rate * STEP_S
        backlog = max(0.0, backlog + (rate - capacity) * STEP_S)
        # Callers leave after a while.
        backlog = min(backlog, 2.0 * capacity)
        if round(now / STEP_S) % round(LOOK_S / STEP_S) == 0:
            share_answers(pairs, crowd.answers)
            change_roles(pairs, demand, history, away, now)
    return in_time / asked


def make_pair(number, reads):
    role = rebalance.READING if reads else rebalance.GENERATING
    announced = Announcement(f"i{number}", "s", "x:1", "a", SLOTS, role=role)
    return Target(announced), make_engine(reads, 1000)


def share_answers(pairs, answers):
    hosts = [engine for _, engine in pairs if not engine.reads_only]
    for engine in hosts:
        engine.own_long = answers // len(hosts)


def change_roles(pairs, demand, history, away, now):
    present = [pair for pair in pairs if pair[0].announced.lifetime not in away]
    rate = rebalance.read_demand(demand, now)
    change = decide_change(present, rate, history, now, SWITCH_S)
    if change is None:
        return
    history.changed_at, history.last_role = now, change.role
    engines = {target.announced.lifetime: engine for target, engine in pairs}
    for target in change.targets:
        lifetime = target.announced.lifetime
        away[lifetime] = now + SWITCH_S
        engines[lifetime].reads_only = change.role == rebalance.READING
        engines[lifetime].own_long = 0


def be_careful(monkeypatch):
    """Change few engines, late, and keep half of them for generating."""
    monkeypatch.setattr(rebalance, "READ_FULL", 0.4)
    monkeypatch.setattr(rebalance, "READ_IDLE", 0.25)
    monkeypatch.setattr(rebalance, "BATCH_SHARE", 1 / 8)
    monkeypatch.setattr(rebalance, "LEAST_GENERATING_SHARE", 0.5)


CROWD = Crowd(calm=3.7, peak=15.5)


def test_a_crowd_of_long_prompts_is_read_in_time():
    """All of the work is read in time; 0.64 of it where changes are few and late."""
    assert play(CROWD) > 0.95


def test_careful_changes_leave_a_crowd_unread(monkeypatch):
    be_careful(monkeypatch)
    assert 0.6 < play(CROWD) < 0.7


@pytest.mark.parametrize("engines", [6, 9])
def test_a_small_fleet_keeps_half_of_its_engines_for_generating(engines):
    pairs = [make_pair(number, number < 2) for number in range(engines)]
    share_answers(pairs, engines)
    change = decide_change(pairs, 99.0, History(), 100.0, SWITCH_S)
    assert engines - 2 - len(change.targets) >= engines / 2
