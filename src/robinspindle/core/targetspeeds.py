"""The speed of each target, learnt by all gateways together.

A gateway alone sees too few requests of one target to tell a slow one from a moment of
noise. Each therefore keeps a small histogram of how much longer a target takes than
its service's model says, forgotten in time, and sends it to the others. The estimate
is a robust mean of the summed histograms, with a prior toward the model. Noise that
lasts for a fraction of a second hardly moves it. A slowness that lasts moves it as
soon as nearly all recent requests show it: a second histogram, with a short memory,
bounds the estimate.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

BIN_FACTOR = 1.2
"""Ratio between the centers of two neighboring bins."""

BIN_LOG = math.log(BIN_FACTOR)

LOWEST_BIN = -8
HIGHEST_BIN = 15
"""First and last bin: 0.23 and 15.4 times the time that the model says."""

BINS = HIGHEST_BIN - LOWEST_BIN + 1

COUNT_UNIT = 8
"""Told counts are whole numbers of this part of a sample: one byte for up to 15."""

MAX_COUNT = 80_000
"""Largest count of one bin that a peer may tell, eighths of a sample: a
thousand samples a second."""

PRIOR_WEIGHT = 2.0
"""Number of samples that the service's model counts for."""

FULL_STEP_LOG = 0.3
"""Distance of a sample from the estimate up to which it counts by its distance, as a
logarithm: 1.35 times as slow. One that is farther counts as if it were this far."""

MEMORY_S = 20.0
"""Time in which a target's samples are forgotten, seconds: over thirty times the noise
of a fraction of a second."""

RECENT_MEMORY_S = 2.5
"""Time in which they are no longer recent, seconds: a slowness that lasts is known
after 1.6 times as long, within the time that callers wait for a long prompt."""

RECENT_SHARE = 0.2
"""The estimate is between the samples that this share of the recent ones is below, and
that this share is above. Noise would have to last for seconds to leave so few."""

MIN_RECENT_WEIGHT = 3.0
"""Least weight of recent samples that bound the estimate."""

MAX_TOLD_AGE_S = 20.0
"""Time in which what a peer told of a target loses its weight without news, seconds."""

MIN_TOLD_WEIGHT = 0.5
"""Least weight of a histogram that is told, samples."""

INTERVAL_S = 1.0
"""Least time between two tellings, seconds: less than half of what is recent."""

MAX_FREQUENT_GROUPS = 4
"""With more groups of gateways they tell less often, as each hears from all."""

MAX_TOLD_SPEEDS = 48
"""Most targets in one datagram: 1.7 KB. If there are more, they take turns."""


class SpeedSums(msgspec.Struct, array_like=True):
    """The histograms of one target, as gateways tell them.

    Attributes:
        lifetime: The target's lifetime.
        first: The first bin that is not empty, counted from `LOWEST_BIN`.
        counts: Counts of that bin and the following ones, eighths of a sample.
        recent: The same of the recent samples; no more bins than `counts`.
    """

    lifetime: str
    first: int
    counts: list[int]
    recent: list[int] = []


@dataclass
class Histograms:
    """Samples of one target by bin, decayed.

    Attributes:
        counts: The samples.
        recent: The same with a short memory.
        at: Time to which they are decayed, or were told, monotonic seconds.
    """

    counts: list[float] = field(default_factory=lambda: [0.0] * BINS)
    recent: list[float] = field(default_factory=lambda: [0.0] * BINS)
    at: float = 0.0


@dataclass
class TargetSpeed:
    """What is known of the speed of one lifetime of a target.

    Attributes:
        own: This gateway's samples.
        told: What the peers told, by name.
        ratio: The last estimate: its time relative to that of the service's model.
    """

    own: Histograms = field(default_factory=Histograms)
    told: dict[str, Histograms] = field(default_factory=dict)
    ratio: float = 1.0


