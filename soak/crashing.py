"""Requests that crash whoever runs them, and replicas that crash under them."""

import asyncio

from soak.callers import WAIT_S
from soak.crashaccount import CrashAccount
from soak.replicas import CRASHING, SoakReplica
from soak.world import HOST, World
from standins.rawhttp import LOOPBACK

REPEAT_S = 0.25
"""Pause of a caller between two tries of a crashing request, seconds."""

AWAY_S = 1.0
"""How long a replica that crashed is away, seconds."""


def make_body(number: int, length: int = 40) -> bytes:
    """Make the body of a request that crashes replicas."""
    return (CRASHING + b" %d " % number).ljust(length, b"x")


def let_crash(
    world: World, replica: SoakReplica, account: CrashAccount, away_s: float = AWAY_S
) -> None:
    """Have a replica crash under the requests that are made for it.

    Args:
        world: The deployment.
        replica: The replica.
        account: Told what reaches it and what crashes it.
        away_s: How long it is away then, seconds.
    """
    loop = asyncio.get_running_loop()
    restarts: set[asyncio.Task] = set()

    def crash(body: bytes) -> None:
        if world.replicas.get(replica.lifetime) is replica:
            account.crashes[body].append(loop.time())
            restart = world.restart_replica(replica.lifetime, away_s)
            restarts.add(loop.create_task(restart))

    replica.crash = crash
    replica.on_sent = lambda body: account.sent[body].append(loop.time())


async def repeat(
    world: World,
    account: CrashAccount,
    kind: str,
    body: bytes,
    to_all: bool = False,
) -> None:
    """Repeat a crashing request for ever, with a new id each time.

    Args:
        world: The deployment.
        account: Told what its callers get.
        kind: What is asked for.
        body: Its body.
        to_all: Whether copies go to all gateways at the same moment.
    """
    number = 0
    while True:
        chosen = world.gateways if to_all else [world.rng.choice(world.gateways)]
        ids = range(number, number + len(chosen))
        number += len(chosen)
        calls = [
            _repeat_once(world.find_port(gateway), kind, body, id)
            for gateway, id in zip(chosen, ids, strict=True)
        ]
        for status in await asyncio.gather(*calls):
            account.statuses[body][status] += 1
        await asyncio.sleep(REPEAT_S)


async def _repeat_once(port: int, kind: str, body: bytes, number: int) -> int:
    name = body[:10].decode().strip("x").strip().replace(" ", "-")
    data = write_request(f"{name}-{number}", kind, body)
    return await call(port, data)


async def call(port: int, data: bytes) -> int:
    """Send a request on a connection of its own; returns its status, 0 for none."""
    writer = None
    try:
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            # A stream that breaks off after its head counts as no answer.
            rest = await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()
    is_stream = b"transfer-encoding: chunked" in head.lower()
    if is_stream and not rest.endswith(b"0\r\n\r\n"):
        return 0
    return int(head.split()[1])


def write_request(
    id: str,
    kind: str,
    body: bytes,
    parts: str = "head:2000,document:3000,own:1000",
    most_tokens: int = 100,
) -> bytes:
    """Write a request of a kind with a body of its own.

    Args:
        id: Its id.
        kind: Its kind.
        body: Its body.
        parts: The parts of its prompt, where its kind has one.
        most_tokens: The most tokens of the answer to that.
    """
    lines = [f"POST /{kind}/x HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}"]
    lines += ["X-Deadline-Ms: 2000", "Connection: close"]
    if kind in ("chat", "digest"):
        lines += ["X-Model: m", f"X-Token-Count: 6000,{most_tokens}"]
        lines.append(f"X-Prompt-Prefix: {parts}")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
