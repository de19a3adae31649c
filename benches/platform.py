"""``scripts/bench platform``: gateways before stand-ins of the users' platform.

Real gateway processes, the users' kinds of request at a steady rate, and two variants
in turn in one run, so that what the machine does meanwhile meets both alike.
"""

import asyncio
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from benches.measure import (
    find_percentile,
    read_cpu,
    read_memory,
    save_data,
)
from benches.platformcalls import KINDS, Kind, make_configuration, write_request
from robinspindle.connectionpool import ConnectionPool, borrow
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import ConnectionBrokenError, Exchange
from robinspindle.platform.dialect import decode_answer
from robinspindle.tables import format_table
from soak.gateways import GatewayProcess, prepare_gateway
from standins.logstore import LogStore
from standins.timedreplica import TimedReplica

ROUNDS = 3
"""Times that each variant is played, in turn."""

SECONDS = 8.0
"""Length of one play, seconds."""

RATE = 60.0
"""Requests a second of all kinds together: about two thirds of what the stand-in
readers carry, so that queues come and go."""

START_S = 20.0
"""Longest wait for all gateways to be ready, seconds."""

CONNECT_S = 1.0
"""Longest wait for a connection to a gateway, seconds."""

SEED = 1
"""Seed of the first round; each round has the next one for all variants."""

ENDS = ("whole", "refused", "other")
"""How a call may end, in the order of the table."""


SHAPES = (("push", ""),) * 3 + (("lm", "prefill"),) * 2 + (("lm", "decode"),) * 3
"""Services and roles of the stand-ins."""


@dataclass(frozen=True)
class Variant:
    """One way to run the gateways.

    Attributes:
        name: For the table.
        gateways: How many.
        options: Options of their command line.
    """

    name: str
    gateways: int = 3
    options: tuple[str, ...] = ()


COMPARISONS = {
    "logs": (Variant("all lines"), Variant("quiet", options=("--quiet",))),
    "gateways": (Variant("two gateways", 2), Variant("six gateways", 6)),
}


@dataclass
class Play:
    """What came of one play of a variant.

    Attributes:
        variant: The variant.
        answered_ms: Times to the end of whole answers by kind, milliseconds.
        ends: Calls by kind and by how they ended.
        cpu_s: Processor time of all gateways, seconds.
        memory_mb: Resident memory of the largest gateway at the end, MB.
        requests: Calls that were made.
        read_tokens: Tokens of prompts that stand-ins read.
        kept_tokens: Tokens of prompts that stand-ins found in their caches.
    """

    variant: Variant
    answered_ms: dict[str, list[float]] = field(default_factory=dict)
    ends: dict[tuple[str, str], int] = field(default_factory=dict)
    cpu_s: float = 0.0
    memory_mb: float = 0.0
    requests: int = 0
    read_tokens: int = 0
    kept_tokens: int = 0


def run_platform(comparison: str) -> None:
    """Play both variants in turn, print tables, and keep the run as data."""
    variants = COMPARISONS[comparison]
    plays: list[Play] = []
    for number in range(ROUNDS):
        for variant in variants:
            print(f"round {number + 1} of {ROUNDS}: {variant.name}", flush=True)
            plays.append(asyncio.run(_play(variant, SEED + number)))
    rows = [_summarise(variant, plays) for variant in variants]
    kinds = [_summarise_kind(v, k, plays) for v in variants for k in KINDS]
    columns = ("variant", "requests", "processor ms each", "low", "high", "MB", "kept")
    print(format_table(columns, rows))
    kind_columns = ("variant", "kind", "whole", "refused", "other", "p50 ms", "p99 ms")
    print(format_table(kind_columns, kinds))
    first, second = (row[2] for row in rows)
    print(f"{variants[0].name} against {variants[1].name}: {first / second:.2f} times")
    save_data(
        f"platform-{comparison}",
        {
            "columns": columns,
            "rows": rows,
            "kind_columns": kind_columns,
            "kinds": kinds,
            "answered_ms": {
                f"{variant.name}, {kind.name}": _gather(variant, kind, plays)
                for variant in variants
                for kind in KINDS
            },
        },
    )


async def _play(variant: Variant, seed: int) -> Play:
    play = Play(variant)
    with tempfile.TemporaryDirectory() as folder:
        store = LogStore()
        await store.server.start()
        replicas = await _start_replicas(store)
        gateways = await _start_gateways(variant, Path(folder), store)
        try:
            await _wait_until_ready(gateways)
            await _load(play, gateways, random.Random(seed))
        finally:
            for gateway in gateways:
                await gateway.end(signal.SIGKILL)
            for replica in replicas:
                await replica.server.stop()
            await store.server.stop()
    play.read_tokens = sum(replica.read_tokens for replica in replicas)
    play.kept_tokens = sum(replica.kept_tokens for replica in replicas)
    return play


