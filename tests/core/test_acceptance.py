"""How many new connections a busy gateway takes."""

import math
import random

from robinspindle.core import acceptance
from robinspindle.core.acceptance import (
    MAX_DELAY_S,
    Acceptance,
    note_tick,
    take_connection,
)

TICK_S = 0.1


class BusyLoop:
    """An event loop that serves so many connections a second, and gets more."""

    def __init__(self, capacity_per_s, seed=1):
        self.limit = Acceptance()
        self.capacity_per_s = capacity_per_s
        self.now = 0.0
        self.backlog = 0.0
        self.taken = 0
        self._rng = random.Random(seed)

    def run(self, seconds, offered_per_s):
        end = self.now + seconds
        while self.now < end:
            delay_s = self.backlog / self.capacity_per_s
            step_s = TICK_S + delay_s
            offered = round(offered_per_s * step_s * self._rng.uniform(0.5, 1.5))
            taken = sum(
                take_connection(self.limit, self.now + step_s * n / max(1, offered))
                for n in range(offered)
            )
            self.now += step_s
            self.taken += taken
            self.backlog = max(0.0, self.backlog + taken - self.capacity_per_s * step_s)
            note_tick(self.limit, self.now, delay_s)


def test_all_connections_are_taken_while_there_is_no_delay():
    loop = BusyLoop(capacity_per_s=200)
    loop.run(30.0, offered_per_s=150)
    assert math.isinf(loop.limit.per_s)
    assert loop.limit.turned_away == 0


def test_connections_beyond_the_capacity_are_turned_away_and_the_delay_stays_short():
    loop = BusyLoop(capacity_per_s=100)
    loop.run(15.0, offered_per_s=400)
    assert loop.limit.turned_away > 0
    taken_before, began_at = loop.taken, loop.now
    loop.run(30.0, offered_per_s=400)
    served_per_s = (loop.taken - taken_before) / (loop.now - began_at)
    assert served_per_s > 0.5 * loop.capacity_per_s
    assert loop.backlog / loop.capacity_per_s < 1.0


def test_limit_ends_when_no_connection_was_turned_away_for_a_while():
    loop = BusyLoop(capacity_per_s=100)
    loop.run(5.0, offered_per_s=400)
    assert math.isfinite(loop.limit.per_s)
    loop.run(60.0, offered_per_s=20)
    assert math.isinf(loop.limit.per_s)


def test_one_suspension_of_the_process_is_no_overload():
    limit = Acceptance()
    for number in range(50):
        take_connection(limit, number * TICK_S)
        note_tick(limit, number * TICK_S, 8.0 if number == 20 else 0.01)
    assert math.isinf(limit.per_s)


def test_gateway_under_any_load_takes_some_connections():
    limit = Acceptance()
    for number in range(200):
        note_tick(limit, number * 1.0, MAX_DELAY_S * 2)
    assert limit.per_s == acceptance.MIN_PER_S
    taken = sum(take_connection(limit, 200.0 + n / 100) for n in range(500))
    assert taken >= acceptance.MIN_PER_S * 4
