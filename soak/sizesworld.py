"""The deployment of a run of sizes: stand-ins here, gateways as processes."""

import asyncio
import random
import signal
from dataclasses import dataclass, field
from pathlib import Path

from soak.gateways import GatewayProcess, prepare_gateway
from soak.proxy import Proxy
from soak.sizeaccount import SizeAccount
from standins.logstore import LogStore
from standins.pacedreplica import PacedReplica
from standins.prompts import Kind

HOST = "sizes.example"

TOKENS_PER_S = 64_200.0
CACHE_TOKENS = 441_644
"""Pace of an engine that only reads, and the tokens that its memory holds."""

SLOTS = 64
CONNECTIONS = 460
"""Requests that an engine works on at a time, and its connections."""

EVENT_TOKENS = 11
"""Tokens of an event of an answer."""

DUE_S = 6.0
"""The routes' time-outs, seconds."""

STARTED_S = 20.0
"""Longest wait until the gateways are ready, seconds."""


@dataclass
class SizesWorld:
    """The deployment.

    Attributes:
        folder: Where settings and logs lie.
        rng: Source of what is drawn.
        kinds: The kinds of requests.
        account: What became of requests.
    """

    folder: Path
    rng: random.Random
    kinds: tuple[Kind, ...]
    account: SizeAccount = field(default_factory=SizeAccount)
    store: LogStore = field(default_factory=LogStore)
    gateways: list[GatewayProcess] = field(default_factory=list)
    links: list[Proxy] = field(default_factory=list)
    engines: list[PacedReplica] = field(default_factory=list)

    async def start(self, gateways: int, readers: int, hosts: int) -> None:
        """Start everything and wait until all gateways are ready."""
        await self.store.server.start()
        await self.store.put("keyed.op", "config", _make_configuration(self.kinds))
        for number in range(readers + hosts):
            role = "prefill" if number < readers else "decode"
            engine = PacedReplica(f"i{number}", "lm", role, TOKENS_PER_S, CACHE_TOKENS)
            await engine.server.start()
            entry = engine.describe() | {"Slots": SLOTS}
            await self.store.put("keyed.servers", engine.lifetime, entry)
            self.engines.append(engine)
        for engine in self.engines:
            engine.meet(self.engines)
        for number in range(gateways):
            store = self.store.server.port
            gateway = prepare_gateway(self.folder, f"gateway-{number}", store)
            self.gateways.append(gateway)
            await gateway.start()
            link = Proxy(gateway.callers)
            await link.start()
            self.links.append(link)
        async with asyncio.timeout(STARTED_S):
            while not all(gateway.has_started() for gateway in self.gateways):
                for gateway in self.gateways:
                    gateway.check()
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def stop(self) -> None:
        """End all processes of ours and all stand-ins.

        Raises:
            EndedGatewayError: If a gateway had ended by itself.
        """
        for gateway in self.gateways:
            await gateway.end(signal.SIGKILL)
        for server in (*self.links, *(e.server for e in self.engines)):
            await server.stop()
        await self.store.server.stop()
        for gateway in self.gateways:
            gateway.check()


def _make_configuration(kinds: tuple[Kind, ...]) -> dict:
    routes = [
        {
            "Name": kind.name,
            "Hostname": HOST,
            "PathPrefix": f"/{kind.name}/",
            "Kind": "stream",
            "TimeoutMs": DUE_S * 1000,
            "TargetLatencyMs": kind.latency_objective_s * 1000,
            "TargetGapMs": 200,
            "Priority": kind.rank,
            "Service": "lm",
            "MaxAttempts": 1,
        }
        for kind in kinds
    ]
    engine = {"Slots": SLOTS, "KvCapacityTokens": CACHE_TOKENS, "RoleSwitchS": 0.5}
    engine |= {"KvTokenBytes": 163_840, "LinkMbps": 1_500_000}
    engine |= {"Stride": EVENT_TOKENS}
    services = [{"Name": "lm", "MaxConnections": CONNECTIONS, "Engine": engine}]
    limits = {"IdleTimeoutMs": 15_000, "MaxBodyBytes": 200_000}
    return {"Version": 1, "Routes": routes, "Services": services, "Limits": limits}
