"""Lifetimes of targets: an id and a start, together.

A target may start again under the id that it had. It then holds and knows nothing of
before. All that is believed of a target is therefore kept by its lifetime, never by its
id; only this module puts the two together and takes them apart. On the wire a target is
named by its id alone.
"""

from typing import NewType

Lifetime = NewType("Lifetime", str)
"""An id, and ``@`` with the Unix millisecond of its start where that is told."""

MARK = "@"
"""Parts an id from its start; no id holds it (`is_id`)."""

MOST_ID_LENGTH = 200
"""Longest id, characters; it goes into the head of each request."""


def is_id(text: str) -> bool:
    """Whether a text can name a target on the wire and within a lifetime."""
    return (
        0 < len(text) <= MOST_ID_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
        and MARK not in text
    )


def make_lifetime(id: str, born_ms: int | None) -> Lifetime:
    """Make the lifetime of a target.

    Args:
        id: Its id.
        born_ms: When it started, Unix milliseconds; None where that is not told.
    """
    return Lifetime(id if born_ms is None else f"{id}{MARK}{born_ms}")


def find_id(lifetime: str) -> str:
    """Find the id by which the wire names a lifetime."""
    return lifetime.partition(MARK)[0]


def find_start_ms(lifetime: str) -> int | None:
    """Find when a lifetime started, Unix milliseconds; None where that is not told."""
    born_ms = lifetime.partition(MARK)[2]
    return int(born_ms) if born_ms else None


def is_later(lifetime: str, other: str) -> bool:
    """Whether a lifetime of the same id began after another one.

    One that tells no start is never later than one that does.
    """
    born_ms, other_ms = find_start_ms(lifetime), find_start_ms(other)
    if born_ms is None:
        return False
    return other_ms is None or born_ms > other_ms
