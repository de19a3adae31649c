"""Plays what may meet a gateway's start: ``python -m soak.starts --seed N --count M``.

Gateways get signals at any moment of a start, are stopped and killed in series, find
their ports held and their settings spoiled. Callers keep their connections until a
gateway closes them. Nothing else goes wrong: no replica or link fails.
"""

import argparse
import asyncio
import contextlib
import random
import re
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from soak.callers import call_on
from soak.gateways import EndedGatewayError, GatewayProcess
from soak.oddrecords import draw_record
from soak.oracle import Oracle
from soak.seeds import SeedResult, add_seed_options, play_seeds
from soak.stalls import StallWatch
from soak.waiting import wait_until_all_know_the_newest, wait_until_all_serve
from soak.world import World, cancel_all
from standins.rawhttp import LOOPBACK

GATEWAYS = 3
CALLERS = 4
"""Callers of each gateway."""

START_S = 1.0
"""Time after a start within which signals come, seconds."""

SPOILT = (
    "",
    "x",
    "Node = [",
    "[" * 5000,
    "a = " + "[" * 5000,
    "a = " + "9" * 5000,
    "a" + ".a" * 30_000 + " = 1",
    "\udcff",
)
"""Texts that are no settings; the last one is no UTF-8."""

SPOILT_NUMBERS = ("inf", "nan", "-1", "1e400", "9" * 5000, "[[]]")


@dataclass
class StartOracle(Oracle):
    """Finds what ran and got no whole answer, though its gateway was not killed.

    Attributes:
        sent_at: When each request was sent, steady seconds.
        killed_at: When each gateway was killed last.
        lost: Requests that ran and got no whole answer, as their gateway was killed.
        unread: Requests without an answer that no replica has run.
        unsure: Requests that ran and got no whole answer while callers were not run.
        stalls: Sees when callers were not run.
    """

    sent_at: dict[str, float] = field(default_factory=dict)
    killed_at: dict[str, float] = field(default_factory=dict)
    lost: int = 0
    unread: int = 0
    unsure: int = 0
    stalls: StallWatch = field(default_factory=StallWatch)

    def note_sent(self, id: str, kind: str) -> None:
        """Take note of a request before it is sent."""
        super().note_sent(id, kind)
        self.sent_at[id] = asyncio.get_running_loop().time()

    def note_answer(self, id: str, status: int, body: bytes, is_whole: bool) -> None:
        """Take note of what a caller got."""
        super().note_answer(id, status, body, is_whole)
        if is_whole:
            return
        if not self.runs[id]:
            self.unread += 1
            return
        gateway = id.split("_")[0]
        if self.killed_at.get(gateway, 0.0) >= self.sent_at[id]:
            self.lost += 1
            return
        if self.stalls.has_stalled_since(self.sent_at[id]):
            self.unsure += 1
        else:
            self.findings.append(f"{id}: ran and was lost, though nobody was killed")


@dataclass
class Starts:
    """One play.

    Attributes:
        world: The deployment.
        oracle: Told what is seen.
        done: How often each fault was done.
    """

    world: World
    oracle: StartOracle
    done: dict[str, int] = field(default_factory=dict)

    @property
    def rng(self) -> random.Random:
        """What all is drawn by."""
        return self.world.rng

    async def kill(self, gateway: GatewayProcess) -> None:
        """Kill a gateway."""
        now = asyncio.get_running_loop().time()
        self.oracle.killed_at[gateway.name] = now
        await gateway.end(signal.SIGKILL)

    async def stop(self, gateway: GatewayProcess) -> None:
        """Ask a gateway to stop, with more signals meanwhile; it has to end with 0."""
        await self.hold(gateway)
        gateway.is_asked_to_end = True
        gateway.send_signal(signal.SIGTERM)
        while gateway.process.returncode is None:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
            gateway.send_signal(self.rng.choice(numbers))
        code = await gateway.process.wait()
        if code != 0:
            self.oracle.findings.append(f"{gateway.name} ended with {code}")

    async def hold(self, gateway: GatewayProcess) -> None:
        """Wait until the process has run its first instruction."""
        while not gateway.holds_signals():
            gateway.check()
            await asyncio.sleep(0.002)


Harm = Callable[[Starts, GatewayProcess], Awaitable[None]]


async def reload_at_start(starts: Starts, gateway: GatewayProcess) -> None:
    """Kill a gateway, start it, and reload it at moments of its start."""
    await starts.kill(gateway)
    await gateway.start()
    await starts.hold(gateway)
    for _ in range(starts.rng.randint(1, 5)):
        gateway.send_signal(signal.SIGHUP)
        await asyncio.sleep(starts.rng.uniform(0.0, START_S / 4))
        gateway.check()


async def stop_at_start(starts: Starts, gateway: GatewayProcess) -> None:
    """Stop a gateway, start it, and stop it again at moments of its starts."""
    for _ in range(starts.rng.randint(1, 3)):
        await starts.stop(gateway)
        await gateway.start()
        await asyncio.sleep(starts.rng.uniform(0.0, START_S))


async def kill_at_start(starts: Starts, gateway: GatewayProcess) -> None:
    """Kill a gateway again and again as it starts."""
    for _ in range(starts.rng.randint(1, 3)):
        await starts.kill(gateway)
        await gateway.start()
        await asyncio.sleep(starts.rng.uniform(0.0, START_S))


