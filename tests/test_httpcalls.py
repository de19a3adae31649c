"""Calls that wait in a thread take for answers what is one, and nothing else."""

import contextlib
import socket
import threading
from contextlib import contextmanager

import pytest

from robinspindle.engines import Engine
from robinspindle.exceptions import EngineUnreachableError
from robinspindle.httpcalls import UpstreamLimits
from robinspindle.messages import Work

HEAD = b"HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 2\r\n\r\n"
CUTS = [*range(0, len(HEAD), 3), len(HEAD) - 1, len(HEAD), len(HEAD) + 1]
STATUSES = [b"000", b"099", b"101", b"600", b"999", b"20", b"2000", b"x"]


BOUND_BYTES = 1 << 20
MOST_SENT_BYTES = 32 << 20
"""More than a bound and what two sockets hold; far less than what would be sent."""

ENDLESS_BYTES = 256 << 20
ENDLESS = {
    "unframed": b"\r\n",
    "length": b"Content-Length: 1000000000000000\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "chunk": b"Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
}
"""Heads before bodies that do not end."""


@contextmanager
def answer_without_end(shape, status=b"200 OK"):
    """Listen for one connection; its answer has no end. Gives a count of what went."""
    listener = socket.create_server(("127.0.0.1", 0))
    sent = [0]
    piece = b"x" * 65536
    if shape == "chunks":
        piece = b"10000\r\n" + piece + b"\r\n"

    def serve():
        connection, _ = listener.accept()
        with connection, contextlib.suppress(ConnectionError):
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 " + status + b"\r\n" + ENDLESS[shape])
            while sent[0] < ENDLESS_BYTES:
                connection.sendall(piece)
                sent[0] += len(piece)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield "{}:{}".format(*listener.getsockname()), sent
    finally:
        thread.join()
        listener.close()


@contextmanager
def answer_with(data, resets=False, count=1):
    """Listen for connections; each gets bytes for its request, and is ended."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        for _ in range(count):
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(data)
                if resets:
                    option = b"\1\0\0\0\0\0\0\0"
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield "{}:{}".format(*listener.getsockname())
    finally:
        thread.join()
        listener.close()


def call(address, max_bytes=BOUND_BYTES):
    work = Work(request="r1", kind="call", pool="p", method="GET", path="/x")
    return Engine(address, 1, UpstreamLimits(max_bytes)).call(work)


def generate(address):
    work = Work(request="r1", kind="generate", pool="p")
    return list(Engine(address, 1, UpstreamLimits(BOUND_BYTES)).generate(work, "run"))


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("cut", CUTS)
def test_an_answer_cut_anywhere_is_not_taken_for_a_whole_one(cut, resets):
    # One cut in its head came as a 200 with an empty body.
    data = (HEAD + b"ok")[:cut]
    with answer_with(data, resets) as address, pytest.raises(EngineUnreachableError):
        call(address)


@pytest.mark.parametrize("status", STATUSES)
def test_a_status_that_http_does_not_know_is_not_passed_on(status):
    data = b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok" % status
    with answer_with(data) as address, pytest.raises(EngineUnreachableError):
        call(address)


@pytest.mark.parametrize("interim", [b"", b"100 Continue", b"103 Early Hints"])
def test_the_answer_behind_interim_ones_is_taken(interim):
    before = b"HTTP/1.1 %s\r\nX-Two: 2\r\n\r\n" % interim if interim else b""
    with answer_with(2 * before + HEAD + b"ok") as address:
        answer = call(address)
    assert (answer.status, answer.body) == (200, b"ok")
    assert answer.headers == (("X-One", "1"),)


def test_interim_answers_without_end_hold_no_thread():
    interims = b"HTTP/1.1 100 Continue\r\n\r\n" * 100
    data = interims + HEAD + b"ok"
    with answer_with(data) as address, pytest.raises(EngineUnreachableError):
        call(address)


@pytest.mark.parametrize("ask", [call, generate])
@pytest.mark.parametrize("status", [b"200 OK", b"500 Failed"])
@pytest.mark.parametrize("shape", ENDLESS)
def test_a_body_without_end_is_not_kept_in_memory(shape, status, ask):
    # An agent kept all of it until its process had no memory left.
    answers = answer_without_end(shape, status)
    with answers as (address, sent), pytest.raises(EngineUnreachableError):
        ask(address)
    assert sent[0] < MOST_SENT_BYTES


def test_a_whole_answer_within_the_bound_is_taken():
    body = b"x" * (BOUND_BYTES // 2)
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    with answer_with(data) as address:
        assert call(address).body == body
