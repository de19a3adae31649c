"""Plays what replicas say of themselves: ``python -m soak.selfreports --seed N``.

Engines and plain replicas say in their answers that they leave, turn requests away and
ask for rest, name limits, start again under their ids and are replaced, in series and
overlapping, also all of a role at once. Their entries come late, or are older ones.
Gateways are killed and stopped, and the store is away for a while.
"""

import argparse
import asyncio
import random
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from soak.faults import cut_store, kill_gateway, roll_gateway, trouble_store
from soak.gateways import DRAIN_S
from soak.oracle import Oracle
from soak.replicas import SoakReplica
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.selfreportaccount import SelfReportAccount
from soak.selfreportcallers import call_on
from soak.selfreporting import REPORTS, SERVICES, find_rest_s
from soak.world import World, cancel_all
from standins.rawhttp import RawRequest

GATEWAYS = 3
CALLERS = 4
"""Gateways, and callers of each."""

READY_S = 20.0
CHECK_S = 0.1
"""Longest wait until a gateway serves; how often the run is looked at, seconds."""

TIMEOUT_MS = 6000
"""Longer than callers wait, milliseconds."""

EVENT_S = 0.03
"""Time between two events of a stream, seconds."""

REPORT_S = (0.05, 0.6)
FAULT_S = (1.0, 4.0)
LASTS_S = (0.2, 2.0)
"""Time between two reports, and between two faults; how long a fault lasts, seconds."""

FAULTS = (kill_gateway, roll_gateway, cut_store, trouble_store)


@dataclass
class Played:
    """What a run found.

    Attributes:
        account: What came of what replicas said.
        oracle: What was seen of all requests.
    """

    account: SelfReportAccount
    oracle: Oracle

    def list_findings(self) -> list[str]:
        """List all that must not be."""
        return self.account.list_findings() + self.oracle.findings


async def play(
    seed: int, seconds: float, folder: Path, gateways: int = GATEWAYS
) -> Played:
    """Play one seed.

    Args:
        seed: Chooses what is asked, who says what, and what else happens.
        seconds: How long.
        folder: Where settings and logs go.
        gateways: Number of gateways.
    """
    world = World(folder, random.Random(seed), Oracle())
    world.vary = _vary
    account = SelfReportAccount(DRAIN_S)
    world.prepare = lambda replica: _prepare(replica, account)
    tasks: list[asyncio.Task] = []
    try:
        await world.start(gateways)
        for role, service in SERVICES.items():
            await world.add_replica(service, role)
        await _await_gateways(world)
        for number in range(CALLERS * gateways):
            gateway = world.gateways[number % gateways]
            call = call_on(world, account, gateway, f"c{number}")
            tasks.append(asyncio.create_task(call))
        tasks.append(asyncio.create_task(_repeat(world, REPORT_S, _choose_report)))
        tasks.append(asyncio.create_task(_repeat(world, FAULT_S, _choose_fault)))
        await _look_on(world, account, tasks, seconds)
    finally:
        await cancel_all(tasks)
        await world.stop()
    world.oracle.check_promises()
    return Played(account, world.oracle)


def _vary(configuration: dict) -> None:
    for route in configuration["Routes"]:
        route["TimeoutMs"] = TIMEOUT_MS


def _prepare(replica: SoakReplica, account: SelfReportAccount) -> None:
    loop = asyncio.get_running_loop()
    name = f"{replica.lifetime}@{replica.born_ms}"
    replica.event_s = EVENT_S
    replica.began_at = loop.time()

    def note_arrival(request: RawRequest) -> None:
        id = request.headers.get("x-request-id", "")
        account.note_arrival(id, name, loop.time())

    def note_answer(request: RawRequest) -> None:
        id = request.headers.get("x-request-id", "")
        if replica.says_leaving:
            account.note_leaving(id, f"seal-{replica.lifetime}", name)
        if replica.refusal is not None:
            now, rest_s = loop.time(), find_rest_s(replica.refusal)
            account.note_rest(id, name, rest_s, now)
            replica.rests_until = max(replica.rests_until, now + rest_s)

    replica.on_arrival, replica.on_answer = note_arrival, note_answer


async def _await_gateways(world: World) -> None:
    async with asyncio.timeout(READY_S * len(world.gateways)):
        while not all(gateway.has_started() for gateway in world.gateways):
            _check_gateways(world)
            await asyncio.sleep(CHECK_S)


async def _repeat(
    world: World, pauses_s: tuple[float, float], choose: Callable
) -> None:
    """Begin one thing after the other; they overlap."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(world.rng.uniform(*pauses_s))
            group.create_task(choose(world))


def _choose_report(world: World):
    return world.rng.choice(REPORTS)(world)


def _choose_fault(world: World):
    return world.rng.choice(FAULTS)(world, world.rng.uniform(*LASTS_S))


async def _look_on(
    world: World,
    account: SelfReportAccount,
    tasks: Iterable[asyncio.Task],
    seconds: float,
) -> None:
    """Let the run go on, as long as nothing of it has failed."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await asyncio.sleep(CHECK_S)
        _check_gateways(world)
        for name, proxy in world.store_proxies.items():
            if proxy.cut or world.store.trouble:
                account.away_at[name] = loop.time()
        for task in tasks:
            if task.done():
                task.result()


def _check_gateways(world: World) -> None:
    for gateway in world.gateways:
        gateway.check()


def describe(seed: int, played: Played, folder: Path) -> list[str]:
    """Describe what a run found."""
    account, findings = played.account, played.list_findings()
    lines = [f"seed {seed}: {len(findings)} findings"]
    lines += [f"  {finding}" for finding in findings]
    lines.append(f"  {len(account.passed_on)} told that a replica leaves")
    lines.append(f"  {len(account.rests)} told to rest")
    for supply, found in account.outcomes.items():
        lines.append(f"  {supply}: {dict(found)}, {account.held[supply]} held")
    lines.append(f"  logs: {folder}")
    return lines


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=20.0, help="of each seed")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    args = parser.parse_args()

    def play_one(seed: int, folder: Path) -> SeedResult:
        played = asyncio.run(play(seed, args.seconds, folder, args.gateways))
        lines = describe(seed, played, folder)
        return SeedResult(lines, has_failed=bool(played.list_findings()))

    return play_seeds(args, play_one)


if __name__ == "__main__":
    sys.exit(main())
