"""Steps of a fuzz run: small, replayable, drawn from a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from fuzz.fakes import FakeTarget
from fuzz.oracle import Oracle, check_end, check_now
from fuzz.rules import ENTRIES, RULES, TARGETS, write_configuration
from fuzz.world import World
from robinspindle.core.records import ObservedEngine, Published

HEAL_S = 150.0
SETTLE_S = 15.0
CHECK_EVERY = 5


@dataclass(frozen=True)
class Move:
    """One step: a rule's name and its numbers."""

    rule: str
    first: int = 0
    second: int = 0

    def __str__(self) -> str:
        return f"Move({self.rule!r}, {self.first}, {self.second})"


@dataclass(frozen=True)
class Result:
    """How a run ended.

    Attributes:
        faults: What the oracle found; empty for a clean run.
        steps: Steps made until then.
        counts: How often each rule was used.
        requests: Callers' requests.
    """

    faults: tuple[str, ...]
    steps: int
    counts: dict[str, int]
    requests: int


def make_world(seed: int) -> World:
    """Make a deployment that serves."""
    text = write_configuration()
    world = World(seed, text)
    for number, name in enumerate(TARGETS):
        is_service = name.startswith("s")
        first = ObservedEngine() if is_service else ObservedEngine(model="model")
        target = FakeTarget(name, is_service, number % 2 == 0, first, first)
        world.add_agent(target)
    for number, name in enumerate(ENTRIES):
        world.add_entry(name, f"z{number}")
    record = Published(id="first", text=text)
    world.append(world.processes["a"], record)
    world.advance(3.0)
    return world


def draw_moves(seed: int, count: int) -> list[Move]:
    """Draw steps from a seed."""
    rng = random.Random(seed)
    names = list(RULES)
    weights = [RULES[name].weight for name in names]
    return [
        Move(rng.choices(names, weights)[0], rng.randrange(64), rng.randrange(64))
        for _ in range(count)
    ]


def play(seed: int, moves: list[Move], report: Callable | None = None) -> Result:
    """Play steps in a new world, heal it, and let the oracle judge."""
    world, oracle = make_world(seed), Oracle()
    counts: dict[str, int] = {}
    for number, move in enumerate(moves, 1):
        make_move(world, move)
        counts[move.rule] = counts.get(move.rule, 0) + 1
        if number % CHECK_EVERY == 0:
            check_now(oracle, world)
        if oracle.faults:
            break
        if report is not None:
            report(number, world)
    if not oracle.faults:
        heal(world)
        check_end(oracle, world)
    faults = tuple(dict.fromkeys(oracle.faults))
    return Result(faults, sum(counts.values()), counts, len(world.callers))


def make_move(world: World, move: Move) -> None:
    """Make one step."""
    RULES[move.rule].call(world, move.first, move.second)


def heal(world: World) -> None:
    """End all faults and let time pass."""
    world.log.is_out = False
    world.log.loses_answers = False
    world.cut_links.clear()
    end = world.now + HEAL_S
    while True:
        for name in list(world.processes):
            world.processes[name].is_cut = False
            world.resume(name)
            world.restart(name)
        world.advance(SETTLE_S)
        if world.now >= end or _is_settled(world):
            return


def _is_settled(world: World) -> bool:
    """Whether nothing is under way any more, so that waiting shows nothing new."""
    flights = any(entry.entry.active_requests for entry in world.list_entries())
    plans = any(
        plan.status == "running"
        for process in world.processes.values()
        for plan in process.stream.state.plans.values()
    )
    stopping = any(process.is_stopping for process in world.processes.values())
    return not flights and not plans and not stopping


def shrink(seed: int, moves: list[Move]) -> list[Move]:
    """Take away steps for as long as the run still fails."""
    size = max(1, len(moves) // 2)
    while size:
        start = 0
        while start < len(moves):
            fewer = moves[:start] + moves[start + size :]
            if play(seed, fewer).faults:
                moves = fewer
            else:
                start += size
        size //= 2
    return moves
