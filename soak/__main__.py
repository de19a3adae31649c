"""Runs the soak: ``python -m soak --seed N --count M``."""

import argparse
import asyncio
import math
import random
import sys
from pathlib import Path

from soak.callers import call_on
from soak.crashing import let_crash
from soak.faults import (
    CRASH_FAULTS,
    CROWD_FAULTS,
    ERA_FAULTS,
    FAULTS,
    KEY_FAULTS,
    RESTART_FAULTS,
    Fault,
    exchange_keys,
    repeat_crashing,
    return_store_from_copy,
)
from soak.keyed import KeyAccount
from soak.oracle import Oracle
from soak.seeds import add_seed_options, list_seeds
from soak.waiting import wait_until_all_know_the_newest, wait_until_all_serve
from soak.world import World, cancel_all

GATEWAYS = 3
CALLERS = 4

SLOW_LINK_BYTES_PER_S = 150_000
MANY_ROUTES = 1500
"""A link to the store and a configuration of 0.3 MB that needs 2 s over it, more than
a call may be silent."""


async def play(
    seed: int,
    steps: int,
    folder: Path,
    has_slow_links: bool = False,
    drawn: tuple[Fault, ...] = FAULTS,
) -> Oracle:
    """Play one seed.

    Args:
        seed: Chooses the faults and what callers ask.
        steps: Number of faults; they come in series and overlap.
        folder: Where settings and logs go.
        has_slow_links: Whether a long configuration comes over slow links.
        drawn: The faults among which is drawn.

    Returns:
        What was seen, with findings.
    """
    rng = random.Random(seed)
    world = World(folder, rng, Oracle())
    if repeat_crashing in drawn:
        world.prepare = lambda replica: let_crash(world, replica, world.account)
    if return_store_from_copy in drawn:
        world.store.era = 1
    if exchange_keys in drawn:
        world.keys = KeyAccount(world.oracle, rng)
        world.keys.given_at = dict.fromkeys(world.keys.held, -math.inf)
    if has_slow_links:
        world.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
        world.more_routes = MANY_ROUTES
    await world.start(GATEWAYS)
    callers: list[asyncio.Task] = []
    try:
        await wait_until_all_serve(world, "start")
        for number in range(CALLERS * GATEWAYS):
            gateway = world.gateways[number % GATEWAYS]
            caller = call_on(gateway, world.oracle, rng, f"c{number}", world.keys)
            callers.append(asyncio.create_task(caller))
        faults = []
        for _ in range(steps):
            fault, seconds = rng.choice(drawn), rng.uniform(0.1, 2.5)
            faults.append(asyncio.create_task(fault(world, seconds)))
            await asyncio.sleep(rng.uniform(0.0, 0.6))
        await asyncio.gather(*faults)
        await wait_until_all_serve(world, "end")
        await wait_until_all_know_the_newest(world)
        if world.keys is not None:
            await world.keys.await_report()
    finally:
        await cancel_all(callers)
        await world.stop()
    world.oracle.check_promises()
    if world.keys is not None:
        world.keys.check_reports()
    return world.oracle


def _choose_faults(args: argparse.Namespace) -> tuple[Fault, ...]:
    if args.keys:
        return KEY_FAULTS
    if args.eras:
        return ERA_FAULTS
    if args.crashes:
        return CRASH_FAULTS
    if args.crowds:
        return CROWD_FAULTS
    return RESTART_FAULTS if args.restarts else FAULTS


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--steps", type=int, default=12, help="faults of each seed")
    parser.add_argument(
        "--slow-links",
        action="store_true",
        help="a long configuration over slow links to the store",
    )
    parser.add_argument(
        "--restarts",
        action="store_true",
        help="replicas start again under their ids, others write entries",
    )
    parser.add_argument(
        "--crashes",
        action="store_true",
        help="the same, and requests that crash whoever runs them",
    )
    parser.add_argument(
        "--eras",
        action="store_true",
        help="the same, and a store that returns from a copy",
    )
    parser.add_argument(
        "--crowds",
        action="store_true",
        help="crowds of clients that don't behave, within the limits",
    )
    parser.add_argument(
        "--keys",
        action="store_true",
        help="callers need keys, which are taken away, and usage is reported",
    )
    args = parser.parse_args()
    failed = 0
    for seed, folder in list_seeds(args):
        drawn = _choose_faults(args)
        run = play(seed, args.steps, folder, args.slow_links, drawn)
        oracle = asyncio.run(run)
        outcomes = {kind: dict(found) for kind, found in oracle.outcomes.items()}
        print(f"seed {seed}: {len(oracle.findings)} findings, {outcomes}", flush=True)
        for finding in oracle.findings:
            print(f"  {finding}")
        failed += bool(oracle.findings)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
