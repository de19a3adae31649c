"""Decides when engines of a service change their role, and which ones.

A role change takes an engine out of service for seconds and has a cost of its own, so
it follows only a lasting imbalance: more prefill than the prefill engines can keep up
with while the decode engines have free slots, or the reverse. Shifts of a few seconds
are handled by the choice of the engine that runs prefill instead.
"""

import math
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from robinspindle.core import versionroles
from robinspindle.core.engines import Engine
from robinspindle.core.targets import DECODE_ROLE, PREFILL_ROLE, Target

DEMAND_WINDOW_S = 3.0
"""Time constant of the average of the prefill demand, seconds. It is about the length
of one swing in the mix of requests, so that a single swing doesn't look like a trend.
"""

PREFILL_OVERLOAD_SHARE = 0.4
"""Prefill engines are too few when the prefill load exceeds this share of their
capacity, because the average hides swings to twice the load and more. A lower threshold
would take engines away from answers, which come in bursts of their own."""

PREFILL_IDLE_SHARE = 0.25
LARGE_FLEET_PREFILL_IDLE_SHARE = 0.15
"""Prefill engines are too many when the prefill load is below this share of the
capacity that remains with one engine fewer. The share is lower in a large fleet, where
prefill engines were added in preparation for a burst."""

MAX_SLOT_SHARE_AFTER_CHANGE = 0.5
"""Maximum share of slots that long answers may fill on the decode engines that
remain after a change to prefill: bursts of answers reach about twice the average."""

DECODE_OVERLOAD_SHARE = 0.75
"""Decode engines are too few when long answers fill more than this share of slots."""

DECODE_GOAL_SHARE = 0.65
"""Share of slots that long answers should fill on the decode engines after prefill
engines have changed to decode."""

MIN_DECODE_SHARE = 0.5
"""Minimum share of the engines that stay decode engines. With fewer, the loss of one
machine or a burst of long answers leaves too few of them."""

LARGE_FLEET_ENGINES = 10
"""Minimum number of engines of a large fleet, which prepares for a burst of prompts
while its load is low: a role change takes an engine out of service for seconds, which
is too long once the burst has begun. In a smaller fleet each engine is too large a part
of the capacity for that."""

LOW_PREFILL_LOAD = PREFILL_OVERLOAD_SHARE
"""The prefill load is low up to this share of the prefill engines' capacity. Beyond it
a burst has begun, and each engine that leaves for a change is missed."""

LOW_LOAD_PREFILL_OVERLOAD_SHARE = 0.25
LOW_LOAD_MIN_DECODE_SHARE = 0.4
LOW_LOAD_BATCH_SHARE = 1 / 4
"""Thresholds of a large fleet under low load, in place of `PREFILL_OVERLOAD_SHARE`,
`MIN_DECODE_SHARE` and `BATCH_SHARE`."""

MIN_DECODE_ENGINES = 2
"""With fewer decode engines a prefill engine changes to decode, whatever the demand:
without a decode engine no request is answered."""

MAX_PRESSURE = 1.0
OVERLOADED_SLOT_SHARE = 0.25
"""Decode engines are overloaded when the longest answers would take more than the share
`MAX_PRESSURE` of the time that their callers allow, and long answers fill more than
`OVERLOADED_SLOT_SHARE` of the slots. Either condition alone is misleading: prefill on
decode engines slows answers too, and then prefill engines are too few."""

CHANGE_PAUSE_S = 3.0
"""Minimum time between the end of a role change and the next change, seconds."""

REVERSE_CHANGE_S = 20.0
"""Minimum time before a change in the other direction, seconds: several times the cost
of both changes."""

MIN_OVERLOAD_S = 3.0
"""How long the prefill engines of a large fleet must have been too few before decode
engines change to prefill, seconds. While a service's caches are empty, as in the first
seconds of its traffic, it asks for several times the prefill that it needs later."""

LOSS_MEMORY_S = 8.0
"""How long after it lost engines a large fleet keeps its decode engines, seconds: lost
engines come back in their roles within seconds, and more are often lost together. A
decode engine that leaves for a change is out of service too."""

BATCH_SHARE = 1 / 8
"""Share of the engines that may change their role at a time."""


