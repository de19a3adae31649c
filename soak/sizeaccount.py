"""Who was served by size, and whether a size was left unserved."""

from dataclasses import dataclass, field

LARGEST_SHARE = 0.1
NEXT_SHARE = 0.2
"""The largest tenth of a kind's requests, and the fifth beneath it, are judged."""

LEAST_RATE = 0.5
"""Each of them has to be served at this share of the rate of its kind at least."""

LEAST_REQUESTS = 100
"""Kinds with fewer requests than this are not judged: ten large ones tell little."""


@dataclass(frozen=True)
class Ended:
    """How one caller's request ended, with all its tries.

    Attributes:
        kind: Its kind.
        tokens: Tokens of its prompt.
        served: Whether its caller got the whole answer.
        last: What came of the last try: a status, or a word.
        by_fault: Whether a fault broke it off.
    """

    kind: str
    tokens: int
    served: bool
    last: str
    by_fault: bool = False


@dataclass(frozen=True)
class SizeRates:
    """Shares served of one kind.

    Attributes:
        asked: Requests that count.
        all: Share served of all of them.
        largest: Of the largest tenth.
        next: Of the fifth beneath.
    """

    asked: int
    all: float
    largest: float
    next: float

    @property
    def is_short(self) -> bool:
        """Whether one of the two is served far less than all are."""
        least = LEAST_RATE * self.all
        return min(self.largest, self.next) < least and self.asked >= LEAST_REQUESTS


@dataclass
class SizeAccount:
    """All requests of a run."""

    ended: list[Ended] = field(default_factory=list)

    def find_rates(self) -> dict[str, SizeRates]:
        """Find the shares served, by kind; what a fault broke off does not count."""
        kinds = dict.fromkeys(one.kind for one in self.ended)
        return {kind: self._find_rates(kind) for kind in kinds}

    def _find_rates(self, kind: str) -> SizeRates:
        counted = [e for e in self.ended if e.kind == kind and not e.by_fault]
        counted.sort(key=lambda one: one.tokens)
        largest_from = round(len(counted) * (1 - LARGEST_SHARE))
        next_from = round(len(counted) * (1 - LARGEST_SHARE - NEXT_SHARE))
        return SizeRates(
            len(counted),
            _find_share(counted),
            _find_share(counted[largest_from:]),
            _find_share(counted[next_from:largest_from]),
        )


def _find_share(ended: list[Ended]) -> float:
    return sum(one.served for one in ended) / max(1, len(ended))
