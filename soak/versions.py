"""Plays software versions of engines: ``python -m soak.versions --seed N``.

Engines of two software versions serve side by side while engines and gateways come to
harm, as the play says. Callers take each broken stream up at another gateway.
"""

import argparse
import asyncio
import random
import sys
from dataclasses import dataclass
from pathlib import Path

from soak.oracle import Oracle
from soak.outofstep import release_out_of_step, reset_engines
from soak.releases import (
    VERSIONS,
    Harm,
    Release,
    await_gateway,
    kill_all_gateways,
    kill_gateways,
    prepare_engine,
    replace_engines,
    revert_engines,
    take_generating,
)
from soak.resuming import EVENTS, USUAL_HABITS, Habits, call_streams
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.versionaccount import Try, VersionAccount
from soak.world import World, cancel_all, run_for

GATEWAYS = 3
CALLERS = 18
ENGINES = 6

MOST_GATEWAYS = 24
"""Gateways that find ports of their own."""

EVENT_S = 0.15
"""Time between two events of a stream, seconds."""

SLOW = Habits(pause_s=(3.0, 5.0))
"""Callers that come back when killed gateways have served for a while."""

LEAVING = Habits(pause_s=(0.1, 0.4), take_ups=20, leave_share=0.3, last_left=EVENTS - 1)
"""Callers that break their streams themselves, where nothing else does."""

OUT_OF_STEP = Habits(
    pause_s=(0.05, 1.0),
    take_ups=12,
    leave_share=0.2,
    last_left=EVENTS - 1,
    keeps_connections=True,
)
"""Callers that come back soon, while a gateway is still out of step, and that keep
their connections to it."""

FEW = 6
"""Callers that fill under a quarter of the engines' slots."""


@dataclass(frozen=True)
class Play:
    """What is played.

    Attributes:
        harms: What does harm while callers call.
        habits: How callers behave.
        callers: Number of callers.
        versions: The versions of either half of the engines at the start.
        parts_gateways: Whether gateways can be cut off from each other.
    """

    harms: tuple[Harm, ...]
    habits: Habits = SLOW
    callers: int = CALLERS
    versions: tuple[str, str] = VERSIONS
    parts_gateways: bool = False


RELEASE = "release"
"""The play that is played where none is named."""

PLAYS = {
    RELEASE: Play((replace_engines, kill_gateways), USUAL_HABITS),
    "all-killed": Play((kill_all_gateways,)),
    "one-version": Play((kill_all_gateways,), versions=VERSIONS[:1] * 2),
    "reversioned": Play((revert_engines,), LEAVING),
    "out-of-step": Play(
        (release_out_of_step, reset_engines),
        OUT_OF_STEP,
        versions=VERSIONS[:1] * 2,
        parts_gateways=True,
    ),
    "one-role": Play((take_generating,), LEAVING, FEW),
}
"""The plays by name."""


async def play(
    seed: int,
    seconds: float,
    folder: Path,
    name: str = RELEASE,
    gateways: int = GATEWAYS,
) -> VersionAccount:
    """Play one seed.

    Args:
        seed: Chooses what is asked, which engines come to harm how, and who dies.
        seconds: How long.
        folder: Where settings and logs go.
        name: What is played, one of `PLAYS`.
        gateways: Number of gateways.

    Returns:
        What became of the streams.
    """
    rng = random.Random(seed)
    world = World(folder, rng, Oracle())
    world.vary = _vary
    if PLAYS[name].parts_gateways:
        world.part_gateways()
    played, account, tasks = PLAYS[name], VersionAccount(), []
    release = Release(world, played.versions[0])
    world.prepare = lambda replica: prepare_engine(
        replica, release.version, EVENTS, EVENT_S
    )
    await world.start(gateways)
    try:
        release.version = played.versions[1]
        for _ in range(ENGINES // 2):
            await world.add_replica("lm", "decode")
        for gateway in world.gateways:
            await await_gateway(gateway, release.serving)
        for number in range(played.callers):
            caller = f"c{number}"
            call = call_streams(world, account, release.serving, caller, played.habits)
            tasks.append(asyncio.create_task(call))
        tasks += [asyncio.create_task(harm(release)) for harm in played.harms]
        await run_for(seconds, tasks)
    finally:
        await cancel_all(tasks)
        await world.stop()
    return account


def _vary(configuration: dict) -> None:
    for route in configuration["Routes"]:
        route["TimeoutMs"] = 5000


def _play_one(args: argparse.Namespace, seed: int, folder: Path) -> SeedResult:
    account = asyncio.run(play(seed, args.seconds, folder, args.play, args.gateways))
    lines = [
        f"{args.play}, seed {seed}: {account.streams} streams, of two versions:",
        f"  {len(account.mixed)} {account.mixed}",
    ]
    for kind in Try:
        done, tries = account.successes[kind], account.tries[kind]
        found = {s: n for (k, s), n in account.statuses.items() if k is kind}
        lines.append(f"  {kind}: {done} of {tries} get an event; answers: {found}")
    lines.append(f"  logs: {folder}")
    return SeedResult(lines, bool(account.mixed or account.loses_streams()))


def main() -> int:
    """Play seeds and print what became of their streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=20.0, help="of each seed")
    parser.add_argument("--play", choices=PLAYS, default=RELEASE)
    parser.add_argument(
        "--gateways",
        type=int,
        default=GATEWAYS,
        help="number of gateways",
        choices=range(2, MOST_GATEWAYS + 1),
        metavar=f"2..{MOST_GATEWAYS}",
    )
    args = parser.parse_args()
    return play_seeds(args, lambda seed, folder: _play_one(args, seed, folder))


if __name__ == "__main__":
    sys.exit(main())