def note_ratio(
    speed: TargetSpeed, ratio: float, now: float, weight: float = 1.0
) -> None:
    """Record one sample.

    It is divided between the two nearest bins, so that their mean is the sample.

    Args:
        speed: What is known; changed in place.
        ratio: Measured time relative to that of the service's model.
        now: The current time, monotonic seconds.
        weight: How much the sample counts; 1 if nothing but the speed is in it.
    """
    if not 0.0 < ratio < math.inf:
        return
    _decay(speed.own, now)
    place = math.log(ratio) / BIN_LOG - LOWEST_BIN
    place = min(BINS - 1.0, max(0.0, place))
    low = min(BINS - 2, int(place))
    for counts in (speed.own.counts, speed.own.recent):
        counts[low] += weight * (low + 1 - place)
        counts[low + 1] += weight * (place - low)


def note_told(speed: TargetSpeed, peer: str, told: SpeedSums, now: float) -> None:
    """Record what a peer tells of a target in place of what it told before."""
    found = Histograms(at=now)
    for bin, count in enumerate(told.counts, told.first):
        found.counts[bin] = count / COUNT_UNIT
    for bin, count in enumerate(told.recent, told.first):
        found.recent[bin] = count / COUNT_UNIT
    speed.told[peer] = found


def forget_peer(speed: TargetSpeed, peer: str) -> None:
    """Remove what a peer that timed out has told."""
    speed.told.pop(peer, None)


def update_estimate(speed: TargetSpeed, now: float) -> float:
    """Estimate a target's time relative to that of its service's model.

    If the recent samples contradict the earlier ones, those are forgotten.

    Args:
        speed: What is known; changed in place.
        now: The current time, monotonic seconds.
    """
    _decay(speed.own, now)
    total = _sum_up(speed, now)
    ratio = estimate_ratio(total.counts)
    low, high = find_recent_bounds(total.recent)
    speed.ratio = min(high, max(low, ratio))
    if abs(math.log(speed.ratio / ratio)) > BIN_LOG:
        speed.own.counts = list(speed.own.recent)
    return speed.ratio


def estimate_ratio(counts: list[float]) -> float:
    """Estimate the ratio from the samples of all gateways, by bin.

    The estimate is where the steps of all samples and of the prior, none of them
    longer than `FULL_STEP_LOG`, add up to 0. It therefore doesn't matter how far away
    the noise is, only how often it comes.
    """
    low, high = LOWEST_BIN * BIN_LOG, HIGHEST_BIN * BIN_LOG
    samples = [
        ((bin + LOWEST_BIN) * BIN_LOG, count)
        for bin, count in enumerate(counts)
        if count > 0.0
    ]
    samples.append((0.0, PRIOR_WEIGHT))
    while high - low > 0.002:
        middle = (low + high) / 2
        if sum(count * _limit_step(at - middle) for at, count in samples) > 0.0:
            low = middle
        else:
            high = middle
    return math.exp((low + high) / 2)


def find_recent_bounds(recent: list[float]) -> tuple[float, float]:
    """Find the bounds that the recent samples set to the estimate.

    Returns:
        The ratios that `RECENT_SHARE` of the samples are below and above.
    """
    if sum(recent) < MIN_RECENT_WEIGHT:
        return 0.0, math.inf
    return _find_quantile(recent, RECENT_SHARE), _find_quantile(
        recent, 1.0 - RECENT_SHARE
    )


def list_told(speeds: dict[str, TargetSpeed], now: float) -> list[SpeedSums]:
    """List this gateway's own histograms, of the targets with the most samples.

    Args:
        speeds: What is known, by lifetime.
        now: The current time, monotonic seconds.
    """
    weights: dict[str, float] = {}
    for lifetime, speed in speeds.items():
        _decay(speed.own, now)
        weights[lifetime] = sum(speed.own.counts)
    ranked = sorted(weights, key=weights.get, reverse=True)[:MAX_TOLD_SPEEDS]
    return [
        _make_sums(
            lifetime,
            _count_units(speeds[lifetime].own.counts),
            _count_units(speeds[lifetime].own.recent),
        )
        for lifetime in ranked
        if weights[lifetime] >= MIN_TOLD_WEIGHT
    ]


def find_interval(groups: int) -> float:
    """Find the time between two tellings, seconds.

    Args:
        groups: Number of groups of gateways.
    """
    return INTERVAL_S * max(1.0, groups / MAX_FREQUENT_GROUPS)


