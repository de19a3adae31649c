from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.events import EventSplitter, take_events

STREAM = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM)), max_size=20))
def test_only_complete_events_are_returned_and_none_is_lost(cuts):
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    out = b""
    for start, end in zip(bounds, bounds[1:], strict=False):
        complete = take_events(splitter, STREAM[start:end])
        assert complete == b"" or complete.endswith(b"\n\n")
        out += complete
    assert out == STREAM
    assert (splitter.events, splitter.last_id, splitter.rest) == (7, "7", b"")


def test_an_incomplete_event_is_kept():
    splitter = EventSplitter()
    assert (
        take_events(splitter, b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    )
    assert (splitter.last_id, splitter.rest) == ("1", b"id: 2\nda")
