"""The standard descriptors of a process, which its parent may have left closed."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing_streams() -> None:
    """Open what of the standard descriptors is closed, to nowhere.

    Otherwise the next socket would get its number, and the logs would go out on it.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is taken, and those below are open by now.
            os.open(os.devnull, os.O_RDWR)
