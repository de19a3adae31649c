"""Pauses of the whole process: its VM was suspended, or it was not run for a while.

Nothing was heard meanwhile, and nothing of what was believed before is as fresh as it
looks. A suspended VM's running clock stands still; a steady one that counts suspension
shows the jump. A process that is only not run sees both go on, and wakes late.
"""

from dataclasses import dataclass

LEAST_SUSPENSION_S = 0.05
"""A shorter jump between the two clocks is no suspension, seconds: they are read one
after the other, and a VM of a third of a core may be held up between the two."""

LEAST_LATE_S = 0.5
"""Who wakes so much later than it asked for was not run meanwhile, seconds. Timers of
small VMs that are busy fire up to 0.1 s late; targets count as silent after 0.6 s."""


@dataclass
class ClockReadings:
    """What two clocks showed when they were last compared.

    Attributes:
        steady: The one that counts suspension, seconds.
        running: The one that does not, seconds.
    """

    steady: float
    running: float


@dataclass(frozen=True)
class Pause:
    """A pause that has just ended.

    Attributes:
        seconds: How long it lasted.
        is_suspension: Whether the VM was suspended.
    """

    seconds: float
    is_suspension: bool


def detect_pause(
    before: ClockReadings, after: ClockReadings, asked_s: float | None
) -> Pause | None:
    """Find the pause between two looks at the clocks.

    Args:
        before: Before a wait.
        after: After it.
        asked_s: How long the wait was to last at the most, seconds; None for no limit.

    Returns:
        The pause; None where there was none.
    """
    running_s = after.running - before.running
    suspended_s = after.steady - before.steady - running_s
    if suspended_s >= LEAST_SUSPENSION_S:
        return Pause(suspended_s, True)
    if asked_s is None:
        return None
    late_s = running_s - max(0.0, asked_s)
    return Pause(late_s, False) if late_s >= LEAST_LATE_S else None
