"""``python -m robinspindle`` is the command line."""

import sys


def main() -> int:
    """Run the command line; a gateway holds its signals before the rest is loaded."""
    if sys.argv[1:2] == ["gateway"]:
        from robinspindle.processsignals import hold_signals

        hold_signals()
    from robinspindle import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
