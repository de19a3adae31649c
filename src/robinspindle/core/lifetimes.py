"""Lifetimes of targets: an id and a start time, together.

A target may start again under the same id. It then has none of its earlier state.
Therefore all that is known of a target is keyed by its lifetime, never by its id. Only
this module joins and splits the two. On the wire a target is named by its id alone.
"""

from typing import NewType

from robinspindle.core.decoding import is_token, parse_whole

Lifetime = NewType("Lifetime", str)
"""An id, followed by ``@`` and the Unix millisecond of its start if that is known."""

SEPARATOR = "@"
"""Separates an id from its start; no id contains it (`is_id`)."""

MAX_ID_LENGTH = 200
"""Longest id, characters; it goes into the header section of each request."""

MAX_START_MS = 2**63 - 1
"""Latest start of a lifetime that can be told to other gateways, Unix milliseconds."""


def is_id(text: str) -> bool:
    """Return whether a text can name a target on the wire and in a lifetime."""
    return is_token(text, MAX_ID_LENGTH) and SEPARATOR not in text


def is_lifetime(text: str) -> bool:
    """Return whether a text has the form of a lifetime."""
    id, separator, _ = text.partition(SEPARATOR)
    return is_id(id) and (not separator or find_start_ms(text) is not None)


def make_lifetime(id: str, start_ms: int | None) -> Lifetime:
    """Make the lifetime of a target.

    Args:
        id: Its id.
        start_ms: Start of the lifetime, Unix milliseconds; None for unknown.
    """
    return Lifetime(id if start_ms is None else f"{id}{SEPARATOR}{start_ms}")


def find_id(lifetime: str) -> str:
    """Return the id that names a lifetime on the wire."""
    return lifetime.partition(SEPARATOR)[0]


def find_start_ms(lifetime: str) -> int | None:
    """Return the start of a lifetime, Unix milliseconds; None for unknown."""
    return parse_whole(lifetime.partition(SEPARATOR)[2], MAX_START_MS)


def is_later(lifetime: str, other: str) -> bool:
    """Return whether a lifetime of an id began after another one of the same id.

    A lifetime with unknown start is never later than one with a known start.
    """
    start_ms, other_ms = find_start_ms(lifetime), find_start_ms(other)
    if start_ms is None:
        return False
    return other_ms is None or start_ms > other_ms
