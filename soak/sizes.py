"""Prompts of very different sizes at overload, before real gateways.

``python -m soak.sizes --seed N --load X``: gateways are processes, engines and the
store stand-ins that work at the pace of a matchmaking deployment; callers come whether
or not others are served, and faults from outside come meanwhile. What is told is who
was served by size. It is run by hand: the outcome hangs on what else the machine does.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from soak.gateways import GatewayProcess, prepare_gateway
from soak.proxy import Proxy
from soak.sizeaccount import Ended, SizeAccount
from standins.logstore import LogStore
from standins.pacedreplica import PacedReplica
from standins.prompts import Kind, draw_parts, make_matchmaking_kinds

HOST = "sizes.example"
ENGINES_MODELLED = 21
"""Engines of the deployment whose kinds are played; the load is cut to those here."""

TOKENS_PER_S = 64_200.0
CACHE_TOKENS = 441_644
"""Pace of an engine that only reads, and the tokens that its memory holds."""

DUE_S = 6.0
"""The routes' time-outs, seconds."""

OUT_TOKENS = 473
EXPECTED_TOKENS = 55
EVENT_TOKENS = 11
BYTES_A_TOKEN = 1
"""The most tokens of an answer, those that callers guess, those of an event, and bytes
of a body for each token of its prompt."""

MOST_BODY_BYTES = 100_000
LEAST_LEFT_S = 0.3
"""Callers that have less time left than this don't try again, seconds."""

FIRST_TRIES = 2
"""Tries of a caller: it comes back once after a refusal."""

