"""Connections of an event loop that read into one buffer.

A buffer of its own for each read is mostly empty and lies between what is kept: memory
that was free then can't be used for anything as long.
"""

import asyncio

READ_BYTES = 65536
"""The most that one read brings, bytes."""

_buffer = memoryview(bytearray(READ_BYTES))


class SharedReads(asyncio.BufferedProtocol):
    """A connection whose bytes are taken over as soon as they are read."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Give the buffer to read into."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take what has come."""
        raise NotImplementedError
