"""What became of streams that are taken up while engines of two versions serve."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

FEWEST_TAKE_UPS = 12
"""Take-ups without which nothing is said of the share that goes on."""

LEAST_OF_NEW = 0.5
"""Least share that goes on, of the share of new streams that begin."""


class Try(StrEnum):
    """What a caller tries."""

    NEW = "new stream"
    TAKE_UP = "take-up"


@dataclass
class VersionAccount:
    """Streams, and the tries that count.

    Attributes:
        streams: Number of streams that got an event.
        mixed: Streams that hold events of two versions, with those versions.
        tries: Tries that count.
        successes: Those among them that brought an event.
        statuses: How often each status was answered to each, 0 for none, whether or
            not they count.
    """

    streams: int = 0
    mixed: list[str] = field(default_factory=list)
    tries: Counter[Try] = field(default_factory=Counter)
    successes: Counter[Try] = field(default_factory=Counter)
    statuses: Counter[tuple[Try, int]] = field(default_factory=Counter)

    def note_try(self, kind: Try, has_event: bool) -> None:
        """Take note of a try that counts."""
        self.tries[kind] += 1
        self.successes[kind] += has_event

    def note_stream(self, name: str, versions: set[str]) -> None:
        """Take note of a stream at its end, with the versions of all its events."""
        self.streams += bool(versions)
        if len(versions) > 1:
            self.mixed.append(f"{name}: {sorted(versions)}")

    def has_enough_take_ups(self) -> bool:
        """Whether there were enough take-ups to judge their share."""
        return self.tries[Try.TAKE_UP] >= FEWEST_TAKE_UPS

    def compute_share(self, kind: Try) -> float:
        """Compute the share of tries that brought an event; 1 where there were none."""
        tries = self.tries[kind]
        return self.successes[kind] / tries if tries else 1.0

    def loses_streams(self) -> bool:
        """Whether too few take-ups go on, where there were enough of them."""
        least = LEAST_OF_NEW * self.compute_share(Try.NEW)
        return self.has_enough_take_ups() and self.compute_share(Try.TAKE_UP) < least
