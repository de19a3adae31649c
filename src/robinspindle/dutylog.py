"""The store's topic in which duties are claimed and reports are fixed."""

from collections.abc import Callable

import msgspec

from robinspindle.core import authority as claims
from robinspindle.core import usage, usagereports
from robinspindle.core.authority import Authority, Claim
from robinspindle.core.decoding import shorten
from robinspindle.core.eras import make_fence
from robinspindle.core.usagereports import (
    CLAIM_KEY,
    Record,
    Reports,
    Spilled,
    decode_record,
)
from robinspindle.exceptions import BadDocumentError, RecordsTrimmedError
from robinspindle.following import KeyedStore
from robinspindle.logs import Log
from robinspindle.usagebook import UsageBook


class DutyLog:
    """One gateway's view of the topic, and its claim.

    Attributes:
        authority: What is known of who may act.
        reports: The records that are known.
        claim: This gateway's claim; None for none.
        must_read: Whether the topic may hold what was not read.
    """

    def __init__(
        self,
        authority: Authority,
        reports: Reports,
        topic: str,
        store: KeyedStore,
        book: UsageBook,
        clock: Callable[[], float],
        log: Log,
    ):
        self.authority = authority
        self.reports = reports
        self.claim: Claim | None = None
        self.must_read = True
        self._topic = topic
        self._store = store
        self._book = book
        self._clock = clock
        self._log = log

    def note_era(self, era: int) -> None:
        """Take note that the store has returned from a copy."""
        claims.note_era(self.authority, self._clock(), era)
        usagereports.forget_store_offsets(self.reports)
        self.must_read = True
        self.claim = None

    def note_fenced(self) -> None:
        """Take note that a higher fencing number was used: ours is not used again."""
        claims.note_claim(self.authority, self._clock(), claims.UNKNOWN_HOLDER)
        self.claim = None
        self.must_read = True

    def may_claim(self) -> bool:
        """Whether this gateway may act, or try to."""
        return claims.may_claim(self.authority, self._clock())

    async def catch_up(self) -> None:
        """Read what the topic may hold beyond what is known.

        Raises:
            LogServiceError: When the store gives no good answer.
        """
        if self.must_read:
            await self.read()

    async def read(self) -> None:
        """Read what the topic holds beyond what is known.

        Raises:
            LogServiceError: When the store gives no good answer.
        """
        end = self.authority.end
        try:
            if end is None:
                records = await self._store.read_newest(self._topic)
            else:
                records = await self._store.read_from(self._topic, end, 0.0)
        except RecordsTrimmedError:
            records = await self._store.read_newest(self._topic)
        for item in records.items:
            self._take(item.key, item.value)
        self.authority.end = records.end
        self.must_read = records.end < records.topic_end

    async def append(
        self, key: str, window: int | None, counts: dict[str, int]
    ) -> None:
        """Append a record where the topic still ends as it was read; it is a claim.

        Raises:
            LogConflictError: When others have written meanwhile.
            LogServiceError: When the store gives no good answer.
        """
        sent_at, authority = self._clock(), self.authority
        era, end = authority.era, authority.end
        record = Record(authority.name, self._find_fence(), end, window, counts)
        data = msgspec.json.encode(record)
        # Without an answer it may be done all the same: what there is, is read first.
        self.must_read = True
        await self._store.append_keyed(self._topic, key, data, expected_end=end)
        self.must_read = False
        authority.end = end + 1
        usagereports.apply_record(self.reports, record)
        claims.note_claim(authority, self._clock(), authority.name)
        self.claim = Claim(record.fence, sent_at, era)

    async def hold(self, window: int | None = None) -> Claim | None:
        """Hold a claim that may be used now, if need be a new one; None without one.

        Args:
            window: The window that is to be reported; its record is written again, as a
                copy of the store may lack it.

        Raises:
            LogServiceError: When a new one was needed and could not be had.
        """
        if self._is_usable():
            return self.claim
        if not self.may_claim():
            return None
        record = None if window is None else self.reports.records.get(window)
        if record is None:
            await self.append(CLAIM_KEY, None, {})
        else:
            await self.append(
                usagereports.make_window_key(window), window, record.counts
            )
        return self.claim if self._is_usable() else None

    async def write_spilled(self, key: str, spilled: Spilled) -> None:
        """Write counts that no peer knows, wherever the topic ends.

        Raises:
            LogServiceError: When the store gives no good answer.
        """
        data = msgspec.json.encode(spilled)
        await self._store.append_keyed(self._topic, key, data)

    def _is_usable(self) -> bool:
        claim, now = self.claim, self._clock()
        return claim is not None and claims.may_use(self.authority, claim, now)

    def _find_fence(self) -> int:
        """Find the fencing number of the next record: as before while we follow us."""
        authority, last = self.authority, self.reports.last
        follows_self = last is not None and last.holder == authority.name
        if follows_self and authority.holder == authority.name:
            return last.fence
        return make_fence(self._store.era or 0, authority.end)

    def _take(self, key: str, value: bytes | None) -> None:
        if value is None:
            return
        is_spilled = usagereports.is_spill_key(key)
        decode = usagereports.decode_spilled if is_spilled else decode_record
        try:
            found = decode(value)
        except BadDocumentError as error:
            text = "record of duties can't be read"
            self._log(text, record=shorten(key), error=str(error))
            return
        if isinstance(found, Spilled):
            self._book.take(filter(usage.is_valid_account, found.accounts))
        elif usagereports.apply_record(self.reports, found):
            claims.note_claim(self.authority, self._clock(), found.holder)
