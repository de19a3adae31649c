"""The operators' API beside changes of the state that it shows."""

import random
import re
import threading
from pathlib import Path

import msgspec
import pytest

from robinspindle.core.activerequests import Dispatcher
from robinspindle.core.records import Published
from robinspindle.core.state import State, read_configuration
from robinspindle.core.statemachine import apply
from robinspindle.metrics import EntryMetrics
from robinspindle.operators import make_operators_handler
from robinspindle.settings import EntrySettings
from robinspindle.web import Request, make_server
from tests.test_hangups import connect_to

SAMPLE = Path(__file__).parents[1] / "examples" / "haddad.ini"
PORT = "127.0.0.1:1"


class ChangingEntry:
    """An entry whose configuration drops a target after so many reads of its state."""

    def __init__(self, reads):
        text = SAMPLE.read_text()
        dropped = re.sub(r"\[target engine-1\][^\[]*", "", text)
        first = apply(State(), 0, Published(id="first", text=text))
        second = apply(first, 1, Published(id="second", text=dropped))
        self._states = [first] * reads + [second]
        self.settings = EntrySettings("e", "z", PORT, PORT, f"http://{PORT}")
        self.metrics = EntryMetrics()
        self.dispatcher = Dispatcher("e", "z", random.Random(1))
        self.reports = {}
        self.is_ready = self.is_log_reached = True

    @property
    def state(self):
        return self._states.pop(0) if len(self._states) > 1 else self._states[0]

    @property
    def configuration(self):
        return read_configuration(self.state)


@pytest.mark.parametrize("reads", range(3, 16))
def test_the_status_is_told_while_a_target_goes(reads):
    """It was put together from two states, and a missing target ended it with 500."""
    request = Request(
        "GET", "/admin/status", "", {"authorization": "Bearer demo-operators"}, b""
    )
    answer = make_operators_handler(ChangingEntry(reads))(request)
    status = msgspec.json.decode(b"".join(answer.body))
    assert len(status["targets"]) in (8, 9)


def test_a_request_whose_handler_fails_is_answered():
    def handle(request):
        raise ValueError("unforeseen")

    server = make_server("127.0.0.1:0", handle, 1, 100)
    server.error_log = lambda *args, **kwargs: None
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        with connect_to(server.bind_addr) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert caller.recv(100).startswith(b"HTTP/1.1 500 ")
    finally:
        server.stop()