SLOW_LINK_BYTES_PER_S = 625_000
"""5 Mbit/s: the link of a small gateway's machine, shared by all its callers."""

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
        trouble: What is wrong at present, empty for nothing.
    """

    folder: Path
    rng: random.Random
    kinds: tuple[Kind, ...]
    account: SizeAccount = field(default_factory=SizeAccount)
    store: LogStore = field(default_factory=LogStore)
    gateways: list[GatewayProcess] = field(default_factory=list)
    links: list[Proxy] = field(default_factory=list)
    engines: list[PacedReplica] = field(default_factory=list)
    trouble: str = ""

    async def start(self, gateways: int, readers: int, hosts: int) -> None:
        """Start everything and wait until all gateways are ready."""
        await self.store.server.start()
        await self.store.put("keyed.op", "config", _make_configuration(self.kinds))
        for number in range(readers + hosts):
            role = "prefill" if number < readers else "decode"
            engine = PacedReplica(f"i{number}", "lm", role, TOKENS_PER_S, CACHE_TOKENS)
            await engine.server.start()
            entry = engine.describe() | {"Slots": 64}
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
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def stop(self) -> None:
        """End all processes of ours and all stand-ins."""
        for gateway in self.gateways:
            await gateway.end(signal.SIGKILL)
        for server in (*self.links, *(e.server for e in self.engines)):
            await server.stop()
        await self.store.server.stop()


Fault = Callable[[SizesWorld, float], Awaitable[None]]


async def slow_engines(world: SizesWorld, seconds: float) -> None:
    """Have a third of the engines take three times as long."""
    slow = world.rng.sample(world.engines, max(1, len(world.engines) // 3))
    for engine in slow:
        engine.slowness = 3.0
    await asyncio.sleep(seconds)
    for engine in slow:
        engine.slowness = 1.0


async def silence_engine(world: SizesWorld, seconds: float) -> None:
    """Have an engine say nothing for a while."""
    engine = world.rng.choice(world.engines)
    engine.is_silent = True
    await asyncio.sleep(seconds)
    engine.is_silent = False


async def kill_gateway(world: SizesWorld, seconds: float) -> None:
    """Kill a gateway and start it again."""
    gateway = world.rng.choice(world.gateways)
    await gateway.end(signal.SIGKILL)
    await asyncio.sleep(seconds / 4)
    await gateway.start()


async def lose_store(world: SizesWorld, seconds: float) -> None:
    """Have the store fall silent."""
    world.store.trouble = "silent"
    await asyncio.sleep(seconds)
    world.store.trouble = ""
    world.store.server.reset_all()


async def slow_links(world: SizesWorld, seconds: float) -> None:
    """Have what callers send come over links of 5 Mbit/s, one for each gateway."""
    for link in world.links:
        link.bytes_per_s_in = SLOW_LINK_BYTES_PER_S
    await asyncio.sleep(seconds)
    for link in world.links:
        link.bytes_per_s_in = 0


FAULTS: dict[str, Fault] = {
    "slow-engines": slow_engines,
    "silent-engine": silence_engine,
    "killed-gateway": kill_gateway,
    "lost-store": lose_store,
    "slow-links": slow_links,
}


async def play(
    seed: int, load: float, seconds: float, folder: Path, faults: list[str], size: str
) -> SizesWorld:
    """Play one seed and return the deployment with its account.

    Args:
        seed: Chooses what callers ask and whom faults hit.
        load: Times the usual load.
        seconds: How long callers come.
        folder: Where settings and logs go.
        faults: Names of faults; each lasts for the middle half of the run.
        size: Gateways, readers and hosts, by commas.
    """
    gateways, readers, hosts = (int(word) for word in size.split(","))
    rng = random.Random(seed)
    scale = (readers + hosts) / ENGINES_MODELLED
    kinds = make_matchmaking_kinds(load, scale)
    world = SizesWorld(folder, rng, kinds)
    await world.start(gateways, readers, hosts)
    try:
        under_way = [
            asyncio.create_task(_come(world, kind, seconds)) for kind in world.kinds
        ]
        await asyncio.sleep(seconds / 4)
        harms = [FAULTS[name](world, seconds / 2) for name in faults]
        await asyncio.gather(*harms, *under_way)
    finally:
        await world.stop()
    return world


async def _come(world: SizesWorld, kind: Kind, seconds: float) -> None:
    """Send requests of a kind for a while and wait for all their ends."""
    loop, tasks = asyncio.get_running_loop(), []
    ends_at, number = loop.time() + seconds, 0
    next_at = loop.time()
    while next_at < ends_at:
        next_at += world.rng.expovariate(kind.per_s)
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        number += 1
        id = f"{kind.name}-{number}"
        tasks.append(loop.create_task(_ask(world, kind, id)))
    await asyncio.gather(*tasks)


async def _ask(world: SizesWorld, kind: Kind, id: str) -> None:
    """Send one request, once more if it is refused, and note how it ended."""
    loop = asyncio.get_running_loop()
    parts = draw_parts(kind, world.rng)
    tokens = sum(part.tokens for part in parts)
    due, last = loop.time() + DUE_S, ""
    by_fault = False
    for number in range(FIRST_TRIES):
        link = world.rng.choice(world.links)
        port = world.gateways[world.links.index(link)].process.pid
        sent = _write_request(kind, f"{id}-{number}", parts, due - loop.time())
        last, retry_s = await _try(link.port, sent, kind.patience_s)
        # A gateway that was killed meanwhile took its callers with it.
        by_fault = port != world.gateways[world.links.index(link)].process.pid
        if last not in ("503", "closed") or due - loop.time() < LEAST_LEFT_S:
            break
        await asyncio.sleep(min(retry_s, (due - loop.time()) / 3))
    ended = Ended(kind.name, tokens, last == "200", last, by_fault)
    world.account.ended.append(ended)


async def _try(port: int, sent: bytes, patience_s: float) -> tuple[str, float]:
    """Send one try; returns its status or what went wrong, and Retry-After."""
    writer = None
    try:
        async with asyncio.timeout(DUE_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            async with asyncio.timeout(patience_s):
                head = await reader.readuntil(b"\r\n\r\n")
            status = head.split()[1].decode()
            if status == "200":
                await _read_chunks(reader)
            lower = head.decode("latin-1").lower()
            after = lower.partition("retry-after:")[2].split("\r\n")[0].strip()
            return status, float(after or 0.2)
    except TimeoutError:
        return "gave up", 0.0
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return "closed", 0.2
    finally:
        if writer is not None:
            writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    while size := int(await reader.readline(), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)


def _write_request(kind: Kind, id: str, parts, left_s: float) -> bytes:
    tokens = sum(part.tokens for part in parts)
    body = b"x" * min(MOST_BODY_BYTES, tokens * BYTES_A_TOKEN)
    told = ",".join(f"{part.id}:{part.tokens}" for part in parts)
    lines = [
        f"POST /{kind.name}/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {id}",
        f"X-Deadline-Ms: {round(left_s * 1000)}",
        "X-Model: m",
        f"X-Token-Count: {tokens},{OUT_TOKENS}",
        f"X-Prompt-Prefix: {told}",
        f"X-Length-Hint: {EXPECTED_TOKENS}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _make_configuration(kinds: tuple[Kind, ...]) -> dict:
    routes = [
        {
            "Name": kind.name,
            "Hostname": HOST,
            "PathPrefix": f"/{kind.name}/",
            "Kind": "stream",
            "TimeoutMs": DUE_S * 1000,
            "TargetLatencyMs": kind.aim_s * 1000,
            "TargetGapMs": 200,
            "Priority": kind.rank,
            "Service": "lm",
            "MaxAttempts": 1,
        }
        for kind in kinds
    ]
    engine = {"Slots": 64, "KvCapacityTokens": CACHE_TOKENS, "RoleSwitchS": 0.5}
    engine |= {"KvTokenBytes": 163_840, "LinkMbps": 1_500_000}
    engine |= {"Stride": EVENT_TOKENS}
    services = [{"Name": "lm", "MaxConnections": 460, "Engine": engine}]
    limits = {"IdleTimeoutMs": 15_000, "MaxBodyBytes": 200_000}
    return {"Version": 1, "Routes": routes, "Services": services, "Limits": limits}


def format_account(account: SizeAccount) -> str:
    """Lay out who was served, a line for each kind."""
    lines = []
    for kind, rates in account.find_rates().items():
        ends = Counter(one.last for one in account.ended if one.kind == kind)
        mark = " SHORT" if rates.is_short else ""
        lines.append(
            f"  {kind}: {rates.asked} asked, served {rates.all:.2f}, largest tenth"
            f" {rates.largest:.2f}, fifth beneath {rates.next:.2f}{mark} {dict(ends)}"
        )
    return "\n".join(lines)


def main() -> int:
    """Play seeds and print who was served; ends with 1 if a size was left unserved."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--load", type=float, default=3.0, help="times the usual load")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a run")
    parser.add_argument("--faults", nargs="*", default=[], choices=list(FAULTS))
    parser.add_argument("--size", default="3,3,2", help="gateways,readers,hosts")
    parser.add_argument("--keep", default="", help="folder for settings and logs")
    args = parser.parse_args()
    short = 0
    for seed in range(args.seed, args.seed + args.count):
        folder = Path(args.keep or tempfile.mkdtemp(prefix="sizes-")) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        began_at = time.monotonic()
        run = play(seed, args.load, args.seconds, folder, args.faults, args.size)
        world = asyncio.run(run)
        taken_s = time.monotonic() - began_at
        print(f"seed {seed}, load {args.load:g}, {args.faults}, {taken_s:.0f} s")
        print(format_account(world.account), flush=True)
        short += any(r.is_short for r in world.account.find_rates().values())
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