def take_turn(sums: list[SpeedSums], turn: int) -> list[SpeedSums]:
    """Choose what goes into one datagram if there are too many for it.

    Args:
        sums: All histograms.
        turn: Number of the turn; after as many turns as are needed all had one.
    """
    turns = math.ceil(len(sums) / MAX_TOLD_SPEEDS)
    if turns <= 1:
        return sums
    ordered = sorted(sums, key=lambda one: one.lifetime)
    return ordered[turn % turns :: turns]


def add_sums(all_sums: Iterable[SpeedSums]) -> list[SpeedSums]:
    """Add the histograms of several gateways, by lifetime."""
    totals: dict[str, tuple[list[int], list[int]]] = {}
    for one in all_sums:
        total = totals.setdefault(one.lifetime, ([0] * BINS, [0] * BINS))
        _add_counts(total, one, 1)
    return [_make_sums(lifetime, *total) for lifetime, total in totals.items()]


def subtract_sums(total: list[SpeedSums], own: list[SpeedSums]) -> list[SpeedSums]:
    """Subtract one gateway's histograms from a total, by lifetime."""
    own_sums = {one.lifetime: one for one in own}
    found = []
    for one in total:
        left = ([0] * BINS, [0] * BINS)
        _add_counts(left, one, 1)
        if one.lifetime in own_sums:
            _add_counts(left, own_sums[one.lifetime], -1)
        found.append(_make_sums(one.lifetime, *left))
    return found


def are_sums_valid(sums: SpeedSums) -> bool:
    """Whether a histogram that a peer sent is valid."""
    return (
        sums.first >= 0
        and len(sums.recent) <= len(sums.counts) <= BINS - sums.first
        and all(0 <= count <= MAX_COUNT for count in (*sums.counts, *sums.recent))
    )


def _limit_step(step: float) -> float:
    return min(FULL_STEP_LOG, max(-FULL_STEP_LOG, step))


def _sum_up(speed: TargetSpeed, now: float) -> Histograms:
    """Add the samples of all gateways; what was told long ago counts less."""
    total = Histograms(list(speed.own.counts), list(speed.own.recent), now)
    for peer, told in list(speed.told.items()):
        freshness = 1.0 - (now - told.at) / MAX_TOLD_AGE_S
        if freshness <= 0.0:
            del speed.told[peer]
            continue
        for bin in range(BINS):
            total.counts[bin] += told.counts[bin] * freshness
            total.recent[bin] += told.recent[bin] * freshness
    return total


def _find_quantile(counts: list[float], share: float) -> float:
    """Find the ratio below which a share of the samples is."""
    wanted, below = share * sum(counts), 0.0
    for bin, count in enumerate(counts):
        if count > 0.0 and below + count >= wanted:
            within = (wanted - below) / count - 0.5
            return math.exp((bin + LOWEST_BIN + within) * BIN_LOG)
        below += count
    return math.inf


def _decay(own: Histograms, now: float) -> None:
    elapsed_s = max(0.0, now - own.at)
    own.at = now
    factor = math.exp(-elapsed_s / MEMORY_S)
    own.counts = [count * factor for count in own.counts]
    factor = math.exp(-elapsed_s / RECENT_MEMORY_S)
    own.recent = [count * factor for count in own.recent]


def _count_units(counts: list[float]) -> list[int]:
    return [round(count * COUNT_UNIT) for count in counts]


def _add_counts(
    total: tuple[list[int], list[int]], sums: SpeedSums, factor: int
) -> None:
    for counts, told in zip(total, (sums.counts, sums.recent), strict=True):
        for bin, count in enumerate(told, sums.first):
            counts[bin] = max(0, counts[bin] + factor * count)


def _make_sums(lifetime: str, counts: list[int], recent: list[int]) -> SpeedSums:
    used = [bin for bin, count in enumerate(counts) if count]
    if not used:
        return SpeedSums(lifetime, 0, [])
    span = slice(used[0], used[-1] + 1)
    return SpeedSums(lifetime, used[0], counts[span], recent[span])
