"""Work of the coordinator, the process that holds the coordinator lease.

The coordinator appends checkpoints and decides automatic role changes.
"""

from dataclasses import dataclass, field

from robinspindle.core import roles
from robinspindle.core.leases import is_holder
from robinspindle.core.records import AnyRecord, Checkpoint
from robinspindle.core.state import State, encode_state
from robinspindle.messages import Report

CHECKPOINT_RECORDS = 256
"""Number of new records after which a checkpoint is due."""

CHECKPOINT_S = 120.0
"""Time after which a checkpoint is due if there are new records, seconds."""

ROLE_CHANGE_PAUSE_S = 2.0
"""Minimum time between two passes that append automatic role changes, seconds."""


@dataclass
class CoordinatorState:
    """The local state of a coordinator.

    Attributes:
        name: The process's name.
        pending: Role changes that are not made before they have been the best ones for
            a while.
        covered: Offset of the last record that this process's last checkpoint covers,
            -1 for none.
        checkpointed_at: When that checkpoint was made, monotonic seconds.
        changed_at: When a role change was last appended, monotonic seconds.
    """

    name: str
    pending: roles.PendingChanges = field(default_factory=roles.PendingChanges)
    covered: int = -1
    checkpointed_at: float = 0.0
    changed_at: float = -ROLE_CHANGE_PAUSE_S


def decide_coordinator_records(
    coordinator: CoordinatorState,
    state: State,
    reports: dict[str, Report],
    now: float,
    wall_s: float,
    id: str,
) -> list[AnyRecord]:
    """Decide which records the process appends as the coordinator now.

    Args:
        coordinator: The coordinator's local state; updated.
        state: The replicated state.
        reports: The last report of each target, by the target's name.
        now: The current time, monotonic seconds.
        wall_s: The current wall-clock time, seconds since the Unix epoch.
        id: Unique prefix for the records' ids.

    Returns:
        The records, none if the process doesn't hold the lease.
    """
    if not is_holder(state.lease, coordinator.name):
        return []
    records: list[AnyRecord] = []
    if _is_checkpoint_due(coordinator, state, now):
        coordinator.covered = state.offset
        coordinator.checkpointed_at = now
        encoded = encode_state(state)
        records.append(
            Checkpoint(id=f"{id}/checkpoint", covers=state.offset, state=encoded)
        )
    if now - coordinator.changed_at < ROLE_CHANGE_PAUSE_S:
        return records
    for envelope in state.envelopes.values():
        change = roles.decide_role_change(
            coordinator.pending, state, envelope, reports, now
        )
        if change is not None:
            coordinator.changed_at = now
            record_id = f"{id}/role/{change[0]}"
            records.append(
                roles.make_role_change(
                    state, coordinator.name, change, record_id, wall_s
                )
            )
    return records


def _is_checkpoint_due(coordinator: CoordinatorState, state: State, now: float) -> bool:
    # The record of the last checkpoint itself counts as one new record.
    new_records = state.offset - max(coordinator.covered, state.checkpoint)
    if new_records >= CHECKPOINT_RECORDS:
        return True
    return new_records > 1 and now - coordinator.checkpointed_at >= CHECKPOINT_S
