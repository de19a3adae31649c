"""A gateway's introduction to the others: one record in the store, kept there."""

import asyncio
import random
from collections.abc import Callable

from robinspindle.exceptions import LogServiceError
from robinspindle.following import KeyedStore
from robinspindle.logs import Log

PAUSE_S = 1.0
"""Pause before another try, seconds."""

LOOK_S = 0.5
"""How often it is looked whether the store still holds it, seconds."""

SPREAD_S = 2.0
"""Within how long the introductions that a copy of the store lacks are written again,
seconds: the calls of many gateways then stay far below what the store takes."""


class Introduction:
    """Keeps the record of one gateway in the store.

    Attributes:
        is_stored: Whether the store holds it, by what was read last.
        is_read: Whether all that the store holds was read since its last return.
        is_lost: Whether the store may have lost it.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        name: str,
        write: Callable[[], bytes],
        log: Log,
    ):
        self.is_stored = False
        self.is_read = False
        self.is_lost = False
        self._store = store
        self._topic = topic
        self._name = name
        self._write = write
        self._log = log

    def note_era(self) -> None:
        """Take note that the store returned from a copy, which may lack it."""
        self.is_stored = False
        self.is_read = False
        self.is_lost = True

    async def keep(self) -> None:
        """Write it, and again where the store lost it, while the process runs."""
        await self._introduce()
        while True:
            await asyncio.sleep(LOOK_S)
            if not self.is_lost or not self.is_read:
                continue
            self.is_lost = False
            if not self.is_stored:
                await asyncio.sleep(random.uniform(0.0, SPREAD_S))
                await self._introduce()

    async def _introduce(self) -> None:
        while True:
            try:
                await self._store.append_keyed(self._topic, self._name, self._write())
            except LogServiceError as error:
                self._log("not introduced to peers yet", error=str(error))
                await asyncio.sleep(PAUSE_S)
            else:
                self.is_stored = True
                return
