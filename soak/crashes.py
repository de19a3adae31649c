"""Plays requests that crash whoever runs them: ``python -m soak.crashes --seed N``.

Callers repeat the same request, with a new id each time, at any gateway. A replica that
begins to run one resets its connections and is away for a second; then it is back under
its id. Other callers ask for all kinds meanwhile.
"""

import argparse
import asyncio
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from soak.callers import KINDS, call_on
from soak.crashaccount import CrashAccount, Share, count_served, subtract
from soak.crashing import (
    AWAY_S,
    call,
    let_crash,
    make_body,
    repeat,
    write_request,
)
from soak.oracle import Oracle
from soak.replicas import SoakReplica
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.world import World, cancel_all

OTHERS = 10
"""Other callers."""

RUN_S = 0.2
OWN_CRASH_S = 0.7
"""How long a run takes, and how often some replica crashes for a reason of its own,
where callers ask for the same things over and over, seconds."""

LINK_BYTES_PER_S = 600_000
"""A slow link between callers and a gateway: 5 Mbit/s, the least of any deployment."""

READY_S = 20.0
"""Longest wait until all gateways serve, seconds."""

FAULTS = ("kill-in-turn", "restart-all", "kill-relay", "cut-store")
"""What may be done to gateways meanwhile."""


@dataclass
class Plan:
    """What is played.

    Attributes:
        seconds: How long.
        gateways: Gateways.
        more: Plain replicas, and engines that generate, beyond three of each.
        kinds: Kinds of the crashing requests, one caller each.
        body_bytes: Length of their bodies.
        copies: Whether each is sent to all gateways at the same moment.
        faults: What is done to gateways meanwhile.
        slow_links: Whether what callers send comes over 600 KB/s each.
        innocent: Whether callers ask for the same things while replicas crash for
            reasons of their own, and nothing else crashes them.
    """

    seconds: float = 20.0
    gateways: int = 3
    more: int = 0
    kinds: tuple[str, ...] = ("safe", "digest")
    body_bytes: int = 40
    copies: bool = False
    faults: tuple[str, ...] = ()
    slow_links: bool = False
    innocent: bool = False


TURNED_AWAY = b"refused 503: crashes-targets"
"""How gateways' logs say that a request was turned away."""


@dataclass
class Played:
    """What a run found.

    Attributes:
        turned_away: Requests that gateways turned away because they crash targets.
        account: What became of the crashing requests.
        others: How many of the others were served.
        last: The same in the last third of the run.
        oracle: What was seen of the others.
    """

    turned_away: int
    account: CrashAccount
    others: Share
    last: Share
    oracle: Oracle


async def play(seed: int, plan: Plan, folder: Path) -> Played:
    """Play one seed."""
    rng, account = random.Random(seed), CrashAccount()
    world = World(folder, rng, Oracle())
    world.prepare = lambda replica: _prepare(world, replica, account, plan)
    await world.start(plan.gateways)
    if plan.slow_links:
        await world.slow_links(LINK_BYTES_PER_S)
    for _ in range(plan.more):
        await world.add_replica("push", "")
        await world.add_replica("lm", "decode")
    tasks: list[asyncio.Task] = []
    try:
        await wait_until_served(world)
        before = count_served(world.oracle.outcomes)
        tasks = [asyncio.create_task(c) for c in _list_parts(world, plan, account)]
        await asyncio.sleep(plan.seconds * 2 / 3)
        two_thirds = count_served(world.oracle.outcomes)
        await asyncio.sleep(plan.seconds / 3)
    finally:
        await cancel_all(tasks)
        await world.stop()
    total = count_served(world.oracle.outcomes)
    world.oracle.check_promises()
    last = subtract(total, two_thirds)
    turned_away = sum(g.log.read_bytes().count(TURNED_AWAY) for g in world.gateways)
    return Played(turned_away, account, subtract(total, before), last, world.oracle)


def _prepare(
    world: World, replica: SoakReplica, account: CrashAccount, plan: Plan
) -> None:
    let_crash(world, replica, account)
    replica.run_s = RUN_S if plan.innocent else 0.0
    replica.tells_oracle = not plan.innocent


