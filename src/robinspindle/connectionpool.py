"""Connections to one address, kept for further requests."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import (
    ClientConnection,
    ConnectionBrokenError,
    DecodeHead,
    Traffic,
)
from robinspindle.zonetraffic import Meter

IDLE_MARGIN_S = 0.5
"""A connection is not used for the last part of the time that a target keeps it,
seconds: the target's close may be on its way."""


class ConnectionPool:
    """Connections to one address.

    Attributes:
        address: The address.
        idle: The connections on which nothing is under way.
    """

    def __init__(
        self,
        address: HostPort,
        decode_head: DecodeHead,
        traffic: Traffic | None = None,
        meter: Meter | None = None,
        max_idle_s: Callable[[], float] = lambda: math.inf,
    ):
        """Begin without a connection.

        Args:
            address: Where to.
            decode_head: Decodes the heads of answers.
            traffic: Told what passes on all connections; None for nobody.
            meter: Counts the bytes on all connections; None where nobody does.
            max_idle_s: Tells how long a connection may be idle at most, seconds,
                whatever the other end says: it may have gone silent meanwhile.
        """
        self.address = address
        self._decode_head = decode_head
        self._traffic = traffic
        self._meter = meter
        self._max_idle_s = max_idle_s
        self.idle: list[ClientConnection] = []

    async def take(self, now: float, timeout_s: float) -> ClientConnection:
        """Take an idle connection or open one.

        Raises:
            ConnectionBrokenError: When none can be opened in time.
        """
        self._close_stale(now)
        if self.idle:
            return self.idle.pop()
        return await self._open(timeout_s)

    def give_back(self, connection: ClientConnection, now: float) -> None:
        """Give a connection back; it is closed unless it can be used again."""
        if connection.can_be_reused:
            connection.idle_since = now
            self.idle.append(connection)
        else:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    async def _open(self, timeout_s: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(
                        self._decode_head, self._traffic, self._meter
                    ),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            text = f"no connection: {error or 'timed out'}"
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectionBrokenError(text, False, refused) from None
        return connection

    def _close_stale(self, now: float) -> None:
        kept, max_idle_s = [], self._max_idle_s()
        for connection in self.idle:
            rest_s = max(0.0, min(max_idle_s, connection.idle_s) - IDLE_MARGIN_S)
            if connection.is_open and now - connection.idle_since < rest_s:
                kept.append(connection)
            else:
                connection.abort()
        self.idle = kept


@asynccontextmanager
async def borrow(
    pool: ConnectionPool, clock: Callable[[], float], timeout_s: float
) -> AsyncIterator[ClientConnection]:
    """Take a connection and give it back in the end, whatever happens.

    Args:
        pool: Where it is taken from.
        clock: Tells the present time, steady seconds.
        timeout_s: Longest wait for a new connection, seconds.

    Raises:
        ConnectionBrokenError: When none can be opened in time.
    """
    connection = await pool.take(clock(), timeout_s)
    try:
        yield connection
    finally:
        pool.give_back(connection, clock())
