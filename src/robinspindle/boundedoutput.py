"""Standard output that is never waited for: bounded lines, written when it takes them.

Routine lines are left out before failures are, and what is left out is counted by
kind and told in a line of its own.
"""

import os
from collections import Counter, deque

import msgspec

MOST_WAITING_BYTES = 1 << 20
"""Bytes that wait for a slow reader, at most: about 4,000 lines."""

ROUTINE_SHARE = 0.5
"""Share of it that lines about success may fill; the rest is kept for failures."""


class BoundedOutput:
    """A queue of lines before a file descriptor.

    Attributes:
        left_out: Lines left out since the last report, by kind.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self.left_out: Counter[str] = Counter()
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._bytes = 0

    def write(self, message: dict) -> None:
        """Queue one message as a JSON line, or count it as left out."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        share = ROUTINE_SHARE if message.get("routine") else 1.0
        if self._bytes + len(line) > MOST_WAITING_BYTES * share:
            self.left_out[str(message.get("text", ""))] += 1
            return
        self._waiting.append(line)
        self._bytes += len(line)

    def flush(self) -> None:
        """Write as much as the descriptor takes at once."""
        while self._waiting:
            data = b"".join(self._waiting)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told: the reader of the logs is what is gone.
                self.left_out["output failed"] += len(self._waiting)
                written = len(data)
            self._waiting.clear()
            self._bytes = len(data) - written
            if self._bytes:
                self._waiting.append(data[written:])
                return
        self._report()

    def _report(self) -> None:
        if not self.left_out:
            return
        counts = dict(self.left_out)
        self.left_out.clear()
        self.write({"message_type": "robinspindle:logs", "left_out": counts})
