"""Counts the bytes that a gateway has moved between availability zones, by cause."""

from collections import Counter
from enum import StrEnum
from functools import partial
from typing import Protocol

from robinspindle.core.targets import Target
from robinspindle.logs import Log

LOG_INTERVAL_S = 5.0
"""Time between two log lines about the traffic, seconds."""


class TrafficCause(StrEnum):
    """Why bytes pass from one availability zone to another."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    NEWS = "news"
    STREAM_ORIGINS = "stream_origins"
    MEMORY = "memory"


class Meter(Protocol):
    """What is told of the bytes on the connections to one address."""

    def note_sent(self, size: int) -> None:
        """Count bytes that were sent."""

    def note_received(self, size: int) -> None:
        """Count bytes that came."""


class ZoneTraffic:
    """Bytes between this gateway's availability zone and others, and their log line.

    KV caches that move between two zones are counted by the gateway that had them
    moved, although it doesn't carry them.

    Attributes:
        counts: Bytes by cause.
    """

    def __init__(self, zone: str):
        """Begin with nothing.

        Args:
            zone: The gateway's availability zone.
        """
        self.counts: Counter[TrafficCause] = Counter()
        self._zone = zone
        self._logged_at: float | None = None

    def note(self, cause: TrafficCause, zone: str, size: int) -> None:
        """Count bytes to or from a zone, unless it is the gateway's own."""
        self.note_between(cause, self._zone, zone, size)

    def note_between(
        self, cause: TrafficCause, source: str, destination: str, size: int
    ) -> None:
        """Count bytes from one zone to another; within one, none are."""
        if source != destination:
            self.counts[cause] += size

    def note_memory(
        self, source: Target, destination: Target, tokens: int, token_bytes: float
    ) -> None:
        """Count the KV cache of some tokens that moves from one target to another."""
        zones = source.announced.zone, destination.announced.zone
        self.note_between(TrafficCause.MEMORY, *zones, round(tokens * token_bytes))

    def make_meter(self, target: Target) -> Meter | None:
        """Make what counts the bytes to and from a target; None in the own zone."""
        zone = target.announced.zone
        return None if zone == self._zone else _TargetMeter(self, zone)

    def log_if_due(self, log: Log, now: float, store_bytes: int) -> None:
        """Log all counts, at most every LOG_INTERVAL_S.

        Args:
            log: Takes the line.
            now: The present time, steady seconds.
            store_bytes: Bytes of the store's answers, whose zone is not known.
        """
        if self._logged_at is None:
            self._logged_at = now
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self.log(log, now, store_bytes)

    def log(self, log: Log, now: float, store_bytes: int) -> None:
        """Log all counts; see `log_if_due`."""
        counts = {f"{cause.value}_bytes": self.counts[cause] for cause in TrafficCause}
        log(
            "traffic between zones", at=round(now, 4), store_bytes=store_bytes, **counts
        )


class _TargetMeter:
    """Counts the bytes to and from one target in another zone."""

    def __init__(self, traffic: ZoneTraffic, zone: str):
        self.note_sent = partial(traffic.note, TrafficCause.REQUESTS, zone)
        self.note_received = partial(traffic.note, TrafficCause.ANSWERS, zone)
