"""Longer fuzz runs by hand: ``scripts/fuzz --seed N --steps M`` or ``--mutants``."""

import argparse
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from fuzz.driver import draw_moves, play, shrink
from fuzz.gatewaymutants import GATEWAY_MUTANTS
from fuzz.gatewayoracle import STEPS, play_gateways
from fuzz.mutants import MUTANTS, Mutant, apply_mutant
from robinspindle.tables import format_table

STEPS_IN_A_RUN = 150
MOST_RUNS = 200
"""Seeds that are played under one mutant before it counts as not caught."""

RUNS_A_LINE = 20
"""Runs between two lines that tell how far it is."""

MOST_SHOWN = 60
"""Characters of a fault that are shown."""

WORKERS = 6


def main() -> int:
    """Run the fuzzer; 1 when the oracle found a fault, or missed a mutant."""
    parser = argparse.ArgumentParser(prog="scripts/fuzz", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--steps", type=int, default=15_000, help="steps in all")
    parser.add_argument("--mutants", action="store_true", help="prove the oracle")
    args = parser.parse_args()
    with ProcessPoolExecutor(WORKERS) as pool:
        if args.mutants:
            return _prove_oracle(pool)
        return _fuzz(pool, args.seed, max(1, args.steps // STEPS_IN_A_RUN))


def _play_seed(seed: int):
    return play(seed, draw_moves(seed, STEPS_IN_A_RUN))


def _fuzz(pool: ProcessPoolExecutor, first: int, runs: int) -> int:
    begun = time.monotonic()
    steps, requests, counts = 0, 0, {}
    results = pool.map(_play_seed, range(first, first + runs))
    for number, result in enumerate(results):
        steps += result.steps
        requests += result.requests
        for rule, count in result.counts.items():
            counts[rule] = counts.get(rule, 0) + count
        if result.faults:
            return _show_failure(first + number, result.faults)
        if (number + 1) % RUNS_A_LINE == 0 or number + 1 == runs:
            seconds = time.monotonic() - begun
            print(f"{number + 1}/{runs} runs, {steps} steps, {seconds:.0f} s, clean")
    print(format_table(("rule", "steps"), sorted(counts.items())))
    return _fuzz_gateways(pool, first, runs) or _show_clean(
        first, runs, steps, requests
    )


def _fuzz_gateways(pool: ProcessPoolExecutor, first: int, runs: int) -> int:
    found = pool.map(play_gateways, range(first, first + runs))
    for number, faults in enumerate(found):
        if faults:
            print(f"gateways, seed {first + number} fails:", *faults, sep="\n  ")
            return 1
    print(f"gateways clean: seeds {first} to {first + runs - 1}, {runs * STEPS} steps")
    return 0


def _show_clean(first: int, runs: int, steps: int, requests: int) -> int:
    print(f"clean: seeds {first} to {first + runs - 1}, {steps} steps, ", end="")
    print(f"{requests} callers' requests")
    return 0


def _show_failure(seed: int, faults: tuple[str, ...]) -> int:
    print(f"seed {seed} fails:", *faults, sep="\n  ")
    print("shrinking ...")
    moves = shrink(seed, draw_moves(seed, STEPS_IN_A_RUN))
    print(f"play({seed}, [", *(f"    {move}," for move in moves), "])", sep="\n")
    return 1


def _catch(number: int) -> tuple[int, int, str]:
    """Run seeds under one mutant until the oracle notices it."""
    steps = 0
    with apply_mutant(MUTANTS[number]):
        for seed in range(1, MOST_RUNS + 1):
            try:
                result = play(seed, draw_moves(seed, STEPS_IN_A_RUN))
            except Exception as error:
                return seed, steps, f"crash: {error!r}"
            steps += result.steps
            if result.faults:
                return seed, steps, result.faults[0]
    return 0, steps, "NOT CAUGHT"


def _catch_in_gateways(number: int) -> tuple[int, int, str]:
    """Run seeds of gateways under one mutant until the oracle notices it."""
    with apply_mutant(GATEWAY_MUTANTS[number]):
        for seed in range(1, MOST_RUNS + 1):
            faults = play_gateways(seed)
            if faults:
                return seed, seed * STEPS, faults[0]
    return 0, MOST_RUNS * STEPS, "NOT CAUGHT"


def _prove_oracle(pool: ProcessPoolExecutor) -> int:
    missed = _prove(pool, MUTANTS, _catch)
    missed += _prove(pool, GATEWAY_MUTANTS, _catch_in_gateways)
    return 1 if missed else 0


def _prove(
    pool: ProcessPoolExecutor, mutants: tuple[Mutant, ...], catch: Callable
) -> int:
    """Play each mutant, print what noticed it, and return how many went unnoticed."""
    rows = []
    missed = 0
    results = pool.map(catch, range(len(mutants)))
    for mutant, (seed, steps, fault) in zip(mutants, results, strict=True):
        missed += seed == 0
        rows.append((mutant.name, seed or "-", steps, fault[:MOST_SHOWN]))
        print(f"{mutant.name}: {fault[:MOST_SHOWN]}", file=sys.stderr)
    print(format_table(("deliberate fault", "seed", "steps", "noticed as"), rows))
    print(f"{len(mutants) - missed} of {len(mutants)} caught")
    return missed


if __name__ == "__main__":
    sys.exit(main())
