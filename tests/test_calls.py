"""Answers without end to calls of our own: to the store, engines, the platform."""

import asyncio
import itertools

import pytest

from robinspindle.calls import CallLimits, call_once
from robinspindle.connectionpool import ConnectionPool
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.platform.dialect import decode_answer
from robinspindle.platform.store import MAX_RESPONSE_BYTES
from standins.endless import BODIES, FRAMING, Endless
from standins.rawhttp import LOOPBACK, RawServer

LIMITS = CallLimits(1.0, 5.0, 5.0)
SLACK_BYTES = 16 << 20
"""What two sockets hold."""


async def call(endless, clock, limits=LIMITS):
    server = RawServer(lambda request, writer: endless.send({}, writer))
    await server.start()
    pool = ConnectionPool(HostPort(LOOPBACK, server.port), decode_answer)
    try:
        async with asyncio.timeout(10.0):
            with pytest.raises(ConnectionBrokenError) as raised:
                await call_once(pool, clock, b"GET / HTTP/1.1\r\n\r\n", limits)
            while not endless.is_closed:
                await asyncio.sleep(0.01)
        return str(raised.value)
    finally:
        await server.stop()


@pytest.mark.parametrize("name", [*FRAMING, *BODIES])
def test_an_answer_without_end_to_a_call_of_our_own_is_given_up(name):
    endless = Endless((FRAMING | BODIES)[name])
    asyncio.run(call(endless, lambda: 0.0))
    assert endless.sent < SLACK_BYTES


def test_a_response_of_the_store_without_end_is_given_up():
    endless = Endless(BODIES["unframed"])
    limits = CallLimits(1.0, 5.0, 5.0, MAX_RESPONSE_BYTES)
    assert "without end" in asyncio.run(call(endless, lambda: 0.0, limits))
    assert endless.sent < MAX_RESPONSE_BYTES + SLACK_BYTES


def test_an_answer_that_trickles_without_end_to_a_call_of_our_own_is_given_up():
    """Each piece came in time, so that it had no time limit at all."""
    seconds = itertools.count()
    endless = Endless(BODIES["chunks"], pause_s=0.01)
    assert "too long" in asyncio.run(call(endless, lambda: float(next(seconds))))
