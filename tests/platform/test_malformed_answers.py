"""Bytes that are no answer reach no caller, and end its wait at once."""

import pytest

from standins.rawhttp import reset
from tests.platform.deployment import KINDS, deploy, run

OWN = b"X-Request-Id: r1\r\nX-Response-Seal: seal-i1\r\n"
SHORT = b"Content-Length: 2\r\n\r\nok"

STATUS_LINES = [
    *(b"HTTP/1.1 %s X" % status for status in (b"000", b"001", b"099", b"101")),
    *(b"HTTP/1.1 %s X" % status for status in (b"600", b"700", b"999", b"1000")),
    *(b"HTTP/1.1 %s X" % status for status in (b"20", b"-20", b"+200", b"2OO", b"")),
    *(b"HTTP/1.0 000 X", b"HTTP/9.9 200 X", b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X"),
]
CODINGS = [
    b"Transfer-Encoding: gzip\r\n\r\nok",
    b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok",
    b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    b"Content-Length: -1\r\n\r\nok",
]
MALFORMED = [
    *(line + b"\r\n" + OWN + SHORT for line in STATUS_LINES),
    *(b"HTTP/1.1 200 OK\r\n" + OWN + coding for coding in CODINGS),
]


WHOLE = b"HTTP/1.1 200 OK\r\n" + OWN + SHORT
HEAD_BYTES = WHOLE.index(b"ok")
CUTS = [0, 5, 9, 12, 17, 30, *range(HEAD_BYTES - 4, len(WHOLE))]
"""In the version, status, headers, before each byte that ends the head, in the body."""


def do_nothing(writer):
    """Stand for an end that the server brings about: it closes the connection."""


def be_raw(replica, data, end=None):
    """Have a target answer its next request with bytes, and end the connection."""

    async def send_raw(request, writer):
        writer.write(data)
        await writer.drain()
        if end is reset:
            reset(writer)
        return end is None

    replica._be_raw = send_raw
    replica.behaviours.append("raw")


async def add_raw(d, lifetime, data):
    """Add a target whose next request gets bytes; its connection stays open."""
    replica = await d.add(lifetime)
    be_raw(replica, data)
    return replica


@pytest.mark.parametrize("data", MALFORMED, ids=repr)
def test_a_head_that_http_does_not_know_ends_a_request_at_once(data, tmp_path):
    # A status below 100 held its caller until its time limit, as the answer was
    # awaited after it; one above 599 was passed on.
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await add_raw(d, "i1", data)
            reply = await d.call("/once/x")
            assert (reply.status, len(replica.arrivals)) == (502, 1)
            assert d.gateway.directory.targets["i1"].failures == 1

    run(scenario())


@pytest.mark.parametrize("data", MALFORMED[:8], ids=repr)
def test_a_request_that_may_run_again_goes_on_elsewhere(data, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = await add_raw(d, "i1", data)
            second = await add_raw(d, "i2", data)
            # Whichever is asked first.
            second.behaviours = first.behaviours
            reply = await d.call("/safe/x")
            assert (reply.status, reply.body) == (200, b"body of r1")
            assert len(first.arrivals) == len(second.arrivals) == 1

    run(scenario())


@pytest.mark.parametrize("end", [do_nothing, reset])
@pytest.mark.parametrize("cut", CUTS)
def test_an_answer_cut_on_a_used_connection_is_not_taken_for_a_whole_one(
    cut, end, tmp_path
):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            assert (await d.call("/once/x", id="first")).status == 200
            be_raw(replica, WHOLE[:cut], end)
            reply = await d.call("/once/x")
            assert (reply.status, len(replica.arrivals)) == (502, 2)

    run(scenario())


@pytest.mark.parametrize("cut", CUTS[::3])
@pytest.mark.parametrize(("path", "service", "role"), KINDS[2:])
def test_a_stream_cut_in_its_head_is_not_taken_for_a_whole_one(
    path, service, role, cut, tmp_path
):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = await d.add("i1", service, role)
            second = await d.add("i2", service, role)
            be_raw(first, WHOLE[:cut], do_nothing)
            be_raw(second, WHOLE[:cut], do_nothing)
            second.behaviours = first.behaviours
            reply = await d.call(path, **d.prompt())
            may_rerun = path.startswith("/digest")
            assert reply.status == (200 if may_rerun else 502)
            assert reply.body.count(b"id: ") == (3 if may_rerun else 0)

    run(scenario())
