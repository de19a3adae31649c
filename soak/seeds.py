"""What each run of a soak is asked on its command line: seeds, and a folder."""

import argparse
import tempfile
from collections.abc import Iterator
from pathlib import Path


def add_seed_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that choose seeds and the folder."""
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--keep", default="", help="folder for settings and logs")


def list_seeds(args: argparse.Namespace) -> Iterator[tuple[int, Path]]:
    """List the seeds, each with a folder of its own that is there."""
    for seed in range(args.seed, args.seed + args.count):
        folder = Path(args.keep or tempfile.mkdtemp(prefix="soak-")) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        yield seed, folder
