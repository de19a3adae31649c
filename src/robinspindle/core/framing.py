"""Bounds on what frames a message: heads, interim answers, chunk marks, trailers.

A faulty peer may send these without end. No proper message has more than a fixed amount
of them before, behind or between the pieces of its body. Bodies have no bound here:
whoever reads them stops reading while too much is unread.
"""

from dataclasses import dataclass

MOST_FRAMING_BYTES = 65536
"""Longest framing without a byte of a body: four times the longest head that callers
may usually send."""

HEAD_S = 2.0
"""Longest time from the first byte of a head to its last, seconds: a head fits into a
few packets, and one that is lost on the way is sent again within a second."""


@dataclass
class Framing:
    """What came of one message.

    Attributes:
        framing_bytes: Bytes of it since the last byte of its body.
        head_since: When an unfinished head was begun, monotonic seconds; None for none.
    """

    framing_bytes: int = 0
    head_since: float | None = None


def reset(framing: Framing) -> None:
    """Begin another message."""
    framing.framing_bytes = 0
    framing.head_since = None


def note_received(framing: Framing, count: int) -> bool:
    """Take note of bytes without any of a body; return whether they are too many.

    Args:
        framing: What came of the message before.
        count: Bytes that came.
    """
    framing.framing_bytes += count
    return framing.framing_bytes > MOST_FRAMING_BYTES


def note_unfinished_head(framing: Framing, now: float) -> bool:
    """Take note that a head came in part; return whether it has taken too long.

    Args:
        framing: What came of the message.
        now: The current time, monotonic seconds.
    """
    if framing.head_since is None:
        framing.head_since = now
    return now - framing.head_since > HEAD_S