async def _start_replicas(store: LogStore) -> list[TimedReplica]:
    await store.put("keyed.op", "config", make_configuration())
    replicas = []
    for number, (service, role) in enumerate(SHAPES):
        replica = TimedReplica(f"i{number}", service, role)
        await replica.server.start()
        await store.put("keyed.servers", replica.lifetime, replica.describe())
        replicas.append(replica)
    return replicas


async def _start_gateways(
    variant: Variant, folder: Path, store: LogStore
) -> list[GatewayProcess]:
    gateways = [
        prepare_gateway(folder, f"gateway-{number}", store.server.port)
        for number in range(variant.gateways)
    ]
    for gateway in gateways:
        gateway.options = variant.options
        await gateway.start()
    return gateways


async def _wait_until_ready(gateways: list[GatewayProcess]) -> None:
    async with asyncio.timeout(START_S):
        for gateway in gateways:
            pool = _make_pool(gateway)
            while not await _is_serving(pool):
                await asyncio.sleep(0.1)


def _make_pool(gateway: GatewayProcess) -> ConnectionPool:
    return ConnectionPool(HostPort("127.0.0.1", gateway.callers), decode_answer)


async def _is_serving(pool: ConnectionPool) -> bool:
    play = Play(Variant(""))
    await _call(play, pool, KINDS[-1], "ready", random.Random(0))
    return (KINDS[-1].name, "whole") in play.ends


async def _load(play: Play, gateways: list[GatewayProcess], rng: random.Random) -> None:
    pids = [gateway.process.pid for gateway in gateways]
    pools = [_make_pool(gateway) for gateway in gateways]
    cpu_before = sum(map(read_cpu, pids))
    begun = time.monotonic()
    tasks = []
    for number in range(int(RATE * SECONDS)):
        await asyncio.sleep(max(0.0, begun + number / RATE - time.monotonic()))
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        call = _call(play, rng.choice(pools), kind, f"r{number}", rng)
        tasks.append(asyncio.create_task(call))
    await asyncio.gather(*tasks)
    play.requests = len(tasks)
    play.cpu_s = sum(map(read_cpu, pids)) - cpu_before
    play.memory_mb = max(map(read_memory, pids))


async def _call(
    play: Play, pool: ConnectionPool, kind: Kind, id: str, rng: random.Random
) -> None:
    data = write_request(kind, id, rng)
    exchange = Exchange("")
    begun = time.monotonic()
    end = "other"
    try:
        async with (
            asyncio.timeout(kind.wait_ms / 1000),
            borrow(pool, time.monotonic, CONNECT_S) as connection,
        ):
            connection.send(exchange, data)
            head = await exchange.read_head()
            await exchange.read_body()
            end = {200: "whole", 503: "refused"}.get(head.status, "other")
    except (ConnectionBrokenError, TimeoutError):
        pass  # Counted as "other".
    play.ends[kind.name, end] = play.ends.get((kind.name, end), 0) + 1
    if end == "whole":
        taken_ms = (time.monotonic() - begun) * 1000
        play.answered_ms.setdefault(kind.name, []).append(taken_ms)


def _summarise(variant: Variant, plays: list[Play]) -> tuple:
    own = [play for play in plays if play.variant is variant]
    costs = [play.cpu_s * 1000 / play.requests for play in own]
    read = sum(play.read_tokens for play in own)
    kept = sum(play.kept_tokens for play in own)
    return (
        variant.name,
        sum(play.requests for play in own),
        round(find_percentile(costs, 0.5), 3),
        round(min(costs), 3),
        round(max(costs), 3),
        round(max(play.memory_mb for play in own), 1),
        f"{kept / max(1, read + kept):.2f}",
    )


def _summarise_kind(variant: Variant, kind: Kind, plays: list[Play]) -> tuple:
    counts = [
        sum(p.ends.get((kind.name, end), 0) for p in plays if p.variant is variant)
        for end in ENDS
    ]
    taken = _gather(variant, kind, plays)
    middle, last = (round(find_percentile(taken, share), 1) for share in (0.5, 0.99))
    return (variant.name, kind.name, *counts, middle, last)


def _gather(variant: Variant, kind: Kind, plays: list[Play]) -> list[float]:
    found = (p.answered_ms.get(kind.name, []) for p in plays if p.variant is variant)
    return [round(ms, 1) for taken in found for ms in taken]
