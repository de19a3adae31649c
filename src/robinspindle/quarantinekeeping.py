"""Keeps the quarantine in the platform's store, where it outlasts all gateways.

Who judged a request writes its entry. An entry that the store does not hold a while
later, because its writer died or the store returned from an old copy, is written by one
of the others, the first in an order that hangs on the request.
"""

import asyncio
import hashlib
from collections.abc import Callable, Iterable

from robinspindle.core import quarantine
from robinspindle.core.decoding import shorten
from robinspindle.core.entries import UnusableEntries
from robinspindle.core.fingerprints import Fingerprint
from robinspindle.core.quarantine import Entry, Quarantine
from robinspindle.exceptions import BadDocumentError, LogServiceError
from robinspindle.following import KeyedStore
from robinspindle.logs import Log

LOOK_S = 0.25
"""How often it is looked for what the store lacks, seconds."""

STEP_S = 2.0
"""How long each gateway waits for those before it in the order, seconds: an entry comes
back from the store within a second, so that usually only the first one writes."""

MOST_STEPS = 8
"""Gateways that wait one after the other; the others write after the last of them."""

FAILED_PAUSE_S = 1.0
"""Pause after a write that failed, seconds; a refused call is paid for too."""


def find_place(fingerprint: Fingerprint, name: str, others: Iterable[str]) -> int:
    """Find a gateway's place in the order that hangs on a request, from 0.

    Args:
        fingerprint: The request.
        name: The gateway's name.
        others: Names of the others that are heard.
    """

    def rank(one: str) -> bytes:
        return hashlib.blake2b(fingerprint + one.encode(), digest_size=8).digest()

    own = rank(name)
    return sum(rank(other) < own for other in others if other != name)


class QuarantineKeeper:
    """Reads the quarantine from the store and writes what it lacks.

    Attributes:
        is_known: Whether all that the store holds has been read once.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        known: Quarantine,
        take: Callable[[Entry], None],
        find_own_place: Callable[[Fingerprint], int],
        clock: Callable[[], float],
        log: Log,
    ):
        self.is_known = False
        self._store = store
        self._topic = topic
        self._known = known
        self._take = take
        self._find_own_place = find_own_place
        self._clock = clock
        self._log = log
        self._unreadable = UnusableEntries()
        # Since when the store has lacked the newest entry of each request.
        self._lacking: dict[Fingerprint, tuple[int, float]] = {}

    @property
    def unreadable(self) -> int:
        """Entries that could not be read so far."""
        return self._unreadable.total

    def apply(self, key: str, value: bytes | None) -> None:
        """Take in a record of the store."""
        try:
            fingerprint = quarantine.read_key(key)
            if value is None:
                quarantine.note_not_stored(self._known, fingerprint)
                return
            entry = quarantine.decode_entry(fingerprint, value)
        except BadDocumentError as error:
            self._note_unreadable(key, str(error))
            return
        self._unreadable.forget(key)
        quarantine.note_stored(self._known, entry)
        self._take(entry)

    def _note_unreadable(self, key: str, fault: str) -> None:
        if self._unreadable.note(key, fault):
            text = "quarantine's record not believed"
            self._log(text, record=shorten(key), fault=fault)

    def note_newest(self) -> None:
        """Take note that all that the store holds has been read."""
        self.is_known = True

    async def run(self) -> None:
        """Write what the store lacks, for as long as the process runs."""
        while True:
            await asyncio.sleep(LOOK_S)
            for entry in self.list_due(self._clock()):
                await self._write(entry)

    def list_due(self, now: float) -> list[Entry]:
        """List the entries that it is this gateway's turn to write."""
        lacking = quarantine.list_unstored(self._known)
        self._lacking = {
            entry.fingerprint: self._find_since(entry, now) for entry in lacking
        }
        return [entry for entry in lacking if self._is_due(entry, now)]

    def _find_since(self, entry: Entry, now: float) -> tuple[int, float]:
        known = self._lacking.get(entry.fingerprint)
        return known if known and known[0] == entry.at_ms else (entry.at_ms, now)

    def _is_due(self, entry: Entry, now: float) -> bool:
        steps = 0
        if not quarantine.is_own(self._known, entry):
            steps = 1 + min(MOST_STEPS, self._find_own_place(entry.fingerprint))
        _, since = self._lacking[entry.fingerprint]
        return now - since >= steps * STEP_S

    async def _write(self, entry: Entry) -> None:
        key = quarantine.make_key(entry.fingerprint)
        value = quarantine.encode_entry(entry)
        try:
            await self._store.append_keyed(self._topic, key, value)
        except LogServiceError as error:
            self._log("quarantine not stored yet", record=key, error=str(error))
            await asyncio.sleep(FAILED_PAUSE_S)
        else:
            quarantine.note_stored(self._known, entry)
