"""The entry's process where its decisions fail."""

import signal

import pytest

from robinspindle.core.activerequests import LatencyObjective
from robinspindle.entry import Entry
from robinspindle.exceptions import EntryStoppedError
from robinspindle.messages import Work
from robinspindle.settings import EntrySettings

PORT = "127.0.0.1:1"


def submit(entry, request):
    work = Work(request=request, kind="call", pool="p")
    return entry.submit(work, LatencyObjective(1.0, 1.0))


def test_an_entry_whose_loop_fails_answers_what_is_under_way(monkeypatch):
    """Its callers' connections were closed without a word."""
    entry = Entry(EntrySettings("e", "z", PORT, PORT, f"http://{PORT}"), None)

    def fail(items):
        raise ValueError("unforeseen")

    monkeypatch.setattr(signal, "signal", lambda *_: None)
    monkeypatch.setattr(entry, "_turn", fail)
    events = submit(entry, "r1")
    with pytest.raises(ValueError, match="unforeseen"):
        entry.run()
    assert events.get(timeout=1).ran == "unknown"
    with pytest.raises(EntryStoppedError):
        submit(entry, "r2")
