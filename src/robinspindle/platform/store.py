"""Client of the platform's store: a log service with topics, over HTTP."""

import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlencode

import msgspec

from robinspindle.calls import CallLimits, Transfer, call_once
from robinspindle.connectionpool import ConnectionPool
from robinspindle.core.decoding import MAX_WHOLE, Whole, make_json_decoder
from robinspindle.core.eras import EraChange, compare_eras, parse_era
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.storepolls import LATE_S
from robinspindle.exceptions import (
    BadDocumentError,
    EraChangedError,
    LogConflictError,
    LogUnavailableError,
    RecordsTrimmedError,
)
from robinspindle.gatewaysettings import HostPort
from robinspindle.heldpolls import poll
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.platform.dialect import decode_answer
from robinspindle.storerecords import KeyedRecord, Records

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
GATEWAYS_TOPIC = "keyed.gateways"
ORDERS_TOPIC = "keyed.orders"
REPORTS_TOPIC = "keyed.usage"
ORIGINS_TOPIC = "origins"

ERA_HEADER = b"store-era"
"""Response header that names the store era."""

CALL_TIMEOUT_S = 1.0
"""Longest wait for the start of a response, beyond the time for which a read may be
held, and for each further piece, seconds: longer than a slow store takes to respond,
and than the time between two pieces on a saturated slow link."""

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a new connection to the store, seconds."""

MAX_READ_KB = 1024
"""Maximum size of the records that one read returns, kilobytes."""

MAX_RESPONSE_BYTES = 16 << 20
"""Longest response, bytes: a page of records in base64 takes a tenth of it, and the
longest record, a configuration, less."""

READ_PREFIX_BYTES = 16
"""Bytes before the first record in the response to a read: two numbers of 8 bytes."""

OK = 200
TRIMMED = 410
CONFLICT = 412
"""HTTP statuses of the store: success; the records are no longer retained; the topic
does not end at the expected offset."""


MAX_KEY_BYTES = 255
"""Longest key of a record, bytes: its length is one byte."""

UNREADABLE_RECORD = KeyedRecord("", None)
"""Stands for a record without a valid key; it removes no key."""

UNREADABLE_VALUE = b"\xff"
"""Stands for a value that can't be read: it is none of any topic, and drops no key."""


class _KeyedItem(msgspec.Struct, rename="pascal"):
    key: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_BYTES)]
    value: str


class _OddItem(msgspec.Struct, rename="pascal"):
    key: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_BYTES)]


class _Page(msgspec.Struct):
    items: list[_KeyedItem]
    has_more: bool = msgspec.field(name="HasMore")
    end: Whole = msgspec.field(name="End")


class _RawPage(msgspec.Struct):
    items: list[msgspec.Raw]
    has_more: bool = msgspec.field(name="HasMore")
    end: Whole = msgspec.field(name="End")


class _Appended(msgspec.Struct, rename="pascal"):
    offset: Whole


class _Trimmed(msgspec.Struct, rename="pascal"):
    first: Whole


class _Conflict(msgspec.Struct, rename="pascal"):
    end: Whole


_decode_page = make_json_decoder(_Page)
_decode_raw_page = make_json_decoder(_RawPage)
_decode_item = make_json_decoder(_KeyedItem)
_decode_odd_item = make_json_decoder(_OddItem)
_decode_appended = make_json_decoder(_Appended)
_decode_trimmed = make_json_decoder(_Trimmed)
_decode_conflict = make_json_decoder(_Conflict)


