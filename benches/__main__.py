"""``scripts/bench KIND``: measurements, kept as data under docs."""

import argparse

from benches.mix import USERS, run_mix, run_roles


def main() -> None:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(prog="scripts/bench", description=__doc__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    mix = kinds.add_parser("mix", help="goodput through shifts in the mix")
    mix.add_argument("--user", choices=sorted(USERS), required=True)
    mix.add_argument("--load", type=float, action="append")
    mix.add_argument("--seed", type=int, action="append")
    roles = kinds.add_parser("roles", help="automatic role changes against none")
    roles.add_argument("--user", choices=sorted(USERS), required=True)
    roles.add_argument("--load", type=float, default=1.3)
    roles.add_argument("--seed", type=int, action="append")
    kinds.add_parser("path", help="latency and throughput of the path")
    kinds.add_parser("doors", help="event loop against threads, as an HTTP door")
    platform = kinds.add_parser("platform", help="gateways before timed stand-ins")
    platform.add_argument("--compare", choices=("logs", "gateways"), default="logs")
    kinds.add_parser("queueing", help="routing decisions alone, with late reports")
    kinds.add_parser("plots", help="draw the runs that are kept as data")
    kinds.add_parser("capacity", help="the target size from the kept slopes")
    kinds.add_parser("slopes", help="cost by targets, entries, changes and claims")
    args = parser.parse_args()
    if args.kind == "mix":
        run_mix(args.user, args.load or [0.5, 1.0, 1.3], args.seed or [1, 2])
    elif args.kind == "roles":
        run_roles(args.user, args.load, args.seed or [1])
    elif args.kind == "queueing":
        from benches.queueing import run_queueing

        run_queueing()
    elif args.kind == "platform":
        from benches.platform import run_platform

        run_platform(args.compare)
    elif args.kind == "doors":
        from benches.doors import run_doors

        run_doors()
    elif args.kind == "plots":
        from benches.plots import draw_plots

        draw_plots()
    elif args.kind == "capacity":
        from benches.capacity import run_capacity

        run_capacity()
    elif args.kind == "path":
        from benches.path import run_path

        run_path()
    else:
        from benches.slopes import run_slopes

        run_slopes()


if __name__ == "__main__":
    main()
