"""Plays availability zones with queues, whose gateways know of them after a delay.

Only the decision of how much leaves is played: a zone is one queue, and a request's
gain is the difference of the waits that its gateway knows of.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.core.zoneshares import (
    Gain,
    ZoneShare,
    draws_leave,
    find_leaving_probability,
    find_room,
    note_wanted,
)

STEP_S = 0.05
WAY_S = 0.003


@dataclass(frozen=True)
class ZoneLoad:
    """Zones and their load.

    Attributes:
        rates: Requests per second of each zone, by the time.
        capacities: Requests per second that each zone serves, by the time.
        age_s: Delay with which the gateways know the queues, seconds.
        objective_s: Longest wait in time, seconds.
        gateways: Gateways of each zone.
        leaves: Whether requests may leave their zones.
        noise: Spread of the waits that gateways know, as a share.
    """

    rates: Callable[[float], list[float]]
    capacities: Callable[[float], list[float]]
    age_s: float = 0.1
    objective_s: float = 0.5
    gateways: int = 6
    leaves: bool = True
    noise: float = 0.0
    terms: ZoneTerms = ZoneTerms()


@dataclass
class ZoneOutcome:
    """What callers of each zone got.

    Attributes:
        asked: Requests by zone.
        late: Requests that waited beyond the objective, by zone.
        left_shares: Share of each zone's requests that left, at every step.
        arrivals: Requests that came to each zone from others.
    """

    asked: list[int]
    late: list[int]
    left_shares: list[list[float]] = field(default_factory=list)
    arrivals: list[int] = field(default_factory=list)

    def late_share(self, zone: int) -> float:
        """Find the share of late requests of a zone."""
        return self.late[zone] / max(1, self.asked[zone])


def play(load: ZoneLoad, seconds: float, seed: int) -> ZoneOutcome:
    """Play a load; the queues of a zone without capacity aren't sent anything."""
    rng = random.Random(seed)
    zones = len(load.rates(0.0))
    queues, due = [0.0] * zones, [0.0] * zones
    outcome = ZoneOutcome([0] * zones, [0] * zones, [], [0] * zones)
    shares = [[ZoneShare() for _ in range(load.gateways)] for _ in range(zones)]
    seen: deque[list[float]] = deque(maxlen=max(1, round(load.age_s / STEP_S)))
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        capacities = load.capacities(now)
        seen.append(
            [q / c if c else 1e9 for q, c in zip(queues, capacities, strict=True)]
        )
        left = [0] * zones
        counts = [0] * zones
        for home, rate in enumerate(load.rates(now)):
            due[home] += rate * STEP_S * rng.uniform(0.5, 1.5)
            counts[home], due[home] = int(due[home]), due[home] % 1.0
            for _ in range(counts[home]):
                share = rng.choice(shares[home])
                zone = _choose(home, seen[0], share, now, load, rng)
                left[home] += zone != home
                outcome.arrivals[zone] += zone != home
                outcome.asked[home] += 1
                capacity = capacities[zone]
                wait_s = queues[zone] / capacity if capacity else 1e9
                outcome.late[home] += wait_s > load.objective_s
                # Callers leave whose answers come far too late.
                queues[zone] += wait_s < 4 * load.objective_s
        outcome.left_shares.append(
            [n / c if c else 0.0 for n, c in zip(left, counts, strict=True)]
        )
        queues = [
            max(0.0, q - c * STEP_S) for q, c in zip(queues, capacities, strict=True)
        ]
    return outcome


def play_home(load: ZoneLoad, seconds: float, seed: int) -> ZoneOutcome:
    """Play the same load with every request in its own zone."""
    return play(replace(load, leaves=False), seconds, seed)


def _choose(
    home: int,
    waits_s: list[float],
    share: ZoneShare,
    now: float,
    load: ZoneLoad,
    rng: random.Random,
) -> int:
    if not load.leaves:
        return home
    known_s = [wait_s * max(0.1, rng.gauss(1.0, load.noise)) for wait_s in waits_s]
    rooms = [find_room(wait_s, load.objective_s, load.terms) for wait_s in known_s]
    away = [zone for zone, room in enumerate(rooms) if zone != home and room]
    if not away:
        note_wanted(share, now, 0.0)
        return home
    best = min(away, key=lambda z: known_s[z] + rng.random() * load.age_s)
    gain_s = min(known_s[home] - known_s[best] - WAY_S, load.objective_s)
    if known_s[home] > load.objective_s >= known_s[best]:
        gain_s += load.objective_s
    probability = find_leaving_probability(
        Gain(gain_s), load.age_s, rooms[best], load.terms
    )
    note_wanted(share, now, probability)
    return best if draws_leave(share, probability, load.terms, rng) else home
