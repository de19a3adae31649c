"""Starts a gateway from a checkout, without installing the package."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "src"))

# Before all that takes time to import: signals may come at any moment of a start.
from robinspindle.processsignals import hold_signals  # noqa: E402

SIGNALS = hold_signals()

import argparse  # noqa: E402

from robinspindle.exceptions import InvalidDocumentError  # noqa: E402
from robinspindle.platform.settings import SETTINGS_VARIABLE  # noqa: E402
from robinspindle.platform.start import start_gateway  # noqa: E402
from robinspindle.standardstreams import open_missing_streams  # noqa: E402

MOST_CHARACTERS = 20_000
"""Characters of findings that are printed: a pipe that nobody reads takes so many."""


def main() -> int:
    """Run the gateway; 1 for settings with findings, as the command line does."""
    open_missing_streams()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--metrics-port", type=int, default=0)
    parser.add_argument("--policy", default="")
    args = parser.parse_args()
    settings = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return start_gateway(
            settings,
            args.metrics_port,
            policy_path=os.path.join(ROOT, args.policy) if args.policy else "",
            signals=SIGNALS,
        )
    except InvalidDocumentError as error:
        print(str(error)[:MOST_CHARACTERS], file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
