"""Plays most new connections at one gateway: ``python -m soak.crowd --seed N``.

Callers send requests at a rate of their own, each on a new connection, whether or not
earlier ones have ended. For a while nearly all first attempts go to one gateway, which
may have a part of a processor only. A caller whose connection is refused, or closed
without a byte, tries once more at another gateway, as its request was not read.
"""

import argparse
import asyncio
import random
import signal
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from soak.callers import KINDS, write_request
from soak.crashes import READY_S, wait_until_served
from soak.gateways import GatewayProcess
from soak.oracle import Oracle
from soak.partsaccount import CONTACT_S
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.world import World, cancel_all
from standins.rawhttp import LOOPBACK

CALM_S = 4.0
"""How long connections are spread over all gateways, seconds."""

CROWD_SHARE = 0.9
"""Share of first attempts that then go to one gateway."""

TURN_S = 0.02
"""How long a slowed gateway's process runs and rests in all, seconds."""

PATIENCE_S = 4.0
"""Longest wait for an answer, seconds."""

DEADLINE_MS = 2000
"""How long callers say that they wait, milliseconds."""

LAST_CHUNK = b"\r\n0\r\n\r\n"
"""What a stream ends with."""


@dataclass
class Plan:
    """What is played.

    Attributes:
        seconds: How long the crowd lasts.
        gateways: Gateways.
        more: Engines that generate, beyond three.
        per_s: Requests a second.
        event_s: Time between two events of answers, seconds.
        cpu_share: Share of the time in which the crowded gateway's process may run.
        link_bytes_per_s: Speed of what callers send to each gateway; 0 for any.
        connections: Connections that each target takes from all gateways together.
    """

    seconds: float = 12.0
    gateways: int = 3
    more: int = 3
    per_s: float = 100.0
    event_s: float = 0.05
    cpu_share: float = 1.0
    link_bytes_per_s: int = 0
    connections: int = 100


@dataclass
class Attempt:
    """One attempt of a caller.

    Attributes:
        sent_at: When it was sent, event loop's seconds.
        is_read: Whether the gateway read it, as far as its caller can tell.
        is_served: Whether its caller got a whole answer.
        status: The answer's status; 0 for none.
    """

    sent_at: float
    is_read: bool
    is_served: bool
    status: int


@dataclass
class CrowdAccount:
    """Counts of one run.

    Attributes:
        first_read: The first attempt of each request that a gateway read.
        unread: Requests that no gateway read.
    """

    first_read: list[Attempt] = field(default_factory=list)
    unread: int = 0

    def find_share(self, since: float, until: float) -> float:
        """Find what share was served at the first attempt that was read."""
        found = [a for a in self.first_read if since <= a.sent_at < until]
        return sum(a.is_served for a in found) / len(found) if found else 0.0


@dataclass
class Played:
    """What a run found.

    Attributes:
        account: What became of the requests.
        crowd_at: When most connections began to go to one gateway.
        ended_at: When that ended.
    """

    account: CrowdAccount
    crowd_at: float
    ended_at: float

    def find_shares(self) -> tuple[float, float]:
        """Find the shares served before, and from when the promise holds."""
        account = self.account
        before = account.find_share(self.crowd_at - CALM_S, self.crowd_at)
        after = account.find_share(self.crowd_at + CONTACT_S, self.ended_at)
        return before, after


async def play(seed: int, plan: Plan, folder: Path) -> Played:
    """Play one seed."""
    loop, account = asyncio.get_running_loop(), CrowdAccount()
    world = World(folder, random.Random(seed), Oracle())
    world.prepare = lambda replica: setattr(replica, "event_s", plan.event_s)
    world.vary = lambda configuration: _limit_connections(configuration, plan)
    await world.start(plan.gateways)
    if plan.link_bytes_per_s:
        await world.slow_links(plan.link_bytes_per_s)
    for _ in range(plan.more):
        await world.add_replica("lm", "decode")
    tasks: list[asyncio.Task] = []
    try:
        async with asyncio.timeout(READY_S * plan.gateways):
            await wait_until_served(world)
        crowd_at = loop.time() + CALM_S
        tasks.append(asyncio.create_task(_slow(world.gateways[0], plan.cpu_share)))
        tasks.append(asyncio.create_task(_send(world, account, plan, crowd_at)))
        await asyncio.sleep(CALM_S + plan.seconds)
        ended_at = loop.time()
        tasks[1].cancel()
        await asyncio.sleep(PATIENCE_S)
    finally:
        await cancel_all(tasks)
        await world.stop()
    return Played(account, crowd_at, ended_at)


