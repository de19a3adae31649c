"""Which software versions may have begun streams, as the platform's store holds it.

A version begins streams only once the store holds its record. So whoever reads all
records after a stream has begun knows every version that may have begun it, whatever
has become of the gateways meanwhile. A record is retired when no target of its version
has been listed for a while, and dropped when no stream of it can be taken up any more.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from robinspindle.core.decoding import Whole, make_json_decoder, parse_whole
from robinspindle.core.routes import STREAM, Route, RouteTable
from robinspindle.core.targets import Directory
from robinspindle.core.versionhistory import VersionHistory
from robinspindle.exceptions import BadDocumentError

KEY_PREFIX = "version/"
"""What the keys of records begin with."""

MAX_NAME_LENGTH = 100
"""Longest service and software version of a record, bytes; a key of the store has 255
at most."""

RETIRE_AFTER_S = 8.0
"""How long no target of a version has been listed when its record is retired, seconds:
several heartbeats, so that one lapsed entry retires nothing."""

STREAM_TIME_LIMITS = 2
"""Time limits of a route in which a stream that is taken up has begun: that of the
attempt that began it and that of the one that goes on."""

FORGET_MARGIN_S = 15.0
"""How long targets may serve on that are no longer listed, seconds; their streams may
begin meanwhile at gateways that have not read that."""

APART_S = 600.0
"""How much longer a record stays while some gateways are not heard, or have lost the
store, seconds: they may not have read that it is retired, and those that are gone for
good are never heard."""


@dataclass(frozen=True)
class ServiceVersion:
    """A software version of a service.

    Attributes:
        service: The service.
        software_version: The version.
    """

    service: str
    software_version: str


class Use(Enum):
    """Whether streams may begin at a version."""

    BEGINS = "begins"
    RETIRED = "retired"


@dataclass(frozen=True)
class VersionRecord:
    """What the store holds about a version.

    Attributes:
        use: Whether streams may begin at it.
        era: Era of the store in which the record was written. A store that is restored
            from a backup may have lost records of earlier eras.
    """

    use: Use
    era: int = 0


@dataclass(frozen=True)
class NotedRecord:
    """A record, and when it was last read or written.

    Attributes:
        record: The record.
        noted_at: When that was, monotonic seconds.
    """

    record: VersionRecord
    noted_at: float


@dataclass
class VersionRecords:
    """All records that are known.

    Attributes:
        noted: By version.
    """

    noted: dict[ServiceVersion, NotedRecord] = field(default_factory=dict)


def note_record(
    records: VersionRecords, version: ServiceVersion, record: VersionRecord, now: float
) -> None:
    """Note what the store holds about a version.

    Others may have come since the one that is known, also where both say the same.
    """
    records.noted[version] = NotedRecord(record, now)


def forget_record(records: VersionRecords, version: ServiceVersion) -> None:
    """Note that the store holds no record of a version."""
    records.noted.pop(version, None)


def may_begin(records: VersionRecords, version: ServiceVersion, era: int) -> bool:
    """Return whether streams may begin at a version.

    Args:
        records: The records.
        version: The version.
        era: The present era of the store.
    """
    known = records.noted.get(version)
    return known is not None and known.record == VersionRecord(Use.BEGINS, era)


def list_possible(records: VersionRecords, service: str) -> set[str]:
    """List the versions that may have begun streams of a service."""
    return {v.software_version for v in records.noted if v.service == service}


def list_resumable_services(table: RouteTable | None) -> set[str]:
    """List the services that get streams which may be taken up."""
    return {
        backend.service
        for route in _list_resumable_routes(table)
        for backend in route.backends
    }


def list_service_groups(table: RouteTable | None) -> set[frozenset[str]]:
    """List the services of each route whose streams may be taken up."""
    return {
        frozenset(backend.service for backend in route.backends)
        for route in _list_resumable_routes(table)
    }


def find_longest_limit(table: RouteTable | None) -> float:
    """Find the longest time limit of a route whose streams may be taken up, seconds."""
    limits = (route.timeout_s for route in _list_resumable_routes(table))
    return max(limits, default=0.0)


def list_missing(
    records: VersionRecords, directory: Directory, services: Iterable[str], era: int
) -> list[ServiceVersion]:
    """List the versions of listed targets that may not begin streams yet."""
    wanted = set(services)
    listed = {
        ServiceVersion(t.announced.service, t.announced.software_version)
        for t in directory.targets.values()
        if t.announced.service in wanted and t.gone_at is None
    }
    missing = [v for v in listed if is_recordable(v) and not may_begin(records, v, era)]
    return sorted(missing, key=lambda v: (v.service, v.software_version))


def is_outdated(records: VersionRecords, version: ServiceVersion, era: int) -> bool:
    """Return whether a version's record was written in an earlier era of the store."""
    known = records.noted.get(version)
    return known is not None and known.record.era < era


