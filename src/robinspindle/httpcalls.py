"""HTTP calls that wait for their answers in a thread.

The standard library takes a head that breaks off for a whole one, and so an answer cut
off in its head for one without a body; it takes any status from 100 to 999 for that of
an answer. What begins an answer is judged here as everywhere else (`core/answerheads`).
"""

import http.client
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from robinspindle.core import upstreamaccount
from robinspindle.core.answerheads import HeadKind, judge_head
from robinspindle.core.forwarding import Headers
from robinspindle.core.upstreamaccount import UpstreamAccount, UpstreamHolding

HEAD_ENDS = (b"\r\n", b"\n")

MAX_HEADS = 17
"""Most heads of an answer, the interim ones among them."""

PIECE_BYTES = 65536
"""Most that is read of a body at a time."""

MOST_BODY_BYTES = 64 << 20
"""Longest body of an answer."""


class MalformedHeadError(http.client.HTTPException):
    """Bytes that begin no answer."""


class BodyTooLongError(urllib3.exceptions.HTTPError):
    """A body longer than any proper one, or than there is memory for."""


class UpstreamLimits:
    """What the answers to a process's calls may make it hold; shared by its threads."""

    def __init__(self, max_bytes: float):
        """Begin with nothing held.

        Args:
            max_bytes: Bound on the answers that are being read, together.
        """
        self._account = UpstreamAccount(max_bytes)
        self._lock = threading.Lock()

    @contextmanager
    def hold(self) -> Iterator[UpstreamHolding]:
        """Hold an answer for as long as it is read."""
        holding = UpstreamHolding()
        try:
            yield holding
        finally:
            with self._lock:
                upstreamaccount.note_ended(self._account, holding)

    def note_read(self, holding: UpstreamHolding, count: int) -> None:
        """Count what has come of an answer, in bytes.

        Raises:
            BodyTooLongError: If it is to be read no further.
        """
        with self._lock:
            upstreamaccount.note_read(self._account, holding, count)
        if holding.has_given_way or count > MOST_BODY_BYTES:
            raise BodyTooLongError(f"a body of more than {count} bytes")


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that has come whole.

    Attributes:
        status: Its status.
        headers: Its headers.
        data: Its body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    data: bytes


@contextmanager
def closing_unless_read(response: urllib3.BaseHTTPResponse) -> Iterator[None]:
    """Give a connection back in the end; one whose answer is not whole is closed."""
    try:
        yield
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()


def _read_body(response: urllib3.BaseHTTPResponse, limits: UpstreamLimits) -> bytes:
    pieces, received = [], 0
    with limits.hold() as holding:
        for piece in response.stream(PIECE_BYTES):
            received += len(piece)
            limits.note_read(holding, received)
            pieces.append(piece)
        return b"".join(pieces)


class _HeadReader:
    """Reads the lines of a head from a file, and remembers the last one."""

    def __init__(self, file):
        self.file = file
        self.last_line = b""

    def readline(self, *sizes: int) -> bytes:
        self.last_line = self.file.readline(*sizes)
        return self.last_line

    def close(self) -> None:
        self.file.close()

    def flush(self) -> None:
        self.file.flush()


class CheckedResponse(http.client.HTTPResponse):
    """An answer whose head has come whole."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._head_count = 0

    def begin(self) -> None:
        """Read the head, and the interim ones before it.

        Raises:
            MalformedHeadError: If it breaks off, or begins no answer.
        """
        while True:
            self._read_head()
            kind = judge_head(self.status, _list_headers(self))
            if kind is HeadKind.FINAL:
                return
            if kind is HeadKind.MALFORMED:
                raise MalformedHeadError(f"a head with status {self.status}")
            self.headers = self.msg = None

    def _read_status(self):
        # The standard library passes over any number of heads with status 100.
        self._head_count += 1
        if self._head_count > MAX_HEADS:
            raise MalformedHeadError("interim answers without end")
        return super()._read_status()

    def _read_head(self) -> None:
        reader = self.fp = _HeadReader(self.fp)
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.file
        if reader.last_line not in HEAD_ENDS:
            raise MalformedHeadError("a head that breaks off")


def _list_headers(response: http.client.HTTPResponse) -> Headers:
    return tuple(
        (name.encode("latin-1"), value.encode("latin-1", "replace"))
        for name, value in response.headers.items()
    )


class _CheckedConnection(HTTPConnection):
    response_class = CheckedResponse


class _CheckedTlsConnection(HTTPSConnection):
    response_class = CheckedResponse


class _CheckedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _CheckedConnection


class _CheckedTlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _CheckedTlsConnection


class UpstreamCalls:
    """Makes calls that are not repeated; may be used by several threads at once.

    Attributes:
        limits: What the answers may make the process hold.
    """

    def __init__(self, limits: UpstreamLimits | None = None, **options):
        """Make connections.

        Args:
            limits: What the answers may make the process hold; None for as much as
                the longest.
            options: Options of `urllib3.PoolManager`.
        """
        self.limits = limits or UpstreamLimits(MOST_BODY_BYTES)
        self._pools = urllib3.PoolManager(retries=False, **options)
        self._pools.pool_classes_by_scheme = {
            "http": _CheckedPool,
            "https": _CheckedTlsPool,
        }

    def begin(self, method: str, url: str, **options) -> urllib3.BaseHTTPResponse:
        """Make a call; its answer is read by `closing_unless_read`.

        Args:
            method: HTTP method.
            url: Where to.
            options: Options of `urllib3.PoolManager.request`.

        Raises:
            urllib3.exceptions.HTTPError: If no answer has begun.
        """
        return self._pools.request(method, url, preload_content=False, **options)

    def call(self, method: str, url: str, **options) -> WholeAnswer:
        """Make a call and read its whole answer.

        Args:
            method: HTTP method.
            url: Where to.
            options: Options of `urllib3.PoolManager.request`.

        Raises:
            urllib3.exceptions.HTTPError: If no whole answer came, or too long a one.
        """
        response = self.begin(method, url, **options)
        with closing_unless_read(response):
            body = _read_body(response, self.limits)
        return WholeAnswer(response.status, tuple(response.headers.items()), body)
