"""When an engine should change its role, and which.

A change takes an engine away for seconds and has a price, so it follows what lasts:
reading that the readers can't keep up with while the generating engines have room, or
the reverse. Shifts of a few seconds are met by where prompts are read instead.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.engines import Engine
from robinspindle.core.targets import Target

PREFILL_ROLE = "prefill"
DECODE_ROLE = "decode"

DEMAND_WINDOW_S = 3.0
"""Time over which the demand for reading is averaged, seconds: about one swing of the
mix, so that a single swing does not look like a trend."""

READ_FULL = 0.4
"""Readers count as too few when the demand is above this share of their time: the mean
hides swings to twice and more. With less, engines are taken from answers that come in
crowds of their own."""

READ_IDLE = 0.25
READ_IDLE_OF_MANY = 0.15
"""Readers count as too many when one fewer would be used below this share; below that
where many were prepared for a crowd."""

HOST_FULL = 0.5
"""Share of their slots that long answers may fill on the generating engines that are
left: bursts of answers go up to about twice the mean."""

HOST_SHORT = 0.75
"""Generating engines count as too few above this share."""

HOST_BUSY = 0.65
"""Share of their slots that long answers fill on generating engines once readers have
turned back to them."""

LEAST_GENERATING_SHARE = 0.5
"""Share of the engines that goes on generating: with less the loss of one machine, or a
crowd of long answers, finds too few of them."""

MANY_ENGINES = 10
CALM_READ_RATE = 0.6
CALM_READ_FULL = 0.25
CALM_GENERATING_SHARE = 0.4
CALM_BATCH_SHARE = 1 / 4
"""Where at least so many engines are asked for less reading than this share of their
readers' time, they are prepared for a crowd: readers count as too few above this share,
this share goes on generating, and this share may change at a time. A change takes an
engine away for seconds, which a crowd that has come does not bear. Among fewer engines
each one is too large a part of them."""

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
class PrefillDemand:
    """Readers' work asked of one gateway, as a decaying sum.

    Attributes:
        seconds: The sum, seconds of one reader.
        at: When it was last brought up to date, steady seconds.
    """

    seconds: float = 0.0
    at: float = 0.0


@dataclass
class RoleChangeHistory:
    """Changes that were made.

    Attributes:
        changed_at: When the last was begun, steady seconds.
        last_role: The role that it led to, empty before the first.
    """

    changed_at: float = -math.inf
    last_role: str = ""


@dataclass(frozen=True)
class RoleChange:
    """Engines that should take a role.

    Attributes:
        role: The role.
        targets: The engines.
        replaces_lost: Whether it replaces lost engines. They may be back soon, so the
            change doesn't reflect the demand and doesn't delay the reverse change.
    """

    role: str
    targets: tuple[Target, ...] = field(default_factory=tuple)
    replaces_lost: bool = False


Pair = tuple[Target, Engine]


def note_prefill_demand(demand: PrefillDemand, now: float, seconds: float) -> None:
    """Record how long prefill of a new prompt takes, served or not."""
    demand.seconds = compute_prefill_load(demand, now) * DEMAND_WINDOW_S + seconds
    demand.at = now


def compute_prefill_load(demand: PrefillDemand, now: float) -> float:
    """Read the demand, readers' seconds a second."""
    return (
        demand.seconds * math.exp((demand.at - now) / DEMAND_WINDOW_S) / DEMAND_WINDOW_S
    )


def decide_role_change(
    engines: list[Pair],
    read_rate: float,
    history: RoleChangeHistory,
    now: float,
    switch_s: float,
    pressure: float = 0.0,
) -> RoleChange | None:
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
        return _turn_reader(readers, replaces_lost=True)
    if not readers or not hosts:
        return None
    is_crowded = pressure > MOST_PRESSURE and _fill_hosts(hosts) > HOST_CROWDED
    if is_crowded and len(hosts) < _count_least_hosts(readers, hosts):
        # Engines that generate were lost, and what is left is too slow.
        return _turn_reader(readers, replaces_lost=True)
    aims = _find_aims(readers, hosts, read_rate)
    batch = max(1, int(len(engines) * aims.batch_share))
    lacking = _count_more_hosts(readers, hosts, read_rate)
    if lacking > 0:
        # Answers hold their slots for long: they can't wait until readers may turn.
        return _turn_readers(readers, min(batch, lacking), replaces_lost=True)
    wanted = 0 if is_crowded else _count_more_readers(readers, hosts, read_rate, aims)
    if wanted > 0 and _may_turn(history, PREFILL_ROLE, now):
        ranked = sorted(hosts, key=lambda pair: pair[1].long_answers)
        return RoleChange(PREFILL_ROLE, _take(ranked, min(batch, wanted)))
    if _needs_host(readers, hosts, read_rate) and _may_turn(history, DECODE_ROLE, now):
        return _turn_reader(readers)
    return None


