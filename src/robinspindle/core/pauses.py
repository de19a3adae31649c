"""Detects pauses of the whole process: its VM was suspended, or it wasn't scheduled.

The process receives nothing during a pause, so what it knew before is older than it
seems. There are two clocks. The monotonic clock of the gateways counts suspension
(CLOCK_BOOTTIME); the running clock doesn't (CLOCK_MONOTONIC). After a suspension of the
VM the first is ahead of the second. If the process only wasn't scheduled, both advance
alike, and it wakes later than it asked to.
"""

from dataclasses import dataclass

MIN_SUSPENSION_S = 0.05
"""Least difference between the two clocks that counts as a suspension, seconds: they
are read one after the other, and a VM with a third of a core may be delayed between the
two reads."""

MIN_LATE_S = 0.5
"""Least delay of a wakeup that counts as a pause, seconds: more than timers of busy
small VMs are late, and less than the time after which targets count as silent."""

MIN_LONG_TURN_S = 0.1
"""Least duration of a turn of the event loop that counts as long, seconds: the shortest
latency objectives are little longer."""


@dataclass
class ClockReadings:
    """The two clocks, read at about the same time.

    Attributes:
        steady: The monotonic clock that counts suspension, seconds.
        running: The clock that doesn't, seconds.
    """

    steady: float
    running: float


@dataclass(frozen=True)
class Pause:
    """A pause that has just ended.

    Attributes:
        seconds: Duration, seconds.
        is_suspension: Whether the VM was suspended.
    """

    seconds: float
    is_suspension: bool


def detect_pause(
    before: ClockReadings, after: ClockReadings, timeout_s: float | None
) -> Pause | None:
    """Detect a pause between two readings of the clocks.

    Args:
        before: The clocks before a wait.
        after: The clocks after it.
        timeout_s: The longest time that the wait was to last, seconds; None for no
            limit.

    Returns:
        The pause; None for none.
    """
    running_s = after.running - before.running
    suspended_s = after.steady - before.steady - running_s
    if suspended_s >= MIN_SUSPENSION_S:
        return Pause(suspended_s, True)
    if timeout_s is None:
        return None
    late_s = running_s - max(0.0, timeout_s)
    return Pause(late_s, False) if late_s >= MIN_LATE_S else None


def detect_long_turn(before: ClockReadings, after: ClockReadings) -> float | None:
    """Detect a turn of the event loop during which others had to wait for long.

    Args:
        before: The clocks at its beginning.
        after: The clocks at its end.

    Returns:
        Its duration without suspension, seconds; None if it was short.
    """
    turn_s = after.running - before.running
    return turn_s if turn_s >= MIN_LONG_TURN_S else None
