"""Starts one stand-in: ``python -m standins platform|engine|service --port N``."""

import argparse

from standins.engine import ROLE_CHANGE_S, run_engine
from standins.platform import run_platform
from standins.service import run_service


def main() -> None:
    """Start the stand-in that the command line names."""
    parser = argparse.ArgumentParser(prog="standins", description=__doc__)
    parser.add_argument("kind", choices=("platform", "engine", "service"))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--retention", type=int, default=100_000)
    parser.add_argument("--model", default="model")
    parser.add_argument("--fencing", choices=("checked", "ignored"), default="ignored")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--change-s", type=float, default=ROLE_CHANGE_S)
    parser.add_argument("--delay-s", type=float, default=0.02)
    args = parser.parse_args()
    if args.kind == "platform":
        run_platform(args.port, args.seed, args.retention)
    elif args.kind == "engine":
        run_engine(args.port, args.model, args.fencing, args.slots, args.change_s)
    else:
        run_service(args.port, args.delay_s)


if __name__ == "__main__":
    main()
