"""``scripts/ablate REF SITE...``: what each decision of the policy is worth.

A revision is played with all decisions in force and with each of them switched off,
over the same days and seeds.
"""

import argparse
import json
import sys
from dataclasses import asdict, fields

from benches.compare import (
    add_play_options,
    check_out,
    keep_journal,
    list_tasks,
    play_all,
    read_play_options,
)
from benches.measure import DATA
from benches.pairs import Difference, Play, compare_plays, judge
from robinspindle.core.policy import Policy
from robinspindle.tables import format_table


def main() -> int:
    """Play, print the table and keep it."""
    args = _read_arguments()
    switches = args.switch or [field.name for field in fields(Policy)]
    trees = [check_out(args.revision, args.trees)]
    trees += [check_out(f"{args.revision}:{name}", args.trees) for name in switches]
    plays = play_all(list(list_tasks(trees, args)), args)
    rows = compare_switches(plays, args.revision, switches)
    print(format_switches(rows))
    value = {
        "why": args.why,
        "commit": trees[0].commit,
        "charges_processor": not args.no_cpu,
        "plays": [asdict(play) for play in plays],
    }
    DATA.mkdir(parents=True, exist_ok=True)
    path = DATA / f"ablation-{args.name}.json"
    path.write_text(json.dumps(value, indent=1) + "\n")
    keep_journal(trees)
    return 0


def compare_switches(
    plays: list[Play], revision: str, switches: list[str]
) -> dict[str, list[Difference]]:
    """Compare all decisions in force with each one switched off.

    Args:
        plays: All plays.
        revision: The revision as the command line calls it.
        switches: Names of the decisions.

    Returns:
        Differences by decision: without it less with it.
    """
    every = [play for play in plays if play.revision == revision]
    return {
        name: compare_plays(
            every, [play for play in plays if play.revision == f"{revision}:{name}"]
        )
        for name in switches
    }


def format_switches(rows: dict[str, list[Difference]]) -> str:
    """Lay out what worth and shares change by without each decision."""
    shown = ("worth", "in aim", "refused", "failed")
    table = []
    for name, differences in rows.items():
        by_name = {difference.name: difference for difference in differences}
        figures = [by_name[figure] for figure in shown]
        cells = [f"{figure.mean:+.3f}" for figure in figures]
        table.append([name, *cells, f"{figures[0].spread:.3f}", judge(figures[0])])
    return format_table(["without", *shown, "spread", "worth is a"], table)


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/ablate", description=__doc__)
    parser.add_argument("revision", help="a revision, or . for the working tree")
    add_play_options(parser)
    parser.add_argument("--switch", action="append", help="decisions (default: all)")
    parser.add_argument("--name", default="last", help="name of the kept file")
    return read_play_options(parser)


if __name__ == "__main__":
    sys.exit(main())
