"""Starts a gateway from a checkout, without installing the package."""

import argparse
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from robinspindle.exceptions import InvalidDocumentError  # noqa: E402
from robinspindle.platform.settings import SETTINGS_VARIABLE  # noqa: E402
from robinspindle.platform.start import start_gateway  # noqa: E402


def main() -> int:
    """Run the gateway; 1 for settings with findings, as the command line does."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--metrics-port", type=int, default=0)
    parser.add_argument("--policy", default="")
    args = parser.parse_args()
    settings = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return start_gateway(
            settings,
            args.metrics_port,
            policy_path=str(ROOT / args.policy) if args.policy else "",
        )
    except InvalidDocumentError as error:
        print(error, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