@dataclass(frozen=True)
class _Aims:
    """What is aimed at: see the constants of the same names."""

    read_full: float = READ_FULL
    generating_share: float = LEAST_GENERATING_SHARE
    batch_share: float = BATCH_SHARE


CALM_AIMS = _Aims(CALM_READ_FULL, CALM_GENERATING_SHARE, CALM_BATCH_SHARE)


def _find_aims(readers: list[Pair], hosts: list[Pair], read_rate: float) -> _Aims:
    """Find what to aim at: many engines are prepared for a crowd while it is calm."""
    is_calm = read_rate <= CALM_READ_RATE * len(readers)
    return CALM_AIMS if is_calm and _are_many(readers, hosts) else _Aims()


def _are_many(readers: list[Pair], hosts: list[Pair]) -> bool:
    return len(readers) + len(hosts) >= MANY_ENGINES


def _may_turn(history: RoleChangeHistory, role: str, now: float) -> bool:
    is_same = history.last_role in ("", role)
    return is_same or now - history.changed_at >= TURN_BACK_S


def _turn_reader(readers: list[Pair], replaces_lost: bool = False) -> RoleChange:
    """Have the reader with the least work generate."""
    return _turn_readers(readers, 1, replaces_lost)


def _turn_readers(readers: list[Pair], count: int, replaces_lost: bool) -> RoleChange:
    """Have the readers with the least work generate."""
    ranked = sorted(readers, key=lambda pair: pair[1].work_s)
    return RoleChange(DECODE_ROLE, _take(ranked, count), replaces_lost)


def _take(ranked: list[Pair], count: int) -> tuple[Target, ...]:
    return tuple(target for target, _ in ranked[:count])


def _count_more_readers(
    readers: list[Pair], hosts: list[Pair], read_rate: float, aims: _Aims
) -> int:
    if read_rate <= aims.read_full * len(readers):
        return 0
    wanted = math.ceil(read_rate / aims.read_full) - len(readers)
    spare = len(hosts) - _count_least_hosts(readers, hosts, aims.generating_share)
    needed = math.ceil(_count_engines_for(hosts, HOST_FULL))
    return max(0, min(wanted, spare, len(hosts) - needed))


def _count_more_hosts(readers: list[Pair], hosts: list[Pair], read_rate: float) -> int:
    """Count the readers that answers lack more than prompts would miss them.

    Where both lack engines these are shared out by how many each kind of work keeps
    busy.
    """
    if not _are_many(readers, hosts) or _fill_hosts(hosts) <= HOST_SHORT:
        return 0
    generating = _count_engines_for(hosts, HOST_BUSY)
    total = len(readers) + len(hosts)
    share = total * generating / (read_rate + generating)
    wanted = math.ceil(min(share, generating))
    return max(0, min(wanted - len(hosts), len(readers) - 1))


def _count_engines_for(hosts: list[Pair], fill: float) -> float:
    """Count the engines that all long answers need if each is filled so far."""
    answers = sum(engine.long_answers for _, engine in hosts)
    slots = min(target.announced.slots for target, _ in hosts)
    return answers / (fill * slots)


def _fill_hosts(hosts: list[Pair]) -> float:
    """Find the share of their slots that long answers fill."""
    answers = sum(engine.long_answers for _, engine in hosts)
    return answers / sum(target.announced.slots for target, _ in hosts)


def _count_least_hosts(
    readers: list[Pair], hosts: list[Pair], share: float = LEAST_GENERATING_SHARE
) -> int:
    total = len(readers) + len(hosts)
    return max(LEAST_HOSTS, math.ceil(total * share))


def _needs_host(readers: list[Pair], hosts: list[Pair], read_rate: float) -> bool:
    if len(readers) < 2:
        return False
    idle = READ_IDLE_OF_MANY if _are_many(readers, hosts) else READ_IDLE
    is_idle = read_rate < idle * (len(readers) - 1)
    return is_idle and _fill_hosts(hosts) > HOST_SHORT
