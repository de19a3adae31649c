"""Has the C library keep one heap for all threads."""

import ctypes

ARENA_MAX_OPTION = -8
"""`M_ARENA_MAX` of the GNU C library's `mallopt`."""


def share_one_heap() -> None:
    """Keep one heap for all threads; has no effect where the C library has no such.

    What one thread has freed is used by the others then. A heap for each, as is usual
    there, keeps what its threads once needed: many times what all need at one moment.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(ARENA_MAX_OPTION, 1)
