"""Stands between gateways, and keeps one from hearing the others, or them from it.

Gateways find each other by the addresses that they announce in the store. Each is
announced with an address of the switch, which passes datagrams on and keeps it apparent
who sent them.
"""

import asyncio

from soak.gateways import GatewayProcess, find_ports
from standins.logstore import LogStore
from standins.rawhttp import LOOPBACK

SOCKETS = 2
"""Sockets of a gateway to other gateways, on ports that follow each other."""

GATEWAYS_TOPIC = "keyed.gateways"


class PeerSwitch:
    """Passes datagrams on between gateways, as well as it is told to.

    Attributes:
        cuts: Which way no datagram of a gateway gets through, by its name: ``in``,
            ``out`` or ``both``.
    """

    def __init__(self):
        self.cuts: dict[str, str] = {}
        self._names: dict[int, str] = {}
        self._own_ports: dict[str, int] = {}
        self._shown_ports: dict[str, int] = {}
        self._ways: dict[str, list[asyncio.DatagramTransport]] = {}

    async def add(self, gateway: GatewayProcess) -> None:
        """Stand before a gateway that has not started yet."""
        first = _find_first_port()
        self._own_ports[gateway.name] = gateway.inner
        self._shown_ports[gateway.name] = first
        ways = self._ways[gateway.name] = []
        for number in range(SOCKETS):
            self._names[gateway.inner + number] = gateway.name
            ways.append(await self._open(gateway.name, first, number))

    def show(self, name: str, introduction: bytes) -> bytes:
        """Replace a gateway's address in its introduction by the switch's."""
        own, shown = self._own_ports.get(name), self._shown_ports.get(name)
        if own is None:
            return introduction
        return introduction.replace(b":%d" % own, b":%d" % shown, 1)

    def stop(self) -> None:
        """Pass nothing on any more."""
        for way in (way for ways in self._ways.values() for way in ways):
            way.close()

    def carry(self, sender_port: int, receiver: str, number: int, data: bytes) -> None:
        """Pass a datagram on, unless a cut is in its way.

        Args:
            sender_port: The port from which it came.
            receiver: Name of the gateway that it is for.
            number: Which of the receiver's sockets it is for.
            data: What it holds.
        """
        sender = self._names.get(sender_port)
        if sender is None or not self._gets_through(sender, receiver):
            return
        to = (LOOPBACK, self._own_ports[receiver] + number)
        self._ways[sender][number].sendto(data, to)

    def _gets_through(self, sender: str, receiver: str) -> bool:
        is_sent = self.cuts.get(sender, "") not in ("out", "both")
        return is_sent and self.cuts.get(receiver, "") not in ("in", "both")

    async def _open(
        self, name: str, first: int, number: int
    ) -> asyncio.DatagramTransport:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Way(self, name, number), local_addr=(LOOPBACK, first + number)
        )
        return transport


class _Way(asyncio.DatagramProtocol):
    """One socket of the switch, at which other gateways reach a gateway."""

    def __init__(self, switch: PeerSwitch, receiver: str, number: int):
        self._switch, self._receiver, self._number = switch, receiver, number

    def datagram_received(self, data: bytes, addr) -> None:
        """Take a datagram for the gateway."""
        self._switch.carry(addr[1], self._receiver, self._number, data)

    def error_received(self, exc: Exception) -> None:
        """Pass over errors: a gateway that is dead hears nothing."""


class SwitchedStore(LogStore):
    """A store that announces gateways with addresses of a switch."""

    def __init__(self, switch: PeerSwitch):
        super().__init__()
        self._switch = switch

    def _append(self, name: str, record: bytes) -> int:
        if name == GATEWAYS_TOPIC:
            end = 1 + record[0]
            key = record[1:end].decode(errors="replace")
            record = record[:end] + self._switch.show(key, record[end:])
        return super()._append(name, record)


def _find_first_port() -> int:
    """Find the first of two free ports that follow each other."""
    while True:
        first, last = find_ports(SOCKETS)
        if last == first + SOCKETS - 1:
            return first
