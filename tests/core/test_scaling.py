"""The number of targets, played through rises, falls, flapping and lost orders."""

import random

import pytest

from robinspindle.core.scaling import (
    PLANNED_UTILIZATION,
    Bounds,
    ZoneDemand,
    decide_desired,
    find_needed,
    note_busy_slots,
)

BOUNDS = Bounds(2, 12, 4.0)
SLOTS = 10
STEP_S = 0.5


class Play:
    """A zone whose targets start late, and orders that may be lost or come late."""

    def __init__(self, bounds=BOUNDS, loss=0.0, late_s=0.0, seed=1):
        self.bounds, self.loss, self.late_s = bounds, loss, late_s
        self.rng = random.Random(seed)
        self.now, self.present = 0.0, bounds.least
        self.demand = ZoneDemand()
        self.orders, self.coming = [], []
        self.overrun_s = 0.0

    def run(self, seconds, find_busy):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            self._arrive()
            busy = find_busy(self.now)
            if busy > self.present * SLOTS:
                self.overrun_s += STEP_S
            note_busy_slots(self.demand, self.now, busy)
            wanted = decide_desired(
                self.demand, self.now, SLOTS, self.present, self.bounds
            )
            assert self.bounds.least <= wanted <= self.bounds.most
            if wanted != self.demand.desired:
                self._order(wanted)

    def _order(self, wanted):
        if self.rng.random() < self.loss:
            return
        self.demand.desired = wanted
        self.orders.append(wanted)
        start_s = self.bounds.start_s if wanted > self.present else 0.0
        self.coming.append((self.now + self.late_s + start_s, wanted))

    def _arrive(self):
        for item in [item for item in self.coming if item[0] <= self.now]:
            self.coming.remove(item)
            self.present = item[1]


def test_a_rise_is_met_ahead_of_what_a_start_takes():
    play = Play()
    play.run(60, lambda now: min(60.0, now * 2))
    assert play.overrun_s == 0.0
    assert play.present * SLOTS * PLANNED_UTILIZATION >= 60.0


def test_a_jump_is_met_at_the_first_look():
    play = Play()
    play.run(10, lambda now: 5.0)
    play.run(5, lambda now: 70.0)
    assert play.present == BOUNDS.most


def test_a_fall_is_followed_slowly_and_one_at_a_time():
    play = Play()
    play.run(20, lambda now: 60.0)
    high = play.present
    play.run(15, lambda now: 5.0)
    assert play.present == high
    play.run(600, lambda now: 5.0)
    assert play.present == BOUNDS.least
    falls = [b - a for a, b in zip(play.orders, play.orders[1:], strict=False)]
    assert min(falls) == -1


def test_flapping_orders_nothing_to_and_fro():
    play = Play()
    play.run(40, lambda now: 60.0)
    play.run(200, lambda now: 60.0 if int(now) % 16 < 8 else 5.0)
    assert play.orders == sorted(play.orders)
    assert len(play.orders) <= 2


@pytest.mark.parametrize(("loss", "late_s"), [(0.5, 0.0), (0.0, 5.0), (0.5, 5.0)])
def test_lost_and_late_orders_end_where_they_should(loss, late_s):
    play = Play(loss=loss, late_s=late_s)
    play.run(120, lambda now: 60.0)
    assert play.present * SLOTS * PLANNED_UTILIZATION >= 60.0


def test_what_is_left_bears_the_loss_of_one():
    demand = ZoneDemand()
    note_busy_slots(demand, 0.0, 30.0)
    needed = find_needed(demand, SLOTS, BOUNDS)
    assert (needed - 1) * SLOTS * PLANNED_UTILIZATION >= 30.0


def test_bounds_hold_whatever_is_asked():
    play = Play(Bounds(3, 5, 1.0))
    play.run(30, lambda now: 1000.0)
    assert play.present == 5
    play.run(600, lambda now: 0.0)
    assert play.present == 3
