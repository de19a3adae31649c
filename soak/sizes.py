"""Prompts of very different sizes at overload, before real gateways.

``python -m soak.sizes --seed N --load X``: gateways are processes, engines and the
store stand-ins that work at the pace of a matchmaking deployment; callers come whether
or not others are served, and faults from outside come meanwhile. What is told is who
was served by size. It is run by hand: the outcome hangs on what else the machine does.
"""

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

from soak.seeds import add_seed_options, list_seeds
from soak.sizeaccount import SizeAccount
from soak.sizescallers import come
from soak.sizesfaults import FAULTS
from soak.sizesworld import SizesWorld
from standins.prompts import make_matchmaking_kinds

ENGINES_MODELLED = 21
"""Engines of the deployment whose kinds are played; the load is cut to those here."""


async def play(
    seed: int, load: float, seconds: float, folder: Path, faults: list[str], size: str
) -> SizesWorld:
    """Play one seed and return the deployment with its account.

    Args:
        seed: Chooses what callers ask and whom faults hit.
        load: Times the usual load.
        seconds: How long callers come.
        folder: Where settings and logs go.
        faults: Names of faults; each lasts for the middle half of the run.
        size: Gateways, readers and hosts, by commas.
    """
    gateways, readers, hosts = (int(word) for word in size.split(","))
    rng = random.Random(seed)
    scale = (readers + hosts) / ENGINES_MODELLED
    kinds = make_matchmaking_kinds(load, scale)
    world = SizesWorld(folder, rng, kinds)
    await world.start(gateways, readers, hosts)
    try:
        under_way = [
            asyncio.create_task(come(world, kind, seconds)) for kind in world.kinds
        ]
        await asyncio.sleep(seconds / 4)
        harms = [FAULTS[name](world, seconds / 2) for name in faults]
        await asyncio.gather(*harms, *under_way)
    finally:
        await world.stop()
    return world


def format_account(account: SizeAccount) -> str:
    """Lay out who was served, a line for each kind."""
    lines = []
    for kind, rates in account.find_rates().items():
        ends = Counter(one.last for one in account.ended if one.kind == kind)
        mark = " SHORT" if rates.is_short else ""
        lines.append(
            f"  {kind}: {rates.asked} asked, served {rates.all:.2f}, largest tenth"
            f" {rates.largest:.2f}, fifth beneath {rates.next:.2f}{mark} {dict(ends)}"
        )
    return "\n".join(lines)


def main() -> int:
    """Play seeds and print who was served; ends with 1 if a size was left unserved."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--load", type=float, default=3.0, help="times the usual load")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a run")
    parser.add_argument("--faults", nargs="*", default=[], choices=list(FAULTS))
    parser.add_argument("--size", default="3,3,2", help="gateways,readers,hosts")
    args = parser.parse_args()
    short = 0
    for seed, folder in list_seeds(args):
        began_at = time.monotonic()
        run = play(seed, args.load, args.seconds, folder, args.faults, args.size)
        world = asyncio.run(run)
        taken_s = time.monotonic() - began_at
        print(f"seed {seed}, load {args.load:g}, {args.faults}, {taken_s:.0f} s")
        print(format_account(world.account), flush=True)
        short += any(r.is_short for r in world.account.find_rates().values())
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
