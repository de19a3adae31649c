"""The answer to a caller's request, written in pieces."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from robinspindle.core.forwarding import Headers, Refusal, format_retry_after


class Outlet(Protocol):
    """What an answer needs of the connection that it is written to."""

    @property
    def is_stopping(self) -> bool:
        """Whether it is to be closed after this answer."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not taken yet."""

    @property
    def is_closed_by_caller(self) -> bool:
        """Whether the caller has closed it, also if that was not handled yet."""

    def set_flow(
        self, on_pause: Callable[[], None] | None, on_resume: Callable[[], None] | None
    ) -> None:
        """Set what to call when the caller takes bytes too slowly, and again."""

    def write(self, data: bytes) -> None:
        """Write, unless the caller has left."""

    def abort(self) -> None:
        """Close at once."""

    def finish_reply(self, keep: bool) -> None:
        """Note that an answer has been written whole."""


class Reply:
    """The answer to one request, written in pieces.

    Attributes:
        has_begun: Whether a head was written.
        is_ended: Whether the answer is whole, or was broken off.
    """

    def __init__(self, connection: Outlet, keep: bool):
        self._connection = connection
        self._keep = keep
        self._chunked = False
        self.has_begun = False
        self.is_ended = False

    @property
    def has_caller_left(self) -> bool:
        """Whether nobody waits for the answer any more."""
        return self._connection.is_closed_by_caller

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and that its caller has not taken yet."""
        return self._connection.unsent_bytes

    def set_flow(
        self, on_pause: Callable[[], None], on_resume: Callable[[], None]
    ) -> None:
        """Set what to call when the caller takes bytes too slowly, and again."""
        self._connection.set_flow(on_pause, on_resume)

    def begin(
        self, status: int, reason: bytes, headers: Headers, length: int | None
    ) -> None:
        """Write the head.

        Args:
            status: HTTP status.
            reason: Its phrase.
            headers: Headers, without any about length or connection.
            length: Length of the body, None to send it in chunks.
        """
        lines = [b"HTTP/1.1 %d %s" % (status, reason)]
        lines += [name + b": " + value for name, value in headers]
        if length is None:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if not self._keep or self._connection.is_stopping:
            self._keep = False
            lines.append(b"Connection: close")
        self.has_begun = True
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def write(self, chunk: bytes) -> None:
        """Write a piece of the body."""
        if not chunk:
            return
        if self._chunked:
            chunk = b"%x\r\n%s\r\n" % (len(chunk), chunk)
        self._connection.write(chunk)

    def end(self) -> None:
        """End the body."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.is_ended = True
        self._connection.finish_reply(self._keep)

    def break_off(self) -> None:
        """Break the answer off so that it can't be taken for a whole one."""
        self.is_ended = True
        self._connection.abort()

    def refuse(self, refusal: Refusal) -> None:
        """Write a whole answer of our own."""
        headers = []
        if refusal.retry_s > 0:
            headers.append((b"Retry-After", format_retry_after(refusal.retry_s)))
        if refusal.status == HTTPStatus.UNAUTHORIZED:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        reason = HTTPStatus(refusal.status).phrase.encode()
        body = refusal.reason.encode() + b"\n"
        headers.append((b"Content-Type", b"text/plain"))
        self.begin(refusal.status, reason, tuple(headers), len(body))
        self.write(body)
        self.end()
