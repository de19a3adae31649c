"""The number of targets in simulations of rising, falling and oscillating demand.

Some simulations also lose or delay orders.
"""

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


class Simulation:
    """A zone whose targets take time to start and whose orders may be lost or late."""

    def __init__(self, bounds=BOUNDS, loss=0.0, late_s=0.0, seed=1):
        self.bounds, self.loss, self.late_s = bounds, loss, late_s
        self.rng = random.Random(seed)
        self.now, self.present = 0.0, bounds.min_targets
        self.demand = ZoneDemand()
        self.orders, self.pending = [], []
        self.overloaded_s = 0.0

    def run(self, seconds, find_busy):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            self._execute_due_orders()
            busy = find_busy(self.now)
            if busy > self.present * SLOTS:
                self.overloaded_s += STEP_S
            note_busy_slots(self.demand, self.now, busy)
            wanted = decide_desired(
                self.demand, self.now, SLOTS, self.present, self.bounds
            )
            assert self.bounds.min_targets <= wanted <= self.bounds.max_targets
            if wanted != self.demand.desired:
                self._order(wanted)

    def _order(self, wanted):
        if self.rng.random() < self.loss:
            return
        self.demand.desired = wanted
        self.orders.append(wanted)
        start_s = self.bounds.start_s if wanted > self.present else 0.0
        self.pending.append((self.now + self.late_s + start_s, wanted))

    def _execute_due_orders(self):
        for item in [item for item in self.pending if item[0] <= self.now]:
            self.pending.remove(item)
            self.present = item[1]


def test_rising_demand_is_anticipated_by_the_start_time():
    simulation = Simulation()
    simulation.run(60, lambda now: min(60.0, now * 2))
    assert simulation.overloaded_s == 0.0
    assert simulation.present * SLOTS * PLANNED_UTILIZATION >= 60.0


def test_jump_in_demand_is_met_at_once():
    simulation = Simulation()
    simulation.run(10, lambda now: 5.0)
    simulation.run(5, lambda now: 70.0)
    assert simulation.present == BOUNDS.max_targets


def test_targets_are_removed_slowly_and_one_at_a_time():
    simulation = Simulation()
    simulation.run(20, lambda now: 60.0)
    high = simulation.present
    simulation.run(15, lambda now: 5.0)
    assert simulation.present == high
    simulation.run(600, lambda now: 5.0)
    assert simulation.present == BOUNDS.min_targets
    falls = [
        b - a for a, b in zip(simulation.orders, simulation.orders[1:], strict=False)
    ]
    assert min(falls) == -1


def test_oscillating_demand_removes_no_targets():
    simulation = Simulation()
    simulation.run(40, lambda now: 60.0)
    simulation.run(200, lambda now: 60.0 if int(now) % 16 < 8 else 5.0)
    assert simulation.orders == sorted(simulation.orders)
    assert len(simulation.orders) <= 2


@pytest.mark.parametrize(("loss", "late_s"), [(0.5, 0.0), (0.0, 5.0), (0.5, 5.0)])
def test_lost_and_late_orders_lead_to_the_needed_number(loss, late_s):
    simulation = Simulation(loss=loss, late_s=late_s)
    simulation.run(120, lambda now: 60.0)
    assert simulation.present * SLOTS * PLANNED_UTILIZATION >= 60.0


def test_remaining_targets_serve_the_demand_after_the_loss_of_one():
    demand = ZoneDemand()
    note_busy_slots(demand, 0.0, 30.0)
    needed = find_needed(demand, SLOTS, BOUNDS)
    assert (needed - 1) * SLOTS * PLANNED_UTILIZATION >= 30.0


def test_bounds_hold_for_any_demand():
    simulation = Simulation(Bounds(3, 5, 1.0))
    simulation.run(30, lambda now: 1000.0)
    assert simulation.present == 5
    simulation.run(600, lambda now: 0.0)
    assert simulation.present == 3
