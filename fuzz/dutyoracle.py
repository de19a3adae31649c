"""What must hold of the reports that the platform received."""

import random

from fuzz.dutyworld import (
    LATE_S,
    LEASE_S,
    LENGTH_S,
    WALL_S,
    WINDOW_S,
    WORKSPACES,
    Call,
    World,
    run_world,
)
from fuzz.virtualtime import VirtualSelector, run_virtually

KINDS = (
    "store down",
    "store cut",
    "store loses",
    "api down",
    "api cut",
    "api busy",
    "api late",
    "api loses",
    "peers cut",
    "freeze",
    "kill",
    "step",
)
"""What may go wrong; a cut or an end strikes one gateway."""

MOST_LOST = 8
"""Requests that a window's value may lack where gateways are only killed or frozen:
what those counted that died, in the last part of a second."""


def play_duties(
    seed: int,
    checks_fences: bool = True,
    kinds: tuple[str, ...] = KINDS,
    overlap: bool = True,
) -> tuple[str, ...]:
    """Play one run; returns what the oracle found.

    Args:
        seed: Draws everything.
        checks_fences: Whether the platform refuses a fence lower than one seen.
        kinds: What may go wrong.
        overlap: Whether something goes wrong while something else is. Without, the
            values of windows are judged too: what is known of two gateways alone that
            are both away is in no value.
    """
    selector = VirtualSelector()
    world = World(random.Random(seed), selector, checks_fences)
    run_virtually(run_world(world, kinds, overlap), selector)
    return judge(world, kinds, overlap)


def judge(
    world: World, kinds: tuple[str, ...], overlap: bool = True
) -> tuple[str, ...]:
    """Judge what the platform received."""
    found = [*_judge_values(world), *_judge_fences(world), *_judge_turns(world)]
    if not kinds:
        found += _judge_calm(world)
    if not overlap:
        found += _judge_lost(world)
    return tuple(found)


def _judge_values(world: World):
    values: dict[int, dict[str, int]] = {}
    for call in world.calls:
        if not call.is_accepted:
            continue
        known = values.setdefault(call.window, call.counts)
        if known != call.counts:
            yield f"two values for window {call.window} at {call.at:.3f}"
    for window, counts in values.items():
        for workspace, count in counts.items():
            if count > world.begun.get((window, workspace), 0) + 3:
                yield f"window {window}: {count} of {workspace} are too many"


def _judge_fences(world: World):
    holders: dict[int, str] = {}
    highest = 0
    for call in world.calls:
        if holders.setdefault(call.fence, call.holder) != call.holder:
            yield f"two holders have fence {call.fence} at {call.at:.3f}"
        if call.fence < highest and call.is_judged and not world.checks_fences:
            yield f"fence {call.fence} after {highest} at {call.at:.3f}"
        highest = max(highest, call.fence)


def _judge_turns(world: World):
    turns: list[Call] = []
    for call in world.calls:
        if not call.is_judged or not call.is_accepted:
            continue
        if turns and turns[-1].holder == call.holder:
            turns[-1] = call
            continue
        turns.append(call)
    for first, _, third in zip(turns, turns[1:], turns[2:], strict=False):
        if first.holder == third.holder and third.at - first.at <= LEASE_S:
            yield f"{first.holder} takes turns at {third.at:.3f}"


def _judge_lost(world: World):
    """Where gateways are only killed or frozen, hardly a request is lost."""
    for call in world.calls:
        begun = sum(n for (w, _), n in world.begun.items() if w == call.window)
        lost = begun - sum(call.counts.values())
        if lost > MOST_LOST:
            yield f"window {call.window} lacks {lost} of {begun}, by {call.holder}"


def _judge_calm(world: World):
    """Without trouble every window is reported in time, and exactly."""
    newest = int((WALL_S + LENGTH_S - LATE_S) // WINDOW_S) - 1
    first = int(WALL_S // WINDOW_S) + 1
    for window in range(first, newest + 1):
        calls = [call for call in world.calls if call.window == window]
        due = (window + 1) * WINDOW_S - WALL_S + LATE_S
        if not calls or calls[0].at > due:
            yield f"window {window} is missing"
            continue
        told = {name: world.begun.get((window, name), 0) for name in WORKSPACES}
        if calls[0].counts != {name: count for name, count in told.items() if count}:
            yield f"window {window} says {calls[0].counts}, true is {told}"
