"""Writes the records of which software versions may begin streams to the store.

Each gateway that reads the entry of a target whose version has no record writes one.
"""

import asyncio
import random
from collections.abc import Callable

from robinspindle.core import versionrecords
from robinspindle.core.versionrecords import ServiceVersion, Use, VersionRecord
from robinspindle.exceptions import LogConflictError, LogServiceError
from robinspindle.fleet import Fleet
from robinspindle.following import KeyedStore
from robinspindle.logs import Log
from robinspindle.versionkeeping import VersionKeeper

LOOK_S = 0.5
"""How often it is looked for records to write, if nothing is announced, seconds."""

SPREAD_S = 0.0025
"""For each gateway, by how much more the writes of all are spread, seconds: of many,
most then read the record of the first one in place of writing it too."""

FAILED_PAUSE_S = 0.5
"""Least pause after a write that failed, seconds; a refused call is paid for too."""

FAILED_WRITES_PER_S = 100.0
"""Writes a second that all gateways may make in vain together: a part of what the store
takes."""


class VersionWriter:
    """Writes the records that the store lacks, and retires and drops others."""

    def __init__(
        self,
        keeper: VersionKeeper,
        store: KeyedStore,
        topic: str,
        fleet: Fleet,
        count_gateways: Callable[[], int],
        clock: Callable[[], float],
        log: Log,
        is_store_lost_for_any: Callable[[], bool] = lambda: False,
    ):
        self._keeper = keeper
        self._store = store
        self._topic = topic
        self._fleet = fleet
        self._count_gateways = count_gateways
        self._clock = clock
        self._log = log
        self._is_store_lost_for_any = is_store_lost_for_any
        # When some gateway was not heard, or had lost the store, the last time, as far
        # as known.
        self._apart_at = clock()

    async def run(self) -> None:
        """Write what the store lacks, for as long as the process runs."""
        while True:
            await self._await_announced()
            await asyncio.sleep(random.uniform(0.0, SPREAD_S) * self._count_gateways())
            await self.write_due(self._clock())

    def note_pause(self, now: float) -> None:
        """Take note that other gateways may not have been heard until now.

        Args:
            now: The present time, steady seconds.
        """
        self._apart_at = now

    async def write_due(self, now: float) -> None:
        """Write the records that are due.

        Args:
            now: The present time, steady seconds.
        """
        fleet, era = self._fleet, self._keeper.find_era()
        services = versionrecords.list_resumable_services(fleet.table)
        for version in versionrecords.list_missing(
            self._keeper.records, fleet.directory, services, era
        ):
            await self._write(version, VersionRecord(Use.BEGINS, era))
        await self._renew_outdated(era)
        for version in versionrecords.list_retirable(
            self._keeper.records, fleet.directory, fleet.versions, era, now
        ):
            await self._write(version, VersionRecord(Use.RETIRED, era))
        # Such a gateway may not have read that a version is retired.
        if not fleet.hears_all_gateways or self._is_store_lost_for_any():
            self._apart_at = now
        for version in self._list_forgettable(now):
            # Others may have written it anew while one before it was dropped.
            if version in self._list_forgettable(now):
                await self._drop(version)

    def _list_forgettable(self, now: float) -> list[ServiceVersion]:
        longest_s = versionrecords.find_longest_limit(self._fleet.table)
        return versionrecords.list_forgettable(
            self._keeper.records, longest_s, now, self._apart_at
        )

    async def _renew_outdated(self, era: int) -> None:
        """Write the records of earlier eras again, once those of this one were read."""
        if self._keeper.find_offset() is None:
            return
        for version in versionrecords.list_outdated(self._keeper.records, era):
            use = self._keeper.records.noted[version].record.use
            await self._write(version, VersionRecord(use, era))

    async def _await_announced(self) -> None:
        try:
            async with asyncio.timeout(LOOK_S):
                await self._keeper.announced.wait()
        except TimeoutError:
            return
        self._keeper.announced.clear()

    async def _write(self, version: ServiceVersion, record: VersionRecord) -> None:
        key = versionrecords.make_key(version)
        value = versionrecords.encode_record(record)
        if await self._append(key, value):
            self._keeper.note(version, record)

    async def _drop(self, version: ServiceVersion) -> None:
        """Drop a record, unless what was read is not all that the store holds.

        Another gateway may have written the version's record anew.
        """
        end = self._keeper.find_offset()
        if end is None:
            return
        if await self._append(versionrecords.make_key(version), b"", end):
            self._keeper.forget(version)

    async def _append(
        self, key: str, value: bytes, expected_end: int | None = None
    ) -> bool:
        """Append a record; returns whether that is to be noted.

        It isn't where the store has not taken it, or its answer came so late that the
        record, and maybe newer ones, were read meanwhile.
        """
        try:
            offset = await self._store.append_keyed(
                self._topic, key, value, expected_end
            )
        except LogConflictError:
            self._log("version's record was written meanwhile", record=key)
            return False
        except LogServiceError as error:
            self._log("version's record not stored yet", record=key, error=str(error))
            gateways = self._count_gateways()
            await asyncio.sleep(max(FAILED_PAUSE_S, gateways / FAILED_WRITES_PER_S))
            return False
        read_to = self._keeper.find_offset()
        return read_to is None or read_to <= offset
