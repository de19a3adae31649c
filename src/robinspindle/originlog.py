"""Keeps in the platform's store who began which stream, while several versions may.

Relays write in batches what the gateways of their groups note, so that a stream
outlasts all of them. It is read only when no gateway knows a stream that its caller
takes up.
"""

import asyncio
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Annotated, Protocol

import msgspec

from robinspindle.core.streamorigins import StreamKey, StreamOrigin
from robinspindle.exceptions import LogServiceError, RecordsTrimmedError
from robinspindle.logs import Log
from robinspindle.originlink import Tell, make_tell, read_tell
from robinspindle.sharedcalls import SharedCall

MIN_INTERVAL_S = 0.05
"""Least time between two writes of a relay, seconds; what began since the last one is
lost where all gateways die."""

WRITES_PER_S = 100.0
"""Writes a second that all relays may make together: a part of what the store takes,
and each has its price."""

FAILED_PAUSE_S = 1.0
"""Pause after a write that failed, seconds; a refused call is paid for too."""

MOST_IN_RECORD = 2000
"""Origins in one record, which then stays far below 256 KB."""

MOST_UNWRITTEN = 8192
"""Maximum number of origins that wait to be written; the oldest give way."""

MOST_READS = 16
"""Reads that one look into the log makes; the next look goes on behind them."""


class KeptOrigins(msgspec.Struct, array_like=True, frozen=True):
    """One record of the log.

    Attributes:
        tells: Who began each stream.
    """

    tells: Annotated[list[Tell], msgspec.Meta(max_length=MOST_IN_RECORD)]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(KeptOrigins).decode


class RawRecords(Protocol):
    """Records of a topic without keys.

    Attributes:
        values: The records.
        end: The offset from which reading continues.
        topic_end: The offset after the topic's last record.
    """

    values: tuple[bytes, ...]
    end: int
    topic_end: int


class RecordStore(Protocol):
    """What is needed of a store."""

    async def append(self, topic: str, record: bytes) -> int:
        """Append one record without a key and return its offset."""

    async def read_records(self, topic: str, offset: int) -> RawRecords:
        """Read the records from an offset on that there are."""


class OriginLog:
    """Writes origins to the store, and reads those that others wrote.

    Attributes:
        take: Told each origin that was read.
    """

    def __init__(
        self,
        store: RecordStore,
        topic: str,
        count_writers: Callable[[], int],
        log: Log,
    ):
        self.take: Callable[[StreamKey, StreamOrigin], None] = _pass_over_origin
        self._store = store
        self._topic = topic
        self._count_writers = count_writers
        self._log = log
        self._unwritten: dict[StreamKey, StreamOrigin] = {}
        self._has_unwritten = asyncio.Event()
        self._offset = 0
        self._look = SharedCall(self._read_on)

    def note(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Have an origin written with the next ones."""
        self._unwritten[key] = origin
        self._has_unwritten.set()
        while len(self._unwritten) > MOST_UNWRITTEN:
            del self._unwritten[next(iter(self._unwritten))]

    def drop(self, key: StreamKey) -> None:
        """Don't write an origin any more: its stream is whole."""
        self._unwritten.pop(key, None)

    def note_era(self) -> None:
        """Take note that the store gives its offsets out anew."""
        self._offset = 0

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
        batch = dict(islice(self._unwritten.items(), MOST_IN_RECORD))
        if not batch:
            self._has_unwritten.clear()
            return
        tells = [make_tell(key, origin) for key, origin in batch.items()]
        try:
            await self._store.append(self._topic, encode(KeptOrigins(tells)))
        except LogServiceError as error:
            self._log("origins not kept yet", count=len(batch), error=str(error))
            await asyncio.sleep(FAILED_PAUSE_S)
            return
        for key in batch:
            self._unwritten.pop(key, None)

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
        try:
            records = await self._store.read_records(self._topic, self._offset)
        except RecordsTrimmedError as error:
            self._offset = error.first
            return False
        for tell in self._list_tells(records.values):
            self.take(StreamKey(tell.key), read_tell(tell))
        self._offset = records.end
        return records.end >= records.topic_end

    def _list_tells(self, values: tuple[bytes, ...]) -> Iterator[Tell]:
        for value in values:
            try:
                yield from decode(value).tells
            except msgspec.MsgspecError as error:
                self._log("kept origins not believed", error=str(error))


def find_interval(writers: int) -> float:
    """Find the time between two writes of a relay, seconds.

    Args:
        writers: Number of relays.
    """
    return max(MIN_INTERVAL_S, writers / WRITES_PER_S)


def _pass_over_origin(key: StreamKey, origin: StreamOrigin) -> None:
    """Stand for who takes origins in."""