def _list_parts(world: World, plan: Plan, account: CrashAccount) -> list:
    """List the coroutines of a run."""
    parts = []
    for number in range(OTHERS):
        gateway = world.gateways[number % len(world.gateways)]
        caller = f"c{number}"
        parts.append(
            _ask_the_same(world, caller)
            if plan.innocent
            else call_on(gateway, world.oracle, world.rng, caller)
        )
    if plan.innocent:
        parts.append(crash_some(world, AWAY_S / 2))
    else:
        for number, kind in enumerate(plan.kinds):
            body = make_body(number, plan.body_bytes)
            parts.append(repeat(world, account, kind, body, plan.copies))
    parts += [do_harm(world, fault) for fault in plan.faults]
    return parts


async def wait_until_served(world: World) -> None:
    """Wait until every gateway has served a whole answer of each service."""
    for number, gateway in enumerate(world.gateways):
        name = f"start{number}"
        probe = call_on(gateway, world.oracle, random.Random(0), name)
        task = asyncio.create_task(probe)
        async with asyncio.timeout(READY_S):
            while not world.oracle.was_served(name):
                gateway.check()
                await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _ask_the_same(world: World, caller: str) -> None:
    """Ask for the same four things over and over, as all other callers do."""
    number = 0
    while True:
        number += 1
        kind = world.rng.choice(KINDS)
        gateway = world.rng.choice(world.gateways)
        data = write_request(f"{caller}-{number}", kind, b"what many ask for")
        status = await call(gateway.callers, data)
        world.oracle.outcomes[kind][status] += 1
        await asyncio.sleep(world.rng.uniform(0.0, 0.05))


async def crash_some(world: World, away_s: float) -> None:
    """Have replicas crash one after the other, whatever they run.

    Args:
        world: The deployment.
        away_s: How long each is away, seconds.
    """
    restarts = []
    while True:
        await asyncio.sleep(OWN_CRASH_S)
        await world.await_replicas()
        id = world.rng.choice(list(world.replicas))
        restart = world.restart_replica(id, away_s)
        restarts.append(asyncio.create_task(restart))


async def do_harm(world: World, fault: str) -> None:
    """Do one kind of harm to gateways for as long as the run lasts."""
    number = 0
    while True:
        await asyncio.sleep(2.0)
        number += 1
        gateway = world.gateways[number % len(world.gateways)]
        if fault == "kill-relay":
            gateway = world.gateways[0]
        if fault == "cut-store":
            proxy = world.store_proxies[gateway.name]
            proxy.cut = "both"
            await asyncio.sleep(1.5)
            proxy.cut = ""
            continue
        struck = world.gateways if fault == "restart-all" else [gateway]
        for one in struck:
            await one.end(signal.SIGKILL)
        for one in struck:
            await one.start()


def describe(seed: int, played: Played) -> list[str]:
    """Describe what a run found, a line each."""
    account = played.account
    lines = [
        f"seed {seed}: others served {played.others}, last third {played.last}, "
        f"turned away {played.turned_away}"
    ]
    for body in sorted(account.statuses):
        crashes = len(account.crashes[body])
        late = [account.count_late(body, seconds) for seconds in (0.0, 1.0, 4.0)]
        lines.append(
            f"  {body[:8].decode()}: replicas crashed {crashes}, sent 0, 1 and 4 s "
            f"after the third {late}, answers {dict(account.statuses[body])}"
        )
    return lines + [f"  {finding}" for finding in played.oracle.findings]


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--more", type=int, default=0, help="replicas of each kind")
    parser.add_argument("--slow-links", action="store_true")
    parser.add_argument("--kinds", nargs="*", default=["safe", "digest"])
    parser.add_argument("--body-bytes", type=int, default=40)
    parser.add_argument("--copies", action="store_true")
    parser.add_argument("--innocent", action="store_true")
    parser.add_argument("--faults", nargs="*", default=[], choices=FAULTS)
    args = parser.parse_args()
    plan = Plan(
        args.seconds,
        args.gateways,
        args.more,
        tuple(args.kinds),
        args.body_bytes,
        args.copies,
        tuple(args.faults),
        args.slow_links,
        args.innocent,
    )

    def play_one(seed: int, folder: Path) -> SeedResult:
        played = asyncio.run(play(seed, plan, folder))
        return SeedResult(describe(seed, played), bool(played.oracle.findings))

    return play_seeds(args, play_one)


if __name__ == "__main__":
    sys.exit(main())
