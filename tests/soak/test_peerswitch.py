"""Gateways that reach each other through a switch, or don't."""

import asyncio
import socket
from pathlib import Path

import pytest

from robinspindle.originlink import PORT_OFFSET
from soak.gateways import GatewayProcess
from soak.peerswitch import PeerSwitch, SwitchedStore
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import find_inner_ports

SILENCE_S = 0.2
"""How long a datagram is waited for that must not come, seconds."""


class Gateway(GatewayProcess):
    """Stands in for a gateway, with the two sockets that it has."""

    def __init__(self, name):
        super().__init__(name, Path(f"{name}.toml"), 0, find_inner_ports())
        self.shown = 0
        self.sockets = []
        for number in range(PORT_OFFSET + 1):
            sock = socket.socket(type=socket.SOCK_DGRAM)
            sock.bind((LOOPBACK, self.inner + number))
            sock.setblocking(False)
            self.sockets.append(sock)

    async def join(self, switch):
        """Join a switch, and learn at which port it is shown."""
        await switch.add(self)
        own = b"%s:%d a 1" % (LOOPBACK.encode(), self.inner)
        shown = switch.show(self.name, own)
        self.shown = int(shown.split()[0].rpartition(b":")[2])
        assert shown != own

    async def reaches(self, other, number):
        """Whether another one hears it, from the port at which it is shown."""
        to = (LOOPBACK, other.shown + number)
        self.sockets[number].sendto(b"x", to)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SILENCE_S):
                _, source = await loop.sock_recvfrom(other.sockets[number], 10)
        except TimeoutError:
            return False
        assert source == (LOOPBACK, self.shown + number)
        return True


@pytest.mark.parametrize("number", [0, PORT_OFFSET])
@pytest.mark.parametrize(
    ("cut", "to_other", "from_other"),
    [("", True, True), ("in", True, False), ("out", False, True)]
    + [("both", False, False)],
)
def test_a_cut_gateway_is_not_heard_or_hears_nobody(cut, to_other, from_other, number):
    async def scenario():
        switch, one, other = PeerSwitch(), Gateway("g1"), Gateway("g2")
        for gateway in (one, other):
            await gateway.join(switch)
        switch.cuts["g1"] = cut
        heard = await one.reaches(other, number), await other.reaches(one, number)
        switch.stop()
        return heard

    assert asyncio.run(scenario()) == (to_other, from_other)


def test_a_store_announces_gateways_at_the_switch_and_leaves_other_records():
    async def scenario():
        switch, gateway = PeerSwitch(), Gateway("g1")
        store = SwitchedStore(switch)
        await gateway.join(switch)
        for key in ("g1", "version/2/lmv1"):
            value = b"%s:%d a 1" % (LOOPBACK.encode(), gateway.inner)
            await store.put("keyed.gateways", key, value)
        newest = store.take_copy()["keyed.gateways"].newest
        switch.stop()
        return gateway, {key: value for key, (value, _) in newest.items()}

    gateway, values = asyncio.run(scenario())
    assert b":%d " % gateway.shown in values["g1"]
    assert b":%d " % gateway.inner in values["version/2/lmv1"]
