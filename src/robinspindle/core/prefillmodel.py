"""A model of prefill times, fitted to samples.

The time of a prefill is a base time, a time per new token, and a time per pair of a new
token and a token that it attends to. The three coefficients are fitted for all engines
of one service and role together, by least squares over relative errors with exponential
decay of old samples. Gateways exchange the sums of their fits, so that one that has
just started knows what the others have measured.
"""

from dataclasses import dataclass, field

import msgspec

Coefficients = tuple[float, float, float]
"""Base time, time per 1,000 new tokens, and time per million token pairs, seconds."""

INITIAL_PREFILL_ONLY: Coefficients = (0.005, 0.02, 0.0)
INITIAL_DECODE: Coefficients = (0.005, 0.04, 0.0)
"""Coefficients before the first sample: 50,000 tokens per second, and half of that for
engines that prefill between the decode steps of answers. They weigh as much as
`INITIAL_WEIGHT` samples, so they are neither a lower nor an upper bound."""

INITIAL_WEIGHT = 0.5
"""Number of samples that the initial coefficients count for."""

DECAY = 0.99
"""Decay of a sample's weight with each later one: about the last hundred count."""

CLIP_FROM_WEIGHT = 10.0
MAX_RATIO = 2.0
"""From this total weight of samples on, a sample whose ratio to the estimate exceeds
`MAX_RATIO`, or is below its inverse, is clipped to that: something else delayed it."""

INITIAL_TOKENS = (500.0, 4000.0)
"""Prompt lengths of the samples that stand for the initial coefficients, tokens."""

MIN_SCALE_S = 0.002
"""Added to the denominator of a relative error, seconds: about the network round trip
to an engine, so that the shortest prefills don't dominate the fit."""

FEATURES = 3
MIN_PIVOT = 1e-12
"""With a smaller pivot the samples can't distinguish two coefficients."""


@dataclass(frozen=True)
class PrefillSample:
    """The measured time of one prefill that didn't wait for others.

    Attributes:
        new: New tokens, which were prefilled.
        context: Cached tokens before them.
        seconds: Duration, seconds.
    """

    new: float
    context: float
    seconds: float


class FitSums(msgspec.Struct, array_like=True):
    """The sums over all samples that a fit needs, each sample scaled to 1 s.

    Attributes:
        weight: Number of samples, decayed.
        products: Sums of products of two features: the upper triangle, row by row.
        results: Sums of products of a feature and the duration.
    """

    weight: float = 0.0
    products: list[float] = []
    results: list[float] = []


@dataclass
class PrefillModel:
    """The prefill model of the engines of one service and role.

    Attributes:
        initial: Coefficients before the first sample.
        own: Sums over this gateway's own samples.
        peer_sums: The same from other gateways, by name.
        last_fit: The coefficients fitted last; None if samples were added since.
        mean_slowness: Geometric mean of the slowness of its engines.
    """

    initial: Coefficients
    own: FitSums = field(default_factory=lambda: _make_sums())
    peer_sums: dict[str, FitSums] = field(default_factory=dict)
    last_fit: Coefficients | None = None
    mean_slowness: float = 1.0

    def __post_init__(self):
        self.last_fit = self.initial

    @property
    def fitted(self) -> Coefficients:
        """The coefficients fitted to all samples.

        The fit is computed on access, because peers send sums many times as often.
        """
        if self.last_fit is None:
            self.last_fit = _fit(self)
        return self.last_fit


def make_prefill_model(prefill_only: bool) -> PrefillModel:
    """Make the model of engines without any samples."""
    return PrefillModel(INITIAL_PREFILL_ONLY if prefill_only else INITIAL_DECODE)


def estimate_seconds(model: PrefillModel, new: float, context: float) -> float:
    """Estimate the time of a prefill without any wait, seconds.

    Args:
        model: The prefill model of the engine.
        new: New tokens to prefill.
        context: Cached tokens before them.
    """
    if new <= 0:
        return 0.0
    return _multiply(model.fitted, _find_features(new, context))