def list_outdated(records: VersionRecords, era: int) -> list[ServiceVersion]:
    """List the versions whose records a restore of the store may have lost."""
    return [v for v in records.noted if is_outdated(records, v, era)]


def list_retirable(
    records: VersionRecords,
    directory: Directory,
    history: VersionHistory,
    era: int,
    now: float,
) -> list[ServiceVersion]:
    """List the versions at which no stream begins any more.

    The last version of a service stays: its targets may be back under it.
    """
    return [
        version
        for version in records.noted
        if may_begin(records, version, era)
        and _has_successor(directory, version)
        and now - _find_listed_at(history, records, version) > RETIRE_AFTER_S
    ]


def list_forgettable(
    records: VersionRecords,
    longest_s: float,
    now: float,
    apart_at: float = -math.inf,
) -> list[ServiceVersion]:
    """List the versions of which no stream can be taken up any more.

    Args:
        records: The records.
        longest_s: The longest time limit of a route whose streams may be taken up,
            seconds.
        now: The current time, monotonic seconds.
        apart_at: When some gateway was not heard, or had lost the store, the last time,
            monotonic seconds.
    """
    kept_s = STREAM_TIME_LIMITS * longest_s + FORGET_MARGIN_S
    return [
        version
        for version, known in records.noted.items()
        if known.record.use is Use.RETIRED
        and now - max(known.noted_at, min(apart_at, known.noted_at + APART_S)) > kept_s
    ]


def is_recordable(version: ServiceVersion) -> bool:
    """Return whether a version's names fit a record."""
    names = (version.service, version.software_version)
    return all(len(name.encode()) <= MAX_NAME_LENGTH for name in names)


def _list_resumable_routes(table: RouteTable | None) -> list[Route]:
    hosts = table.routes.values() if table else ()
    return [r for routes in hosts for r in routes if r.kind == STREAM and r.resumable]


def _has_successor(directory: Directory, version: ServiceVersion) -> bool:
    """Whether targets of other versions, and none of this one, are listed."""
    listed = {
        t.announced.software_version
        for t in directory.targets.values()
        if t.announced.service == version.service
    }
    return bool(listed) and version.software_version not in listed


def _find_listed_at(
    history: VersionHistory, records: VersionRecords, version: ServiceVersion
) -> float:
    """Find when a version was last known to be listed, monotonic seconds."""
    listed_at = history.listed_at.get(version.service, {})
    noted_at = records.noted[version].noted_at
    return max(noted_at, listed_at.get(version.software_version, noted_at))


class _Record(msgspec.Struct):
    use: Use
    era: Whole


_decode_record = make_json_decoder(_Record)


def make_key(version: ServiceVersion) -> str:
    """Make the store key of a version's record."""
    size = len(version.service)
    return f"{KEY_PREFIX}{size}/{version.service}{version.software_version}"


def is_key(key: str) -> bool:
    """Return whether a store key is that of a version's record."""
    return key.startswith(KEY_PREFIX)


def read_key(key: str) -> ServiceVersion:
    """Parse the version in a store key.

    Raises:
        BadDocumentError: If the key names no version.
    """
    size, separator, names = key.removeprefix(KEY_PREFIX).partition("/")
    length = parse_whole(size, len(names))
    if not separator or length is None:
        raise BadDocumentError("key names no software version")
    version = ServiceVersion(names[:length], names[length:])
    if not is_recordable(version):
        raise BadDocumentError("key is longer than any key of the store")
    # Else two keys would be taken for one, and be dropped with one.
    if make_key(version) != key:
        raise BadDocumentError("key is not written as versions' keys are")
    return version


def encode_record(record: VersionRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(_Record(record.use, record.era))


def decode_record(value: bytes) -> VersionRecord:
    """Decode a record of the store.

    Raises:
        BadDocumentError: If it is malformed.
    """
    record = _decode_record(value)
    return VersionRecord(record.use, record.era)