@dataclass
class PrefillDemand:
    """Prefill work that callers requested of one gateway, as a decaying sum.

    Attributes:
        seconds: The sum, seconds of one prefill engine.
        at: When the sum was last updated, monotonic seconds.
    """

    seconds: float = 0.0
    at: float = 0.0


@dataclass
class RoleChangeHistory:
    """The last role change of a service, and what may prevent the next one.

    Attributes:
        changed_at: When the change began, monotonic seconds.
        last_role: The new role, empty before the first change and after a change that
            doesn't delay the reverse change.
        overloaded_since: Since when its prefill engines are too few, monotonic seconds;
            None while they are not.
        overload_seen_at: When that was last looked at, monotonic seconds; infinite
            before the first time.
        engines: Number of its usable engines, the largest lately.
        engines_at: When it last had as many, or last lost one, monotonic seconds.
        last_engines: The same number when it was looked at last.
    """

    changed_at: float = -math.inf
    last_role: str = ""
    overloaded_since: float | None = None
    overload_seen_at: float = math.inf
    engines: int = 0
    engines_at: float = -math.inf
    last_engines: int = 0


@dataclass(frozen=True)
class RoleChange:
    """A change of one or more engines to a role.

    Attributes:
        role: The new role.
        targets: The engines.
        replaces_lost: Whether the change replaces lost engines, or is treated like such
            a change. Lost engines may be back soon, so the change doesn't reflect the
            demand and doesn't delay the reverse change.
    """

    role: str
    targets: tuple[Target, ...] = field(default_factory=tuple)
    replaces_lost: bool = False


EnginePair = tuple[Target, Engine]


def note_prefill_demand(demand: PrefillDemand, now: float, seconds: float) -> None:
    """Add the prefill time of a new prompt to the demand, whether it is served or not.

    Args:
        demand: The demand; updated.
        now: The current time, monotonic seconds.
        seconds: Estimated prefill time on a prefill engine, seconds.
    """
    demand.seconds = compute_prefill_load(demand, now) * DEMAND_WINDOW_S + seconds
    demand.at = now


def compute_prefill_load(demand: PrefillDemand, now: float) -> float:
    """Compute the prefill load: prefill seconds per second, in prefill engines."""
    return (
        demand.seconds * math.exp((demand.at - now) / DEMAND_WINDOW_S) / DEMAND_WINDOW_S
    )


def decide_role_change(
    engines: list[EnginePair],
    prefill_load: float,
    history: RoleChangeHistory,
    now: float,
    role_change_s: float,
    pressure: float = 0.0,
    covered: AbstractSet[str] = frozenset(),
) -> RoleChange | None:
    """Decide whether engines of one service should change their role.

    Args:
        engines: All usable engines of the service.
        prefill_load: Prefill load on all gateways together, in prefill engines.
        history: The last role change of the service.
        now: The current time, monotonic seconds.
        role_change_s: How long a role change takes an engine out of service, seconds.
        pressure: Duration of the longest answers, as a share of the time that their
            callers allow.
        covered: Software versions with an engine that generates though it is not usable
            at present, or soon will generate.

    Returns:
        The change to make now, or None.
    """
    has_losses = _note_engine_count(history, len(engines), now)
    if now - history.changed_at < role_change_s + CHANGE_PAUSE_S:
        return None
    lacking = versionroles.list_lacking(engines, covered)
    if lacking:
        return _change_one_of_each_to_decode(lacking)
    prefill_engines = [pair for pair in engines if pair[1].prefill_only]
    decode_engines = [pair for pair in engines if not pair[1].prefill_only]
    if (
        len(decode_engines) < MIN_DECODE_ENGINES
        and len(prefill_engines) > len(decode_engines) + 1
    ):
        return _change_one_to_decode(prefill_engines, replaces_lost=True)
    if not prefill_engines or not decode_engines:
        return None
    is_overloaded = (
        pressure > MAX_PRESSURE
        and _compute_slot_share(decode_engines) > OVERLOADED_SLOT_SHARE
    )
    if is_overloaded and len(decode_engines) < _count_min_decode_engines(
        prefill_engines, decode_engines
    ):
        # Decode engines were lost, and the remaining ones are too slow.
        return _change_one_to_decode(prefill_engines, replaces_lost=True)
    thresholds = _choose_thresholds(prefill_engines, decode_engines, prefill_load)
    batch = max(1, int(len(engines) * thresholds.batch_share))
    missing = _count_missing_decode_engines(
        prefill_engines, decode_engines, prefill_load
    )
    if missing > 0:
        # Long answers occupy their slots for long, so this change doesn't wait for
        # `REVERSE_CHANGE_S`. Like a replacement, it doesn't delay the reverse change.
        return _change_to_decode(
            prefill_engines, min(batch, missing), replaces_lost=True
        )
    wanted = (
        0
        if is_overloaded
        else _count_missing_prefill_engines(
            prefill_engines, decode_engines, prefill_load, thresholds
        )
    )
    is_lasting = _note_prefill_overload(history, wanted > 0, now, role_change_s)
    is_settled = (is_lasting and not has_losses) or not _is_large_fleet(
        prefill_engines, decode_engines
    )
    if wanted > 0 and is_settled and _may_change_to(history, PREFILL_ROLE, now):
        ranked = sorted(decode_engines, key=lambda pair: pair[1].long_answers)
        spare = versionroles.list_spare(ranked, engines, thresholds.min_decode_share)
        if spare:
            return RoleChange(PREFILL_ROLE, _take_first(spare, min(batch, wanted)))
    if _needs_decode_engine(
        prefill_engines, decode_engines, prefill_load
    ) and _may_change_to(history, DECODE_ROLE, now):
        return _change_one_to_decode(prefill_engines)
    return None


