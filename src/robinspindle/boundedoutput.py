"""Standard output that is never waited for: bounded lines, written when it takes them.

Routine lines are left out before failures are, and what is left out is counted by
kind and told in a line of its own.
"""

import os
from collections import Counter, deque

import msgspec

MOST_WAITING_BYTES = 1 << 20
"""Bytes that wait for a slow reader, at most: about 3,000 lines."""

ROUTINE_SHARE = 0.5
"""Share of it that lines about success may fill; the rest is kept for failures."""

ROUTINE_LINES = 200
"""Routine lines between two flushes, at most: several times the usual number at the
highest load that one process is built for."""


class BoundedOutput:
    """A queue of lines before a file descriptor.

    Attributes:
        left_out: Lines left out since the last report, by kind.
        total_left_out: Lines left out so far, for metrics.
    """

    def __init__(
        self,
        descriptor: int,
        fields: dict[str, str] | None = None,
        tells_routine: bool = True,
    ):
        """Make the queue.

        Args:
            descriptor: Where the lines go.
            fields: Added to every line, for example the process's name.
            tells_routine: Whether routine lines are written at all.
        """
        os.set_blocking(descriptor, False)
        self.left_out: Counter[str] = Counter()
        self.total_left_out = 0
        self._descriptor = descriptor
        self._fields = fields or {}
        self._tells_routine = tells_routine
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self._routine = 0

    def write(self, message: dict) -> None:
        """Queue one message as a JSON line, or count it as left out."""
        is_routine = bool(message.get("routine"))
        if is_routine and not self._tells_routine:
            return
        line = msgspec.json.encode(self._fields | message, enc_hook=str) + b"\n"
        share = ROUTINE_SHARE if is_routine else 1.0
        is_full = self._bytes + len(line) > MOST_WAITING_BYTES * share
        if is_full or (is_routine and self._routine >= ROUTINE_LINES):
            self.left_out[str(message.get("text", ""))] += 1
            self.total_left_out += 1
            return
        self._routine += is_routine
        self._waiting.append(line)
        self._bytes += len(line)

    def flush(self) -> None:
        """Write as much as the descriptor takes at once."""
        self._routine = 0
        while self._waiting:
            data = b"".join(self._waiting)
            self._waiting.clear()
            written = self._write(data)
            self._bytes = len(data) - written
            if self._bytes:
                self._waiting.append(data[written:])
                return
        self._report()

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # Nobody can be told: the reader of the logs is what is gone.
            self.left_out["output failed"] += 1
            return len(data)

    def _report(self) -> None:
        if not self.left_out:
            return
        counts = dict(self.left_out)
        self.left_out.clear()
        self.write({"text": "lines left out", "left_out": counts})
