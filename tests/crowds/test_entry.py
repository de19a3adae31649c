"""No crowd of clients ends an entry, or takes ordinary callers' answers away."""

import re
import socket
import threading
from contextlib import contextmanager

import pytest

from soak.processmemory import read_status
from standins.fleet import start_fleet, wait_until
from tests.system.helpers import notify

MEMORY_BYTES = 512 * 1_000_000
"""What an entry may have by its usual settings, bytes."""

BODY = 8 << 20
"""Length of the longest bodies by its usual settings, bytes."""

CALLERS = 140
"""More than an entry's threads."""

OPERATORS = 12
"""More than the threads of its listener for operators."""

PIECE = b"b" * 65536

ANSWERED_S = 60.0
"""Longest wait for an ordinary answer, seconds; no test depends on it."""

TRICKLE_S = 0.2

CALM_BYTES = 1 << 20


@pytest.fixture(scope="module")
def fleet():
    running = start_fleet("haddad", entries=1)
    yield running
    running.close()


def write_head(length):
    lines = ["POST /services/notification/send HTTP/1.1", "Host: x"]
    lines += ["Authorization: Bearer demo-alert-push", f"Content-Length: {length}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Trickle(threading.Thread):
    """Sends a byte now and then on each of many connections, until it is stopped."""

    def __init__(self, senders):
        super().__init__(daemon=True)
        self.is_over = threading.Event()
        self._senders = senders

    def run(self):
        while not self.is_over.wait(TRICKLE_S):
            for sender in self._senders:
                try:
                    sender.send(b"t")
                except OSError:
                    continue


@contextmanager
def crowd(url, count, length, sent):
    """Have clients begin bodies, and go on with single bytes."""
    host, port = url.removeprefix("http://").split(":")
    senders = [socket.create_connection((host, int(port))) for _ in range(count)]
    trickle = Trickle(senders)
    threads = [threading.Thread(target=send, args=(s, length, sent)) for s in senders]
    for thread in threads:
        thread.start()
    trickle.start()
    for thread in threads:
        thread.join()
    try:
        yield
    finally:
        trickle.is_over.set()
        trickle.join()
        for sender in senders:
            sender.close()


def send(sender, length, sent):
    # What no thread reads is not taken.
    sender.settimeout(5.0)
    try:
        sender.sendall(write_head(length))
        for start in range(0, sent, len(PIECE)):
            sender.sendall(PIECE[: sent - start])
    except OSError:
        return


def is_notified(fleet):
    try:
        response = fleet.http.request(
            "POST",
            f"{fleet.callers[0]}/services/notification/send",
            body=b"ordinary",
            headers={"Authorization": "Bearer demo-alert-push"},
            timeout=5,
        )
    except Exception:
        return False
    return response.status == 200


def is_healthy(fleet):
    try:
        path = f"{fleet.operators[0]}/healthz"
        return fleet.http.request("GET", path, timeout=5).status == 200
    except Exception:
        return False


def check(fleet):
    process = fleet.processes["entry-1"]
    assert process.poll() is None
    peak = read_status(process.pid, "VmHWM")
    print(f"VmHWM {peak}")
    assert peak <= MEMORY_BYTES
    wait_until(lambda: notify(fleet, "").status == 200, "an answer", ANSWERED_S)


def test_slow_bodies_leave_threads_to_ordinary_callers(fleet):
    with crowd(fleet.callers[0], CALLERS, BODY, sent=1000):
        wait_until(lambda: is_notified(fleet), "an answer beside", ANSWERED_S)
    check(fleet)


def test_slow_bodies_leave_threads_to_ordinary_operators(fleet):
    with crowd(fleet.operators[0], OPERATORS, BODY, sent=1000):
        wait_until(lambda: is_healthy(fleet), "an answer beside", ANSWERED_S)
    check(fleet)


def test_bodies_short_of_their_end_end_no_entry(fleet):
    with crowd(fleet.callers[0], CALLERS, BODY, sent=BODY - 100):
        wait_until(lambda: is_notified(fleet), "an answer beside", ANSWERED_S)
    check(fleet)


def test_whole_bodies_at_once_end_no_entry(fleet):
    with crowd(fleet.callers[0], CALLERS, BODY, sent=BODY):
        wait_until(lambda: is_notified(fleet), "an answer beside", ANSWERED_S)
    check(fleet)


def is_calm(fleet):
    """Whether nothing that an earlier crowd has sent is under way any more."""
    page = fleet.http.request("GET", f"{fleet.operators[0]}/metrics").data.decode()
    held = re.search(r"^robinspindle_caller_bytes (\S+)$", page, re.MULTILINE)
    return float(held[1]) < CALM_BYTES


def test_a_body_as_long_as_allowed_is_served_in_calm(fleet):
    wait_until(lambda: is_calm(fleet), "calm", ANSWERED_S)
    assert notify(fleet, "", body=b"x" * BODY).status == 200