class Store:
    """A client of the store.

    Attributes:
        calls: Calls made so far, for metrics.
        received_bytes: Bytes of the responses that were received completely.
        wasted_bytes: Bytes of the responses that timed out or broke off.
        era: The latest era in a response; None before the first one.
        unreadable_eras: Number of responses with an invalid era.
        note_era: Called with each new era after the first.
        note_silent: Called with the topic of a poll whose connection went silent.
    """

    def __init__(self, address: HostPort, clock: Callable[[], float]):
        self._address = address
        self._clock = clock
        self._pool = ConnectionPool(address, decode_answer)
        self.calls = 0
        self.received_bytes = 0
        self.wasted_bytes = 0
        self.era: int | None = None
        self.unreadable_eras = 0
        self.note_era: Callable[[int], None] = lambda era: None
        self.note_silent: Callable[[str], None] = lambda topic: None

    def drop_connections(self) -> None:
        """Close idle connections, so that the next call opens a new one."""
        self._pool.close()

    async def read_newest(self, topic: str) -> Records:
        """Read the newest record of each key.

        Raises:
            EraChangedError: If the store has been restored from a backup.
            LogUnavailableError: If the store sends no valid response.
        """
        items: list[KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"Topic": topic, "part": 0}
        pages: set[str] = set()
        while True:
            page = _read_page(await self._call("GET", "/log-newest", query))
            items += page.items
            # Pages are no snapshot. Reading continues at the lowest end of all pages,
            # so that changes since the first page are read again.
            end = page.end if end is None else min(end, page.end)
            if not page.next_key:
                return Records(tuple(items), end, end)
            if page.next_key in pages:
                raise LogUnavailableError("the pages of the newest records are a ring")
            pages.add(page.next_key)
            query["after"] = page.next_key

    async def read_from(
        self, topic: str, offset: int, wait_s: float
    ) -> Records[KeyedRecord]:
        """Read the records of a keyed topic from an offset on.

        Args:
            topic: The topic.
            offset: Offset of the first record.
            wait_s: How long the store waits for the first record, seconds.

        Raises:
            EraChangedError: If the store has been restored from a backup.
            LogUnavailableError: If the store sends no valid response.
            RecordsTrimmedError: If the records are no longer retained.
        """
        raw = await self._read_held(topic, offset, wait_s)
        items = tuple(map(_decode_keyed, raw.items))
        return Records(items, raw.end, raw.topic_end)

    async def _read_held(
        self, topic: str, offset: int, wait_s: float
    ) -> Records[bytes]:
        """Read from an offset on; a held read that is overdue is made once more."""
        if wait_s == 0.0:
            return await self._read(topic, offset, 0.0)

        async def read_again() -> Records[bytes]:
            self.drop_connections()
            return await self._read(topic, offset, 0.0)

        transfer = Transfer(self._clock())
        held = self._read(topic, offset, wait_s, transfer)
        polled = await poll(held, transfer, wait_s + LATE_S, read_again)
        if polled.was_silent:
            self.note_silent(topic)
        return polled.found

    async def read_records(self, topic: str, offset: int) -> Records[bytes]:
        """Read the records without keys that a topic holds from an offset on.

        Args:
            topic: A topic whose name doesn't begin with ``keyed.``.
            offset: Offset of the first record.

        Raises:
            EraChangedError: If the store has been restored from a backup.
            LogUnavailableError: If the store sends no valid response.
            RecordsTrimmedError: If the records are no longer retained.
        """
        return await self._read(topic, offset, 0.0)

    async def _read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        transfer: Transfer | None = None,
    ) -> Records[bytes]:
        query = {
            "Topic": topic,
            "part": 0,
            "From": offset,
            "MaxKb": MAX_READ_KB,
            "WaitMs": int(wait_s * 1000),
        }
        data = await self._call(
            "GET", "/log-read", query, wait_s=wait_s, transfer=transfer
        )
        try:
            # The end of the partition, not of this response, and the first retained
            # offset.
            topic_end, _ = struct.unpack_from(">QQ", data)
            values = tuple(_split_records(data[READ_PREFIX_BYTES:]))
            if topic_end > MAX_WHOLE:
                raise ValueError(f"the topic ends at {topic_end}")
        except (struct.error, ValueError) as error:
            raise LogUnavailableError(f"invalid records: {error}") from None
        return Records(values, offset + len(values), topic_end)

    async def append(self, topic: str, record: bytes) -> int:
        """Append one record without a key.

        Args:
            topic: A topic whose name doesn't begin with ``keyed.``.
            record: The record.

        Returns:
            The record's offset.

        Raises:
            EraChangedError: If the store has been restored from a backup.
            LogUnavailableError: If the store sends no valid response. The record may
                have been appended.
        """
        return await self._append({"Topic": topic, "part": 0}, record)

    async def append_keyed(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> int:
        """Append one keyed record.

        Args:
            topic: A topic whose name begins with ``keyed.``.
            key: Key of the record.
            value: Value of the record; an empty value removes the key.
            expected_end: Append only if the topic ends at this offset; None to append
                regardless.

        Returns:
            The record's offset.

        Raises:
            EraChangedError: If the store has been restored from a backup.
            LogConflictError: If the topic does not end at the expected offset.
            LogUnavailableError: If the store sends no valid response. The record may
                have been appended.
        """
        query: dict[str, Any] = {"Topic": topic, "part": 0}
        if expected_end is not None:
            query["CurrentRev"] = expected_end
        name = key.encode()
        return await self._append(query, bytes([len(name)]) + name + value)

    async def _append(self, query: dict[str, Any], record: bytes) -> int:
        body = struct.pack(">I", len(record)) + record
        response = await self._call("POST", "/log-append", query, body)
        return _read(_decode_appended, response).offset

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b"",
        wait_s: float = 0.0,
        transfer: Transfer | None = None,
    ) -> bytes:
        self.calls += 1
        head = (
            f"{method} {path}?{urlencode(query)} HTTP/1.1\r\n"
            f"Host: {self._address.host}:{self._address.port}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        transfer = transfer or Transfer(self._clock())
        first_s = wait_s + CALL_TIMEOUT_S
        limits = CallLimits(
            CONNECT_TIMEOUT_S, first_s, CALL_TIMEOUT_S, MAX_RESPONSE_BYTES
        )
        try:
            head, response = await call_once(
                self._pool, self._clock, data, limits, transfer
            )
        except (ConnectionBrokenError, TimeoutError) as error:
            self.wasted_bytes += transfer.received
            if not transfer.has_begun:
                # Idle connections may be silent too.
                self.drop_connections()
            text = str(error) or "no response within the time limit"
            raise LogUnavailableError(
                text, transfer.received, self._clock() - transfer.moved_at
            ) from None
        self.received_bytes += transfer.received
        self._note_era(head)
        if head.status == TRIMMED:
            raise RecordsTrimmedError(_read(_decode_trimmed, response).first)
        if head.status == CONFLICT:
            raise LogConflictError(_read(_decode_conflict, response).end)
        if head.status != OK:
            raise LogUnavailableError(f"the store responded with status {head.status}")
        return response

    def _note_era(self, head: AnswerHead) -> None:
        """Record the era of a response.

        Raises:
            EraChangedError: If it is a new era; the call was made in an earlier one.
            LogUnavailableError: If the era is over, so the response is outdated.
        """
        value = next((v for n, v in head.headers if n.lower() == ERA_HEADER), None)
        if value is None:
            return
        era = parse_era(value)
        if era is None:
            self.unreadable_eras += 1
            return
        change = compare_eras(self.era, era)
        if change is EraChange.OLDER:
            raise LogUnavailableError(f"a response of era {era}, which is over")
        self.era = era
        if change is EraChange.NEWER:
            self.note_era(era)
            raise EraChangedError(f"the store was restored from a backup: era {era}")


def _split_records(data: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        position += 4
        if position + length > len(data):
            raise ValueError("a record is truncated")
        records.append(data[position : position + length])
        position += length
    return records


def _decode_keyed(record: bytes) -> KeyedRecord:
    """Decode a record; one without a valid key becomes `UNREADABLE_RECORD`.

    Other programs write to some topics too. An invalid record still counts in the
    offsets, and the records after it are still read.
    """
    end = 1 + (record[0] if record else 0)
    try:
        if len(record) < end:
            return UNREADABLE_RECORD
        return KeyedRecord(record[1:end].decode(), record[end:] or None)
    except UnicodeDecodeError:
        return UNREADABLE_RECORD


@dataclass(frozen=True)
class _ReadPage:
    """A page of the newest records.

    Attributes:
        items: The records.
        end: Where the topic ends.
        next_key: The key after which the next page begins; empty for the last page.
    """

    items: list[KeyedRecord]
    end: int
    next_key: str


def _read_page(data: bytes) -> _ReadPage:
    """Read a page of the newest records.

    Raises:
        LogUnavailableError: If it is no page.
    """
    try:
        page = _decode_page(data)
    except BadDocumentError:
        return _read_odd_page(data)
    items = [KeyedRecord(i.key, _decode_base64(i.value)) for i in page.items]
    return _make_page(items, page.end, page.has_more)


def _read_odd_page(data: bytes) -> _ReadPage:
    """Read a page some of whose records can't be read.

    A page that fails as a whole would be read again and again, and no record of its
    topic be known.

    Raises:
        LogUnavailableError: If it is no page.
    """
    page = _read(_decode_raw_page, data)
    items = [_read_odd_item(bytes(raw)) for raw in page.items]
    return _make_page(items, page.end, page.has_more)


def _read_odd_item(data: bytes) -> KeyedRecord:
    try:
        item = _decode_item(data)
    except BadDocumentError:
        return _read_odd_key(data)
    return KeyedRecord(item.key, _decode_base64(item.value))


def _read_odd_key(data: bytes) -> KeyedRecord:
    try:
        return KeyedRecord(_decode_odd_item(data).key, UNREADABLE_VALUE)
    except BadDocumentError:
        return UNREADABLE_RECORD


def _make_page(items: list[KeyedRecord], end: int, has_more: bool) -> _ReadPage:
    keys = [item.key for item in items if item is not UNREADABLE_RECORD]
    return _ReadPage(items, end, keys[-1] if has_more and keys else "")


def _read(decode: Callable[[bytes], Any], data: bytes) -> Any:
    """Decode a response of the store.

    Raises:
        LogUnavailableError: If it is none.
    """
    try:
        return decode(data)
    except BadDocumentError as error:
        raise LogUnavailableError(f"invalid response: {error}") from None


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return UNREADABLE_VALUE
