"""Keeps the record of which software versions may begin streams in the store.

Each gateway that reads the entry of a target whose version has no record writes one.
Gateways read the records with the other gateways' introductions.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from robinspindle.core import versionrecords
from robinspindle.core.targets import Announcement
from robinspindle.core.versionhistory import list_recent_versions
from robinspindle.core.versionrecords import (
    ServiceVersion,
    Use,
    VersionRecord,
    VersionRecords,
)
from robinspindle.exceptions import BadDocumentError, LogConflictError, LogServiceError
from robinspindle.fleet import Fleet
from robinspindle.following import Follower, KeyedStore
from robinspindle.logs import Log
from robinspindle.sharedcalls import SharedCall

LOOK_S = 0.5
"""How often it is looked for records to write, if nothing is announced, seconds."""

SPREAD_S = 0.0025
"""For each gateway, by how much more the writes of all are spread, seconds: of many,
most then read the record of the first one in place of writing it too."""

FIRST_WAIT_S = 0.3
"""How long a stream waits for the record of the first version that it may begin at,
seconds: longer than the store takes to write it."""

FAILED_PAUSE_S = 0.5
"""Pause after a write that failed, seconds; a refused call is paid for too."""


def pass_over_service(service: str) -> None:
    """Stand for who is told of services with several versions."""


class VersionKeeper:
    """Reads the records of versions, and writes those that the store lacks.

    Attributes:
        records: The records that are known.
        follower: How far the records have been read; None before that has begun.
        note_several: Told a service at which a second version may begin streams.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        fleet: Fleet,
        count_gateways: Callable[[], int],
        clock: Callable[[], float],
        log: Log,
    ):
        self.records = VersionRecords()
        self.follower: Follower | None = None
        self.note_several: Callable[[str], None] = pass_over_service
        self._store = store
        self._topic = topic
        self._fleet = fleet
        self._count_gateways = count_gateways
        self._clock = clock
        self._log = log
        self._announced = asyncio.Event()
        # Set and replaced whenever a record is noted.
        self._noted = asyncio.Event()
        self._confirmation = SharedCall(self._read_on)

    def apply(self, key: str, value: bytes | None) -> None:
        """Take in a record of the store."""
        try:
            version = versionrecords.read_key(key)
            if value is None:
                versionrecords.forget_record(self.records, version)
                self._log_record("version has no record", version)
                return
            record = versionrecords.decode_record(value)
        except BadDocumentError as error:
            self._log("version's record not believed", record=key, fault=str(error))
            return
        self._note(version, record)

    def note_announced(self) -> None:
        """Take note that a target was announced, whose version may have no record."""
        self._announced.set()

    def may_begin(self, announced: Announcement) -> bool:
        """Whether a stream that may be taken up may begin at a target."""
        version = ServiceVersion(announced.service, announced.software_version)
        return versionrecords.may_begin(self.records, version, self._find_era())

    async def await_first(self, services: list[str]) -> None:
        """Wait until streams may begin at some listed version, if one is being written.

        Args:
            services: The services whose targets may serve the stream.
        """
        if self._is_first_missing(services):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_WAIT_S):
                    while self._is_first_missing(services):
                        await self._noted.wait()

    def _is_first_missing(self, services: list[str]) -> bool:
        """Whether versions are listed, and none of them may begin streams yet."""
        listed = self._list_listed(services, 0.0)
        era = self._find_era()
        return bool(listed) and not any(
            versionrecords.may_begin(self.records, version, era) for version in listed
        )

    def has_several(self, services: list[str]) -> bool:
        """Whether streams of some services may have been begun by several versions."""
        return len(self._list_possible(services)) > 1

    async def find_sole(
        self, services: list[str], time_limit_s: float
    ) -> ServiceVersion | None:
        """Find the version that began every stream of some services.

        Args:
            services: The services.
            time_limit_s: Time limit of the streams' route, seconds.

        Returns:
            None if there are several, or the store doesn't say that there are none.
        """
        if self.has_several(services) or not await self._confirmation.make():
            return None
        possible = self._list_possible(services)
        possible |= self._list_listed(services, time_limit_s)
        if len(possible) != 1:
            return None
        (sole,) = possible
        is_sure = versionrecords.may_begin(self.records, sole, self._find_era())
        return sole if is_sure else None

    async def run(self) -> None:
        """Write what the store lacks, for as long as the process runs."""
        while True:
            await self._await_announced()
            await asyncio.sleep(random.uniform(0.0, SPREAD_S) * self._count_gateways())
            await self.write_due(self._clock())

    async def write_due(self, now: float) -> None:
        """Write the records that are due.

        Args:
            now: The present time, steady seconds.
        """
        fleet, era = self._fleet, self._find_era()
        services = versionrecords.list_resumable_services(fleet.table)
        for version in versionrecords.list_missing(
            self.records, fleet.directory, services, era
        ):
            await self._write(version, VersionRecord(Use.BEGINS, era))
        for version in versionrecords.list_retirable(
            self.records, fleet.directory, fleet.versions, era, now
        ):
            await self._write(version, VersionRecord(Use.RETIRED, era))
        longest_s = versionrecords.find_longest_limit(fleet.table)
        for version in versionrecords.list_forgettable(self.records, longest_s, now):
            await self._drop(version)

    async def _await_announced(self) -> None:
        try:
            async with asyncio.timeout(LOOK_S):
                await self._announced.wait()
        except TimeoutError:
            return
        self._announced.clear()

    async def _write(self, version: ServiceVersion, record: VersionRecord) -> None:
        key = versionrecords.make_key(version)
        value = versionrecords.encode_record(record)
        if await self._append(key, value):
            self._note(version, record)

    async def _drop(self, version: ServiceVersion) -> None:
        """Drop a record, unless what was read is not all that the store holds.

        Another gateway may have written the version's record anew.
        """
        end = self.follower.offset if self.follower else None
        if end is None:
            return
        if await self._append(versionrecords.make_key(version), b"", end):
            versionrecords.forget_record(self.records, version)
            self._log_record("version has no record", version)

    async def _append(
        self, key: str, value: bytes, expected_end: int | None = None
    ) -> bool:
        """Append a record; returns whether the store has taken it."""
        try:
            await self._store.append_keyed(self._topic, key, value, expected_end)
        except LogConflictError:
            self._log("version's record was written meanwhile", record=key)
            return False
        except LogServiceError as error:
            self._log("version's record not stored yet", record=key, error=str(error))
            await asyncio.sleep(FAILED_PAUSE_S)
            return False
        return True

    async def _read_on(self) -> bool:
        """Read all records that the store holds now; returns whether that is done."""
        offset = self.follower.offset if self.follower else None
        if offset is None:
            return False
        try:
            records = await self._store.read_from(self._topic, offset, 0.0)
        except LogServiceError as error:
            self._log("versions not confirmed", error=str(error))
            return False
        for item in records.items:
            if versionrecords.is_key(item.key):
                self.apply(item.key, item.value)
        return records.end >= records.topic_end

    def _list_possible(self, services: list[str]) -> set[ServiceVersion]:
        return {
            ServiceVersion(service, version)
            for service in services
            for version in versionrecords.list_possible(self.records, service)
        }

    def _list_listed(
        self, services: list[str], time_limit_s: float
    ) -> set[ServiceVersion]:
        """List the versions that were listed while the streams may have begun."""
        fleet, now = self._fleet, self._clock()
        since = now - versionrecords.STREAM_TIME_LIMITS * time_limit_s
        return {
            ServiceVersion(service, version)
            for service in services
            for version in list_recent_versions(
                fleet.versions, fleet.directory, service, since
            )
        }

    def _note(self, version: ServiceVersion, record: VersionRecord) -> None:
        known = self.records.noted.get(version)
        had_several = self.has_several([version.service])
        versionrecords.note_record(self.records, version, record, self._clock())
        if known is None or known.record != record:
            self._log_record("version has a record", version, use=record.use.value)
            self._noted.set()
            self._noted = asyncio.Event()
        if not had_several and self.has_several([version.service]):
            self.note_several(version.service)

    def _log_record(self, text: str, version: ServiceVersion, **fields) -> None:
        self._log(
            text,
            service=version.service,
            software_version=version.software_version,
            **fields,
        )

    def _find_era(self) -> int:
        return self._store.era or 0
