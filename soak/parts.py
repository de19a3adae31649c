"""Plays parts of prompts that crash who answers: ``python -m soak.parts --seed N``.

From a moment on, callers send requests of which no two are alike, but whose prompts
hold one and the same part. An engine that begins to write an answer on it is gone 80 ms
later and back after two seconds, under its id. Other callers ask for all kinds
meanwhile, with the same credentials and other parts.
"""

import argparse
import asyncio
import random
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from soak.callers import call_on
from soak.crashes import FAULTS, READY_S, crash_some, do_harm, wait_until_served
from soak.crashing import call, let_crash, write_request
from soak.oracle import Oracle
from soak.partsaccount import CONTACT_S, PROMPTED, PartsAccount
from soak.replicas import SoakReplica
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.world import World, cancel_all
from standins.rawhttp import RawRequest

OTHERS = 10
"""Callers whose requests crash nothing."""

CALM_S = 3.0
"""How long they are served before the first request that crashes, seconds."""

WRITES_S = 0.08
AWAY_S = 2.0
"""How long an engine writes before it ends, and is away then, seconds."""

LOOK_S = 0.1
"""How often the outcomes of sound requests are kept, seconds."""


@dataclass
class Plan:
    """What is played.

    Attributes:
        seconds: How long from the first request that crashes.
        gateways: Gateways.
        more: Engines that generate, beyond three.
        parts: Parts that crash engines; none for none.
        is_first: Whether such a part is the first of its prompts.
        per_s: Requests a second that hold such parts.
        event_s: Time between two events of sound answers, seconds.
        own_crashes: Whether replicas crash for reasons of their own too.
        faults: What is done to gateways meanwhile.
    """

    seconds: float = 14.0
    gateways: int = 3
    more: int = 0
    parts: tuple[str, ...] = ("bad0",)
    is_first: bool = False
    per_s: float = 10.0
    event_s: float = 0.0
    own_crashes: bool = False
    faults: tuple[str, ...] = ()


@dataclass
class Played:
    """What a run found.

    Attributes:
        began_at: When the first request that crashes was sent, event loop's seconds.
        ended_at: When the run ended.
        account: What became of the requests.
        oracle: What was seen of the sound ones.
    """

    began_at: float
    ended_at: float
    account: PartsAccount
    oracle: Oracle

    def find_shares(self, kinds: tuple[str, ...] = PROMPTED) -> tuple[float, float]:
        """Find what share of sound requests was served before, and once it must be."""
        account = self.account
        known = [account.find_known_at(part) for part in list(account.crashes)]
        since = max((at for at in known if at), default=self.began_at) + 2 * CONTACT_S
        before = account.find_share(kinds, self.began_at - CALM_S, self.began_at)
        after = account.find_share(kinds, since, self.ended_at)
        return before.value, after.value


async def play(seed: int, plan: Plan, folder: Path) -> Played:
    """Play one seed."""
    account, loop = PartsAccount(), asyncio.get_running_loop()
    world = World(folder, random.Random(seed), Oracle())
    world.prepare = lambda replica: _prepare(world, replica, account, plan)
    await world.start(plan.gateways)
    for _ in range(plan.more):
        await world.add_replica("lm", "decode")
    tasks: list[asyncio.Task] = []
    try:
        async with asyncio.timeout(READY_S):
            await wait_until_served(world)
        tasks = [asyncio.create_task(one) for one in _list_sound(world, account)]
        await asyncio.sleep(CALM_S)
        began_at = loop.time()
        tasks += [asyncio.create_task(one) for one in _list_harm(world, account, plan)]
        await asyncio.sleep(plan.seconds)
        account.look(loop.time(), world.oracle.outcomes)
    finally:
        await cancel_all(tasks)
        await world.stop()
    world.oracle.check_promises()
    return Played(began_at, loop.time(), account, world.oracle)


def _prepare(
    world: World, replica: SoakReplica, account: PartsAccount, plan: Plan
) -> None:
    let_crash(world, replica, account, AWAY_S)
    replica.find_cause = lambda request: _find_part(request, plan.parts)
    replica.writes_s = WRITES_S
    replica.event_s = plan.event_s


