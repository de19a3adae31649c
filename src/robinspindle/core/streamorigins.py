"""Which target began a stream, so that no target of another software version goes on.

Each gateway keeps a bounded table of streams that it passed on, was told of or has
asked for. Who is told follows from the stream's key by rendezvous hashing, so that a
gateway that has never seen the stream knows whom to ask. What is not known is never
guessed.
"""

import hashlib
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import NewType

from robinspindle.core.subsets import rank_names

KEY_BYTES = 12
"""Size of a stream's key, bytes: two of a million million streams rarely share one."""

HOLDERS = 3
"""Number of other gateways that are told of a stream, of which some may be dead."""

HEARD_ASKED = 6
"""Number of heard gateways that are asked for a stream: its holders, one place further
down as the teller did not count itself, and two that only one of both hears."""

MOST_ASKED = 16
"""Maximum number of gateways that are asked for a stream, those that are not heard
included: the store also names gateways that are long gone."""

ORIGIN_LIFE_S = 300.0
"""How long an origin is kept after it was last noted, seconds."""

MOST_ORIGINS = 32_768
"""Maximum number of origins that a gateway keeps, about 8 MB; the oldest give way."""

StreamKey = NewType("StreamKey", bytes)
"""What identifies a stream: a digest of its workspace and its first attempt's id."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Who began a stream.

    Attributes:
        service: The service of the target that began it.
        software_version: That target's software version.
        lifetime: That target's lifetime.
        opened_ms: When the connection that brought its first event was opened, Unix
            milliseconds by the time of day of the gateway that did.
    """

    service: str
    software_version: str
    lifetime: str
    opened_ms: int


@dataclass(frozen=True, slots=True)
class NotedOrigin:
    """An origin in a table.

    Attributes:
        origin: The origin.
        noted_at: When it was last noted, monotonic seconds.
    """

    origin: StreamOrigin
    noted_at: float


@dataclass
class OriginTable:
    """The origins that a gateway knows.

    Attributes:
        entries: By the stream's key, the one that was noted the longest ago first.
        capacity: Maximum number of entries.
    """

    entries: dict[StreamKey, NotedOrigin] = field(default_factory=dict)
    capacity: int = MOST_ORIGINS


def make_stream_key(workspace: str, attempt_id: str) -> StreamKey:
    """Make a stream's key.

    Args:
        workspace: The caller's workspace; empty where there are no keys.
        attempt_id: Id of the caller's attempt that brought the first event.
    """
    # The length keeps one workspace's ids apart from those of another.
    text = f"{len(workspace)}:{workspace}{attempt_id}"
    data = text.encode("utf-8", "surrogatepass")
    return StreamKey(hashlib.blake2b(data, digest_size=KEY_BYTES).digest())


def note_origin(
    table: OriginTable, key: StreamKey, origin: StreamOrigin, now: float
) -> bool:
    """Note who began a stream, for a full life again; the first origin is kept.

    Returns:
        Whether no origin of another service or software version is known.
    """
    known = find_origin(table, key, now)
    if known is not None and not _fit_together(known, origin):
        return False
    table.entries.pop(key, None)
    table.entries[key] = NotedOrigin(known or origin, now)
    _drop_oldest(table, now)
    return True


def find_origin(table: OriginTable, key: StreamKey, now: float) -> StreamOrigin | None:
    """Find who began a stream; None if that is not known or too long ago."""
    noted = table.entries.get(key)
    if noted is None or _has_expired(noted, now):
        return None
    return noted.origin


def choose_holders(key: StreamKey, gateways: Sequence[str], count: int) -> list[str]:
    """Choose gateways by rendezvous hashing of a stream's key, best first.

    Args:
        key: The stream's key.
        gateways: Names of the gateways to choose from.
        count: Maximum number to choose.
    """
    return rank_names(key.hex(), gateways)[:count]


def choose_told(
    key: StreamKey, gateways: Sequence[str], heard: AbstractSet[str]
) -> list[str]:
    """Choose the gateways that are told of a stream: its holders.

    Args:
        key: The stream's key.
        gateways: Names of all other gateways that the store names.
        heard: Names of those that are heard; others are chosen only for want of them.
    """
    ranked = choose_holders(key, gateways, len(gateways))
    return sorted(ranked, key=lambda name: name not in heard)[:HOLDERS]


def choose_asked(
    key: StreamKey, gateways: Sequence[str], heard: AbstractSet[str]
) -> list[str]:
    """Choose the gateways that are asked for a stream; see `choose_told`.

    Those that are not heard here may be heard by the gateway that has told them.
    """
    asked: list[str] = []
    for name in choose_holders(key, gateways, MOST_ASKED):
        if len(heard.intersection(asked)) == HEARD_ASKED:
            break
        asked.append(name)
    return asked


def _fit_together(known: StreamOrigin, origin: StreamOrigin) -> bool:
    """Whether what both wrote may be in one stream."""
    return (known.service, known.software_version) == (
        origin.service,
        origin.software_version,
    )


def _drop_oldest(table: OriginTable, now: float) -> None:
    while table.entries:
        key = next(iter(table.entries))
        is_full = len(table.entries) > table.capacity
        if not is_full and not _has_expired(table.entries[key], now):
            return
        del table.entries[key]


def _has_expired(noted: NotedOrigin, now: float) -> bool:
    return now - noted.noted_at > ORIGIN_LIFE_S
