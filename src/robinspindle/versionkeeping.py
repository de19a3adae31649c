"""Knows which software versions may have begun streams, by the store's records.

Gateways read the records with the other gateways' introductions.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from robinspindle.core import versionrecords
from robinspindle.core.decoding import shorten
from robinspindle.core.entries import UnusableEntries
from robinspindle.core.targets import PREFILL_ROLE, Announcement
from robinspindle.core.versionhistory import list_recent_versions
from robinspindle.core.versionrecords import (
    ServiceVersion,
    Use,
    VersionRecord,
    VersionRecords,
)
from robinspindle.exceptions import BadDocumentError, LogServiceError
from robinspindle.fleet import Fleet
from robinspindle.following import Follower, KeyedStore
from robinspindle.logs import Log
from robinspindle.sharedcalls import SharedCall

FIRST_WAIT_S = 0.3
"""How long a stream waits for the record of the first version that it may begin at,
seconds: longer than the store takes to write it."""

MIN_READ_INTERVAL_S = 0.05
"""Least time between two reads that confirm versions, seconds: each has its price, and
callers may come with any number of streams that nobody knows."""

READS_PER_S = 1000.0
"""Such reads a second that all gateways may make together: a part of what the store
takes."""


def find_read_interval(gateways: int) -> float:
    """Find the time between two reads that confirm versions, seconds.

    Args:
        gateways: Number of gateways.
    """
    return max(MIN_READ_INTERVAL_S, gateways / READS_PER_S)


def pass_over_service(service: str) -> None:
    """Stand for who is told of services with several versions."""


class VersionKeeper:
    """Reads the records of versions, and knows by them where streams may begin.

    Attributes:
        records: The records that are known.
        unreadable: The records that could not be read.
        follower: How far the records have been read; None before that has begun.
        announced: Set where a version may lack a record of the present era.
        note_several: Told a service once streams of a route to it may have been begun
            by several versions, of one service or of several.
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
        self.unreadable = UnusableEntries()
        self.follower: Follower | None = None
        self.note_several: Callable[[str], None] = pass_over_service
        self._store = store
        self._topic = topic
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self.announced = asyncio.Event()
        # Set and replaced whenever a record is noted.
        self._noted = asyncio.Event()
        # The services that were told to have several versions.
        self._several: set[str] = set()
        self._confirmation = SharedCall(
            self._read_on, lambda: find_read_interval(count_gateways())
        )

    def apply(self, key: str, value: bytes | None) -> None:
        """Take in a record of the store."""
        try:
            version = versionrecords.read_key(key)
        except BadDocumentError as error:
            self._note_unreadable(key, str(error))
            return
        if value is None:
            self._note_dropped(version)
        else:
            self.note(version, self._decode(key, value))

    def _decode(self, key: str, value: bytes) -> VersionRecord:
        """Decode a record; by one that can't be read, streams may have begun."""
        try:
            return versionrecords.decode_record(value)
        except BadDocumentError as error:
            self._note_unreadable(key, str(error))
            return VersionRecord(Use.RETIRED, self.find_era())

    def _note_unreadable(self, key: str, fault: str) -> None:
        if self.unreadable.note(key, fault):
            text = "version's record can't be read"
            self._log(text, record=shorten(key), fault=fault)

    def _note_dropped(self, version: ServiceVersion) -> None:
        """Take note that the store holds no record of a version.

        One that a restore of the store has lost is written again: other gateways may
        not know it.
        """
        if versionrecords.is_outdated(self.records, version, self.find_era()):
            self._log_record("version's record was lost", version)
            self.announced.set()
            return
        self.forget(version)

    def note_announced(self) -> None:
        """Take note that a target was announced, whose version may have no record."""
        self.announced.set()

    def note_configured(self) -> None:
        """Take note of a configuration: other services may get streams."""
        self.announced.set()
        self._tell_several()

    def note_era(self) -> None:
        """Take note that the store may have lost records, and origins of streams."""
        self.announced.set()
        self._several.clear()
        self._tell_several()

    def may_begin(self, announced: Announcement) -> bool:
        """Whether a stream that may be taken up may begin at a target."""
        version = ServiceVersion(announced.service, announced.software_version)
        return versionrecords.may_begin(self.records, version, self.find_era())

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
        """Whether versions are listed that generate, and none may begin streams yet."""
        generating = [
            target.announced
            for target in self._fleet.directory.targets.values()
            if target.announced.service in services
            and target.announced.role != PREFILL_ROLE
        ]
        return bool(generating) and not any(map(self.may_begin, generating))

    def has_several(self, services: Iterable[str]) -> bool:
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
        if self.has_several(services):
            return None
        confirmed = await self._confirmation.make()
        if confirmed is None:
            return None
        possible = {version for version in confirmed if version.service in services}
        possible |= self._list_possible(services)
        possible |= self._list_listed(services, time_limit_s)
        if len(possible) != 1:
            return None
        (sole,) = possible
        is_sure = versionrecords.may_begin(self.records, sole, self.find_era())
        return sole if is_sure else None

    async def _read_on(self) -> set[ServiceVersion] | None:
        """Read all records that the store holds now.

        Returns:
            The versions that have records; None if not all could be read.
        """
        offset, era = self.find_offset(), self.find_era()
        if offset is None:
            return None
        try:
            records = await self._store.read_from(self._topic, offset, 0.0)
        except LogServiceError as error:
            self._log("versions not confirmed", error=str(error))
            return None
        for item in records.items:
            if versionrecords.is_key(item.key):
                self.apply(item.key, item.value)
        # Offsets of an era that is over mean nothing in the one that has begun.
        is_whole = records.end >= records.topic_end and self.find_era() == era
        # Kept apart: an older answer to the follower may be taken in after this one.
        return set(self.records.noted) if is_whole else None

    def find_offset(self) -> int | None:
        """Find how far the records of the present era have been read."""
        follower = self.follower
        if follower is None or follower.is_void:
            return None
        return follower.offset

    def _list_possible(self, services: Iterable[str]) -> set[ServiceVersion]:
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

    def note(self, version: ServiceVersion, record: VersionRecord) -> None:
        """Take note of what the store holds about a version."""
        known = self.records.noted.get(version)
        versionrecords.note_record(self.records, version, record, self._clock())
        if known is None or known.record != record:
            self._log_record("version has a record", version, use=record.use.value)
            self._noted.set()
            self._noted = asyncio.Event()
            self._tell_several()

    def forget(self, version: ServiceVersion) -> None:
        """Take note that the store holds no record of a version."""
        versionrecords.forget_record(self.records, version)
        self._log_record("version has no record", version)
        self._tell_several()

    def _tell_several(self) -> None:
        """Tell the services whose streams now need their origins kept."""
        several: set[str] = set()
        for services in versionrecords.list_service_groups(self._fleet.table):
            if self.has_several(services):
                several |= services
        told, self._several = self._several, several
        for service in several - told:
            self.note_several(service)

    def _log_record(self, text: str, version: ServiceVersion, **fields) -> None:
        self._log(
            text,
            service=version.service,
            software_version=version.software_version,
            **fields,
        )

    def find_era(self) -> int:
        """Find the present era of the store."""
        return self._store.era or 0
