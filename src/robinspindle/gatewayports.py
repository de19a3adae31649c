"""The ports at which a gateway listens."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from robinspindle.gatewaysettings import GatewaySettings, HostPort
from robinspindle.gatewaytasks import PEERS_PORT
from robinspindle.httpserver import CallerServer
from robinspindle.listeners import Listener
from robinspindle.originlink import PORT_OFFSET

Open = Callable[[HostPort], Awaitable[None]]


@dataclass(frozen=True)
class Servers:
    """What listens.

    Attributes:
        callers: Serves callers.
        readiness: Tells the balancer whether it may send callers.
        figures: Tells operators metrics.
        open_peers: Opens the port for what gateways say to each other.
        open_origins: Opens the one above it, for who began which stream.
    """

    callers: CallerServer
    readiness: CallerServer
    figures: CallerServer
    open_peers: Open
    open_origins: Open


def list_listeners(servers: Servers, settings: GatewaySettings) -> list[Listener]:
    """List what listens by a gateway's settings."""
    first, last = settings.inner_ports
    inner = HostPort(settings.ip, first)
    found = [
        _serve("readiness", settings.readiness, servers.readiness),
        _serve("callers", settings.callers, servers.callers),
        Listener(PEERS_PORT, inner, partial(servers.open_peers, inner)),
    ]
    if settings.metrics_port:
        address = HostPort(settings.ip, settings.metrics_port)
        found.append(_serve("metrics", address, servers.figures))
    if last > first:
        address = HostPort(settings.ip, first + PORT_OFFSET)
        found.append(Listener("origins", address, partial(servers.open_origins, inner)))
    return found


def _serve(name: str, address: HostPort, server: CallerServer) -> Listener:
    return Listener(name, address, partial(server.start, address.host, address.port))
