"""Tells a peer that is gone from one that reads slowly, by what it acknowledges.

A system that is there acknowledges whatever reaches it, also while its process reads
nothing and there is no room for more. One that is gone owes an acknowledgement: for
bytes that were sent, or for a probe of its closed window. Probes are sent at ever
longer intervals, so the time since the last acknowledgement alone says nothing.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class SendQueue:
    """What the operating system says of the bytes written to a connection.

    Attributes:
        unacked: Packets that were sent and not acknowledged.
        probes: Probes of a closed window that were not acknowledged.
        unsent_bytes: Bytes that were not sent, as the peer has no room.
        acked_bytes: Bytes that were acknowledged since the connection was opened.
        ack_age_s: Time since the last acknowledgement, seconds.
    """

    unacked: int = 0
    probes: int = 0
    unsent_bytes: int = 0
    acked_bytes: int = 0
    ack_age_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether all that was written has been acknowledged."""
        return not self.unacked and not self.unsent_bytes


@dataclass
class Acknowledgements:
    """What was seen of a peer while bytes were on their way to it.

    Attributes:
        acked_bytes: Bytes that it has acknowledged so far.
        progress_at: When that was last found to have grown, monotonic seconds.
        owed_since: Since when it owes an acknowledgement, monotonic seconds; None if it
            owes none.
    """

    acked_bytes: int
    progress_at: float
    owed_since: float | None = None


def begin(queue: SendQueue, now: float) -> Acknowledgements:
    """Begin to look at a peer to which bytes are on their way."""
    return Acknowledgements(queue.acked_bytes, now)


def note_queue(seen: Acknowledgements, queue: SendQueue, now: float) -> None:
    """Take note of what the operating system says now, monotonic seconds."""
    if queue.acked_bytes > seen.acked_bytes:
        seen.acked_bytes, seen.progress_at = queue.acked_bytes, now
    if not queue.unacked and not queue.probes:
        seen.owed_since = None
        return
    acked_at = now - queue.ack_age_s
    if seen.owed_since is None or acked_at > seen.owed_since:
        seen.owed_since = now


def find_owed_s(seen: Acknowledgements, now: float) -> float:
    """Find for how long a peer has owed an acknowledgement, seconds."""
    return 0.0 if seen.owed_since is None else now - seen.owed_since


def find_stalled_s(seen: Acknowledgements, now: float) -> float:
    """Find for how long a peer has taken nothing, seconds."""
    return now - seen.progress_at
