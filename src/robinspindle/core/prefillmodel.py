"""How long engines take to read a prompt, learnt from readings.

Seconds are modelled as a constant, a part for each new token, and a part for each pair
of a new token and a token that it attends to. The three coefficients are fitted for all
engines of one service in one role together, by least squares over relative errors; old
readings fade. Entries tell each other the sums of their fits, so that one which starts
knows what the others know.
"""

from dataclasses import dataclass, field

import msgspec

Coefficients = tuple[float, float, float]
"""Seconds of any reading, of 1,000 new tokens, of a million pairs."""

INITIAL_PREFILL_ONLY: Coefficients = (0.005, 0.02, 0.0)
INITIAL_DECODE: Coefficients = (0.005, 0.04, 0.0)
"""What is believed before the first reading: 50,000 tokens a second, and half of that
for engines that read between the tokens of others. It weighs as much as `START_WEIGHT`
readings, so it is neither a floor nor a ceiling: with half or double of it the middle
of planned against real lies between 0.8 and 1.25 after 12 readings all the same
(`tests/core/test_paces.py`)."""

START_WEIGHT = 0.5
"""Readings that the start counts for."""

FADE = 0.99
"""What a reading still weighs after the next one: about the last hundred count."""

CLIP_FROM_WEIGHT = 10.0
MOST_RATIO = 2.0
"""Once this many readings are known, one that took longer than so many times what was
expected, or shorter by as much, counts as one that did: something else held it up."""

START_TOKENS = (500.0, 4000.0)
"""Lengths at which the start stands for readings, tokens."""

LEAST_SCALE_S = 0.002
"""Added to the scale of a relative error, seconds: about the way to an engine and back,
so that the shortest readings don't count for all."""

FEATURES = 3
LEAST_PIVOT = 1e-12
"""Smaller divisors say that the readings don't tell two coefficients apart."""


@dataclass(frozen=True)
class PrefillSample:
    """One reading that did not wait for others.

    Attributes:
        new: Tokens that were read.
        context: Tokens before them that a cache held.
        seconds: How long it took.
    """

    new: float
    context: float
    seconds: float


class FitSums(msgspec.Struct, array_like=True):
    """What a fit needs of all readings: sums of products, each reading scaled to 1 s.

    Attributes:
        weight: Readings, faded.
        products: Sums of products of two features, row by row, without repetition.
        results: Sums of products of a feature and the seconds.
    """

    weight: float = 0.0
    products: list[float] = []
    results: list[float] = []


@dataclass
class PrefillModel:
    """How fast the engines of one service read in one role.

    Attributes:
        start: What is believed before any reading.
        own: Sums over this entry's own readings.
        peer_sums: The same of other entries, by name.
        known: The coefficients that were fitted last; None since anything was noted.
    """

    start: Coefficients
    own: FitSums = field(default_factory=lambda: _make_sums())
    peer_sums: dict[str, FitSums] = field(default_factory=dict)
    known: Coefficients | None = None

    def __post_init__(self):
        self.known = self.start

    @property
    def fitted(self) -> Coefficients:
        """The coefficients that follow from all that was noted.

        They are fitted when they are asked for: peers tell many times as often.
        """
        if self.known is None:
            self.known = _fit(self)
        return self.known


def make_prefill_model(prefill_only: bool) -> PrefillModel:
    """Make the belief of engines of which nothing is known."""
    return PrefillModel(INITIAL_PREFILL_ONLY if prefill_only else INITIAL_DECODE)


def estimate_seconds(pace: PrefillModel, new: float, context: float) -> float:
    """Estimate how long an engine reads, without any wait, seconds.

    Args:
        pace: How fast such engines read.
        new: Tokens that it has to read.
        context: Tokens before them that its cache holds.
    """
    if new <= 0:
        return 0.0
    return _multiply(pace.fitted, _find_features(new, context))


def estimate_busy_s(pace: PrefillModel, new: float, context: float) -> float:
    """Estimate for how long a reading keeps others from being read, seconds.

    The constant part of a reading is the way of a prompt to its engine and of the
    answer back, through links and gateways: others are read meanwhile. Counted as work
    it was half of all work where a prompt of 4,500 tokens is read in 21 ms and answered
    after 47: engines looked 1.9 times as busy as they were, in place of 1.3
    (`tests/core/test_loadplay.py`), and a demand of 4 readers looked like one of 8.

    Args:
        pace: How fast such engines read.
        new: Tokens that it has to read.
        context: Tokens before them that its cache holds.
    """
    if new <= 0:
        return 0.0
    _, new_s, pairs_s = pace.fitted
    return _multiply((0.0, new_s, pairs_s), _find_features(new, context))


