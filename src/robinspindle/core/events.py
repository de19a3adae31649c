"""Splits a stream of server-sent events, so that only complete ones are passed on."""

from dataclasses import dataclass, field

END = b"\n\n"


@dataclass
class EventSplitter:
    """The state of a stream of events that arrives in chunks.

    Attributes:
        rest: The beginning of an event that is incomplete so far.
        last_id: Id of the last complete event with an id; None before the first one.
        events: Number of complete events so far.
    """

    rest: bytes = b""
    last_id: str | None = None
    events: int = 0
    _scanned: int = field(default=0, repr=False)


def take_events(splitter: EventSplitter, chunk: bytes) -> bytes:
    """Add a chunk of the stream and return the events that it completes."""
    data = splitter.rest + chunk
    end = data.rfind(END)
    if end < 0:
        splitter.rest = data
        return b""
    complete, splitter.rest = data[: end + len(END)], data[end + len(END) :]
    for event in complete.split(END):
        if event:
            splitter.events += 1
            id = _find_id(event)
            splitter.last_id = splitter.last_id if id is None else id
    return complete


def _find_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
