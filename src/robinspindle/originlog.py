"""Keeps in the platform's store who began which stream, while several versions may.

Relays write in batches what the gateways of their groups note, so that a stream
outlasts all of them; what a relay does not write, who noted it does. It is read only
when no gateway knows a stream that its caller takes up.
"""

import asyncio
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Annotated, Protocol

import msgspec

from robinspindle.core.decoding import make_msgpack_decoder
from robinspindle.core.streamorigins import StreamKey, StreamOrigin
from robinspindle.exceptions import (
    BadDocumentError,
    LogServiceError,
    RecordsTrimmedError,
)
from robinspindle.logs import Log
from robinspindle.originlink import Tell, make_tell, read_tell
from robinspindle.sharedcalls import SharedCall
from robinspindle.storerecords import Records

MIN_INTERVAL_S = 0.05
"""Least time between two writes of a relay, seconds; what began since the last one is
lost where all gateways die."""

WRITES_PER_S = 100.0
"""Writes a second that all relays may make together: a part of what the store takes,
and each has its price."""

FAILED_PAUSE_S = 1.0
"""Least pause after a write that failed, seconds; a refused call is paid for too."""

MOST_IN_RECORD = 2000
"""Maximum number of origins in one record."""

MOST_RECORD_BYTES = 200_000
"""Longest record but for its last origin, bytes; the store takes 256 KB."""

MOST_UNWRITTEN = 8192
"""Maximum number of origins that wait to be written; the oldest give way."""

MOST_READS = 16
"""Reads that one look into the log makes; the next look goes on behind them."""

MOST_IN_TURN = 400
"""Origins that are taken in before others have their turns: a few milliseconds."""


class KeptOrigins(msgspec.Struct, array_like=True, frozen=True):
    """One record of the log.

    Attributes:
        tells: Who began each stream.
    """

    tells: Annotated[list[Tell], msgspec.Meta(max_length=MOST_IN_RECORD)]


encode = msgspec.msgpack.Encoder().encode
decode = make_msgpack_decoder(KeptOrigins)


class RecordStore(Protocol):
    """What is needed of a store."""

    async def append(self, topic: str, record: bytes) -> int:
        """Append one record without a key and return its offset."""

    async def read_records(self, topic: str, offset: int) -> Records[bytes]:
        """Read the records from an offset on that there are."""


class OriginLog:
    """Writes origins to the store, and reads those that others wrote.

    Attributes:
        take: Told each origin that was read.
        note_written: Told the streams whose origins the store has taken.
    """

    def __init__(
        self,
        store: RecordStore,
        topic: str,
        count_relays: Callable[[], int],
        log: Log,
        count_writers: Callable[[], int] | None = None,
    ):
        """Make it.

        Args:
            store: The store.
            topic: The log's topic.
            count_relays: Counts the relays.
            log: Takes log lines.
            count_writers: Counts the gateways that may write when this one does; None
                where only relays write.
        """
        self.note_written: Callable[[list[StreamKey]], None] = _pass_over_keys
        self.take: Callable[[StreamKey, StreamOrigin], None] = _pass_over_origin
        self._store = store
        self._topic = topic
        self._count_relays = count_relays
        self._count_writers = count_writers or count_relays
        self._log = log
        self._unwritten: dict[StreamKey, StreamOrigin] = {}
        self._has_unwritten = asyncio.Event()
        self._given_up = 0
        self._offset = 0
        self._eras = 0
        self._look = SharedCall(
            self._read_on, lambda: find_interval(self._count_relays())
        )

    def find_relay_s(self) -> float:
        """Find within how long a relay mostly writes what it is handed, seconds."""
        return 2 * find_interval(self._count_relays())

    def note(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Have an origin written with the next ones."""
        self._unwritten[key] = origin
        self._has_unwritten.set()
        while len(self._unwritten) > MOST_UNWRITTEN:
            del self._unwritten[next(iter(self._unwritten))]
            self._given_up += 1

    def drop(self, key: StreamKey) -> None:
        """Don't write an origin any more: its stream is whole."""
        self._unwritten.pop(key, None)

    def note_era(self) -> None:
        """Take note that the store gives its offsets out anew."""
        self._offset = 0
        self._eras += 1

    async def look(self) -> bool:
        """Read all that the store holds now; returns whether that is done."""
        return await self._look.make()

    async def run(self) -> None:
        """Write what is noted, for as long as the process runs."""
        while True:
            await self._has_unwritten.wait()
            await self.write()
            await asyncio.sleep(find_interval(self._count_writers()))

    async def write(self) -> None:
        """Write what is noted; what can't be written is tried again with the next."""
        if self._given_up:
            self._log("origins given up", count=self._given_up)
            self._given_up = 0
        tells = self._list_next()
        if not tells:
            self._has_unwritten.clear()
            return
        try:
            await self._store.append(self._topic, encode(KeptOrigins(tells)))
        except LogServiceError as error:
            self._log("origins not kept yet", count=len(tells), error=str(error))
            writers = self._count_writers()
            await asyncio.sleep(max(FAILED_PAUSE_S, writers / WRITES_PER_S))
            return
        keys = [StreamKey(tell.key) for tell in tells]
        for key in keys:
            self._unwritten.pop(key, None)
        self.note_written(keys)

    def _list_next(self) -> list[Tell]:
        """List what the next record holds."""
        tells: list[Tell] = []
        size = 0
        for key, origin in islice(self._unwritten.items(), MOST_IN_RECORD):
            if size > MOST_RECORD_BYTES:
                break
            tells.append(make_tell(key, origin))
            size += len(encode(tells[-1]))
        return tells

    async def _read_on(self) -> bool:
        try:
            for _ in range(MOST_READS):
                if await self._read_once():
                    return True
        except LogServiceError as error:
            self._log("kept origins can't be read", error=str(error))
        return False

    async def _read_once(self) -> bool:
        """Read once; returns whether nothing is left."""
        eras = self._eras
        try:
            records = await self._store.read_records(self._topic, self._offset)
        except RecordsTrimmedError as error:
            self._go_on(error.first, eras)
            return False
        for number, tell in enumerate(self._list_tells(records.items), 1):
            self.take(StreamKey(tell.key), read_tell(tell))
            if number % MOST_IN_TURN == 0:
                await asyncio.sleep(0)
        if not self._go_on(records.end, eras):
            return False
        return records.end >= records.topic_end

    def _go_on(self, offset: int, eras: int) -> bool:
        """Go on at an offset, unless a new era has begun since it was asked for."""
        is_valid = eras == self._eras
        if is_valid:
            self._offset = offset
        return is_valid

    def _list_tells(self, values: tuple[bytes, ...]) -> Iterator[Tell]:
        for value in values:
            try:
                yield from decode(value).tells
            except BadDocumentError as error:
                self._log("kept origins not believed", error=str(error))


def find_interval(writers: int) -> float:
    """Find the time between two writes of a gateway, or two looks, seconds.

    Args:
        writers: Number of gateways that write or look.
    """
    return max(MIN_INTERVAL_S, writers / WRITES_PER_S)


def _pass_over_keys(keys: list[StreamKey]) -> None:
    """Stand for who is told what was written."""


def _pass_over_origin(key: StreamKey, origin: StreamOrigin) -> None:
    """Stand for who takes origins in."""