def note_sample(pace: PrefillModel, measured: PrefillSample) -> None:
    """Take note of one reading that did not wait."""
    if measured.new <= 0 or measured.seconds <= 0:
        return
    expected = estimate_seconds(pace, measured.new, measured.context)
    seconds = measured.seconds
    if _sum_weights(pace) >= CLIP_FROM_WEIGHT:
        seconds = min(expected * MOST_RATIO, max(expected / MOST_RATIO, seconds))
    features = _find_features(measured.new, measured.context)
    pace.own = _add(pace.own, features, seconds, expected)
    pace.known = None


def note_peer_sums(pace: PrefillModel, entry: str, sums: FitSums) -> None:
    """Take note of what another entry has learnt; its older word is replaced."""
    if len(sums.products) != len(_make_sums().products):
        return
    pace.peer_sums[entry] = sums
    pace.known = None


def forget_peer_sums(pace: PrefillModel, entry: str) -> None:
    """Forget what an entry that fell silent has told."""
    if pace.peer_sums.pop(entry, None) is not None:
        pace.known = None


def add_fit_sums(first: FitSums, second: FitSums, factor: float = 1.0) -> FitSums:
    """Add up what two entries have learnt, the second one multiplied by a factor."""
    if len(first.products) != len(second.products):
        return first
    return FitSums(
        first.weight + second.weight * factor,
        [a + b * factor for a, b in zip(first.products, second.products, strict=True)],
        [a + b * factor for a, b in zip(first.results, second.results, strict=True)],
    )


def _find_features(new: float, context: float) -> Coefficients:
    return (1.0, new / 1e3, new * (context + new / 2) / 1e6)


def _make_sums() -> FitSums:
    return FitSums(0.0, [0.0] * (FEATURES * (FEATURES + 1) // 2), [0.0] * FEATURES)


def _add(
    sums: FitSums, features: Coefficients, seconds: float, expected_s: float
) -> FitSums:
    """Fade sums and add one reading, scaled so that its relative error counts.

    A scale by the seconds themselves would favour coefficients that are too low; one by
    what was expected alone would let the first readings of a slow fleet count for all.
    """
    scale = 1.0 / (max(expected_s, seconds / MOST_RATIO) + LEAST_SCALE_S)
    scaled = [feature * scale for feature in features]
    products = [
        scaled[row] * scaled[column]
        for row in range(FEATURES)
        for column in range(row, FEATURES)
    ]
    results = [feature * seconds * scale for feature in scaled]
    return FitSums(
        weight=sums.weight * FADE + 1.0,
        products=[a * FADE + b for a, b in zip(sums.products, products, strict=True)],
        results=[a * FADE + b for a, b in zip(sums.results, results, strict=True)],
    )


def _sum_weights(pace: PrefillModel) -> float:
    return pace.own.weight + sum(sums.weight for sums in pace.peer_sums.values())


def _fit(pace: PrefillModel) -> Coefficients:
    """Fit the coefficients, none of them below 0, to all that is known."""
    total = _sum_up(pace)
    used = list(range(FEATURES))
    while used:
        found = _solve(total, used)
        if found is not None and min(found) >= 0.0:
            fitted = [0.0] * FEATURES
            for feature, value in zip(used, found, strict=True):
                fitted[feature] = value
            return (fitted[0], fitted[1], fitted[2])
        # A part that would shorten a reading is no part of it.
        worst = len(used) - 1 if found is None else found.index(min(found))
        del used[worst]
    return pace.start


def _sum_up(pace: PrefillModel) -> FitSums:
    total = _make_sums()
    for tokens in START_TOKENS:
        features = _find_features(tokens, 0.0)
        seconds = _multiply(pace.start, features)
        total = _add(total, features, seconds, seconds)
    factor = START_WEIGHT / len(START_TOKENS)
    total.products = [value * factor for value in total.products]
    total.results = [value * factor for value in total.results]
    for sums in (pace.own, *pace.peer_sums.values()):
        total = add_fit_sums(total, sums)
    return total


def _solve(sums: FitSums, used: list[int]) -> list[float] | None:
    """Solve the normal equations for some features; None where they don't tell."""
    rows = [
        [_find_product(sums, row, column) for column in used] + [sums.results[row]]
        for row in used
    ]
    size = len(rows)
    for pivot in range(size):
        divisor = rows[pivot][pivot]
        if divisor <= LEAST_PIVOT * max(1.0, sums.products[0]):
            return None
        rows[pivot] = [value / divisor for value in rows[pivot]]
        for row in range(size):
            if row != pivot:
                factor = rows[row][pivot]
                rows[row] = [
                    value - factor * above
                    for value, above in zip(rows[row], rows[pivot], strict=True)
                ]
    return [row[size] for row in rows]


def _find_product(sums: FitSums, row: int, column: int) -> float:
    low, high = sorted((row, column))
    skipped = low * FEATURES - low * (low - 1) // 2
    return sums.products[skipped + high - low]


def _multiply(coefficients: Coefficients, features: Coefficients) -> float:
    return sum(a * b for a, b in zip(coefficients, features, strict=True))
