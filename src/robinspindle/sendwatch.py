"""Ends connections whose peers are gone, and no others.

The operating system's own limit (`TCP_USER_TIMEOUT`) also ends the connection of a peer
that acknowledges everything but has had no room for as long. It therefore applies only
until bytes are found to wait: from then on the peer is judged by its acknowledgements.
Where the system doesn't tell of these, the limit stays.
"""

import asyncio
import math
import socket
import struct
from collections.abc import Callable
from enum import StrEnum

from robinspindle.core import acknowledgements
from robinspindle.core.acknowledgements import Acknowledgements, SendQueue

CHECK_S = 0.5
"""Interval of looks at a connection on which bytes wait, seconds. All connections are
looked at together, as each wake-up of the process costs time."""

AFTER_CLOSE_MS = 30_000
"""How long the operating system still sends what a closed connection had left,
milliseconds, where its peer takes nothing: its answer is whole."""

NO_LIMIT_MS = 0

TCP_INFO_BYTES = 148
TCP_INFO_FORMAT = struct.Struct("=3xB20xI28xI60xQ16xI")
"""Probes, unacknowledged packets, milliseconds since the last acknowledgement,
acknowledged bytes and unsent bytes, as in linux/tcp.h."""

MS_PER_S = 1000


class Loss(StrEnum):
    """Why a connection is given up."""

    GONE = "nothing is acknowledged"
    STUCK = "nothing is taken"


def never_tire() -> float:
    """Stand for a limit on how long a peer may take nothing."""
    return math.inf


def read_send_queue(sock: socket.socket) -> SendQueue:
    """Read what the operating system says of a connection; empty if it says nothing."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return SendQueue()
    if len(info) < TCP_INFO_BYTES:
        return SendQueue()
    probes, unacked, ack_age_ms, acked, unsent = TCP_INFO_FORMAT.unpack_from(info)
    return SendQueue(probes, unacked, unsent, acked, ack_age_ms / MS_PER_S)


class SendWatch:
    """Looks after the bytes written to one connection."""

    def __init__(
        self,
        unacked_ms: int,
        give_up: Callable[[Loss], None],
        find_patience_s: Callable[[], float] = never_tire,
    ):
        """Prepare to look after a connection.

        Args:
            unacked_ms: How long a peer may owe an acknowledgement, milliseconds.
            give_up: Called once when the peer is gone, or takes nothing for too long.
            find_patience_s: Tells how long it may take nothing, seconds.
        """
        self._unacked_ms = unacked_ms
        self._give_up = give_up
        self._find_patience_s = find_patience_s
        self._socket: socket.socket | None = None
        self._seen: Acknowledgements | None = None
        self._check: asyncio.TimerHandle | None = None

    def begin(self, sock: socket.socket) -> None:
        """Look after a connection that was opened."""
        self._socket = sock
        self._set_limit(self._unacked_ms)

    def note_written(self) -> None:
        """Take note that bytes were written."""
        if self._check is None:
            self._plan_check()

    def end(self) -> None:
        """Look after the connection no more, as it is being closed.

        What the operating system still has to send reaches a peer that reads slowly.
        """
        if self._socket is None:
            # The connection was turned away as it was opened.
            return
        if self._check is not None:
            self._check.cancel()
        if not read_send_queue(self._socket).is_empty:
            self._set_limit(AFTER_CLOSE_MS)

    def _plan_check(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = (math.floor(loop.time() / CHECK_S) + 2) * CHECK_S
        self._check = loop.call_at(due_at, self._look)

    def _look(self) -> None:
        self._check = None
        now = asyncio.get_running_loop().time()
        queue = read_send_queue(self._socket)
        if queue.is_empty:
            if self._seen is not None:
                self._seen = None
                self._set_limit(self._unacked_ms)
            return
        if self._seen is None:
            self._seen = acknowledgements.begin(queue, now)
            self._set_limit(NO_LIMIT_MS)
        acknowledgements.note_queue(self._seen, queue, now)
        loss = self._find_loss(now)
        if loss is None:
            self._plan_check()
        else:
            self._give_up(loss)

    def _find_loss(self, now: float) -> Loss | None:
        owed_s = acknowledgements.find_owed_s(self._seen, now)
        if owed_s * MS_PER_S > self._unacked_ms:
            return Loss.GONE
        if acknowledgements.find_stalled_s(self._seen, now) > self._find_patience_s():
            return Loss.STUCK
        return None

    def _set_limit(self, limit_ms: int) -> None:
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
