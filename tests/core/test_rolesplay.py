"""Crowds of prompts and of answers before engines that change roles, in virtual time.

Work flows: readers read at their pace, engines that generate at a part of it; what
is not read waits. Answers take a slot for a while; who finds none is not served.
Callers of prompts are in time if they wait for less than their aim.
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
LOOK_S = 0.25
SWITCH_S = 3.0
AIM_S = 0.25
SLOTS = 32
ANSWER_S = 6.0
BESIDE = 0.15
"""What an engine that generates reads beside answers, in paces of a reader."""


@dataclass(frozen=True)
class Crowd:
    """What is asked for: readers' seconds a second, and answers a second."""

    read_rate: float
    answer_rate: float
    from_s: float
    to_s: float


@dataclass
class Fleet:
    """The engines, and what became of the work."""

    pairs: list
    away: dict[str, float] = field(default_factory=dict)
    answers: list[float] = field(default_factory=list)
    asked: float = 0.0
    in_time: float = 0.0
    answers_asked: float = 0.0
    answers_served: float = 0.0
    backlog: float = 0.0
    lost: set[str] = field(default_factory=set)

    def list_present(self, reads):
        """List the engines of one role that are there."""
        return [
            (target, engine)
            for target, engine in self.pairs
            if engine.reads_only is reads
            and target.announced.lifetime not in self.away.keys() | self.lost
        ]


def play(crowds, calm=(3.7, 20.0), engines=27, readers=8, for_s=40.0, lost_at=None):
    """Play crowds on top of calm work.

    Args:
        crowds: What is asked for beside it.
        calm: Readers' seconds and answers a second.
        engines: How many there are.
        readers: How many of them read at the start.
        for_s: How long it lasts.
        lost_at: When four engines are lost; None for never.

    Returns:
        The share of the prompts' work that is read in time, and of the answers that
        found a slot.
    """
    fleet = Fleet([make_pair(n, n < readers) for n in range(engines)])
    demand, history, now = PrefillDemand(), RoleChangeHistory(), 0.0
    while now < for_s:
        now += STEP_S
        here = [c for c in crowds if c.from_s <= now < c.to_s]
        read_rate = calm[0] + sum(c.read_rate for c in here)
        answer_rate = calm[1] + sum(c.answer_rate for c in here)
        if lost_at is not None and now >= lost_at and not fleet.lost:
            taken = fleet.list_present(False)[:4]
            fleet.lost = {target.announced.lifetime for target, _ in taken}
        fleet.away = {name: at for name, at in fleet.away.items() if at > now}
        note_prefill_demand(demand, now, read_rate * STEP_S)
        read(fleet, read_rate)
        answer(fleet, answer_rate, now)
        if round(now / STEP_S) % round(LOOK_S / STEP_S) == 0:
            change_roles(fleet, demand, history, now)
    return fleet.in_time / fleet.asked, fleet.answers_served / fleet.answers_asked


def make_pair(number, reads):
    role = rebalancing.PREFILL_ROLE if reads else rebalancing.DECODE_ROLE
    announced = Announcement(f"i{number}", "s", "x:1", "a", SLOTS, role=role)
    return Target(announced), make_engine(reads, 1000)


def read(fleet, rate):
    """Read for a step; callers leave after two seconds."""
    capacity = len(fleet.list_present(True)) + BESIDE * len(fleet.list_present(False))
    fleet.asked += rate * STEP_S
    if fleet.backlog / capacity < AIM_S:
        fleet.in_time += rate * STEP_S
    left = max(0.0, fleet.backlog + (rate - capacity) * STEP_S)
    fleet.backlog = min(left, 2.0 * capacity)


def answer(fleet, rate, now):
    """Begin answers for a step, as far as there are slots."""
    fleet.answers = [until for until in fleet.answers if until > now]
    hosts = fleet.list_present(False)
    free = max(0.0, SLOTS * len(hosts) - len(fleet.answers))
    before = int(fleet.answers_asked)
    fleet.answers_asked += rate * STEP_S
    begun = min(int(fleet.answers_asked) - before, int(free))
    fleet.answers += [now + ANSWER_S] * begun
    fleet.answers_served += begun
    for _, engine in hosts:
        engine.own_long = len(fleet.answers) // len(hosts)


def change_roles(fleet, demand, history, now):
    present = fleet.list_present(True) + fleet.list_present(False)
    rate = rebalancing.compute_prefill_load(demand, now)
    change = decide_role_change(present, rate, history, now, SWITCH_S)
    if change is None:
        return
    history.changed_at = now
    history.last_role = "" if change.replaces_lost else change.role
    engines = {target.announced.lifetime: engine for target, engine in fleet.pairs}
    for target in change.targets:
        lifetime = target.announced.lifetime
        fleet.away[lifetime] = now + SWITCH_S
        engines[lifetime].reads_only = change.role == rebalancing.PREFILL_ROLE
        engines[lifetime].own_long = 0


PROMPTS = (Crowd(11.8, 5.0, 16.0, 30.0),)
ANSWERS_AFTER_PROMPTS = (Crowd(9.0, 0.0, 4.0, 17.0), Crowd(0.0, 35.0, 18.0, 34.0))


def never_prepare(monkeypatch):
    """Change roles once a crowd has come alone, few at a time."""
    monkeypatch.setattr(
        rebalancing, "_choose_thresholds", lambda *_: rebalancing._Thresholds()
    )
    monkeypatch.setattr(rebalancing, "_count_missing_decode_engines", lambda *_: 0)


def test_engines_that_were_prepared_read_a_crowd_of_prompts_in_time():
    """All is read in time; 0.35 of it where engines change once the crowd has come."""
    read_share, answered = play(PROMPTS)
    assert read_share > 0.95
    assert answered == 1.0


def test_changes_once_a_crowd_has_come_leave_it_unread(monkeypatch):
    never_prepare(monkeypatch)
    read_share, answered = play(PROMPTS)
    assert 0.3 < read_share < 0.4
    assert answered == 1.0


def test_answers_that_crowd_after_prompts_find_engines():
    """While four engines are lost: 0.47 of the prompts are read in time and 0.99 of
    the answers found a slot; 0.44 and 0.98 where engines are not prepared."""
    read_share, answered = play(ANSWERS_AFTER_PROMPTS, lost_at=19.6)
    assert read_share > 0.46
    assert answered > 0.985


def test_the_same_answers_without_preparation(monkeypatch):
    never_prepare(monkeypatch)
    read_share, answered = play(ANSWERS_AFTER_PROMPTS, lost_at=19.6)
    assert 0.42 < read_share < 0.45
    assert 0.97 < answered < 0.985


@pytest.mark.parametrize("engines", [6, 9])
def test_few_engines_keep_half_for_generating(engines):
    pairs = [make_pair(number, number < 2) for number in range(engines)]
    change = decide_role_change(pairs, 99.0, RoleChangeHistory(), 100.0, SWITCH_S)
    assert engines - 2 - len(change.targets) >= engines / 2
