"""Runs a gateway with stand-ins in one event loop, and sends it raw requests."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from robinspindle.boundedoutput import BoundedOutput
from robinspindle.gateway import Gateway
from robinspindle.gatewaysettings import GatewaySettings, HostPort, Pledges
from robinspindle.originlink import PORT_OFFSET
from robinspindle.peers import list_heard
from robinspindle.platform.adapter import PlatformAdapter
from standins.logstore import LogStore
from standins.rawhttp import LOOPBACK
from standins.replica import Replica

HOST = "shop.example"
TIMEOUT_S = 10.0
"""Time after which a test that hangs fails, seconds; no test depends on its value."""

KINDS = [
    ("/safe/x", "push", ""),
    ("/once/x", "push", ""),
    ("/chat/x", "lm", "decode"),
    ("/digest/x", "lm", "decode"),
]
"""A path of each kind of route, its service, and the role of that service's targets."""

SERVICES = [
    {"Name": "push", "MaxConnections": 100},
    {
        "Name": "lm",
        "MaxConnections": 100,
        "Engine": {"Slots": 8, "KvCapacityTokens": 100000, "RoleSwitchS": 0},
    },
]


def make_route(name, kind, service, **more):
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **more,
    }


def make_configuration(
    version=1, routes=None, attempts=2, without_services=(), limits=(), **more
):
    return {
        "Version": version,
        "Routes": routes
        or [
            make_route("safe", "idempotent", "push", MaxAttempts=attempts),
            make_route("once", "non_idempotent", "push", MaxAttempts=attempts),
            make_route("chat", "stream", "lm", MaxAttempts=attempts),
            make_route("digest", "stream", "lm", Resumable=True, MaxAttempts=attempts),
        ],
        "Services": [s for s in SERVICES if s["Name"] not in without_services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            **dict(limits),
        },
        **more,
    }


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


@dataclass
class Deployment:
    store: LogStore
    gateway: Gateway
    port: int
    ready_port: int
    inner_port: int
    replicas: dict[str, Replica] = field(default_factory=dict)
    reread: Callable[[], GatewaySettings] | None = None

    async def add(self, lifetime, service="push", role="", **more):
        replica = Replica(lifetime, service, role, **more)
        await replica.server.start()
        self.replicas[lifetime] = replica
        await self.announce(replica)
        return replica

    async def announce(self, replica, state="ready"):
        await self.store.put("keyed.servers", replica.lifetime, replica.describe(state))
        await until(lambda: self.knows(replica.lifetime, state))

    def knows(self, lifetime, state="ready"):
        target = self.gateway.directory.targets.get(lifetime)
        return target is not None and target.announced.leaving == (state != "ready")

    async def configure(self, **more):
        configuration = make_configuration(**more)
        await self.store.put("keyed.op", "config", configuration)
        await until(lambda: self.version == configuration["Version"])

    @property
    def version(self):
        table = self.gateway.fleet.table
        return table.version if table else 0

    async def call(self, path, id="r1", method="POST", body=b"hello", **headers):
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        try:
            writer.write(write_request(method, path, id, body, headers))
            return await read_reply(reader)
        finally:
            writer.close()

    async def ask_ready(self):
        reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        reply = await read_reply(reader)
        writer.close()
        return reply.status

    def prompt(self, out="3", parts="aa:100,bb:50,cc:10", tokens=160):
        return {
            "X-Model": "m",
            "X-Token-Count": f"{tokens},{out}",
            "X-Prompt-Prefix": parts,
        }


async def introduce(d, name, introduction=b"127.0.0.1:9 zone-b 1"):
    """Introduce another gateway through the store."""
    await d.store.put("keyed.gateways", name, introduction)
    await until(lambda: name in d.gateway.peers.members)


def write_request(method, path, id, body, headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_reply(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(0, {}, b"", False)
    first, *lines = head[:-4].decode().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        body += getattr(error, "partial", b"")
        return Reply(int(first.split()[1]), headers, body, False)
    return Reply(int(first.split()[1]), headers, body, True)


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def deploy(tmp_path, configured=True, pledges=None, prepare=None, duties=None):
    """Run a gateway with a store; replicas are added by the test.

    Args:
        tmp_path: Where the gateway's log is written.
        configured: Whether a configuration is applied first.
        pledges: The service levels promised to the operator; if None, the defaults
            with a large retry budget.
        prepare: Awaited with the store before the gateway starts.
        duties: Settings of the singleton duties; None for none.
    """
    store = LogStore()
    await store.server.start()
    if prepare is not None:
        await prepare(store)
    ports = [*_find_ports(2), find_inner_ports()]
    settings = _make_settings("gateway-1", store, ports, pledges, duties)
    with open(tmp_path / "out", "wb") as out:
        gateway = Gateway(
            settings,
            PlatformAdapter(),
            BoundedOutput(out.fileno()),
            lambda: deployment.reread() if deployment.reread else settings,
        )
        deployment = Deployment(store, gateway, *ports)
        await gateway.start()
        if configured:
            await deployment.configure()
        try:
            async with asyncio.timeout(TIMEOUT_S * 3):
                yield deployment
        finally:
            await gateway.close()
            for replica in deployment.replicas.values():
                await replica.server.stop()
            await store.server.stop()


@asynccontextmanager
async def join(tmp_path, d, name="gateway-2"):
    """Run one more gateway with the store and the replicas of a deployment."""
    async with _start_gateway(tmp_path, d, name) as joined:
        known = [d.gateway.peers, joined.gateway.peers]
        await until(lambda: all(list_heard(peers) for peers in known))
        await until(lambda: joined.gateway.is_ready)
        yield joined


@asynccontextmanager
async def restart_all(tmp_path, d, name="gateway-1"):
    """End the only gateway of a deployment, and run another with no memory of it."""
    await d.gateway.close()
    async with _start_gateway(tmp_path, d, name) as restarted:
        await until(lambda: restarted.gateway.is_ready)
        yield restarted


@asynccontextmanager
async def _start_gateway(tmp_path, d, name):
    ports = [*_find_ports(2), find_inner_ports()]
    settings = _make_settings(name, d.store, ports)
    with open(tmp_path / name, "wb") as out:
        output = BoundedOutput(out.fileno())
        gateway = Gateway(settings, PlatformAdapter(), output, lambda: settings)
        await gateway.start()
        try:
            yield Deployment(d.store, gateway, *ports, d.replicas)
        finally:
            await gateway.close()


def _make_settings(name, store, ports, pledges=None, duties=None):
    return GatewaySettings(
        name=name,
        zone="a",
        ip=LOOPBACK,
        callers=HostPort(LOOPBACK, ports[0]),
        readiness=HostPort(LOOPBACK, ports[1]),
        store=HostPort(LOOPBACK, store.server.port),
        inner_ports=(ports[2], ports[2] + PORT_OFFSET),
        memory_mb=300.0,
        pledges=pledges or Pledges(repeat_slack=320.0),
        duties=duties,
    )


def run(coroutine):
    return asyncio.run(coroutine)


def _find_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((LOOPBACK, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def find_inner_ports():
    """Find the first of two ports that follow each other, for datagrams."""
    while True:
        with (
            socket.socket(type=socket.SOCK_DGRAM) as first,
            socket.socket(type=socket.SOCK_DGRAM) as second,
            contextlib.suppress(OSError, OverflowError),
        ):
            first.bind((LOOPBACK, 0))
            port = first.getsockname()[1]
            second.bind((LOOPBACK, port + PORT_OFFSET))
            return port
