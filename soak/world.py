"""A deployment on the loopback: stand-ins here, gateways as processes."""

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from soak.crashaccount import CrashAccount
from soak.gateways import GatewayProcess, prepare_gateway
from soak.keyed import BOUNDS, KeyAccount
from soak.oracle import Oracle
from soak.peerswitch import PeerSwitch, SwitchedStore
from soak.proxy import Proxy
from soak.replicas import SoakReplica
from standins.logstore import LogStore
from standins.rawhttp import LOOPBACK

HOST = "soak.example"

RETURN_S = 20.0
RETURN_POLL_S = 0.05
"""Longest wait until a replica is back, and pause between two looks, seconds."""


@dataclass
class World:
    """The deployment.

    Attributes:
        links: Between callers and each gateway, by gateway; none for no slow link.
        store_proxies: Between each gateway and the store, by gateway.
        replica_proxies: Before each replica, by lifetime.
        switch: Between the gateways; None where they reach each other themselves.
        link_bytes_per_s: How fast the store's answers reach a gateway; 0 for at once.
        more_routes: Routes of the configuration that nobody uses.
        prepare: Called with each replica before it listens.
        vary: Called with each configuration before it is written.
        account: What became of requests that crash replicas.
        keys: The keys that callers need; None where they need none.
    """

    folder: Path
    rng: random.Random
    oracle: Oracle
    store: LogStore = field(default_factory=LogStore)
    gateways: list[GatewayProcess] = field(default_factory=list)
    replicas: dict[str, SoakReplica] = field(default_factory=dict)
    store_proxies: dict[str, Proxy] = field(default_factory=dict)
    links: dict[str, Proxy] = field(default_factory=dict)
    replica_proxies: dict[str, Proxy] = field(default_factory=dict)
    switch: PeerSwitch | None = None
    version: int = 0
    link_bytes_per_s: int = 0
    more_routes: int = 0
    account: CrashAccount = field(default_factory=CrashAccount)
    keys: KeyAccount | None = None
    prepare: Callable[[SoakReplica], None] = lambda replica: None
    vary: Callable[[dict], None] = lambda configuration: None
    _ids: int = 0
    _born_ms: int = 0
    _removed: set[str] = field(default_factory=set)

    def part_gateways(self) -> None:
        """Have gateways, before any starts, reach each other through a switch."""
        self.switch = PeerSwitch()
        self.store = SwitchedStore(self.switch)

    async def start(self, gateways: int) -> None:
        """Start everything."""
        await self.store.server.start()
        if self.keys is not None:
            await self.keys.api.server.start()
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
        await self.put_configuration()

    async def put_configuration(self) -> None:
        """Write the configuration in force, also where the store has lost it."""
        configuration = _make_configuration(self.version, self.more_routes)
        if self.keys is not None:
            configuration["Tenants"] = self.keys.describe()
        self.vary(configuration)
        await self.store.put("keyed.op", "config", configuration)

    async def add_replica(self, service: str, role: str) -> None:
        """Add a replica behind a proxy of its own."""
        self._ids += 1
        await self._begin_life(f"i{self._ids}", service, role)

    async def restart_replica(self, id: str, seconds: float) -> None:
        """End a replica without a word and start it again under its id.

        Args:
            id: Its id.
            seconds: How long it is away.
        """
        before = self.replicas.pop(id, None)
        if before is None:
            return
        await self.replica_proxies.pop(id).stop()
        await before.server.stop()
        await asyncio.sleep(seconds)
        # It may have been taken away while it was between two lives.
        if id not in self._removed:
            await self._begin_life(id, before.service, before.role)

    async def await_replicas(self) -> list[SoakReplica]:
        """Wait until a replica that stays is there; all may be between two lives.

        Returns:
            All that are there and do not leave.

        Raises:
            TimeoutError: If none comes back.
        """
        async with asyncio.timeout(RETURN_S):
            while True:
                staying = [r for r in self.replicas.values() if not r.is_leaving]
                if staying:
                    return staying
                await asyncio.sleep(RETURN_POLL_S)

    async def remove_replica(self, id: str) -> None:
        """Take a replica away for good, also where it is between two lives."""
        self._removed.add(id)
        replica = self.replicas.pop(id, None)
        proxy = self.replica_proxies.pop(id, None)
        if proxy is not None:
            await proxy.stop()
        if replica is not None:
            await replica.server.stop()

    async def _begin_life(self, id: str, service: str, role: str) -> None:
        self._born_ms += 1
        replica = SoakReplica(id, service, role, self.oracle, self.rng)
        replica.born_ms = self._born_ms
        if self.keys is not None:
            replica.note_run = self.keys.note_run
        self.prepare(replica)
        await replica.server.start()
        proxy = Proxy(replica.server.port)
        await proxy.start()
        self.replicas[id] = replica
        self.replica_proxies[id] = proxy
        await self.announce(replica)

    async def announce(self, replica: SoakReplica, state: str = "ready") -> None:
        """Write a replica's entry, with its proxy's address."""
        entry = self.describe(replica, state)
        await self.store.put("keyed.servers", replica.lifetime, entry)

    def describe(self, replica: SoakReplica, state: str = "ready") -> dict:
        """Make a replica's entry, with its proxy's address."""
        port = self.replica_proxies[replica.lifetime].port
        return replica.describe(state) | {"Address": f"{LOOPBACK}:{port}"}

    async def slow_links(self, bytes_per_s: int) -> None:
        """Have what callers send to gateways come over slow links."""
        for gateway in self.gateways:
            link = Proxy(gateway.callers)
            link.bytes_per_s_in = bytes_per_s
            await link.start()
            self.links[gateway.name] = link

    def find_port(self, gateway: GatewayProcess) -> int:
        """Find the port at which callers reach a gateway."""
        link = self.links.get(gateway.name)
        return gateway.callers if link is None else link.port

    async def stop(self) -> None:
        """End all processes of ours and all stand-ins.

        Raises:
            EndedGatewayError: If a gateway had ended by itself.
        """
        for gateway in self.gateways:
            await gateway.end(signal.SIGKILL)
        proxies = (self.links, self.store_proxies, self.replica_proxies)
        for proxy in (one for found in proxies for one in found.values()):
            await proxy.stop()
        for replica in self.replicas.values():
            await replica.server.stop()
        await self.store.server.stop()
        if self.switch is not None:
            self.switch.stop()
        if self.keys is not None:
            await self.keys.api.server.stop()
        for gateway in self.gateways:
            gateway.check()

    async def _add_gateway(self, name: str) -> None:
        proxy = Proxy(self.store.server.port)
        proxy.bytes_per_s = self.link_bytes_per_s
        await proxy.start()
        self.store_proxies[name] = proxy
        bounds, duties = "", 0
        if self.keys is not None:
            bounds, duties = BOUNDS, self.keys.api.server.port
        gateway = prepare_gateway(self.folder, name, proxy.port, bounds, duties)
        if self.switch is not None:
            await self.switch.add(gateway)
        self.gateways.append(gateway)
        await gateway.start()


async def run_for(seconds: float, tasks: list[asyncio.Task]) -> None:
    """Let tasks run for a while, and raise what one of them has raised."""
    await asyncio.sleep(seconds)
    for task in tasks:
        if task.done():
            task.result()


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait for their ends, whatever these are."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def name_newest(version: int) -> str:
    """Name the route that only one version of the configuration has."""
    return f"version-{version}"


def _make_configuration(version: int, more_routes: int) -> dict:
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
            route(name_newest(version), "idempotent", "push"),
            *(route(f"r{n}", "idempotent", "push") for n in range(more_routes)),
        ],
        "Services": [
            {"Name": "push", "MaxConnections": 100},
            {"Name": "lm", "MaxConnections": 100, "Engine": engine},
        ],
        "Limits": {"IdleTimeoutMs": 15000},
    }
