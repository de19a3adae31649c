"""Callers of an entry that leave while a thread waits for their answer."""

import queue
import socket
import threading

import pytest

from robinspindle import completions
from robinspindle.core.documents import ClassSection, WorkspaceSection
from robinspindle.core.effects import Chunk, Started
from robinspindle.entry import GONE
from robinspindle.exceptions import CallerLeftError
from robinspindle.exchanges import open_exchange, wait_ended
from robinspindle.messages import Work
from robinspindle.metrics import EntryMetrics
from robinspindle.web import Answer, answer_json, make_server
from tests.test_hangups import connect_to


class RecordingEntry:
    """An entry that answers nothing and keeps how requests ended."""

    def __init__(self, events):
        self.metrics = EntryMetrics()
        self.ends = []
        self._events = queue.SimpleQueue()
        for event in events:
            self._events.put(event)

    def admit(self, workspace):
        return 0.0

    def submit(self, work, promise, resumption):
        return self._events

    def end(self, request, workspace, end, spender):
        self.ends.append((request, end))


def open_for(entry, has_caller_left, key=""):
    work = Work(request="r", kind="call", pool="p", key=key)
    workspace = WorkspaceSection(name="w", key_digest="d" * 64)
    work_class = ClassSection(name="c")
    return open_exchange(entry, work, workspace, work_class, None, has_caller_left)


@pytest.mark.parametrize(
    "events", [[], [Started("t", "r")], [Started("t", "r"), Chunk(0, ("a",))]]
)
def test_a_request_ends_when_its_caller_leaves_before_its_answer(events):
    entry = RecordingEntry(events)
    with pytest.raises(CallerLeftError):
        wait_ended(open_for(entry, lambda: True), [])
    assert entry.ends == [("r", GONE)]


def test_a_server_sees_that_a_caller_has_left_while_it_works():
    came, left = threading.Event(), threading.Event()

    def handle(request):
        came.set()
        while not request.has_caller_left():
            left.wait(0.01)
        left.set()
        return answer_json({})

    server = make_server("127.0.0.1:0", handle, 1, 100)
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        with connect_to(server.bind_addr) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert came.wait(10)
            assert not left.is_set()
        assert left.wait(10)
    finally:
        server.stop()


def test_comments_end_a_stream_whose_caller_has_left():
    ended = threading.Event()

    def write_comments():
        try:
            while not ended.wait(0.01):
                yield completions.COMMENT
        finally:
            ended.set()

    def handle(request):
        return Answer(200, write_comments())

    server = make_server("127.0.0.1:0", handle, 1, 100)
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        with connect_to(server.bind_addr) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            caller.shutdown(socket.SHUT_WR)
            assert caller.recv(1)
            assert not ended.is_set()
        assert ended.wait(10)
    finally:
        ended.set()
        server.stop()
