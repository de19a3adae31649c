"""Starts a gateway from a checkout, without installing the package."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from robinspindle.exceptions import InvalidDocumentError  # noqa: E402
from robinspindle.platform.settings import SETTINGS_VARIABLE  # noqa: E402
from robinspindle.platform.start import start_gateway  # noqa: E402

if __name__ == "__main__":
    try:
        sys.exit(start_gateway(os.environ.get(SETTINGS_VARIABLE, "")))
    except InvalidDocumentError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