@dataclass(frozen=True)
class _Thresholds:
    """Thresholds of a decision; see the constants of the same names."""

    prefill_overload_share: float = PREFILL_OVERLOAD_SHARE
    min_decode_share: float = MIN_DECODE_SHARE
    batch_share: float = BATCH_SHARE


LOW_LOAD_THRESHOLDS = _Thresholds(
    LOW_LOAD_PREFILL_OVERLOAD_SHARE, LOW_LOAD_MIN_DECODE_SHARE, LOW_LOAD_BATCH_SHARE
)


def _choose_thresholds(
    prefill_engines: list[EnginePair],
    decode_engines: list[EnginePair],
    prefill_load: float,
) -> _Thresholds:
    """Choose the thresholds: a large fleet under low load prepares for a burst."""
    is_low_load = prefill_load <= LOW_PREFILL_LOAD * len(prefill_engines)
    return (
        LOW_LOAD_THRESHOLDS
        if is_low_load and _is_large_fleet(prefill_engines, decode_engines)
        else _Thresholds()
    )


def _is_large_fleet(
    prefill_engines: list[EnginePair], decode_engines: list[EnginePair]
) -> bool:
    return len(prefill_engines) + len(decode_engines) >= LARGE_FLEET_ENGINES


def _note_engine_count(history: RoleChangeHistory, count: int, now: float) -> bool:
    """Record the number of usable engines; return whether some were lost lately."""
    if count >= history.engines or now - history.engines_at > LOSS_MEMORY_S:
        history.engines = count
        history.engines_at = now
    elif count < history.last_engines:
        history.engines_at = now
    history.last_engines = count
    return count < history.engines


def _note_prefill_overload(
    history: RoleChangeHistory, is_overloaded: bool, now: float, role_change_s: float
) -> bool:
    """Record whether prefill engines are too few; return whether this has lasted.

    Nobody looks during a role change and the pause after it. After a longer time, as
    when another gateway decided meanwhile, an earlier need has nothing to say.
    """
    unseen_s = now - history.overload_seen_at
    history.overload_seen_at = now
    if unseen_s > role_change_s + CHANGE_PAUSE_S + MIN_OVERLOAD_S:
        history.overloaded_since = None
    if not is_overloaded:
        history.overloaded_since = None
        return False
    if history.overloaded_since is None:
        history.overloaded_since = now
    return now - history.overloaded_since >= MIN_OVERLOAD_S


def _may_change_to(history: RoleChangeHistory, role: str, now: float) -> bool:
    is_same = history.last_role in ("", role)
    return is_same or now - history.changed_at >= REVERSE_CHANGE_S


def _change_one_to_decode(
    prefill_engines: list[EnginePair], replaces_lost: bool = False
) -> RoleChange:
    """Make a change of the prefill engine with the least work to the decode role."""
    return _change_to_decode(prefill_engines, 1, replaces_lost)


