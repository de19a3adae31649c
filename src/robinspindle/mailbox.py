"""A thread-safe mailbox that a poller can wait on."""

import contextlib
import queue
import socket


class Mailbox:
    """Items from any thread for one loop.

    A ZeroMQ socket belongs to one thread, so other threads hand their items over
    here, and a byte on a socket pair wakes the loop.
    """

    def __init__(self):
        self._items: queue.SimpleQueue = queue.SimpleQueue()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable."""
        return self._reader.fileno()

    def post(self, item: object) -> None:
        """Hand an item over; never blocks."""
        self._items.put(item)
        with contextlib.suppress(BlockingIOError, OSError):
            self._writer.send(b"\0")

    def take_all(self) -> list:
        """Return all items that are waiting, without blocking."""
        with contextlib.suppress(BlockingIOError):
            while self._reader.recv(4096):
                pass
        items = []
        while not self._items.empty():
            items.append(self._items.get_nowait())
        return items

    def close(self) -> None:
        """Give the descriptors back."""
        self._reader.close()
        self._writer.close()
