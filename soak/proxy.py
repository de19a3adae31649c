"""A loopback proxy that delays, slows, resets, cuts or silences connections."""

import asyncio
import random
from dataclasses import dataclass

from standins.rawhttp import LOOPBACK, reset

CHUNK = 65536
SLOW_CHUNK = 8192
"""Bytes that are passed on at a time; few on a slow link, which connections share."""


@dataclass(eq=False)
class Connection:
    """One connection that is passed on.

    Attributes:
        is_silent: Whether nothing gets through either way for good.
    """

    is_silent: bool = False


class Proxy:
    """Passes connections on to one address, as well as it is told to.

    Attributes:
        port: Where it listens.
        delay_s: Delay of each piece, seconds.
        bytes_per_s: How fast answers come through, all connections together; 0 for
            as fast as they can.
        bytes_per_s_in: The same for requests.
        cut: Which way nothing gets through: empty, ``in``, ``out`` or ``both``.
    """

    def __init__(self, target_port: int):
        self.port = 0
        self.delay_s = 0.0
        self.bytes_per_s = 0
        self.bytes_per_s_in = 0
        self.cut = ""
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._open: list[Connection] = []
        self._links = {"in": asyncio.Lock(), "out": asyncio.Lock()}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset(writer)

    def silence(self, rng: random.Random, share: float = 1.0) -> int:
        """Have open connections go silent for good; new ones work.

        Args:
            rng: Chooses them.
            share: The share that does.

        Returns:
            How many did.
        """
        chosen = rng.sample(self._open, round(share * len(self._open)))
        for connection in chosen:
            connection.is_silent = True
        return len(chosen)

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()
        self.reset_all()

    async def _serve(self, reader, writer) -> None:
        try:
            there_reader, there = await asyncio.open_connection(
                LOOPBACK, self._target_port
            )
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, there}
        connection = Connection()
        self._open.append(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, there, "in", connection))
                group.create_task(self._pump(there_reader, writer, "out", connection))
        except* (OSError, asyncio.CancelledError):
            reset(writer)
            reset(there)
        finally:
            self._open.remove(connection)
            self._writers -= {writer, there}
            writer.close()
            there.close()

    async def _pump(self, reader, writer, way: str, connection: Connection) -> None:
        while data := await reader.read(self._find_chunk(way)):
            await asyncio.sleep(self.delay_s)
            if bytes_per_s := self._find_speed(way):
                async with self._links[way]:
                    await asyncio.sleep(len(data) / bytes_per_s)
            while self.cut in (way, "both"):
                await asyncio.sleep(0.02)
            if connection.is_silent:
                continue
            writer.write(data)
            await writer.drain()
        if connection.is_silent and way == "out":
            # Who asked doesn't learn that the other end is gone.
            await asyncio.Event().wait()
        if writer.can_write_eof():
            writer.write_eof()

    def _find_speed(self, way: str) -> int:
        return self.bytes_per_s if way == "out" else self.bytes_per_s_in

    def _find_chunk(self, way: str) -> int:
        return SLOW_CHUNK if self._find_speed(way) else CHUNK
