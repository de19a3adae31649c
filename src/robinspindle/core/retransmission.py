"""News that are told several times, as datagrams are lost."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

TRANSMISSIONS = 4
RETRANSMIT_INTERVAL_S = 0.15
"""How often news are told, and the least time between, seconds: at three lost datagrams
in a hundred and three hops, one of 7,000 news is missed by somebody, and all are told
well within a second."""


@dataclass
class Retransmission:
    """How one piece of news is still to be told.

    Attributes:
        due_at: When it is told next, steady seconds.
        left: How many times it is still told.
    """

    due_at: float
    left: int = TRANSMISSIONS


@dataclass
class Retransmissions(Generic[Key]):
    """All news that are still to be told, by a key."""

    due: dict[Key, Retransmission] = field(default_factory=dict)


def start_sending(tellings: Retransmissions[Key], key: Key, now: float) -> None:
    """Tell news from now on, also where the same were told before."""
    tellings.due[key] = Retransmission(now)


def stop_sending(tellings: Retransmissions[Key], key: Key) -> None:
    """Tell news no more."""
    tellings.due.pop(key, None)


def take_due(tellings: Retransmissions[Key], now: float) -> list[Key]:
    """Take the keys of what is to be told now."""
    keys = [key for key, telling in tellings.due.items() if now >= telling.due_at]
    for key in keys:
        telling = tellings.due[key]
        telling.due_at = now + RETRANSMIT_INTERVAL_S
        telling.left -= 1
        if telling.left == 0:
            del tellings.due[key]
    return keys
