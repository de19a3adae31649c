"""The coordinator lease: when to renew it and when to ask for it.

The verdict needs no clock: the fold accepts a takeover only if it names the last
renewal. The clock here only decides when a process *tries*.
"""

import random
from dataclasses import dataclass

from robinspindle.core.records import Renewal, Takeover
from robinspindle.core.state import Lease

LEASE_S = 6.0
RENEWALS_PER_LEASE = 3
MAX_JITTER_S = 2.0


@dataclass
class LeaseWatch:
    """What one process has seen of the lease.

    Attributes:
        name: The process.
        seen: The lease as last seen.
        changed_at: When it was last seen to change.
        sent_at: When this process last sent a record about it.
    """

    name: str
    seen: Lease | None = None
    changed_at: float = 0.0
    sent_at: float = -LEASE_S

    def observe(self, now: float, lease: Lease) -> None:
        """Take note of the folded lease."""
        if lease != self.seen:
            self.seen = lease
            self.changed_at = now


def is_holder(lease: Lease, name: str) -> bool:
    """Whether a process holds the lease as far as it has folded."""
    return bool(name) and lease.holder == name


def decide_lease(
    watch: LeaseWatch, now: float, id: str, rng: random.Random
) -> Renewal | Takeover | None:
    """Decide whether to append something about the lease.

    Args:
        watch: What this process has seen.
        now: The present time, monotonic seconds.
        id: Id for the record.
        rng: Source of the jitter that keeps challengers apart.

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
    patience = LEASE_S if lease.holder else 0.0
    quiet = min(now - watch.changed_at, now - watch.sent_at)
    if quiet < patience + rng.uniform(0.0, MAX_JITTER_S):
        return None
    watch.sent_at = now
    return Takeover(id=id, holder=watch.name, after=lease.renewed)
