"""Crowds of clients that don't behave, as a fault among others."""

import asyncio
import contextlib

from robinspindle.core.heldbytes import BYTES_PER_MB
from soak.clientshapes import mix
from soak.gateways import MEMORY_MB, GatewayProcess
from soak.processmemory import count_unread, read_status
from soak.world import World, cancel_all
from standins.rawhttp import LOOPBACK

MOST_CLIENTS = 200
MOST_BODY_BYTES = 4 << 20
"""Clients of one crowd, and the longest body that a gateway takes, bytes."""


async def send_crowd(world: World, seconds: float) -> None:
    """Have a crowd use a gateway for a while, whatever else happens to it meanwhile."""
    gateway = world.rng.choice(world.gateways)
    seed = world.rng.randrange(1 << 32)
    count = world.rng.randint(1, MOST_CLIENTS)
    clients = [
        asyncio.create_task(_use(gateway, f"crowd-{seed}-{number}", seed))
        for number in range(count)
    ]
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + 2 * seconds
    while loop.time() < ends_at:
        check_memory(world, gateway)
        await asyncio.sleep(0.1)
    await cancel_all(clients)


async def _use(gateway: GatewayProcess, id: str, seed: int) -> None:
    """Send one client's pieces, and stay until the connection is closed."""
    writer = None
    try:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(LOOPBACK, gateway.callers)
            for piece in mix(id, seed, MOST_BODY_BYTES):
                writer.write(piece)
                await writer.drain()
            while await reader.read(MOST_BODY_BYTES):
                continue
    finally:
        if writer is not None:
            writer.transport.abort()


def check_memory(world: World, gateway: GatewayProcess) -> None:
    """Check that a gateway is within its memory, with what has come unread."""
    # Another fault may have ended it.
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        unread = count_unread(frozenset((gateway.callers,)))
        held = read_status(gateway.process.pid, "VmHWM") + unread
        if held > MEMORY_MB * BYTES_PER_MB:
            text = f"{gateway.name} holds {held / BYTES_PER_MB:.0f} MB"
            world.oracle.findings.append(text)
