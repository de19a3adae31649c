"""Callers that tell by which gateway process each request was taken, and when."""

import asyncio
import math
from dataclasses import dataclass

from soak.callers import KINDS, write_request
from soak.gateways import GatewayProcess
from soak.replicas import SoakReplica
from soak.selfreportaccount import SelfReportAccount, Supply
from soak.world import World
from standins.rawhttp import LOOPBACK

DEADLINE_S = 4.0
SLACK_S = 0.25
"""How long a caller waits for an answer, as it says; how much longer it listens,
seconds."""

PAUSE_S = (0.02, 0.2)
"""Time between two requests of a caller, seconds."""

SETTLE_S = 3.0
"""How long after its start, and after the store is back, a gateway counts as sound,
seconds."""

KNOWN_S = 1.5
"""How long ago a replica that takes requests must have begun, seconds."""

ENGINE_KINDS = ("chat", "digest")
ENOUGH = 2
"""Replicas of a role that take requests where there are enough of them."""


@dataclass
class Connection:
    """A connection to one life of a gateway.

    Attributes:
        life: The name of that life.
        began_at: When that life began, steady seconds.
    """

    life: str
    began_at: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def call_on(
    world: World, account: SelfReportAccount, gateway: GatewayProcess, name: str
) -> None:
    """Send one request after another to a gateway, for ever.

    The connection is used until the gateway closes it or is gone.

    Args:
        world: The deployment.
        account: Told what is sent and answered.
        gateway: The gateway.
        name: What the requests' ids begin with.
    """
    number, connection = 0, None
    while True:
        await asyncio.sleep(world.rng.uniform(*PAUSE_S))
        if connection is None:
            connection = await _connect(gateway)
        if connection is not None:
            number += 1
            id = f"{name}-{number}"
            if not await _call(world, account, gateway, connection, id):
                connection.writer.close()
                connection = None


async def _connect(gateway: GatewayProcess) -> Connection | None:
    process, began_at = gateway.process, gateway.began_at
    try:
        streams = await asyncio.open_connection(LOOPBACK, gateway.callers)
    except OSError:
        return None
    if gateway.process is not process:
        streams[1].close()
        return None
    return Connection(f"{gateway.name}/{process.pid}", began_at, *streams)


async def _call(
    world: World,
    account: SelfReportAccount,
    gateway: GatewayProcess,
    connection: Connection,
    id: str,
) -> bool:
    """Send a request and read its answer; returns whether the connection stays."""
    kind = world.rng.choice(KINDS)
    now = asyncio.get_running_loop().time()
    supply = find_supply(world, kind)
    # Replicas that began meanwhile can't be known.
    away_at = account.away_at.get(gateway.name, -math.inf)
    if supply is Supply.FULL and now - away_at < SETTLE_S:
        supply = Supply.SOME
    is_settled = now - connection.began_at >= SETTLE_S
    deadline_ms = round(DEADLINE_S * 1000)
    data = write_request(id, kind, world.rng, deadline_ms=deadline_ms)
    world.oracle.note_sent(id, kind)
    account.note_sent(id, connection.life, now)
    try:
        async with asyncio.timeout(DEADLINE_S + SLACK_S):
            connection.writer.write(data)
            status, keep = await _take_answer(world, account, connection.reader, id)
    except TimeoutError:
        status, keep = None, False
    except (OSError, asyncio.IncompleteReadError, ValueError):
        status, keep = 0, False
    if not status:
        world.oracle.note_answer(id, 0, b"", is_whole=False)
    if is_settled and not gateway.lock.locked():
        waited_s = asyncio.get_running_loop().time() - now
        account.note_outcome(supply, status, waited_s)
    return keep


async def _take_answer(
    world: World, account: SelfReportAccount, reader: asyncio.StreamReader, id: str
) -> tuple[int, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    now = asyncio.get_running_loop().time()
    account.note_passed_on(id, headers.get("x-response-seal", ""), now)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    status = int(first.split()[1])
    world.oracle.note_answer(id, status, body, is_whole=True)
    return status, headers.get("connection", "").lower() != "close"


def find_supply(world: World, kind: str) -> Supply:
    """Find what the replicas that a request needs say of themselves."""
    role = "decode" if kind in ENGINE_KINDS else ""
    replicas = [replica for replica in world.replicas.values() if replica.role == role]
    now = asyncio.get_running_loop().time()
    able = sum(_is_able(replica, now) for replica in replicas)
    if not able:
        return Supply.NONE
    return Supply.FULL if able >= ENOUGH else Supply.SOME


def _is_able(replica: SoakReplica, now: float) -> bool:
    is_leaving = replica.is_leaving or replica.says_leaving
    is_limited = replica.refusal is not None or replica.limit_per_s is not None
    is_new = now - replica.began_at < KNOWN_S
    return not (is_leaving or is_limited or is_new or now < replica.rests_until)
