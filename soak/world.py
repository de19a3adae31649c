"""A deployment on the loopback: stand-ins here, gateways as processes."""

import asyncio
import os
import random
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from soak.oracle import Oracle
from soak.proxy import Proxy
from standins.logstore import LogStore
from standins.replica import Replica

ROOT = Path(__file__).resolve().parent.parent
HOST = "soak.example"
MISBEHAVIOURS = {
    "": ("full", "error", "unmarked", "reset", "garbage", "unsealed", "surplus")
    + ("twice", "interim", "unframed", "cut_unframed"),
    "decode": ("full", "reset", "torn", "error", "wrong_role", "garbage"),
    "prefill": ("full", "reset", "error", "garbage"),
}

FIRST_PORT = 10_000
SOAKS = 200
PORTS_EACH = 100
"""Soaks that run side by side use ports of their own, by their process ids."""

_taken: set[int] = set()

SETTINGS = """
Node = "{name}"
Zone = "a"
Ip = "127.0.0.1"
InternalPorts = [{inner},{inner}]
[Listen]
Front = "127.0.0.1:{callers}"
Ready = "127.0.0.1:{ready}"
[Limits]
MemoryMb = 300
[Bounds]
DrainMs = 1000
GraceS = 4
LeaseMs = 1000
RetryBudgetSlack = 64
[Platform]
Address = "127.0.0.1:{store}"
"""


class SoakReplica(Replica):
    """A replica that misbehaves now and then and tells the oracle what it runs."""

    def __init__(self, lifetime, service, role, oracle: Oracle, rng: random.Random):
        super().__init__(lifetime, service, role)
        self._oracle = oracle
        self._rng = rng
        self.bad_share = 0.0
        self.is_leaving = False

    async def _answer(self, request, writer) -> bool:
        if request.method == "POST" and request.target != "/order":
            if self._rng.random() < self.bad_share:
                self.behaviours.append(self._rng.choice(MISBEHAVIOURS[self.role]))
            self._note(request)
        return await super()._answer(request, writer)

    def _note(self, request) -> None:
        is_read = request.headers.get("x-stage") == "prefill"
        turned_away = self.behaviours and self.behaviours[0] in ("full", "wrong_role")
        is_other = request.headers.get("x-expect-instance") != self.lifetime
        if not is_read and not turned_away and not is_other:
            self._oracle.note_run(request.headers["x-request-id"], request.body)


@dataclass
class GatewayProcess:
    """One gateway process and its ports."""

    name: str
    settings: Path
    callers: int
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass
class World:
    """The deployment.

    Attributes:
        store_proxies: Between each gateway and the store, by gateway.
        replica_proxies: Before each replica, by lifetime.
    """

    folder: Path
    rng: random.Random
    oracle: Oracle
    store: LogStore = field(default_factory=LogStore)
    gateways: list[GatewayProcess] = field(default_factory=list)
    replicas: dict[str, SoakReplica] = field(default_factory=dict)
    store_proxies: dict[str, Proxy] = field(default_factory=dict)
    replica_proxies: dict[str, Proxy] = field(default_factory=dict)
    version: int = 0
    _lifetimes: int = 0

    async def start(self, gateways: int) -> None:
        """Start everything."""
        await self.store.server.start()
        await self.configure()
        for service, role, count in (("push", "", 3), ("lm", "prefill", 1)):
            for _ in range(count):
                await self.add_replica(service, role)
        for _ in range(3):
            await self.add_replica("lm", "decode")
        for number in range(gateways):
            await self._add_gateway(f"gateway-{number}")

    async def configure(self) -> None:
        """Put the next configuration in force."""
        self.version += self.rng.randint(1, 3)
        await self.store.put("keyed.op", "config", _make_configuration(self.version))

    async def add_replica(self, service: str, role: str) -> None:
        """Add a replica behind a proxy of its own."""
        self._lifetimes += 1
        lifetime = f"i{self._lifetimes}"
        replica = SoakReplica(lifetime, service, role, self.oracle, self.rng)
        await replica.server.start()
        proxy = Proxy(replica.server.port)
        await proxy.start()
        self.replicas[lifetime] = replica
        self.replica_proxies[lifetime] = proxy
        await self.announce(replica)

    async def announce(self, replica: SoakReplica, state: str = "ready") -> None:
        """Write a replica's entry, with its proxy's address."""
        entry = replica.describe(state)
        port = self.replica_proxies[replica.lifetime].port
        entry["Address"] = f"127.0.0.1:{port}"
        await self.store.put("keyed.servers", replica.lifetime, entry)

    async def start_gateway(self, gateway: GatewayProcess) -> None:
        """Start a gateway's process."""
        log = (self.folder / f"{gateway.name}.log").open("ab")
        gateway.started_at = asyncio.get_running_loop().time()
        gateway.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "robinspindle",
            "gateway",
            str(gateway.settings),
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def end_gateway(self, gateway: GatewayProcess, how: int) -> int:
        """End a gateway's process and wait for it.

        Returns:
            Its exit code.
        """
        if gateway.process.returncode is None:
            gateway.process.send_signal(signal.SIGCONT)
        if gateway.process.returncode is None:
            gateway.process.send_signal(how)
        return await gateway.process.wait()

    async def stop(self) -> None:
        """End all processes of ours and all stand-ins."""
        for gateway in self.gateways:
            await self.end_gateway(gateway, signal.SIGKILL)
        for proxy in (*self.store_proxies.values(), *self.replica_proxies.values()):
            await proxy.stop()
        for replica in self.replicas.values():
            await replica.server.stop()
        await self.store.server.stop()

    async def _add_gateway(self, name: str) -> None:
        proxy = Proxy(self.store.server.port)
        await proxy.start()
        self.store_proxies[name] = proxy
        callers, ready, inner = _find_ports(3)
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name, callers=callers, ready=ready, inner=inner, store=proxy.port
            )
        )
        gateway = GatewayProcess(name, path, callers)
        self.gateways.append(gateway)
        await self.start_gateway(gateway)


def _make_configuration(version: int) -> dict:
    def route(name: str, kind: str, service: str, **more) -> dict:
        return {
            "Name": name,
            "Hostname": HOST,
            "PathPrefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": 2000,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
            **more,
        }

    engine = {"Slots": 8, "KvCapacityTokens": 50000, "RoleSwitchS": 0.5}
    return {
        "Version": version,
        "Routes": [
            route("safe", "idempotent", "push"),
            route("once", "non_idempotent", "push"),
            route("chat", "stream", "lm"),
            route("digest", "stream", "lm", Resumable=True),
        ],
        "Services": [
            {"Name": "push", "MaxConnections": 100},
            {"Name": "lm", "MaxConnections": 100, "Engine": engine},
        ],
        "Limits": {"IdleTimeoutMs": 15000},
    }


def _find_ports(count: int) -> list[int]:
    """Find free ports below those that the system hands out to others."""
    ports: list[int] = []
    port = FIRST_PORT + os.getpid() % SOAKS * PORTS_EACH
    while len(ports) < count:
        port += 1
        if port in _taken:
            continue
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                ports.append(port)
                _taken.add(port)
    return ports
