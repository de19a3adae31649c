"""A link whose open connections can go silent for good while new ones work."""

import asyncio
from collections.abc import Callable

from standins.rawhttp import LOOPBACK, reset


class SilentLink:
    """Passes connections on to one port.

    Attributes:
        port: Where it listens.
        on_request: Told the first line of each piece that a caller sends.
        on_answer: Told the first line of the last request when an answer comes back.
    """

    def __init__(self, target_port: int):
        self.port = 0
        self.on_request: Callable[[str], None] = lambda line: None
        self.on_answer: Callable[[str], None] = lambda line: None
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Event] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Have all connections that are open go silent for good; return how many."""
        count = len(self._open)
        for is_silent in self._open:
            is_silent.set()
        return count

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        try:
            there_reader, there = await asyncio.open_connection(
                LOOPBACK, self._target_port
            )
        except OSError:
            reset(writer)
            return
        is_silent = asyncio.Event()
        self._open.add(is_silent)
        self._writers |= {writer, there}
        last = [""]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_on(reader, there, is_silent, last, True))
                group.create_task(
                    self._pass_on(there_reader, writer, is_silent, last, False)
                )
        except* (OSError, asyncio.CancelledError):
            reset(writer)
            reset(there)
        finally:
            self._open.discard(is_silent)
            self._writers -= {writer, there}
            writer.close()
            there.close()

    async def _pass_on(self, reader, writer, is_silent, last, is_request) -> None:
        while data := await reader.read(65536):
            if is_silent.is_set():
                continue
            if is_request:
                last[0] = data.partition(b"\r\n")[0].decode("latin-1")
                self.on_request(last[0])
            writer.write(data)
            await writer.drain()
            if not is_request:
                self.on_answer(last[0])
        if is_silent.is_set():
            # Nothing of it reaches the other end.
            await asyncio.Event().wait()
        if writer.can_write_eof():
            writer.write_eof()
