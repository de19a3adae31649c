"""The speed of each target, learnt by all gateways together.

A gateway alone sees too few requests of one target to tell a slow one from a moment of
noise. Each therefore keeps a small histogram of how much longer a target takes than
its service's model says, forgotten in time, and sends it to the others. The estimate
is a robust mean of the summed histograms, with a prior toward the model: noise that
lasts for a fraction of a second hardly moves it, a slowness that lasts moves it as
soon as most of the recent requests show it.
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

SHORT_MEMORY_S = 6.0
"""Time in which a target with many samples is forgotten, seconds: ten times the noise
of a fraction of a second. A slowness that lasts is known after about as long, within
the time that callers wait for a long prompt."""

LONG_MEMORY_S = 30.0
"""The same for a target with few samples, seconds."""

MANY_SAMPLES = 32.0
"""Weight from which on a target has many samples: enough to tell 1.2 from 1."""

MAX_TOLD_AGE_S = 20.0
"""Time in which what a peer told of a target loses its weight without news, seconds."""

MIN_TOLD_WEIGHT = 0.5
"""Least weight of a histogram that is told, samples."""

MAX_TOLD_SPEEDS = 48
"""Most targets in one datagram: 1.7 KB. If there are more, they take turns."""


class SpeedSums(msgspec.Struct, array_like=True):
    """A histogram of one target, as gateways tell it.

    Attributes:
        lifetime: The target's lifetime.
        first: Its first bin that is not empty, counted from `LOWEST_BIN`.
        counts: Counts of that bin and the following ones, eighths of a sample.
    """

    lifetime: str
    first: int
    counts: list[int]


@dataclass
class ToldCounts:
    """What one peer told of a target.

    Attributes:
        counts: Samples by bin.
        told_at: When it was told, monotonic seconds.
    """

    counts: list[float]
    told_at: float


@dataclass
class TargetSpeed:
    """What is known of the speed of one lifetime of a target.

    Attributes:
        own: This gateway's samples by bin, decayed.
        updated_at: Time to which they are decayed, monotonic seconds.
        told: What the peers told, by name.
        weight: Samples of all gateways at the last estimate.
        ratio: The last estimate: its time relative to that of the service's model.
    """

    own: list[float] = field(default_factory=lambda: [0.0] * BINS)
    updated_at: float = 0.0
    told: dict[str, ToldCounts] = field(default_factory=dict)
    weight: float = 0.0
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
    _decay(speed, now)
    place = math.log(ratio) / BIN_LOG - LOWEST_BIN
    place = min(BINS - 1.0, max(0.0, place))
    low = min(BINS - 2, int(place))
    speed.own[low] += weight * (low + 1 - place)
    speed.own[low + 1] += weight * (place - low)


def note_told(speed: TargetSpeed, peer: str, told: SpeedSums, now: float) -> None:
    """Record what a peer tells of a target in place of what it told before."""
    counts = [0.0] * BINS
    for bin, count in enumerate(told.counts, told.first):
        counts[bin] = count / COUNT_UNIT
    speed.told[peer] = ToldCounts(counts, now)


def forget_peer(speed: TargetSpeed, peer: str) -> None:
    """Remove what a peer that timed out has told."""
    speed.told.pop(peer, None)


def update_estimate(speed: TargetSpeed, now: float) -> float:
    """Estimate a target's time relative to that of its service's model.

    Args:
        speed: What is known; changed in place.
        now: The current time, monotonic seconds.
    """
    _decay(speed, now)
    counts = list(speed.own)
    for peer, told in list(speed.told.items()):
        freshness = 1.0 - (now - told.told_at) / MAX_TOLD_AGE_S
        if freshness <= 0.0:
            del speed.told[peer]
            continue
        for bin, count in enumerate(told.counts):
            counts[bin] += count * freshness
    speed.weight = sum(counts)
    speed.ratio = estimate_ratio(counts)
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


def list_told(speeds: dict[str, TargetSpeed], now: float) -> list[SpeedSums]:
    """List this gateway's own histograms, of the targets with the most samples.

    Args:
        speeds: What is known, by lifetime.
        now: The current time, monotonic seconds.
    """
    weights: dict[str, float] = {}
    for lifetime, speed in speeds.items():
        _decay(speed, now)
        weights[lifetime] = sum(speed.own)
    ranked = sorted(weights, key=weights.get, reverse=True)[:MAX_TOLD_SPEEDS]
    return [
        _make_sums(id, [round(count * COUNT_UNIT) for count in speeds[id].own])
        for id in ranked
        if weights[id] >= MIN_TOLD_WEIGHT
    ]


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
    totals: dict[str, list[int]] = {}
    for one in all_sums:
        _add_counts(totals.setdefault(one.lifetime, [0] * BINS), one, 1)
    return [_make_sums(lifetime, counts) for lifetime, counts in totals.items()]


def subtract_sums(total: list[SpeedSums], own: list[SpeedSums]) -> list[SpeedSums]:
    """Subtract one gateway's histograms from a total, by lifetime."""
    own_sums = {one.lifetime: one for one in own}
    found = []
    for one in total:
        counts = [0] * BINS
        _add_counts(counts, one, 1)
        if one.lifetime in own_sums:
            _add_counts(counts, own_sums[one.lifetime], -1)
        found.append(_make_sums(one.lifetime, [max(0, count) for count in counts]))
    return found


def are_sums_valid(sums: SpeedSums) -> bool:
    """Whether a histogram that a peer sent is valid."""
    return (
        sums.first >= 0
        and sums.first + len(sums.counts) <= BINS
        and all(0 <= count <= MAX_COUNT for count in sums.counts)
    )


def _limit_step(step: float) -> float:
    return min(FULL_STEP_LOG, max(-FULL_STEP_LOG, step))


def _decay(speed: TargetSpeed, now: float) -> None:
    """Forget in time, the faster the more is known by all gateways."""
    elapsed_s = max(0.0, now - speed.updated_at)
    speed.updated_at = now
    known = min(1.0, speed.weight / MANY_SAMPLES) ** 2
    factor = math.exp(-elapsed_s * (1 / LONG_MEMORY_S + known / SHORT_MEMORY_S))
    speed.own = [count * factor for count in speed.own]


def _add_counts(counts: list[int], sums: SpeedSums, factor: int) -> None:
    for bin, count in enumerate(sums.counts, sums.first):
        counts[bin] += factor * count


def _make_sums(lifetime: str, counts: list[int]) -> SpeedSums:
    used = [bin for bin, count in enumerate(counts) if count]
    if not used:
        return SpeedSums(lifetime, 0, [])
    return SpeedSums(lifetime, used[0], counts[used[0] : used[-1] + 1])
