"""A peer's close is seen without reading, whatever was received before it."""

import socket

import pytest

from robinspindle.hangups import is_closed_by_peer


@pytest.mark.parametrize("unread", [b"", b"a request"])
def test_a_close_is_seen_also_behind_unread_bytes(unread):
    ours, theirs = _connect()
    with ours:
        theirs.sendall(unread)
        assert not is_closed_by_peer(ours.fileno())
        theirs.close()
        assert is_closed_by_peer(ours.fileno())


def connect_to(address):
    return socket.create_connection(address)


def _connect():
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = connect_to(server.getsockname())
        theirs, _ = server.accept()
    return ours, theirs
