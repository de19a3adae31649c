"""Plays planned stops: ``python -m soak.stops --seed N``.

Gateways are asked to stop while callers go on until the process is gone: on new and on
kept connections, with bodies that come slowly and work that takes a while. Beside a
stop configurations change, replicas are replaced, and the gateway is told to read its
settings anew or to stop once more. Whatever has been passed on is answered, and what
has begun to come is told its end.
"""

import argparse
import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from soak.callers import KINDS, write_request
from soak.ends import End, read_end
from soak.faults import change_configuration, replace_replica
from soak.gateways import GatewayProcess
from soak.oracle import Oracle
from soak.replicas import SoakReplica
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.stalls import StallWatch
from soak.waiting import wait_until_all_serve
from soak.world import World, cancel_all, run_for
from standins.rawhttp import LOOPBACK

GATEWAYS = 2
CALLERS = 8
"""Callers of each gateway; every other one sends its bodies slowly."""

STREAMS = ("chat", "digest")
"""Kinds of which an answer that has begun may break off, to be taken up elsewhere."""

EVENT_S = 0.15
"""Time between two events of a stream, seconds."""

WORK_S = (0.0, 0.3, 1.2)
"""How long the plain replicas work, seconds, one after the other."""

BODY_S = (0.2, 3.6)
"""How long a slow body is in coming, seconds: up to the end of a stop."""

UNANSWERED = (End.CLOSED, End.LEFT)

PIECES = 4
KEPT_SHARE = 0.75
"""Pieces in which the end of a slow body comes, and the share of whole answers after
which a connection is kept."""

DEADLINE_S = 6.0
SETTLED_S = 1.0
BESIDE_S = 3.0
"""How long a caller waits for an answer, how long all is calm before a stop, and up to
when something else happens beside it, seconds."""

RACE_S = 0.1
"""A request that meets the end of its connection within that time may not have been
seen, seconds: a new connection in the backlog, or a kept one that was idle."""


@dataclass
class StopAccount:
    """What became of requests before and in stops.

    Attributes:
        ends: How requests ended, by kind and end.
        findings: What must not be seen and was.
        stalls: Sees when callers were not run; what ends then isn't judged.
        was_paused: Whether a gateway was not run for a while by itself: it may have met
            its end with requests that it had not read, so findings are unsure.
    """

    ends: Counter[tuple[str, End]] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    stalls: StallWatch = field(default_factory=StallWatch)
    was_paused: bool = False


@dataclass
class _Connection:
    """A caller's connection; none while both are None."""

    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def open(self, port: int) -> None:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(LOOPBACK, port)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call_until_gone(
    gateway: GatewayProcess, world: World, account: StopAccount, name: str, slow: bool
) -> None:
    """Send one request after another to a gateway, on a connection that is kept.

    Args:
        gateway: The gateway.
        world: The deployment.
        account: Told how each ended.
        name: What the requests' ids begin with.
        slow: Whether bodies come slowly.
    """
    loop, connection, number = asyncio.get_running_loop(), _Connection(), 0
    while True:
        number += 1
        id, kind = f"{name}-{number}", world.rng.choice(KINDS)
        await asyncio.sleep(world.rng.uniform(0.0, 0.05))
        try:
            await connection.open(gateway.callers)
        except OSError:
            continue
        world.oracle.note_sent(id, kind)
        sent_at = loop.time()
        end = await _ask(connection, world, id, kind, slow)
        account.ends[kind, end] += 1
        if end in UNANSWERED and not account.stalls.has_stalled_since(sent_at):
            _judge(account, id, kind, end, loop.time() - sent_at, world.oracle.runs[id])
        if end is End.WRONG:
            account.findings.append(f"{id}: {kind} has the wrong answer")
        if end is not End.WHOLE or world.rng.random() > KEPT_SHARE:
            connection.close()


def _judge(
    account: StopAccount, id: str, kind: str, end: End, used_s: float, runs: int
) -> None:
    """Take note of a request that got no answer, unless it may not have been seen."""
    if runs or used_s > RACE_S:
        text = f"{id}: {kind} {end.value} after {used_s:.2f} s, ran {runs} times"
        account.findings.append(text)


async def _ask(
    connection: _Connection, world: World, id: str, kind: str, slow: bool
) -> End:
    data = write_request(id, kind, world.rng, deadline_ms=round(DEADLINE_S * 1000))
    heads: list[str] = []
    read = partial(read_end, connection.reader, id, kind, lambda: heads.append(id))
    try:
        async with asyncio.timeout(DEADLINE_S):
            if not slow:
                connection.writer.write(data)
                return await read()
            body_s = world.rng.uniform(*BODY_S)
            sending = asyncio.create_task(_send_slowly(connection.writer, data, body_s))
            try:
                # The answer may come before all is sent.
                return await read()
            finally:
                await cancel_all([sending])
    except TimeoutError:
        return End.LEFT
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return End.EXCUSED if heads and kind in STREAMS else End.CLOSED


