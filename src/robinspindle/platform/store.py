"""Calls to the platform's store: a log service with topics, spoken over HTTP."""

import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgspec

from robinspindle.calls import CallLimits, Transfer, call_once
from robinspindle.core.eras import EraChange, compare_eras, parse_era
from robinspindle.core.forwarding import AnswerHead
from robinspindle.exceptions import (
    EraChangedError,
    LogConflictError,
    LogUnavailableError,
    RecordsTrimmedError,
)
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import ConnectionBrokenError, ConnectionPool
from robinspindle.platform.dialect import decode_answer

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
GATEWAYS_TOPIC = "keyed.gateways"
ORDERS_TOPIC = "keyed.orders"
REPORTS_TOPIC = "keyed.usage"

ERA_HEADER = b"store-era"
"""What names the era in the head of each answer."""

CALL_TIMEOUT_S = 1.0
"""Longest wait for an answer to begin, beyond the wait that was asked for, and for each
further piece of it, seconds: the store answers in a few ms, in some hundred when it is
slow, and on a link of 6 Mbit/s that is full pieces came within 80 ms of each other."""

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a new connection to the store, seconds."""

READ_KB = 1024
"""The most that one read may bring, kilobytes."""

READ_HEAD_BYTES = 16
"""Bytes before the first record of an answer: two numbers of 8 bytes."""

DONE = 200
TRIMMED = 410
CONFLICT = 412
"""Statuses of the store: done; the records are gone; the topic ends elsewhere."""


@dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; a value of None drops the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class Records:
    """Records of one keyed topic, the offset after them, and the topic's own end."""

    items: tuple[KeyedRecord, ...]
    end: int
    topic_end: int


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    value: str


class _Newest(msgspec.Struct):
    items: list[_Item]
    has_more: bool = msgspec.field(name="HasMore")
    end: int = msgspec.field(name="End")


UNREADABLE = KeyedRecord("", None)
"""What a record without a readable key is taken as."""


class Store:
    """One client of the store.

    Attributes:
        calls: Calls made so far, for metrics.
        received_bytes: Bytes of the answers that came whole.
        wasted_bytes: Bytes of answers that were given up or broke off.
        era: The newest era that an answer told; None before the first.
        unreadable_eras: Answers whose era could not be read.
        note_era: Told each new era after the first.
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

    def drop_connections(self) -> None:
        """Drop kept connections: a call goes out on a new one."""
        self._pool.close()

    async def read_newest(self, topic: str) -> Records:
        """Read the newest record of each key.

        Raises:
            LogUnavailableError: When the store gives no good answer.
        """
        items: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            query = {"Topic": topic, "part": 0}
            if after:
                query["after"] = after
            page = self._decode(await self._call("GET", "/log-newest", query), _Newest)
            items += [KeyedRecord(i.key, _decode_base64(i.value)) for i in page.items]
            # Pages are no snapshot: what changed since the first is read again.
            end = page.end if end is None else min(end, page.end)
            if not page.has_more or not page.items:
                return Records(tuple(items), end, end)
            after = page.items[-1].key

    async def read_from(self, topic: str, offset: int, wait_s: float) -> Records:
        """Read the records of a keyed topic from an offset, waiting for the first.

        Raises:
            LogUnavailableError: When the store gives no good answer.
            RecordsTrimmedError: When the records are no longer kept.
        """
        query = {
            "Topic": topic,
            "part": 0,
            "From": offset,
            "MaxKb": READ_KB,
            "WaitMs": int(wait_s * 1000),
        }
        data = await self._call("GET", "/log-read", query, wait_s=wait_s)
        try:
            # The end of the partition, not of this answer, and the first offset kept.
            topic_end, _ = struct.unpack_from(">QQ", data)
            values = _split_records(data[READ_HEAD_BYTES:])
            items = tuple(_decode_keyed(value) for value in values)
        except (struct.error, ValueError) as error:
            raise LogUnavailableError(f"bad records: {error}") from None
        return Records(items, offset + len(items), topic_end)

    async def append_keyed(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> int:
        """Append one keyed record.

        Args:
            topic: A topic whose name begins with ``keyed.``.
            key: Its key.
            value: Its value; empty drops the key.
            expected_end: Append only if the topic ends there.

        Returns:
            The record's offset.

        Raises:
            LogConflictError: When the topic ends elsewhere.
            LogUnavailableError: When the store gives no good answer.
        """
        query: dict[str, Any] = {"Topic": topic, "part": 0}
        if expected_end is not None:
            query["CurrentRev"] = expected_end
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = struct.pack(">I", len(record)) + record
        answer = await self._call("POST", "/log-append", query, body)
        return self._decode(answer, _Appended).offset

    def _decode(self, data: bytes, kind: Any) -> Any:
        try:
            return msgspec.json.decode(data, type=kind)
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(f"bad answer: {error}") from None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> bytes:
        self.calls += 1
        head = (
            f"{method} {path}?{urlencode(query)} HTTP/1.1\r\n"
            f"Host: {self._address.host}:{self._address.port}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        now = self._clock()
        transfer = Transfer(now)
        first_s = wait_s + CALL_TIMEOUT_S
        limits = CallLimits(CONNECT_TIMEOUT_S, first_s, CALL_TIMEOUT_S)
        try:
            head, answer = await call_once(
                self._pool, self._clock, data, limits, transfer
            )
        except (ConnectionBrokenError, TimeoutError) as error:
            self.wasted_bytes += transfer.received
            text = str(error) or "no answer in time"
            raise LogUnavailableError(
                text, transfer.received, self._clock() - transfer.moved_at
            ) from None
        self.received_bytes += transfer.received
        self._note_era(head)
        if head.status == TRIMMED:
            raise RecordsTrimmedError(self._decode(answer, _Trimmed).first)
        if head.status == CONFLICT:
            raise LogConflictError(self._decode(answer, _Conflict).end)
        if head.status != DONE:
            raise LogUnavailableError(f"answered {head.status}")
        return answer

    def _note_era(self, head: AnswerHead) -> None:
        """Take note of the era in which an answer was given.

        Raises:
            EraChangedError: When a new one has begun: the call was made in the last.
            LogUnavailableError: When it is gone: the answer came late.
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
            raise LogUnavailableError(f"an answer of era {era}, which is gone")
        self.era = era
        if change is EraChange.NEWER:
            self.note_era(era)
            raise EraChangedError(f"the store returned from a copy: era {era}")


class _Appended(msgspec.Struct, rename="pascal"):
    offset: int


class _Trimmed(msgspec.Struct, rename="pascal"):
    first: int


class _Conflict(msgspec.Struct, rename="pascal"):
    end: int


def _split_records(data: bytes) -> list[bytes]:
    records = []
    at = 0
    while at < len(data):
        (length,) = struct.unpack_from(">I", data, at)
        at += 4
        if at + length > len(data):
            raise ValueError("a record is cut short")
        records.append(data[at : at + length])
        at += length
    return records


def _decode_keyed(record: bytes) -> KeyedRecord:
    """Decode a record; one without a readable key counts as the removal of no key.

    Others write to some topics too. It has to keep its place among the offsets, and
    must not end the reading of those behind it.
    """
    end = 1 + (record[0] if record else 0)
    try:
        if len(record) < end:
            return UNREADABLE
        return KeyedRecord(record[1:end].decode(), record[end:] or None)
    except UnicodeDecodeError:
        return UNREADABLE


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise LogUnavailableError(f"not base64: {error}") from None
