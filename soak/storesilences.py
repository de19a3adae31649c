"""Plays connections to the store that go silent: ``-m soak.storesilences --seed N``.

In each round open connections between gateways and the store go silent for good, at any
moment, while new ones work. Just before or after, one replica says that it leaves and a
configuration adds a route and takes another away. A gateway is in touch again
`CONTACT_S` after the silence began, and then has to know both as if nothing had been.
"""

import argparse
import asyncio
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

from soak.callers import write_request
from soak.gateways import DRAIN_S
from soak.oracle import Oracle
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.world import World, cancel_all, name_newest, run_for
from standins.rawhttp import LOOPBACK

GATEWAYS = 3

READY_S = 20.0
SETTLED_S = 4.0
"""Longest wait until all gateways serve; how long they then take to choose who reads
for all, seconds."""

CONTACT_S = 3.0
APPLY_S = 2.0
"""How soon after a silence gateways are held to what the store says; how soon after its
acknowledgement a configuration is in force everywhere, seconds."""

MARGIN_S = 0.1
"""How much after a bound a request is sent or arrives before it counts, seconds."""

LISTED_S = (1.5, 4.5)
"""How long the leaving replica serves before the silence, seconds: longer than a poll
is held by who reads for all."""

ORDER_S = (-0.7, 0.9)
"""When the replica and the operator write, from the silence on, seconds."""

AFTER_S = 2.5
"""How long requests are sent once gateways are in touch again, seconds."""

PACE_S = 0.02
"""Time between two requests to one gateway, seconds."""

WAIT_S = 2.0
"""Longest wait for an answer, seconds."""

NOT_FOUND = 404


@dataclass
class Round:
    """What became of one round.

    Attributes:
        silent_at: When the connections went silent, loop seconds.
        acked_at: When the store had taken both records, loop seconds.
        newest: The route that the new configuration adds.
        oldest: The route that it takes away.
        late: What must not have been seen.
        counted: Requests that were sent while all were in touch again.
    """

    silent_at: float = 0.0
    acked_at: float = 0.0
    newest: str = ""
    oldest: str = ""
    late: list[str] = field(default_factory=list)
    counted: int = 0


class Sent(dict[str, float]):
    """When each request was sent, loop seconds, by its id."""


async def play(seed: int, rounds: int, folder: Path) -> list[Round]:
    """Play some rounds before one deployment.

    Args:
        seed: Chooses the moments and the connections.
        rounds: How many.
        folder: Where settings and logs go.

    Returns:
        What became of each.
    """
    rng = random.Random(seed)
    world = World(folder, rng, Oracle())
    await world.start(GATEWAYS)
    try:
        async with asyncio.timeout(READY_S):
            while not all(gateway.has_started() for gateway in world.gateways):
                await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLED_S)
        return [await _play_round(world, number) for number in range(rounds)]
    finally:
        await world.stop()


async def _play_round(world: World, number: int) -> Round:
    rng, loop = world.rng, asyncio.get_running_loop()
    played, sent = Round(oldest=name_newest(world.version)), Sent()
    known = set(world.replicas)
    await world.add_replica("push", "")
    leaving = world.replicas[next(iter(world.replicas.keys() - known))]
    arrivals: list[tuple[str, float]] = []
    leaving.on_arrival = lambda request: arrivals.append(
        (request.headers["x-request-id"], loop.time())
    )
    tasks = [
        asyncio.create_task(
            _call_paced(world, place, f"{number}-{place}", played, sent)
        )
        for place in range(GATEWAYS)
    ]
    try:
        await asyncio.sleep(rng.uniform(*LISTED_S))
        begins_at, order_s = loop.time() + max(0.0, -ORDER_S[0]), rng.uniform(*ORDER_S)
        await asyncio.gather(
            _fall_silent(world, begins_at, played),
            _write(world, leaving, begins_at + order_s, played),
        )
        end = max(played.silent_at + CONTACT_S, played.acked_at + DRAIN_S) + AFTER_S
        await run_for(end - loop.time(), tasks)
    finally:
        await cancel_all(tasks)
    for id, at in arrivals:
        in_touch = sent[id] > played.silent_at + CONTACT_S + MARGIN_S
        if in_touch and at > played.acked_at + DRAIN_S + MARGIN_S:
            after_s = sent[id] - played.silent_at
            played.late.append(f"DRAIN: {id}, {after_s:.2f} s after the silence")
    await world.store.put("keyed.servers", leaving.lifetime, None)
    await world.remove_replica(leaving.lifetime)
    return played


async def _fall_silent(world: World, at: float, played: Round) -> None:
    rng, loop = world.rng, asyncio.get_running_loop()
    await asyncio.sleep(at - loop.time())
    proxies = list(world.store_proxies.values())
    if rng.random() < 0.5:
        proxies = rng.sample(proxies, rng.randint(1, len(proxies)))
    share = rng.choice([1.0, 1.0, 0.5])
    for proxy in proxies:
        proxy.silence(rng, share)
    played.silent_at = loop.time()


async def _write(world: World, leaving, at: float, played: Round) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(at - loop.time())
    await world.announce(leaving, "draining")
    await world.configure()
    played.newest = name_newest(world.version)
    played.acked_at = loop.time()


async def _call_paced(
    world: World, place: int, name: str, played: Round, sent: Sent
) -> None:
    """Call one gateway at an even pace, for ever."""
    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            number += 1
            route = ("once", played.newest, played.oldest)[number % 3] or "once"
            port = world.gateways[place].callers
            group.create_task(_call(port, f"{name}-{number}", route, played, sent))
            await asyncio.sleep(PACE_S)


async def _call(port: int, id: str, route: str, played: Round, sent: Sent) -> None:
    loop = asyncio.get_running_loop()
    is_new, is_old = route == played.newest, route == played.oldest
    sent[id] = sent_at = loop.time()
    status = 0
    try:
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(write_request(id, "once", random.Random(0), route))
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return
    if not played.acked_at or not played.silent_at:
        return
    since = max(played.silent_at + CONTACT_S, played.acked_at + APPLY_S) + MARGIN_S
    if sent_at < since:
        return
    played.counted += 1
    is_wrong = (is_new and status == NOT_FOUND) or (is_old and status != NOT_FOUND)
    if is_wrong:
        after_s = sent_at - played.silent_at
        played.late.append(f"CONFIG: {id} got {status}, {after_s:.2f} s after it")


def _play_one(args: argparse.Namespace, seed: int, folder: Path) -> SeedResult:
    rounds = asyncio.run(play(seed, args.rounds, folder))
    lines = [
        f"seed {seed}: {sum(bool(r.late) for r in rounds)} of {len(rounds)} rounds"
    ]
    lines += [f"  {len(r.late)}, such as {r.late[0]}" for r in rounds if r.late]
    return SeedResult(lines, any(r.late or not r.counted for r in rounds))


def main() -> int:
    """Play seeds and print what must not have been seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--rounds", type=int, default=8)
    args = parser.parse_args()
    return play_seeds(args, lambda seed, folder: _play_one(args, seed, folder))


if __name__ == "__main__":
    sys.exit(main())
