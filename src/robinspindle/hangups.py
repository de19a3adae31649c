"""Tells whether the other end of a connection has closed it, without reading."""

import select


def is_closed_by_peer(descriptor: int) -> bool:
    """Check whether the peer of a TCP connection has closed or reset it.

    The close is seen as soon as the operating system has it, also while the event loop
    is busy and while received bytes are still unread.

    Args:
        descriptor: File descriptor of the connected socket.
    """
    poll = select.poll()
    # Errors and resets are reported whatever is asked for.
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
