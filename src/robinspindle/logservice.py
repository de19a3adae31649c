"""The platform's log service: client, follower and writer.

HTTP: ``POST /streams/NAME`` appends a body and answers ``{"offset": n}``;
``GET /streams/NAME?from=N&wait=S`` answers ``{"first", "next", "records"}``.
"""

import random
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import urllib3

from robinspindle.core.decoding import make_json_decoder
from robinspindle.exceptions import (
    BadDocumentError,
    LogUnavailableError,
    RecordsTrimmedError,
)
from robinspindle.httpcalls import UpstreamCalls

READ_WAIT_S = 5.0
APPEND_TIMEOUT_S = 1.5
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
CONTROL = "control"
CLAIMS = "claims"
GONE = 410


class ReadAnswer(msgspec.Struct):
    """Answer to a read.

    Attributes:
        first: First offset that is retained.
        next: Offset that the next append will get.
        records: Records from the offset asked for, in order.
        start: Offset of the first of them.
    """

    first: int
    next: int
    start: int
    records: list[bytes]


class AppendAnswer(msgspec.Struct):
    """Answer to an append."""

    offset: int


_decode_read_answer = make_json_decoder(ReadAnswer)
_decode_append_answer = make_json_decoder(AppendAnswer)


class LogService:
    """Calls of the log service; safe to use from several threads."""

    def __init__(self, base: str):
        self._base = base.rstrip("/")
        self._calls = UpstreamCalls(maxsize=4)

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            LogUnavailableError: If no answer came; the append may have taken effect.
        """
        url = f"{self._base}/streams/{stream}"
        body = self._call("POST", url, data, APPEND_TIMEOUT_S)
        return _decode_append_answer(body).offset

    def read(self, stream: str, start: int, wait_s: float) -> ReadAnswer:
        """Read records from an offset on, waiting for one if there is none.

        Raises:
            LogUnavailableError: If no answer came.
            RecordsTrimmedError: If the offset is no longer retained.
        """
        url = f"{self._base}/streams/{stream}?from={start}&wait={wait_s}"
        body = self._call("GET", url, None, wait_s + APPEND_TIMEOUT_S)
        answer = _decode_read_answer(body)
        if answer.first > start:
            raise RecordsTrimmedError(answer.first)
        return answer

    def _call(
        self, method: str, url: str, data: bytes | None, timeout_s: float
    ) -> bytes:
        try:
            response = self._calls.call(method, url, body=data, timeout=timeout_s)
        except urllib3.exceptions.HTTPError as error:
            raise LogUnavailableError(
                f"the log service gave no answer: {error}"
            ) from None
        if response.status != 200:
            raise LogUnavailableError(f"the log service answered {response.status}")
        return response.data


@dataclass(frozen=True)
class RecordsRead:
    """Records that a follower read.

    Attributes:
        stream: The stream.
        first: Offset of the first record.
        records: The records, in order.
        next: Offset after the stream's last record at that time.
        restarts: Whether earlier records are gone, so the fold begins anew.
    """

    stream: str
    first: int
    records: tuple[bytes, ...]
    next: int
    restarts: bool


class LogFollower(threading.Thread):
    """Reads a stream from its first retained record on and posts what comes."""

    def __init__(
        self,
        service: LogService,
        stream: str,
        post: Callable[[RecordsRead], None],
        rng: random.Random,
    ):
        super().__init__(name=f"follow-{stream}", daemon=True)
        self._service = service
        self._stream = stream
        self._post = post
        self._rng = rng
        self._next = 0
        self._stopped = threading.Event()
        self.is_reaching = False

    def run(self) -> None:
        """Follow the stream until stopped."""
        pause_s = FIRST_PAUSE_S
        restarts = True
        while not self._stopped.is_set():
            try:
                answer = self._service.read(self._stream, self._next, READ_WAIT_S)
            except RecordsTrimmedError as error:
                self._next = error.first
                restarts = True
                continue
            except (LogUnavailableError, BadDocumentError):
                self.is_reaching = False
                # Spread out, so that all don't come back in the same moment.
                self._stopped.wait(pause_s * self._rng.uniform(0.5, 1.5))
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
                continue
            pause_s = FIRST_PAUSE_S
            self.is_reaching = True
            self._pass_on(answer, restarts)
            restarts = False

    def stop(self) -> None:
        """Stop after the read that is under way."""
        self._stopped.set()

    def _pass_on(self, answer: ReadAnswer, restarts: bool) -> None:
        self._next = answer.start + len(answer.records)
        self._post(
            RecordsRead(
                self._stream,
                answer.start,
                tuple(answer.records),
                answer.next,
                restarts,
            )
        )


class LogWriter(threading.Thread):
    """Appends to one stream in the background, several items in one append.

    Items that could not be appended are tried again until they are too old or the
    backlog is full, so an outage of the log can't make the process grow.
    """

    def __init__(
        self,
        service: LogService,
        stream: str,
        encode: Callable[[list], bytes],
        most_in_batch: int,
        keep_s: float,
        most_waiting: int = 10_000,
    ):
        super().__init__(name=f"write-{stream}", daemon=True)
        self._service = service
        self._stream = stream
        self._encode = encode
        self._most_in_batch = most_in_batch
        self._keep_s = keep_s
        self._waiting: deque = deque(maxlen=most_waiting)
        self._changed = threading.Condition()
        self._stopped = False
        self.appends = 0
        self.failures = 0

    def put(self, item: object) -> None:
        """Hand an item over to be appended."""
        with self._changed:
            self._waiting.append((time.monotonic(), item))
            self._changed.notify()

    def run(self) -> None:
        """Append until stopped and empty."""
        pause_s = FIRST_PAUSE_S
        while True:
            batch = self._take_batch()
            if not batch:
                return
            try:
                self._service.append(
                    self._stream, self._encode([item for _, item in batch])
                )
            except (LogUnavailableError, BadDocumentError):
                self.failures += 1
                self._put_back(batch)
                time.sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
                if self._stopped:
                    return
            else:
                self.appends += 1
                pause_s = FIRST_PAUSE_S

    def stop(self) -> None:
        """Stop when everything is appended, or at the next failure."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def _take_batch(self) -> list:
        with self._changed:
            while not self._waiting and not self._stopped:
                self._changed.wait()
            size = min(len(self._waiting), self._most_in_batch)
            return [self._waiting.popleft() for _ in range(size)]

    def _put_back(self, batch: list) -> None:
        now = time.monotonic()
        with self._changed:
            for put_at, item in reversed(batch):
                if now - put_at < self._keep_s:
                    self._waiting.appendleft((put_at, item))