async def hold_port(starts: Starts, gateway: GatewayProcess) -> None:
    """Hold one of a gateway's ports as it starts."""
    text = gateway.settings.read_text()
    callers, ready = re.findall(r':(\d+)"\n', text)[:2]
    inner, last = re.search(r"InternalPorts = \[(\d+),(\d+)\]", text).groups()
    streams, datagrams = socket.SOCK_STREAM, socket.SOCK_DGRAM
    held = [(callers, streams), (ready, streams), (inner, datagrams)]
    port, kind = starts.rng.choice([*held, (last, datagrams)])
    await starts.kill(gateway)
    with contextlib.suppress(OSError), socket.socket(type=kind) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, int(port)))
        if kind == streams:
            sock.listen()
        await gateway.start()
        await asyncio.sleep(starts.rng.uniform(0.0, 3.0))
        gateway.check()
    if gateway.process.returncode is not None:
        await gateway.start()


async def spoil_settings(starts: Starts, gateway: GatewayProcess) -> None:
    """Spoil a gateway's settings while it runs, and mend them."""
    good = gateway.settings.read_text()
    number = starts.rng.choice(SPOILT_NUMBERS)
    worse = good.replace("GraceS = 4", f"GraceS = {number}")
    spoilt = (*SPOILT, good[: starts.rng.randrange(len(good))], worse)
    await starts.hold(gateway)
    while not gateway.has_started():
        gateway.check()
        await asyncio.sleep(0.05)
    for _ in range(starts.rng.randint(1, 4)):
        text = starts.rng.choice(spoilt)
        gateway.settings.write_bytes(text.encode(errors="surrogateescape"))
        if starts.rng.random() < 0.8:
            gateway.send_signal(signal.SIGHUP)
        await asyncio.sleep(starts.rng.uniform(0.0, 0.4))
        gateway.check()
    gateway.settings.write_text(good)
    gateway.send_signal(signal.SIGHUP)


async def write_odd_records(starts: Starts, gateway: GatewayProcess) -> None:
    """Write odd records, and drop them after a while."""
    world, written = starts.world, []
    entry = world.describe(starts.rng.choice(list(world.replicas.values())))
    for _ in range(starts.rng.randint(1, 4)):
        topic, key, value = draw_record(starts.rng, entry)
        await world.store.put(topic, key, value)
        written.append((topic, key))
        await asyncio.sleep(starts.rng.uniform(0.0, 0.3))
    await asyncio.sleep(starts.rng.uniform(0.0, 3.0))
    for topic, key in written:
        await world.store.put(topic, key, None)


HARMS: tuple[Harm, ...] = (
    reload_at_start,
    stop_at_start,
    kill_at_start,
    hold_port,
    spoil_settings,
)


async def play(
    seed: int, steps: int, folder: Path, has_odd_records: bool = False
) -> Starts:
    """Play one seed.

    Args:
        seed: Chooses the faults and what callers ask.
        steps: Number of faults; they come in series and overlap on several gateways.
        folder: Where settings and logs go.
        has_odd_records: Whether odd records are written too.

    Returns:
        What was seen.
    """
    oracle = StartOracle()
    world = World(folder, random.Random(seed), oracle)
    starts = Starts(world, oracle)
    drawn = (*HARMS, write_odd_records) if has_odd_records else HARMS
    await world.start(GATEWAYS)
    tasks = [asyncio.create_task(oracle.stalls.watch())]
    try:
        await wait_until_all_serve(world, "start")
        for number in range(CALLERS * GATEWAYS):
            gateway = world.gateways[number % GATEWAYS]
            name = f"{gateway.name}_c{number}"
            call = call_on(gateway, oracle, random.Random(f"{seed} {name}"), name)
            tasks.append(asyncio.create_task(call))
        await _do_harm(starts, steps, drawn)
        await world.configure()
        await world.add_replica("push", "")
        await wait_until_all_serve(world, "end")
        await wait_until_all_know_the_newest(world)
    except EndedGatewayError as error:
        oracle.findings.append(str(error))
    finally:
        await cancel_all(tasks)
        with contextlib.suppress(EndedGatewayError):
            await world.stop()
    oracle.check_promises()
    return starts


async def _do_harm(starts: Starts, steps: int, drawn: tuple[Harm, ...]) -> None:
    async def do(harm: Harm, gateway: GatewayProcess) -> None:
        async with gateway.lock:
            starts.done[harm.__name__] = starts.done.get(harm.__name__, 0) + 1
            await harm(starts, gateway)

    async with asyncio.TaskGroup() as group:
        for _ in range(steps):
            harm = starts.rng.choice(drawn)
            gateway = starts.rng.choice(starts.world.gateways)
            group.create_task(do(harm, gateway))
            await asyncio.sleep(starts.rng.uniform(0.0, 1.0))


def describe(seed: int, starts: Starts) -> SeedResult:
    """Tell what one seed found."""
    oracle = starts.oracle
    outcomes = {kind: dict(found) for kind, found in oracle.outcomes.items()}
    lines = [
        f"seed {seed}: {len(oracle.findings)} findings, {outcomes}",
        f"  lost with killed gateways {oracle.lost}, not run {oracle.unread},"
        f" callers not run {oracle.unsure},"
        f" {starts.done}",
        *(f"  {finding}" for finding in oracle.findings),
    ]
    return SeedResult(lines, bool(oracle.findings))


def main() -> int:
    """Play seeds and print what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_seed_options(parser)
    parser.add_argument("--steps", type=int, default=12, help="faults of each seed")
    parser.add_argument("--records", action="store_true", help="odd records too")
    args = parser.parse_args()

    def play_one(seed: int, folder: Path) -> SeedResult:
        run = play(seed, args.steps, folder, args.records)
        return describe(seed, asyncio.run(run))

    return play_seeds(args, play_one)


if __name__ == "__main__":
    sys.exit(main())
