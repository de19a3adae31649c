"""When an engine should change its role, and which.

A change takes an engine away for seconds and has a price, so it follows what lasts:
reading that the readers can't keep up with while the generating engines have room, or
the reverse. Shifts of a few seconds are met by where prompts are read instead.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.engines import Engine
from robinspindle.core.targets import Target

READING = "prefill"
GENERATING = "decode"

DEMAND_S = 3.0
"""Time over which the demand for reading is averaged, seconds: about one swing of the
mix, so that a single swing does not look like a trend."""

READ_FULL = 0.4
"""Readers count as too few when the demand is above this share of their time: the mean
hides swings to twice and more. With less, engines are taken from answers that come in
crowds of their own."""

READ_IDLE = 0.25
"""Readers count as too many when one fewer would be used below this share."""

HOST_FULL = 0.5
"""Share of their slots that long answers may fill on the generating engines that are
left: bursts of answers go up to about twice the mean."""

HOST_SHORT = 0.75
"""Generating engines count as too few above this share."""

LEAST_GENERATING_SHARE = 0.5
"""Share of the engines that goes on generating: with less the loss of one machine, or a
crowd of long answers, finds too few of them."""

LEAST_HOSTS = 2
"""Fewer engines that generate are joined by a reader, whatever the demand: without one
nothing is answered."""

MOST_PRESSURE = 1.0
HOST_CROWDED = 0.25
"""Where the longest answers would take more than this share of the time that their
callers give them, and long answers fill more than this share of slots, engines that
generate are too few for them. Either alone misleads: prompts that are read beside
answers slow them too, and then it is readers that lack."""

REST_S = 3.0
"""Least time between two changes besides the change itself, seconds."""

TURN_BACK_S = 20.0
"""Least time before a change in the other direction, seconds: several times what both
changes cost."""

BATCH_SHARE = 1 / 8
"""Share of the engines that may change at a time."""


@dataclass
class Demand:
    """Readers' work asked of one gateway, as a decaying sum.

    Attributes:
        seconds: The sum, seconds of one reader.
        at: When it was last brought up to date, steady seconds.
    """

    seconds: float = 0.0
    at: float = 0.0


@dataclass
class History:
    """Changes that were made.

    Attributes:
        changed_at: When the last was begun, steady seconds.
        last_role: The role that it led to, empty before the first.
    """

    changed_at: float = -math.inf
    last_role: str = ""


@dataclass(frozen=True)
class Change:
    """Engines that should take a role.

    Attributes:
        role: The role.
        targets: The engines.
        makes_good: Whether it makes the loss of engines good. Those may be back soon,
            so it says nothing of what is asked for and does not keep from turning
            back.
    """

    role: str
    targets: tuple[Target, ...] = field(default_factory=tuple)
    makes_good: bool = False


Pair = tuple[Target, Engine]


def note_demand(demand: Demand, now: float, seconds: float) -> None:
    """Take note of how long a reader takes for a new prompt, served or not."""
    demand.seconds = read_demand(demand, now) * DEMAND_S + seconds
    demand.at = now


def read_demand(demand: Demand, now: float) -> float:
    """Read the demand, readers' seconds a second."""
    return demand.seconds * math.exp((demand.at - now) / DEMAND_S) / DEMAND_S


def decide_change(
    engines: list[Pair],
    read_rate: float,
    history: History,
    now: float,
    switch_s: float,
    pressure: float = 0.0,
) -> Change | None:
    """Decide whether engines of one service should change their role.

    Args:
        engines: All usable engines of the service.
        read_rate: Readers' seconds a second that all gateways are asked for.
        history: The changes so far.
        now: The present time, steady seconds.
        switch_s: How long a change takes an engine away, seconds.
        pressure: How long the longest answers take, as a share of the time that they
            have.
    """
    if now - history.changed_at < switch_s + REST_S:
        return None
    readers = [pair for pair in engines if pair[1].reads_only]
    hosts = [pair for pair in engines if not pair[1].reads_only]
    if len(hosts) < LEAST_HOSTS and len(readers) > len(hosts) + 1:
        return _turn_reader(readers, makes_good=True)
    if not readers or not hosts:
        return None
    is_crowded = pressure > MOST_PRESSURE and _fill_hosts(hosts) > HOST_CROWDED
    if is_crowded and len(hosts) < _count_least_hosts(readers, hosts):
        # Engines that generate were lost, and what is left is too slow.
        return _turn_reader(readers, makes_good=True)
    batch = max(1, int(len(engines) * BATCH_SHARE))
    wanted = 0 if is_crowded else _count_more_readers(readers, hosts, read_rate)
    if wanted > 0 and _may_turn(history, READING, now):
        ranked = sorted(hosts, key=lambda pair: pair[1].long_answers)
        return Change(READING, _take(ranked, min(batch, wanted)))
    if _needs_host(readers, hosts, read_rate) and _may_turn(history, GENERATING, now):
        return _turn_reader(readers)
    return None


def _may_turn(history: History, role: str, now: float) -> bool:
    is_same = history.last_role in ("", role)
    return is_same or now - history.changed_at >= TURN_BACK_S


def _turn_reader(readers: list[Pair], makes_good: bool = False) -> Change:
    """Have the reader with the least work generate."""
    ranked = sorted(readers, key=lambda pair: pair[1].work_s)
    return Change(GENERATING, _take(ranked, 1), makes_good)


def _take(ranked: list[Pair], count: int) -> tuple[Target, ...]:
    return tuple(target for target, _ in ranked[:count])


def _count_more_readers(
    readers: list[Pair], hosts: list[Pair], read_rate: float
) -> int:
    if read_rate <= READ_FULL * len(readers):
        return 0
    wanted = math.ceil(read_rate / READ_FULL) - len(readers)
    spare = len(hosts) - _count_least_hosts(readers, hosts)
    answers = sum(engine.long_answers for _, engine in hosts)
    slots = min(target.announced.slots for target, _ in hosts)
    needed = math.ceil(answers / (HOST_FULL * slots))
    return max(0, min(wanted, spare, len(hosts) - needed))


def _fill_hosts(hosts: list[Pair]) -> float:
    """Find the share of their slots that long answers fill."""
    answers = sum(engine.long_answers for _, engine in hosts)
    return answers / sum(target.announced.slots for target, _ in hosts)


def _count_least_hosts(readers: list[Pair], hosts: list[Pair]) -> int:
    total = len(readers) + len(hosts)
    return max(LEAST_HOSTS, math.ceil(total * LEAST_GENERATING_SHARE))


def _needs_host(readers: list[Pair], hosts: list[Pair], read_rate: float) -> bool:
    if len(readers) < 2:
        return False
    is_idle = read_rate < READ_IDLE * (len(readers) - 1)
    return is_idle and _fill_hosts(hosts) > HOST_SHORT
