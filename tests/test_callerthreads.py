"""What a server whose threads serve callers does with them as it ends."""

import http.client
import socket
import ssl
import threading
import time
from pathlib import Path

import pytest

from robinspindle.web import Answer, answer_json, make_server

DATA = Path(__file__).parent / "system" / "data"
CERTIFICATE, KEY = f"{DATA}/loopback.crt", f"{DATA}/loopback.key"

ROOM_BYTES = 65536
PIECES = 150
"""What a caller's connection has room for, and pieces of that length in an answer that
is more than the buffers of a connection hold."""

STOPPING_S = 1.5
"""How long a server has been stopping when its callers go on, seconds."""

BODY_LIMIT = 1000

WHOLE = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
HALF = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhal"


def connect(server, is_tls):
    caller = socket.socket()
    caller.settimeout(10)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ROOM_BYTES)
    caller.connect(server.bind_addr)
    if not is_tls:
        return caller
    context = ssl.create_default_context(cafile=CERTIFICATE)
    context.check_hostname = False
    return context.wrap_socket(caller)


def start(handle, is_tls):
    """Start a server of one thread."""
    tls = (CERTIFICATE, KEY) if is_tls else ()
    server = make_server("127.0.0.1:0", handle, 1, BODY_LIMIT, *tls)
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def stop_beside(handle, data, is_tls):
    """Stop a server some time after a caller has sent something.

    Returns:
        The caller's connection, and the thread that ends the server.
    """
    server = start(handle, is_tls)
    caller = connect(server, is_tls)
    caller.sendall(data)
    time.sleep(0.5)
    stopping = threading.Thread(target=server.stop, daemon=True)
    stopping.start()
    time.sleep(STOPPING_S)
    return caller, stopping


def read_answer(caller):
    with caller:
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        return answer.status, answer.read()


@pytest.mark.parametrize("is_tls", [False, True])
def test_an_answer_that_is_read_slowly_stays_encrypted_as_its_server_ends(is_tls):
    # The rest of it was sent in plain text, over the same connection.
    pieces = [b"p" * ROOM_BYTES] * PIECES
    caller, stopping = stop_beside(lambda _: Answer(200, iter(pieces)), WHOLE, is_tls)
    assert read_answer(caller) == (200, b"".join(pieces))
    stopping.join(10)
    assert not stopping.is_alive()


@pytest.mark.parametrize("is_tls", [False, True])
def test_a_body_that_is_not_whole_as_its_server_ends_is_refused_as_not_run(is_tls):
    # Its caller was told that the body was wrong, with TLS in plain text.
    caller, stopping = stop_beside(lambda _: answer_json({}), HALF, is_tls)
    status, body = read_answer(caller)
    assert status == 503
    assert b'"code":"stopping"' in body
    assert b'"ran":"no"' in body
    stopping.join(10)
    assert not stopping.is_alive()


@pytest.mark.parametrize("is_tls", [False, True])
def test_a_slow_caller_that_gives_its_thread_up_is_told_so_with_tls_too(is_tls):
    # With TLS its connection was closed without an answer.
    server = start(lambda _: answer_json({}), is_tls)
    try:
        slow = connect(server, is_tls)
        slow.sendall(HALF)
        time.sleep(0.5)
        other = connect(server, is_tls)
        status, body = read_answer(slow)
        assert status == 503
        assert b'"code":"crowded_out"' in body
        other.close()
    finally:
        server.stop()
