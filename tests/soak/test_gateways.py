"""Ports of gateway processes, and gateways that end by themselves."""

import asyncio
import socket

import pytest

from soak.gateways import EndedGatewayError, is_free, prepare_gateway
from standins.rawhttp import LOOPBACK

TIMEOUT_S = 20.0
"""Time after which a test that hangs fails, seconds."""


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_at_which_another_listens_by_tcp_or_udp_is_not_free(kind):
    with socket.socket(type=kind) as other:
        other.bind((LOOPBACK, 0))
        if kind is socket.SOCK_STREAM:
            other.listen()
        port = other.getsockname()[1]
        assert not is_free(port)
    assert is_free(port)


def test_a_gateway_that_does_not_start_is_told_with_the_last_line_of_its_log(tmp_path):
    async def scenario():
        gateway = prepare_gateway(tmp_path, "gateway-0", store=1)
        text = gateway.settings.read_text()
        gateway.settings.write_text(text.replace("Zone =", "Other ="))
        await gateway.start()
        with pytest.raises(EndedGatewayError, match="Zone: is required"):
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    gateway.check()
                    await asyncio.sleep(0.05)
        await gateway.end(9)
        with pytest.raises(EndedGatewayError):
            await gateway.start()

    asyncio.run(scenario())


def test_a_gateway_that_was_killed_has_not_ended_by_itself(tmp_path):
    async def scenario():
        gateway = prepare_gateway(tmp_path, "gateway-0", store=1)
        await gateway.start()
        await gateway.end(9)
        gateway.check()

    asyncio.run(scenario())
