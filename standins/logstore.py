"""Stand-in for the users' store: a log with keyed topics, spoken over HTTP."""

import asyncio
import base64
import copy
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from standins.rawhttp import (
    RawRequest,
    RawServer,
    reset,
    write_answer,
    write_half,
    write_slowly,
)

PAGE = 500

DEFAULT_KB = 1024
"""The most that one read brings where it does not say, kilobytes."""

LONG_BYTES = 4096
"""Answers of this length and more come in pieces where the store is told so."""


@dataclass
class Topic:
    """One topic with its only partition.

    Attributes:
        records: Kept records with their offsets.
        first: The first offset that is kept.
        newest: The newest record of each key.
    """

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """The offset after the last record."""
        return self.first + len(self.records)


class LogStore:
    """The store.

    Attributes:
        trouble: How it answers: empty for well, ``busy`` for 503, ``reset``,
            ``silent``, ``lost`` to do what is asked and not answer, or ``stalls`` to
            send half of the answer and then nothing.
        page: Items on one page of the newest records.
        pieces: Pieces in which long answers come, one after a pause; 0 for at once.
        era: How often it has returned from a copy, told in all answers; None for a
            store that does not tell.
        calls: Method and path of each call.
    """

    def __init__(self):
        self.trouble = ""
        self.page = PAGE
        self.pieces = 0
        self.calls: list[str] = []
        self.era: int | str | None = None
        self.server = RawServer(self._answer)
        self._topics: dict[str, Topic] = {}
        self._news = asyncio.Condition()

    async def put(
        self, topic: str, key: str | bytes, value: dict | bytes | None
    ) -> None:
        """Write one keyed record; None drops the key."""
        data = json.dumps(value).encode() if isinstance(value, dict) else value or b""
        name = key.encode() if isinstance(key, str) else key
        self._append(topic, bytes([len(name)]) + name + data)
        async with self._news:
            self._news.notify_all()

    def put_silently(self, topic: str, key: str, value: bytes) -> None:
        """Write one keyed record that held polls don't bring."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def compact(self, topic: str) -> None:
        """Drop all records; the newest of each key stay."""
        kept = self._find(topic)
        kept.first = kept.end
        kept.records.clear()

    def take_copy(self) -> dict[str, Topic]:
        """Take a copy of all that it holds."""
        return copy.deepcopy(self._topics)

    def return_from(self, topics: dict[str, Topic]) -> None:
        """Return from a copy: what came since is lost, and a new era begins."""
        self._topics = copy.deepcopy(topics)
        self.era = (self.era or 0) + 1
        self.server.reset_all()

    def drop_silently(self, topic: str, key: str) -> None:
        """Drop a key in a way that only the newest records show."""
        self._find(topic).newest.pop(key)

    def _find(self, topic: str) -> Topic:
        return self._topics.setdefault(topic, Topic())

    def _append(self, name: str, record: bytes) -> int:
        topic = self._find(name)
        offset = topic.end
        topic.records.append(record)
        length = record[0]
        key, value = (
            record[1 : 1 + length].decode(errors="replace"),
            record[1 + length :],
        )
        topic.newest.pop(key, None)
        if value:
            topic.newest[key] = (value, offset)
        return offset

    async def _answer(self, request: RawRequest, writer) -> bool:
        parts = urlsplit(request.target)
        self.calls.append(f"{request.method} {parts.path}")
        headers = {} if self.era is None else {"Store-Era": str(self.era)}
        if self.trouble == "busy":
            write_answer(writer, 503, headers=headers)
            return True
        if self.trouble == "reset":
            reset(writer)
            return False
        if self.trouble == "silent":
            await asyncio.sleep(3600)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        status, body = await self._carry_out(parts.path, query, request.body)
        if self.trouble == "lost":
            reset(writer)
            return False
        if self.trouble == "stalls":
            write_half(writer, status, body)
            await asyncio.sleep(3600)
        if self.pieces and len(body) >= LONG_BYTES:
            await write_slowly(writer, status, body, self.pieces)
            return True
        write_answer(writer, status, body, headers)
        return True

    async def _carry_out(self, path: str, query: dict, body: bytes):
        if path == "/log-append":
            return await self._take_append(query, body)
        if path == "/log-newest":
            return self._list_newest(query)
        if path == "/log-read":
            return await self._read(query)
        return 404, b""

    async def _take_append(self, query: dict, body: bytes):
        topic = self._find(query["Topic"])
        expected = query.get("CurrentRev")
        if expected is not None and int(expected) != topic.end:
            return 412, json.dumps({"End": topic.end}).encode()
        (length,) = struct.unpack_from(">I", body)
        offset = self._append(query["Topic"], body[4 : 4 + length])
        async with self._news:
            self._news.notify_all()
        return 200, json.dumps({"Offset": offset, "End": offset + 1}).encode()

    def _list_newest(self, query: dict):
        topic = self._find(query["Topic"])
        keys = [key for key in sorted(topic.newest) if key > query.get("after", "")]
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(topic.newest[key][0]).decode(),
                "Offset": topic.newest[key][1],
            }
            for key in keys[: self.page]
        ]
        more = len(keys) > self.page
        answer = {"items": items, "HasMore": more, "End": topic.end}
        return 200, json.dumps(answer).encode()

    async def _read(self, query: dict):
        topic = self._find(query["Topic"])
        start = int(query["From"])
        if start < topic.first or start > topic.end:
            return 410, json.dumps({"First": topic.first}).encode()
        if start >= topic.end:
            await self._wait_for_news(int(query.get("WaitMs", 0)) / 1000)
        most = int(query.get("MaxKb", DEFAULT_KB)) * 1024
        body = struct.pack(">QQ", topic.end, topic.first)
        for number, record in enumerate(topic.records[max(0, start - topic.first) :]):
            # The first record comes however long it is.
            if number and len(body) + len(record) > most:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    async def _wait_for_news(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._news:
                await self._news.wait()
        except TimeoutError:
            return
