"""What answers on a target's connections say of it, and what is not sent to it."""

import pytest

from robinspindle.core.statements import Statements
from robinspindle.core.targets import Announcement, Target
from robinspindle.httpclient import ClientConnection, Exchange, NotSentError
from robinspindle.platform.dialect import decode_answer
from robinspindle.sendwatch import SendWatch
from robinspindle.targettraffic import TargetTraffic


@pytest.fixture(autouse=True)
def without_event_loop(monkeypatch):
    """Nothing looks after the bytes that a fake transport takes."""
    monkeypatch.setattr(SendWatch, "note_written", lambda watch: None)


class FakeTransport:
    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *option):
        pass

    def abort(self):
        pass


class Talk:
    """A target and one connection to it."""

    def __init__(self):
        self.now = 10.0
        self.lines = []
        announced = Announcement("i1@5", "s", "10.0.0.1:80", "z", 4)
        self.target = Target(announced)
        traffic = TargetTraffic(self.target, lambda: self.now, self.log)
        self.transport = FakeTransport()
        self.connection = ClientConnection(decode_answer, traffic)
        self.connection.connection_made(self.transport)

    def log(self, text, **fields):
        self.lines.append((text, fields))

    def send(self, id="r1"):
        self.connection.send(Exchange(id, self.now), b"request")

    def answer(self, *headers, status=200, id="r1", length=0):
        lines = [f"HTTP/1.1 {status} x", f"X-Request-Id: {id}", *headers]
        lines.append(f"Content-Length: {length}")
        self.connection.data_received("\r\n".join([*lines, "", ""]).encode())


def test_a_head_is_heard_before_its_body_has_come():
    talk = Talk()
    talk.send()
    talk.answer("Server-Leaving: 1", length=1000)
    assert talk.target.stated.leaving
    assert talk.lines == [
        (
            "target says of itself",
            {
                "subject": "leaving",
                "seconds": None,
                "status": 200,
                "at": 10.0,
                "target": "i1@5",
                "request": "r1",
            },
        )
    ]


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_an_answer_nobody_waits_for_any_more_is_heard(status):
    talk = Talk()
    talk.send("r2")
    talk.answer("Server-Leaving: 1", status=status, id="r1")
    assert talk.target.stated.leaving


@pytest.mark.parametrize(
    ("status", "headers"),
    [(421, ()), (200, ("X-Instance-Id: i2",)), (503, ("X-Instance-Id: i2",))],
)
def test_an_answer_that_is_not_the_targets_own_says_nothing_of_it(status, headers):
    talk = Talk()
    talk.send()
    talk.answer(
        *headers,
        "Server-Leaving: 1",
        "Retry-After: 3",
        "Server-Limit: 2",
        status=status,
    )
    assert talk.target.stated == Statements()


def test_bytes_that_belong_to_no_request_say_nothing():
    talk = Talk()
    talk.answer("Server-Leaving: 1")
    assert talk.target.stated == Statements()


def test_a_surplus_answer_does_not_lift_a_limit():
    talk = Talk()
    talk.send()
    talk.answer("Server-Limit: 2")
    talk.now = 11.0
    talk.send("r2")
    talk.answer(id="r1")
    assert talk.target.stated.limit.per_s == 2.0


@pytest.mark.parametrize(
    ("stated", "reason"),
    [
        (Statements(leaving=True), "leaving"),
        (Statements(rest_until=10.1), "resting"),
    ],
)
def test_nothing_is_written_to_a_target_that_wants_nothing(stated, reason):
    talk = Talk()
    talk.target.stated = stated
    with pytest.raises(NotSentError, match=reason) as found:
        talk.send()
    assert not found.value.was_sent
    assert talk.transport.written == b""
    assert talk.connection.is_open


def test_rest_is_heard_and_ends_by_itself():
    talk = Talk()
    talk.send()
    talk.answer("Retry-After: 0.5", "X-Not-Executed: 1", status=503)
    text, fields = talk.lines[0]
    assert text == "target says of itself"
    assert (fields["subject"], fields["seconds"]) == ("rest", 0.5)
    with pytest.raises(NotSentError):
        talk.send("r2")
    talk.now = 10.5
    talk.send("r2")
    assert talk.transport.written == b"request" * 2
