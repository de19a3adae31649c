"""What plays of two revisions over the same days say of their difference."""

import math
import statistics
from dataclasses import dataclass, field

NOISE = 0.03
"""A difference of worth below this says nothing on one day: plays of the same sources
differ by as much, since processor time is measured."""

SURE_ERRORS = 2.0
"""A mean difference counts as real from this many standard errors on: by chance alone
one of about twenty lies beyond."""

LEAST_PAIRS = 4
"""Fewer pairs say nothing of their own spread."""

WORTH = "worth"


@dataclass(frozen=True)
class Play:
    """One play of one day.

    Attributes:
        site: The deployment.
        day: The day's name.
        seed: Its seed; 0 for the day's own.
        revision: What was played.
        figures: Shares of what was owed (worth, in aim, late, ...) and prices, by name.
        broken: Rules that were broken.
    """

    site: str
    day: str
    seed: int
    revision: str
    figures: dict[str, float] = field(default_factory=dict)
    broken: tuple[str, ...] = ()


@dataclass(frozen=True)
class Difference:
    """How one figure differs between two revisions.

    Attributes:
        name: The figure.
        pairs: Pairs of plays in which both have it.
        before: Its mean with the first revision.
        after: Its mean with the second.
        mean: Mean of the paired differences, second less first.
        spread: Their standard deviation; 0 with one pair.
        higher: Pairs in which the second is higher.
    """

    name: str
    pairs: int
    before: float
    after: float
    mean: float
    spread: float
    higher: int

    @property
    def error(self) -> float:
        """Standard error of the mean difference."""
        return self.spread / math.sqrt(self.pairs) if self.pairs else 0.0


def compare_plays(first: list[Play], second: list[Play]) -> list[Difference]:
    """Compare two revisions' plays of the same days.

    Args:
        first: Plays of the first revision, in any order.
        second: Plays of the second one.

    Returns:
        One difference a figure, worth first, the others by name.
    """
    pairs = _pair(first, second)
    names = {name for one, other in pairs for name in one.figures | other.figures}
    ordered = sorted(names, key=lambda name: (name != WORTH, name))
    return [_compare_figure(name, pairs) for name in ordered]


def judge(difference: Difference) -> str:
    """Say whether a difference of worth is a gain, a loss or noise."""
    if difference.pairs < LEAST_PAIRS:
        return f"too few pairs to tell ({difference.pairs})"
    if abs(difference.mean) < SURE_ERRORS * difference.error:
        return "noise: less than twice its standard error"
    if abs(difference.mean) < NOISE / math.sqrt(difference.pairs):
        return "noise: smaller than what plays of the same sources differ by"
    return "gain" if difference.mean > 0 else "loss"


def _pair(first: list[Play], second: list[Play]) -> list[tuple[Play, Play]]:
    others = {(play.site, play.day, play.seed): play for play in second}
    found = [(play, others.get((play.site, play.day, play.seed))) for play in first]
    return [(one, other) for one, other in found if other is not None]


def _compare_figure(name: str, pairs: list[tuple[Play, Play]]) -> Difference:
    # A price that was not charged is zero.
    before = [one.figures.get(name, 0.0) for one, _ in pairs]
    after = [other.figures.get(name, 0.0) for _, other in pairs]
    differences = [b - a for a, b in zip(before, after, strict=True)]
    return Difference(
        name=name,
        pairs=len(pairs),
        before=statistics.fmean(before),
        after=statistics.fmean(after),
        mean=statistics.fmean(differences),
        spread=statistics.stdev(differences) if len(differences) > 1 else 0.0,
        higher=sum(difference > 0 for difference in differences),
    )