def _limit_connections(configuration: dict, plan: Plan) -> None:
    for service in configuration["Services"]:
        service["MaxConnections"] = plan.connections


async def _slow(gateway: GatewayProcess, share: float) -> None:
    """Let a process run for a share of the time only."""
    if share >= 1.0:
        return
    process = gateway.process
    try:
        while True:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(TURN_S * (1 - share))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(TURN_S * share)
    finally:
        process.send_signal(signal.SIGCONT)


async def _send(
    world: World, account: CrowdAccount, plan: Plan, crowd_at: float
) -> None:
    loop, calls = asyncio.get_running_loop(), set()
    next_at, number = loop.time(), 0
    while True:
        number += 1
        next_at += world.rng.expovariate(plan.per_s)
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        is_crowd = loop.time() >= crowd_at and world.rng.random() < CROWD_SHARE
        first = world.gateways[0] if is_crowd else world.rng.choice(world.gateways)
        request = _ask(world, account, f"q-{number}", first)
        call = asyncio.create_task(request)
        calls.add(call)
        call.add_done_callback(calls.discard)


async def _ask(
    world: World, account: CrowdAccount, id: str, first: GatewayProcess
) -> None:
    """Ask until an attempt is read: at one gateway, then at the others in turn."""
    kind = world.rng.choice(KINDS)
    for gateway in _list_tries(world, first):
        world.oracle.note_sent(id, kind)
        data = write_request(id, kind, world.rng, deadline_ms=DEADLINE_MS)
        attempt = await _try_once(world.find_port(gateway), data)
        if attempt.is_read:
            account.first_read.append(attempt)
            return
    account.unread += 1


def _list_tries(world: World, first: GatewayProcess) -> Iterator[GatewayProcess]:
    yield first
    others = [gateway for gateway in world.gateways if gateway is not first]
    yield from world.rng.sample(others, len(others))


async def _try_once(port: int, data: bytes) -> Attempt:
    sent_at, writer, head = asyncio.get_running_loop().time(), None, b""
    try:
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            if b"chunked" in head:
                await reader.readuntil(LAST_CHUNK)
    except TimeoutError:
        return Attempt(sent_at, True, False, 0)
    except (OSError, asyncio.IncompleteReadError) as error:
        was_answered = bool(head or getattr(error, "partial", b""))
        return Attempt(sent_at, was_answered, False, 0)
    finally:
        if writer is not None:
            writer.close()
    status = int(head.split()[1])
    return Attempt(sent_at, True, status == 200, status)


def describe(seed: int, played: Played) -> str:
    """Describe what a run found."""
    before, after = played.find_shares()
    account = played.account
    return (
        f"seed {seed}: served at the first attempt read {before:.2f} before, "
        f"{after:.2f} while most connections went to one gateway; "
        f"{len(account.first_read)} read, {account.unread} unread"
    )


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--more", type=int, default=3, help="engines that generate")
    parser.add_argument("--per-s", type=float, default=100.0)
    parser.add_argument("--event-s", type=float, default=0.05)
    parser.add_argument("--cpu-share", type=float, default=1.0)
    parser.add_argument("--link", type=int, default=0, help="bytes a second")
    parser.add_argument("--connections", type=int, default=100, help="of a target")
    args = parser.parse_args()
    plan = Plan(
        args.seconds,
        args.gateways,
        args.more,
        args.per_s,
        args.event_s,
        args.cpu_share,
        args.link,
        args.connections,
    )

    def play_one(seed: int, folder: Path) -> SeedResult:
        played = asyncio.run(play(seed, plan, folder))
        return SeedResult([describe(seed, played)], has_failed=False)

    return play_seeds(args, play_one)


if __name__ == "__main__":
    sys.exit(main())
