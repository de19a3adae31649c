"""What a process holds, as the operating system counts it."""

import contextlib
import os
import re
import threading
from dataclasses import dataclass, field
from pathlib import Path

SAMPLE_S = 0.02
"""Pause between two looks, seconds."""

ESTABLISHED_STATES = frozenset(("01", "08"))
"""Connections whose received bytes may still be read: open, or closed by their peer."""

BYTES_PER_KB = 1024


def read_status(pid: int, key: str) -> int:
    """Read one of the sizes that the system tells of a process, bytes.

    Args:
        pid: The process.
        key: ``VmRSS`` for what it has now, ``VmHWM`` for the most so far.
    """
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"^{key}:\s+(\d+) kB", status, re.MULTILINE)
    return int(found[1]) * BYTES_PER_KB if found else 0


def count_unread(ports: frozenset[int]) -> int:
    """Count the bytes that have come at some ports and that nobody has read yet."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        port = int(words[1].rpartition(":")[2], 16)
        if port in ports and words[3] in ESTABLISHED_STATES:
            unread += int(words[4].rpartition(":")[2], 16)
    return unread


def count_sockets(pid: int) -> int:
    """Count the open sockets and pipes of a process."""
    count = 0
    for path in Path(f"/proc/{pid}/fd").iterdir():
        # Descriptors may be closed between the listing and the look.
        with contextlib.suppress(FileNotFoundError):
            count += os.readlink(path).startswith(("socket:", "pipe:"))
    return count


@dataclass
class Peaks:
    """The most that a process has held.

    Attributes:
        held: Its memory and what had come for it unread at the same moment, bytes.
        unread: What had come for it unread, bytes.
        sockets: Its open sockets and pipes.
    """

    held: int = 0
    unread: int = 0
    sockets: int = 0


@dataclass
class MemoryWatch:
    """Looks at a process again and again, from a thread of its own.

    Attributes:
        pid: The process.
        ports: The ports at which it listens.
        peaks: The most that was seen.
    """

    pid: int
    ports: frozenset[int]
    peaks: Peaks = field(default_factory=Peaks)

    def __post_init__(self):
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "MemoryWatch":
        """Begin to look."""
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        """End."""
        self._is_over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_over.wait(SAMPLE_S):
            try:
                self._look()
            except (FileNotFoundError, ProcessLookupError):
                return

    def _look(self) -> None:
        unread = count_unread(self.ports)
        held = read_status(self.pid, "VmRSS") + unread
        self.peaks.held = max(self.peaks.held, held)
        self.peaks.unread = max(self.peaks.unread, unread)
        self.peaks.sockets = max(self.peaks.sockets, count_sockets(self.pid))
