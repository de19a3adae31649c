"""Requests that wait in the gateway until its own link can send them."""

import asyncio
from collections.abc import Callable

from robinspindle.core import uplink
from robinspindle.core.uplink import Uplink


def ignore_sent(size: int) -> None:
    """Stand for who counts the bytes that are sent."""


class LinkQueue:
    """Hands requests to the link in order; one whose caller leaves drops out.

    Attributes:
        uplink: The load of the link.
    """

    def __init__(self, clock: Callable[[], float]):
        self.uplink = Uplink()
        self._clock = clock
        self._turn = asyncio.Lock()

    async def reserve(self, size: int) -> None:
        """Wait until a request may be handed to the link, and count it as sent.

        Args:
            size: Size of the request, bytes.
        """
        self.uplink.waiting_bytes += size
        try:
            async with self._turn:
                while (delay_s := uplink.find_delay(self.uplink, self._clock())) > 0:
                    await asyncio.sleep(delay_s)
        finally:
            self.uplink.waiting_bytes -= size
        self.note_sent(size)

    def note_sent(self, size: int) -> None:
        """Count a message that was handed to the link without waiting."""
        uplink.note_sent(self.uplink, self._clock(), size)

    def estimate_arrival(self, size: int) -> float:
        """Estimate how long a new request takes to leave the VM, seconds."""
        return uplink.estimate_arrival(self.uplink, self._clock(), size)
