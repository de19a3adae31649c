"""``scripts/compare REF REF SITE...``: two revisions over the same days and seeds.

Each day is played with both, one right after the other, so that a busy machine hits
both alike. A revision is anything that git names; ``.`` stands for the working tree as
it is now. ``REF:name`` switches a decision of the policy off.
"""

import argparse
import configparser
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path

from benches.measure import DATA, FIGURES, ROOT, describe_machine
from benches.pairs import Difference, Play, compare_plays, judge

SEEDS = Path(__file__).with_name("seeds.ini")
PACKAGES = ROOT / "target" / "deps"
POLICY = "deploy/policy.ini"
WORKING_TREE = "."
PLAY_TIMEOUT_S = 600
"""Longest time for one play, seconds: most take 10 to 60."""

LEAST_SHOWN = 0.001
"""Prices whose mean is below this with both revisions are left out of the table."""


@dataclass(frozen=True)
class Tree:
    """A revision that is checked out for playing.

    Attributes:
        name: What the command line calls it.
        commit: Its commit.
        folder: Where it is checked out.
    """

    name: str
    commit: str
    folder: Path


@dataclass(frozen=True)
class Task:
    """One play that is to be made."""

    tree: Tree
    site: Path
    day: str
    seed: int


def main() -> int:
    """Play, print the table, and keep it with its plot."""
    args = _read_arguments()
    trees = [check_out(name, args.trees) for name in (args.first, args.second)]
    tasks = list(list_tasks(trees, args))
    plays = play_all(tasks, args)
    first, second = (
        [play for play in plays if play.revision == tree.name] for tree in trees
    )
    differences = compare_plays(first, second)
    print(format_differences(differences))
    _print_broken(plays)
    _keep(args, trees, plays, differences)
    return 1 if any(play.broken for play in second) else 0


def format_differences(differences: list[Difference]) -> str:
    """Lay differences out as a table, with the judgement on worth below."""
    head = f"{'figure':42} {'first':>8} {'second':>8} {'mean':>8} {'spread':>8}  higher"
    lines = [head]
    for difference in differences:
        if max(abs(difference.before), abs(difference.after)) < LEAST_SHOWN:
            continue
        lines.append(
            f"{difference.name:42} {difference.before:8.4f} {difference.after:8.4f} "
            f"{difference.mean:+8.4f} {difference.spread:8.4f}  "
            f"{difference.higher} of {difference.pairs}"
        )
    if differences:
        lines.append(f"worth: {judge(differences[0])}")
    return "\n".join(lines)


def read_play(report: dict, task: Task) -> Play:
    """Read the bench's report of a play."""
    everyone = report["all"]
    asked = max(1, everyone["n"])
    figures = {
        "worth": report["G"],
        "served, of worth": report["served"],
        "in aim": everyone["in_aim"] / asked,
        "late": everyone["late"] / asked,
        "refused": everyone["refused"] / asked,
        "failed": everyone["failed"] / asked,
    }
    for part, _, value in report["parts"]:
        figures[f"part: {part}"] = value
    for price, _, cost in report["prices"]:
        figures[f"price: {price}"] = cost
    return Play(
        site=task.site.stem,
        day=task.day,
        seed=task.seed,
        revision=task.tree.name,
        figures=figures,
        broken=tuple(report["breaks"])
        + ((report["fault"],) if report["fault"] else ()),
    )


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/compare", description=__doc__)
    parser.add_argument("first", help="a revision, or . for the working tree")
    parser.add_argument("second", help="the revision to compare with it")
    add_play_options(parser)
    parser.add_argument("--name", default="last", help="name of the kept files")
    return read_play_options(parser)


