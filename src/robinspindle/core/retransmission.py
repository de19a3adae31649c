"""Repeated sending of updates to other gateways, as datagrams may be lost."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

TRANSMISSIONS = 4
RETRANSMIT_INTERVAL_S = 0.15
"""How many times an update is sent, and the minimum time between two transmissions,
seconds. Hardly any update misses a gateway, even over three hops that lose datagrams,
and all transmissions are done well within a second."""


@dataclass
class Retransmission:
    """The transmissions of one update that remain.

    Attributes:
        due_at: When it is sent next, monotonic seconds.
        left: How many times it is still sent.
    """

    due_at: float
    left: int = TRANSMISSIONS


@dataclass
class Retransmissions(Generic[Key]):
    """All updates that are still being sent, by a key."""

    due: dict[Key, Retransmission] = field(default_factory=dict)


def start_sending(updates: Retransmissions[Key], key: Key, now: float) -> None:
    """Send an update from now on; restarts its transmissions if it was sent before."""
    updates.due[key] = Retransmission(now)


def stop_sending(updates: Retransmissions[Key], key: Key) -> None:
    """Cancel the remaining transmissions of an update."""
    updates.due.pop(key, None)


def take_due(updates: Retransmissions[Key], now: float) -> list[Key]:
    """Return the keys of the updates to send now, and schedule their next transmission.

    Updates without remaining transmissions are removed.
    """
    keys = [key for key, update in updates.due.items() if now >= update.due_at]
    for key in keys:
        update = updates.due[key]
        update.due_at = now + RETRANSMIT_INTERVAL_S
        update.left -= 1
        if update.left == 0:
            del updates.due[key]
    return keys
