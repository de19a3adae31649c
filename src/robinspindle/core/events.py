"""Splits a stream of server-sent events, so that only complete ones are passed on."""

from dataclasses import dataclass

END = b"\n\n"

MAX_EVENT_BYTES = 1 << 18
"""Longest event: one holds a few tokens, hundreds of bytes."""

MAX_EVENT_S = 3.0
"""Longest time from the first piece of an event to its last, seconds: longer than
callers usually wait for one."""


@dataclass
class EventSplitter:
    """The state of a stream of events that arrives in chunks.

    Attributes:
        rest: The beginning of an event that is incomplete so far.
        last_id: Id of the last complete event with an id; None before the first one.
        events: Number of complete events so far.
        incomplete_s: How long the incomplete event has been coming, seconds.
    """

    rest: bytes = b""
    last_id: str | None = None
    events: int = 0
    incomplete_s: float = 0.0


def take_events(splitter: EventSplitter, chunk: bytes) -> bytes:
    """Add a chunk of the stream and return the events that it completes."""
    data = splitter.rest + chunk
    end = data.rfind(END)
    if end < 0:
        splitter.rest = data
        return b""
    splitter.incomplete_s = 0.0
    complete, splitter.rest = data[: end + len(END)], data[end + len(END) :]
    for event in complete.split(END):
        if event:
            splitter.events += 1
            id = _find_id(event)
            splitter.last_id = splitter.last_id if id is None else id
    return complete


def note_incomplete(splitter: EventSplitter, waited_s: float) -> bool:
    """Take note of an event that goes on; return whether no proper one is as long.

    Args:
        splitter: The state of the stream, with the latest piece.
        waited_s: How long that piece was waited for, seconds.
    """
    splitter.incomplete_s += waited_s
    is_long = len(splitter.rest) > MAX_EVENT_BYTES
    return is_long or splitter.incomplete_s > MAX_EVENT_S


def _find_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
