"""The coordinator lease: when to renew it and when to request it.

Who holds the lease doesn't depend on clocks: the replicated state machine accepts a
takeover only if it names the offset of the last renewal or takeover. The clock only
decides when a process tries to renew or to take over the lease.
"""

import random
from dataclasses import dataclass

from robinspindle.core.records import Renewal, Takeover
from robinspindle.core.state import Lease

LEASE_S = 6.0
"""Time without a renewal after which other processes request the lease, seconds."""

RENEWALS_PER_LEASE = 3

MAX_JITTER_S = 2.0
"""Maximum additional delay before a process requests the lease, seconds."""


@dataclass
class LeaseWatch:
    """One process's observations of the coordinator lease.

    Attributes:
        name: The process's name.
        seen: The lease at the last observation, None before the first.
        changed_at: When a change of the lease was last observed, monotonic seconds.
        sent_at: When this process last appended a record about the lease, monotonic
            seconds.
    """

    name: str
    seen: Lease | None = None
    changed_at: float = 0.0
    sent_at: float = -LEASE_S

    def observe(self, now: float, lease: Lease) -> None:
        """Record the lease of the replicated state."""
        if lease != self.seen:
            self.seen = lease
            self.changed_at = now


def is_holder(lease: Lease, name: str) -> bool:
    """Whether a process holds the lease according to its replicated state."""
    return bool(name) and lease.holder == name


def decide_lease(
    watch: LeaseWatch, now: float, id: str, rng: random.Random
) -> Renewal | Takeover | None:
    """Decide whether to append a renewal or a takeover of the lease.

    Args:
        watch: This process's observations; updated.
        now: The current time, monotonic seconds.
        id: Id for the record.
        rng: Source of the jitter that prevents simultaneous takeovers.

    Returns:
        The record to append, or None.
    """
    lease = watch.seen
    if lease is None:
        return None
    if is_holder(lease, watch.name):
        if now - watch.sent_at < LEASE_S / RENEWALS_PER_LEASE:
            return None
        watch.sent_at = now
        return Renewal(id=id, holder=watch.name, fence=lease.fence)
    timeout_s = LEASE_S if lease.holder else 0.0
    unchanged_s = min(now - watch.changed_at, now - watch.sent_at)
    if unchanged_s < timeout_s + rng.uniform(0.0, MAX_JITTER_S):
        return None
    watch.sent_at = now
    return Takeover(id=id, holder=watch.name, after=lease.renewed)