async def _send_slowly(
    writer: asyncio.StreamWriter, data: bytes, seconds: float
) -> None:
    """Send a request whose last bytes come one by one."""
    writer.write(data[:-PIECES])
    for byte in data[-PIECES:]:
        await asyncio.sleep(seconds / PIECES)
        writer.write(bytes((byte,)))


async def reload(world: World, gateway: GatewayProcess) -> None:
    """Have a gateway read its settings anew, again and again."""
    for _ in range(world.rng.randint(1, 20)):
        gateway.send_signal(signal.SIGHUP)
        await asyncio.sleep(world.rng.uniform(0.0, 0.3))


async def stop_again(world: World, gateway: GatewayProcess) -> None:
    """Ask a gateway to stop that stops."""
    await asyncio.sleep(world.rng.uniform(0.0, BESIDE_S))
    gateway.send_signal(signal.SIGTERM)


async def change(world: World, gateway: GatewayProcess) -> None:
    """Put configurations in force."""
    for _ in range(world.rng.randint(1, 4)):
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
        await change_configuration(world, 0.0)


async def replace(world: World, gateway: GatewayProcess) -> None:
    """Have a replica say that it leaves, add another, and end it later."""
    await asyncio.sleep(world.rng.uniform(0.0, 1.0))
    await replace_replica(world, BESIDE_S)


Beside = Callable[[World, GatewayProcess], Awaitable[None]]

BESIDES: tuple[Beside, ...] = (reload, stop_again, change, replace)
"""What may happen beside a stop; several overlap."""


async def play(seed: int, stops: int, folder: Path) -> StopAccount:
    """Play some stops.

    Args:
        seed: Chooses what is sent, which gateways stop, and what happens beside it.
        stops: How many.
        folder: Where settings and logs go.

    Returns:
        What became of requests.
    """
    world = World(folder, random.Random(seed), Oracle())
    account = StopAccount(findings=world.oracle.findings)
    world.prepare = _slow_down
    await world.start(GATEWAYS)
    tasks: list[asyncio.Task] = []
    try:
        await wait_until_all_serve(world, "start")
        tasks.append(asyncio.create_task(account.stalls.watch()))
        for number in range(CALLERS * GATEWAYS):
            gateway = world.gateways[number % GATEWAYS]
            slow = number // GATEWAYS % 2 == 1
            call = call_until_gone(gateway, world, account, f"c{number}", slow)
            tasks.append(asyncio.create_task(call))
        for number in range(stops):
            await run_for(SETTLED_S, tasks)
            gateway = world.rng.choice(world.gateways)
            await _stop_once(world, gateway, f"stop-{number}")
        await wait_until_all_serve(world, "end")
    finally:
        await cancel_all(tasks)
        await world.stop()
    world.oracle.check_promises()
    account.was_paused = any(gateway.was_paused() for gateway in world.gateways)
    return account


def _slow_down(replica: SoakReplica) -> None:
    replica.event_s = EVENT_S
    if not replica.role:
        replica.run_s = WORK_S[int(replica.lifetime[1:]) % len(WORK_S)]


async def _stop_once(world: World, gateway: GatewayProcess, when: str) -> None:
    chosen = world.rng.sample(BESIDES, world.rng.randint(0, len(BESIDES)))
    beside = [asyncio.create_task(act(world, gateway)) for act in chosen]
    code = await gateway.end(signal.SIGTERM)
    await asyncio.gather(*beside)
    if code != 0:
        world.oracle.findings.append(f"{gateway.name} ended with {code}")
    await gateway.start()
    await wait_until_all_serve(world, when)


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--stops", type=int, default=4, help="stops of each seed")
    args = parser.parse_args()

    def play_one(seed: int, folder: Path) -> SeedResult:
        account = asyncio.run(play(seed, args.stops, folder))
        ends = {f"{k} {end.value}": n for (k, end), n in sorted(account.ends.items())}
        unsure = ", unsure: a gateway was paused" if account.was_paused else ""
        lines = [f"seed {seed}: {ends}{unsure}", *(f"  {f}" for f in account.findings)]
        return SeedResult(lines, bool(account.findings) and not account.was_paused)

    return play_seeds(args, play_one)


if __name__ == "__main__":
    sys.exit(main())