def estimate_busy_s(model: PrefillModel, new: float, context: float) -> float:
    """Estimate the time for which a prefill occupies an engine, seconds.

    The base time is left out. It is the network delay of the prompt to its engine and
    of the answer back, through links and gateways: the engine prefills others
    meanwhile.

    Args:
        model: The prefill model of the engine.
        new: New tokens to prefill.
        context: Cached tokens before them.
    """
    if new <= 0:
        return 0.0
    _, new_s, pairs_s = model.fitted
    return _multiply((0.0, new_s, pairs_s), _find_features(new, context))


def note_sample(model: PrefillModel, measured: PrefillSample) -> None:
    """Record a sample."""
    if measured.new <= 0 or measured.seconds <= 0:
        return
    expected = estimate_seconds(model, measured.new, measured.context)
    seconds = measured.seconds
    if _sum_weights(model) >= CLIP_FROM_WEIGHT:
        seconds = min(expected * MAX_RATIO, max(expected / MAX_RATIO, seconds))
    features = _find_features(measured.new, measured.context)
    model.own = _add(model.own, features, seconds, expected)
    model.last_fit = None


def note_peer_sums(model: PrefillModel, gateway: str, sums: FitSums) -> None:
    """Record the sums of another gateway in place of its earlier ones."""
    if len(sums.products) != len(_make_sums().products):
        return
    model.peer_sums[gateway] = sums
    model.last_fit = None


def forget_peer_sums(model: PrefillModel, gateway: str) -> None:
    """Remove the sums of a gateway that timed out."""
    if model.peer_sums.pop(gateway, None) is not None:
        model.last_fit = None


def add_fit_sums(first: FitSums, second: FitSums, factor: float = 1.0) -> FitSums:
    """Add the sums of two gateways, the second ones multiplied by a factor."""
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
    """Decay sums and add one sample, scaled so that its relative error counts.

    A scale by the measured time would favor coefficients that are too low. A scale by
    the estimate alone would let the first samples of a slow fleet dominate the fit.
    """
    scale = 1.0 / (max(expected_s, seconds / MAX_RATIO) + MIN_SCALE_S)
    scaled = [feature * scale for feature in features]
    products = [
        scaled[row] * scaled[column]
        for row in range(FEATURES)
        for column in range(row, FEATURES)
    ]
    results = [feature * seconds * scale for feature in scaled]
    return FitSums(
        weight=sums.weight * DECAY + 1.0,
        products=[a * DECAY + b for a, b in zip(sums.products, products, strict=True)],
        results=[a * DECAY + b for a, b in zip(sums.results, results, strict=True)],
    )


def _sum_weights(model: PrefillModel) -> float:
    return model.own.weight + sum(sums.weight for sums in model.peer_sums.values())


def _fit(model: PrefillModel) -> Coefficients:
    """Fit the coefficients, none of them below 0, to all samples."""
    total = _sum_up(model)
    used = list(range(FEATURES))
    while used:
        found = _solve(total, used)
        if found is not None and min(found) >= 0.0:
            fitted = [0.0] * FEATURES
            for feature, value in zip(used, found, strict=True):
                fitted[feature] = value
            return (fitted[0], fitted[1], fitted[2])
        # A negative coefficient has no meaning: the fit is repeated without it.
        worst = len(used) - 1 if found is None else found.index(min(found))
        del used[worst]
    return model.initial


def _sum_up(model: PrefillModel) -> FitSums:
    total = _make_sums()
    for tokens in INITIAL_TOKENS:
        features = _find_features(tokens, 0.0)
        seconds = _multiply(model.initial, features)
        total = _add(total, features, seconds, seconds)
    factor = INITIAL_WEIGHT / len(INITIAL_TOKENS)
    total.products = [value * factor for value in total.products]
    total.results = [value * factor for value in total.results]
    for sums in (model.own, *model.peer_sums.values()):
        total = add_fit_sums(total, sums)
    return total


def _solve(sums: FitSums, used: list[int]) -> list[float] | None:
    """Solve the normal equations for some features; None if they are singular."""
    rows = [
        [_find_product(sums, row, column) for column in used] + [sums.results[row]]
        for row in used
    ]
    size = len(rows)
    for pivot in range(size):
        divisor = rows[pivot][pivot]
        if divisor <= MIN_PIVOT * max(1.0, sums.products[0]):
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