def add_play_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that say what is played and how."""
    parser.add_argument("site", nargs="+", type=Path, help="site files")
    parser.add_argument(
        "--bench",
        default=os.environ.get("ROBINSPINDLE_BENCH"),
        help="the users' bench (default: the variable ROBINSPINDLE_BENCH)",
    )
    parser.add_argument("--why", required=True, help="what is asked; kept with all")
    parser.add_argument("--day", action="append", help="days by name (default: all)")
    parser.add_argument("--seeds", default="rounds", help="a section of seeds.ini")
    parser.add_argument("--count", type=int, default=3, help="seeds of it (3)")
    parser.add_argument("--jobs", type=int, default=4, help="days at a time (4)")
    parser.add_argument("--small", action="store_true", help="small twins of days")
    parser.add_argument(
        "--no-cpu", action="store_true", help="charge no processor time: less noise"
    )
    parser.add_argument(
        "--trees",
        type=Path,
        default=ROOT.parent / "compared",
        help="where revisions are checked out",
    )


def read_play_options(parser: argparse.ArgumentParser) -> argparse.Namespace:
    """Read the command line; it must name the bench."""
    args = parser.parse_args()
    if not args.bench:
        parser.error("--bench or ROBINSPINDLE_BENCH must name the bench")
    return args


def check_out(name: str, trees: Path) -> Tree:
    reference, _, off = name.partition(":")
    is_working = reference == WORKING_TREE
    commit = _commit_working_tree() if is_working else _git("rev-parse", reference)
    folder = trees / f"{commit[:12]}{'-' + off if off else ''}"
    if not folder.exists():
        folder.parent.mkdir(parents=True, exist_ok=True)
        _git("clone", "--quiet", "--shared", "--no-checkout", str(ROOT), str(folder))
        _git("-C", str(folder), "checkout", "--quiet", "--detach", commit)
        _copy_packages(folder)
        _switch_off(folder / POLICY, off)
    return Tree(name, commit, folder)


def _copy_packages(folder: Path) -> None:
    """Copy installed packages, which a build would otherwise install again."""
    if PACKAGES.exists():
        shutil.copytree(PACKAGES, folder / "target" / "deps")
        # Packages older than the list of them are installed anew.
        (folder / "target" / "deps").touch()


def _switch_off(policy: Path, name: str) -> None:
    """Switch a decision of a checked out policy off; an empty name changes nothing."""
    if not name:
        return
    text = policy.read_text()
    if f"{name} = on" not in text:
        raise SystemExit(f"{policy} has no switch {name} that is on")
    policy.write_text(text.replace(f"{name} = on", f"{name} = off"))


def _commit_working_tree() -> str:
    """Make a commit of the working tree that no branch names."""
    with tempfile.TemporaryDirectory() as folder:
        index = {"GIT_INDEX_FILE": str(Path(folder) / "index")}
        _git("read-tree", "HEAD", **index)
        _git("add", "--all", **index)
        tree = _git("write-tree", **index)
    return _git("commit-tree", tree, "-p", "HEAD", "-m", "The working tree")


def _git(*words: str, **variables: str) -> str:
    done = subprocess.run(
        ("git", *words),
        cwd=ROOT,
        env=os.environ | variables,
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def list_tasks(trees: list[Tree], args: argparse.Namespace) -> Iterator[Task]:
    seeds = read_seeds(args.seeds)[: args.count]
    for site in args.site:
        days = tomllib.loads(site.read_text())["day"]
        names = args.day or [day["name"] for day in days]
        for seed in seeds:
            for day in names:
                for tree in trees:
                    yield Task(tree, site.resolve(), day, seed)


def read_seeds(section: str) -> list[int]:
    parser = configparser.ConfigParser()
    parser.read(SEEDS)
    return [int(word) for word in parser[section]["seeds"].split(",")]


def play_all(tasks: list[Task], args: argparse.Namespace) -> list[Play]:
    plays = []
    for tree in {task.tree for task in tasks}:
        # Plays that start together would all build, each waiting for the others.
        subprocess.run((args.bench, "build"), cwd=tree.folder, capture_output=True)
    began_at = time.monotonic()
    with ThreadPoolExecutor(args.jobs) as pool:
        waited = [pool.submit(_play, task, args) for task in tasks]
        for done in as_completed(waited):
            plays.append(done.result())
            passed_s = time.monotonic() - began_at
            print(
                f"\r{len(plays)} of {len(tasks)} played in {passed_s:.0f} s",
                end="",
                file=sys.stderr,
                flush=True,
            )
    print(file=sys.stderr)
    return plays


def _play(task: Task, args: argparse.Namespace) -> Play:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [args.bench, "run", str(task.site), task.day]
        command += ["--seed", str(task.seed), "--report", str(report)]
        command += ["--why", f"{args.why} ({task.tree.name})"]
        command += ["--no-cpu"] if args.no_cpu else []
        command += ["--small"] if args.small else []
        done = subprocess.run(
            command,
            cwd=task.tree.folder,
            capture_output=True,
            text=True,
            timeout=PLAY_TIMEOUT_S,
        )
        if not report.exists():
            raise SystemExit(f"{task.day} was not played: {done.stdout}{done.stderr}")
        return read_play(json.loads(report.read_text()), task)


def _print_broken(plays: list[Play]) -> None:
    for play in plays:
        for rule in play.broken:
            print(f"BROKEN {play.revision} {play.site} {play.day} {play.seed}: {rule}")


def _keep(
    args: argparse.Namespace,
    trees: list[Tree],
    plays: list[Play],
    differences: list[Difference],
) -> None:
    """Keep plays and differences as JSON, the plot, and the bench's journal."""
    value = {
        "why": args.why,
        "machine": describe_machine(),
        "revisions": {tree.name: tree.commit for tree in trees},
        "charges_processor": not args.no_cpu,
        "judgement": judge(differences[0]) if differences else "",
        "differences": [asdict(difference) for difference in differences],
        "plays": [asdict(play) for play in plays],
    }
    DATA.mkdir(parents=True, exist_ok=True)
    path = DATA / f"compare-{args.name}.json"
    path.write_text(json.dumps(value, indent=1) + "\n")
    _draw(differences, FIGURES / f"compare-{args.name}.png", args.why)
    keep_journal(trees)


def keep_journal(trees: list[Tree]) -> None:
    """Keep what the bench wrote into the journals of checked out revisions."""
    for tree in trees:
        for entry in (tree.folder / "journal").rglob("*"):
            kept = ROOT / "journal" / entry.relative_to(tree.folder / "journal")
            if entry.is_file() and not kept.exists():
                kept.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(entry, kept)


def _draw(differences: list[Difference], path: Path, title: str) -> None:
    """Draw mean differences with two standard errors to either side."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = [d for d in differences if max(abs(d.before), abs(d.after)) >= LEAST_SHOWN]
    figure, axis = pyplot.subplots(figsize=(7, 0.3 * len(shown) + 1.2))
    axis.errorbar(
        [d.mean for d in shown],
        [d.name for d in shown],
        xerr=[2 * d.error for d in shown],
        fmt="o",
    )
    axis.axvline(0, color="grey", linewidth=0.8)
    axis.invert_yaxis()
    axis.set_title(title, fontsize=8)
    axis.tick_params(labelsize=7)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    sys.exit(main())
