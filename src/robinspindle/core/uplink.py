"""The load of a gateway's own network link, as far as the gateway has caused it.

What was handed to the operating system can't be taken back: it leaves the VM in order,
however long that takes. The gateway therefore estimates when the link will have sent
everything, and keeps requests to itself while that is far off.
"""

import math
from dataclasses import dataclass

USABLE_SHARE = 0.9
"""Share of the link's rate that payloads get; packet headers, acknowledgements and
calls to the store use the rest."""

MAX_BACKLOG_S = 0.1
"""Maximum backlog of the link with which another request is handed to it, seconds: a
fifth of the time within which work for a caller that left has to end."""


@dataclass
class Uplink:
    """The sending direction of a VM's link.

    Attributes:
        bytes_per_s: Its rate; infinite if unknown.
        free_at: When it will have sent all that was handed to it, monotonic seconds.
        waiting_bytes: Size of the requests that were not handed to it yet.
    """

    bytes_per_s: float = math.inf
    free_at: float = 0.0
    waiting_bytes: int = 0


def note_sent(uplink: Uplink, now: float, size: int) -> None:
    """Record that a message was handed to the link.

    Args:
        uplink: The link.
        now: The current time, monotonic seconds.
        size: Size of the message, bytes.
    """
    uplink.free_at = max(uplink.free_at, now) + _find_transfer_s(uplink, size)


def find_delay(uplink: Uplink, now: float) -> float:
    """Return how long no further request may be handed to the link, seconds."""
    return max(0.0, uplink.free_at - now - MAX_BACKLOG_S)


def estimate_arrival(uplink: Uplink, now: float, size: int) -> float:
    """Estimate how long a new request takes to leave the VM, seconds.

    It leaves behind all that was handed to the link, and all requests that wait.
    """
    backlog_s = max(0.0, uplink.free_at - now)
    return backlog_s + _find_transfer_s(uplink, uplink.waiting_bytes + size)


def _find_transfer_s(uplink: Uplink, size: int) -> float:
    return size / (USABLE_SHARE * uplink.bytes_per_s)