def _find_part(request: RawRequest, parts: tuple[str, ...]) -> bytes | None:
    """Find the part in a request's prompt that crashes engines."""
    held = request.headers.get("x-prompt-prefix", "").split(",")
    ids = {part.partition(":")[0] for part in held}
    found = [part for part in parts if part in ids]
    return found[0].encode() if found else None


def _list_sound(world: World, account: PartsAccount) -> list:
    """List the coroutines of the callers whose requests crash nothing."""
    found = [_look(world, account)]
    for number in range(OTHERS):
        gateway = world.gateways[number % len(world.gateways)]
        found.append(call_on(gateway, world.oracle, world.rng, f"c{number}"))
    return found


def _list_harm(world: World, account: PartsAccount, plan: Plan) -> list:
    """List the coroutines of what crashes engines, and harms gateways."""
    found = [do_harm(world, fault) for fault in plan.faults]
    if plan.parts:
        found.append(_send_crashing(world, account, plan))
    if plan.own_crashes:
        found.append(crash_some(world, AWAY_S / 2))
    return found


async def _look(world: World, account: PartsAccount) -> None:
    while True:
        account.look(asyncio.get_running_loop().time(), world.oracle.outcomes)
        await asyncio.sleep(LOOK_S)


async def _send_crashing(world: World, account: PartsAccount, plan: Plan) -> None:
    """Send requests with a crashing part, whether or not earlier ones have ended."""
    calls = set()
    number = 0
    while True:
        number += 1
        part = plan.parts[number % len(plan.parts)]
        data = _write_crashing(number, part, plan, world.rng)
        gateway = world.rng.choice(world.gateways)
        port = world.find_port(gateway)
        one = asyncio.create_task(_call_once(port, part, data, account))
        calls.add(one)
        one.add_done_callback(calls.discard)
        await asyncio.sleep(1 / plan.per_s)


async def _call_once(port: int, part: str, data: bytes, account: PartsAccount) -> None:
    account.statuses[part.encode()][await call(port, data)] += 1


def _write_crashing(number: int, part: str, plan: Plan, rng: random.Random) -> bytes:
    """Write a request with a crashing part; all else of it is its own or shared."""
    id, kind = f"bad-{number}", ("digest", "chat")[number % 2]
    first = f"{part}:2000" if plan.is_first else f"head:2000,{part}:1500"
    parts = f"{first},d{rng.randint(1, 20)}:1500,{id}:1000"
    most_tokens = 5000 if kind == "chat" else 100
    return write_request(id, kind, f"request {id}".encode(), parts, most_tokens)


def describe(seed: int, played: Played) -> list[str]:
    """Describe what a run found, a line each."""
    account = played.account
    before, after = played.find_shares()
    plain = played.find_shares(("safe", "once"))
    statuses = sum(account.statuses.values(), Counter())
    lines = [
        f"seed {seed}: sound prompts served {before:.2f} before, {after:.2f} after; "
        f"plain ones {plain[0]:.2f}, {plain[1]:.2f}; answers to those that crash "
        f"{dict(statuses)}"
    ]
    for part, times in sorted(account.crashes.items()):
        lines.append(
            f"  {part.decode()}: engines crashed {len(times)}, "
            f"sent late {account.count_too_late(part)}"
        )
    return lines + [f"  {finding}" for finding in played.oracle.findings]


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--more", type=int, default=0, help="engines that generate")
    parser.add_argument("--parts", type=int, default=1, help="parts that crash")
    parser.add_argument("--first", action="store_true", help="they come first")
    parser.add_argument("--per-s", type=float, default=10.0)
    parser.add_argument("--event-s", type=float, default=0.0)
    parser.add_argument("--own-crashes", action="store_true")
    parser.add_argument("--faults", nargs="*", default=[], choices=FAULTS)
    args = parser.parse_args()
    plan = Plan(
        args.seconds,
        args.gateways,
        args.more,
        tuple(f"bad{number}" for number in range(args.parts)),
        args.first,
        args.per_s,
        args.event_s,
        args.own_crashes,
        tuple(args.faults),
    )

    def play_one(seed: int, folder: Path) -> SeedResult:
        played = asyncio.run(play(seed, plan, folder))
        return SeedResult(describe(seed, played), bool(played.oracle.findings))

    return play_seeds(args, play_one)


if __name__ == "__main__":
    sys.exit(main())
