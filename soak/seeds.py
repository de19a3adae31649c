"""What each run of a soak is asked on its command line: seeds, and a folder."""

import argparse
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class SeedResult:
    """What one seed found.

    Attributes:
        lines: What is told of it.
        has_failed: Whether something was seen that must not be.
    """

    lines: list[str]
    has_failed: bool


def add_seed_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that choose seeds and the folder."""
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--keep", default="", help="folder for settings and logs")


def play_seeds(
    args: argparse.Namespace, play_one: Callable[[int, Path], SeedResult]
) -> int:
    """Play all seeds and print what they found; returns the exit status."""
    failed = 0
    for seed, folder in list_seeds(args):
        result = play_one(seed, folder)
        print("\n".join(result.lines), flush=True)
        failed += result.has_failed
    return 1 if failed else 0


def list_seeds(args: argparse.Namespace) -> Iterator[tuple[int, Path]]:
    """List the seeds, each with a folder of its own that is there."""
    for seed in range(args.seed, args.seed + args.count):
        folder = Path(args.keep or tempfile.mkdtemp(prefix="soak-")) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        yield seed, folder