def _change_one_of_each_to_decode(lacking: list[list[EnginePair]]) -> RoleChange:
    """Make a change of the engine with the least work of each version to decode.

    Like a replacement, it doesn't delay the reverse change, which takes others.
    """
    changes = [_change_one_to_decode(pairs) for pairs in lacking]
    targets = tuple(target for change in changes for target in change.targets)
    return RoleChange(DECODE_ROLE, targets, replaces_lost=True)


def _change_to_decode(
    prefill_engines: list[EnginePair], count: int, replaces_lost: bool
) -> RoleChange:
    """Make a change of the prefill engines with the least work to the decode role."""
    ranked = sorted(prefill_engines, key=lambda pair: pair[1].backlog_s)
    return RoleChange(DECODE_ROLE, _take_first(ranked, count), replaces_lost)


def _take_first(ranked: list[EnginePair], count: int) -> tuple[Target, ...]:
    return tuple(target for target, _ in ranked[:count])


def _count_missing_prefill_engines(
    prefill_engines: list[EnginePair],
    decode_engines: list[EnginePair],
    prefill_load: float,
    thresholds: _Thresholds,
) -> int:
    if prefill_load <= thresholds.prefill_overload_share * len(prefill_engines):
        return 0
    wanted = math.ceil(prefill_load / thresholds.prefill_overload_share) - len(
        prefill_engines
    )
    spare = len(decode_engines) - _count_min_decode_engines(
        prefill_engines, decode_engines, thresholds.min_decode_share
    )
    needed = math.ceil(
        _count_engines_for_answers(decode_engines, MAX_SLOT_SHARE_AFTER_CHANGE)
    )
    return max(0, min(wanted, spare, len(decode_engines) - needed))


def _count_missing_decode_engines(
    prefill_engines: list[EnginePair],
    decode_engines: list[EnginePair],
    prefill_load: float,
) -> int:
    """Count the prefill engines of a large fleet that should change to decode.

    When both prefill and decode lack engines, the engines are divided in proportion to
    the number that each phase keeps busy. At least one prefill engine stays.
    """
    if (
        not _is_large_fleet(prefill_engines, decode_engines)
        or _compute_slot_share(decode_engines) <= DECODE_OVERLOAD_SHARE
    ):
        return 0
    busy_decode_engines = _count_engines_for_answers(decode_engines, DECODE_GOAL_SHARE)
    total = len(prefill_engines) + len(decode_engines)
    share = total * busy_decode_engines / (prefill_load + busy_decode_engines)
    wanted = math.ceil(min(share, busy_decode_engines))
    return max(0, min(wanted - len(decode_engines), len(prefill_engines) - 1))


def _count_engines_for_answers(
    decode_engines: list[EnginePair], slot_share: float
) -> float:
    """Count the engines that all long answers need if they fill a share of the slots.

    Args:
        decode_engines: The decode engines.
        slot_share: Share of an engine's slots that long answers fill.
    """
    answers = sum(engine.long_answers for _, engine in decode_engines)
    slots = min(target.announced.slots for target, _ in decode_engines)
    return answers / (slot_share * slots)


def _compute_slot_share(decode_engines: list[EnginePair]) -> float:
    """Compute the share of slots that long answers fill on decode engines."""
    answers = sum(engine.long_answers for _, engine in decode_engines)
    return answers / sum(target.announced.slots for target, _ in decode_engines)


def _count_min_decode_engines(
    prefill_engines: list[EnginePair],
    decode_engines: list[EnginePair],
    share: float = MIN_DECODE_SHARE,
) -> int:
    total = len(prefill_engines) + len(decode_engines)
    return max(MIN_DECODE_ENGINES, math.ceil(total * share))


def _needs_decode_engine(
    prefill_engines: list[EnginePair],
    decode_engines: list[EnginePair],
    prefill_load: float,
) -> bool:
    if len(prefill_engines) < 2:
        return False
    idle_share = (
        LARGE_FLEET_PREFILL_IDLE_SHARE
        if _is_large_fleet(prefill_engines, decode_engines)
        else PREFILL_IDLE_SHARE
    )
    is_idle = prefill_load < idle_share * (len(prefill_engines) - 1)
    return is_idle and _compute_slot_share(decode_engines) > DECODE_OVERLOAD_SHARE
