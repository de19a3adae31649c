"""Plays crashes of a whole version: ``python -m soak.versioncrashes --seed N``.

Engines of two software versions serve; all of one version crash at once, and others of
that version begin a while later. Callers take their streams up at another gateway, as
often and as late as the platform's callers do.
"""

import argparse
import asyncio
import random
import re
import sys
from dataclasses import dataclass
from itertools import cycle
from pathlib import Path

from soak.callers import write_request
from soak.oracle import Oracle
from soak.releases import VERSIONS, await_gateway, prepare_engine
from soak.resuming import Stream, read_events, write_try
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.world import World, cancel_all, run_for
from standins.rawhttp import LOOPBACK

GATEWAYS = 3
CALLERS = 18
ENGINES = 3
"""Engines of each version."""

EVENTS = 8
EVENT_S = 0.15
"""Events of a stream; time between two of them, seconds."""

CALLER_S = 15.0
RETRIES = 3
"""How long a caller waits for a whole stream, seconds; how often it comes again."""

APART_S = 4.0
AWAY_S = (2.0, 2.5)
"""From when all engines serve until a version's crash; how long those are away;
seconds."""

FEWEST_BROKEN = 12
"""Broken streams without which nothing is said of the share that is lost."""

RETRY_AFTER = re.compile(r"^retry-after: (\S+)\r$", re.IGNORECASE | re.MULTILINE)


@dataclass
class Account:
    """What became of the streams that got an event.

    Attributes:
        whole: Streams that never broke.
        went_on: Broken ones that were whole in the end.
        lost: Broken ones that were not.
    """

    whole: int = 0
    went_on: int = 0
    lost: int = 0

    def loses_streams(self) -> bool:
        """Whether most of the broken streams were lost, where enough broke."""
        has_enough = self.lost + self.went_on >= FEWEST_BROKEN
        return has_enough and self.lost > self.went_on


@dataclass
class TimedStream(Stream):
    """A stream whose caller heeds what it is told.

    Attributes:
        ends_at: When its caller gives it up, steady seconds.
        retry_s: The wait that the latest answer named, seconds; 0 for none.
    """

    ends_at: float = 0.0
    retry_s: float = 0.0


async def play(
    seed: int, seconds: float, folder: Path, gateways: int = GATEWAYS
) -> Account:
    """Play one seed.

    Args:
        seed: Chooses what is asked, and how long engines are away.
        seconds: How long.
        folder: Where settings and logs go.
        gateways: Number of gateways.

    Returns:
        What became of the streams.
    """
    rng = random.Random(seed)
    world = World(folder, rng, Oracle())
    world.vary = _vary
    account, tasks, serving = Account(), [], set()
    versions = [VERSIONS[0]]
    world.prepare = lambda replica: prepare_engine(
        replica, versions[0], EVENTS, EVENT_S
    )
    await world.start(gateways)
    try:
        versions[0] = VERSIONS[1]
        for _ in range(ENGINES):
            await world.add_replica("lm", "decode")
        for gateway in world.gateways:
            await await_gateway(gateway, serving)
        for number in range(CALLERS):
            call = _call_streams(world, account, f"c{number}")
            tasks.append(asyncio.create_task(call))
        tasks.append(asyncio.create_task(_crash_versions(world, versions)))
        await run_for(seconds, tasks)
    finally:
        await cancel_all(tasks)
        await world.stop()
    return account


def _vary(configuration: dict) -> None:
    for route in configuration["Routes"]:
        route["TimeoutMs"] = round(CALLER_S * 1000)


async def _crash_versions(world: World, versions: list[str]) -> None:
    """Crash all engines of one version, and then of the other, again and again."""
    for version in cycle(VERSIONS):
        await asyncio.sleep(APART_S)
        crashed = [
            replica
            for replica in world.replicas.values()
            if replica.role == "decode" and replica.software_version == version
        ]
        for replica in crashed:
            await world.remove_replica(replica.lifetime)
        await asyncio.sleep(world.rng.uniform(*AWAY_S))
        versions[0] = version
        for replica in crashed:
            await world.add_replica(replica.service, replica.role)
            await world.store.put("keyed.servers", replica.lifetime, None)


async def _call_streams(world: World, account: Account, name: str) -> None:
    number = 0
    while True:
        number += 1
        stream = _make_stream(f"{name}-{number}", world.rng)
        await _call_stream(world, account, stream)
        await asyncio.sleep(world.rng.uniform(0.05, 0.4))


def _make_stream(name: str, rng: random.Random) -> TimedStream:
    data = write_request(name, "digest", rng, deadline_ms=round(CALLER_S * 1000))
    ends_at = asyncio.get_running_loop().time() + CALLER_S
    return TimedStream(name, data, ends_at=ends_at)


async def _call_stream(world: World, account: Account, stream: TimedStream) -> None:
    gateway, attempt = world.rng.choice(world.gateways), 0
    await _try_once(stream, gateway.callers, attempt)
    while stream.last and not stream.is_ended and attempt < RETRIES:
        attempt += 1
        left_s = max(0.0, stream.ends_at - asyncio.get_running_loop().time())
        await asyncio.sleep(min(stream.retry_s, left_s / 3))
        gateway = world.rng.choice([g for g in world.gateways if g is not gateway])
        await _try_once(stream, gateway.callers, attempt)
    if stream.last:
        account.whole += stream.is_ended and not attempt
        account.went_on += stream.is_ended and attempt > 0
        account.lost += not stream.is_ended


async def _try_once(stream: TimedStream, port: int, attempt: int) -> None:
    """Send a stream's request and read its events until it ends or breaks."""
    id, writer = f"{stream.name}-t{attempt}", None
    stream.retry_s = 0.0
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        async with asyncio.timeout_at(stream.ends_at):
            writer.write(write_try(stream, id))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            told = RETRY_AFTER.search(head)
            stream.retry_s = float(told[1]) if told else 0.0
            if "transfer-encoding: chunked" in head.lower():
                await read_events(stream, id, reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass  # Broken off, which is what take-ups are for.
    finally:
        if writer is not None:
            writer.close()


def _play_one(args: argparse.Namespace, seed: int, folder: Path) -> SeedResult:
    account = asyncio.run(play(seed, args.seconds, folder, args.gateways))
    line = (
        f"seed {seed}: {account.whole} streams never broke, {account.went_on} went on, "
        f"{account.lost} were lost; logs: {folder}"
    )
    return SeedResult([line], account.loses_streams())


def main() -> int:
    """Play seeds and print what became of their streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=30.0, help="of each seed")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    args = parser.parse_args()
    return play_seeds(args, lambda seed, folder: _play_one(args, seed, folder))


if __name__ == "__main__":
    sys.exit(main())
