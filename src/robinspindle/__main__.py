"""``python -m robinspindle`` is the command line."""

import sys

from robinspindle.cli import main

if __name__ == "__main__":
    sys.exit(main())
