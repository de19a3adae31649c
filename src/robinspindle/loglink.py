"""A process's link to the log: what it follows, and what it appends."""

import random
import threading
from collections.abc import Callable

from robinspindle.core.claims import AnyClaim, encode_claims
from robinspindle.core.records import AnyRecord, encode_record
from robinspindle.logservice import (
    CLAIMS,
    CONTROL,
    LogFollower,
    LogService,
    LogWriter,
    RecordsRead,
)

CLAIMS_IN_AN_APPEND = 256
RECORDS_KEPT_S = 1.5
STOP_WAIT_S = 2.0


class LogLink:
    """Followers and writers of the two streams, each in a thread of its own.

    Attributes:
        service: The log service.
    """

    def __init__(
        self,
        url: str,
        streams: tuple[str, ...],
        post: Callable[[RecordsRead], None],
        rng: random.Random,
        claims_kept_s: float,
    ):
        self.service = LogService(url)
        self._followers = [
            LogFollower(self.service, stream, post, rng) for stream in streams
        ]
        # Control records are decided anew while they are due, so old ones go.
        self._records = LogWriter(
            self.service, CONTROL, lambda items: items[0], 1, RECORDS_KEPT_S
        )
        self._claims = LogWriter(
            self.service, CLAIMS, encode_claims, CLAIMS_IN_AN_APPEND, claims_kept_s
        )

    @property
    def is_reached(self) -> bool:
        """Whether the log service answered the last read of the first stream."""
        return self._followers[0].is_reaching

    def start(self) -> None:
        """Start following and writing."""
        threads: list[threading.Thread] = [*self._followers]
        for thread in [*threads, self._records, self._claims]:
            thread.start()

    def append_record(self, record: AnyRecord) -> None:
        """Append to the control stream in the background."""
        self._records.put(encode_record(record))

    def append_claim(self, record: AnyClaim) -> None:
        """Append to the claims stream in the background."""
        self._claims.put(record)

    def close(self) -> None:
        """Append what is waiting, as far as the log takes it, and stop."""
        for follower in self._followers:
            follower.stop()
        for writer in (self._records, self._claims):
            writer.stop()
            writer.join(timeout=STOP_WAIT_S)
