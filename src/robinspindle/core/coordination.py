"""What the holder of the coordinator lease does beside its own job."""

from dataclasses import dataclass, field

from robinspindle.core import roles
from robinspindle.core.leases import is_holder
from robinspindle.core.records import AnyRecord, Checkpoint
from robinspindle.core.state import State, encode_state
from robinspindle.messages import Report

CHECKPOINT_RECORDS = 256
CHECKPOINT_S = 120.0
ACT_PAUSE_S = 2.0


@dataclass
class CoordinatorState:
    """What a coordinator remembers.

    Attributes:
        name: The process.
        watch: Role changes that have been worth while.
        covered: What the last checkpoint of this process covers.
        checkpointed_at: When it was made.
        acted_at: When an automatic change was last appended.
    """

    name: str
    watch: roles.PendingChanges = field(default_factory=roles.PendingChanges)
    covered: int = -1
    checkpointed_at: float = 0.0
    acted_at: float = -ACT_PAUSE_S


def decide_coordinator_records(
    duties: CoordinatorState,
    state: State,
    reports: dict[str, Report],
    now: float,
    wall: float,
    id: str,
) -> list[AnyRecord]:
    """Decide which records the coordinator appends now.

    Args:
        duties: What it remembers; brought up to date.
        state: The folded control stream.
        reports: Last reports by target.
        now: The present time, monotonic seconds.
        wall: The present time, seconds since the epoch.
        id: Unique id that the records' ids begin with.
    """
    if not is_holder(state.lease, duties.name):
        return []
    records: list[AnyRecord] = []
    if _is_checkpoint_due(duties, state, now):
        duties.covered = state.offset
        duties.checkpointed_at = now
        encoded = encode_state(state)
        records.append(
            Checkpoint(id=f"{id}/checkpoint", covers=state.offset, state=encoded)
        )
    if now - duties.acted_at < ACT_PAUSE_S:
        return records
    for envelope in state.envelopes.values():
        change = roles.decide_role_change(duties.watch, state, envelope, reports, now)
        if change is not None:
            duties.acted_at = now
            act_id = f"{id}/role/{change[0]}"
            records.append(
                roles.make_role_change(state, duties.name, change, act_id, wall)
            )
    return records


def _is_checkpoint_due(duties: CoordinatorState, state: State, now: float) -> bool:
    fresh = state.offset - max(duties.covered, state.checkpoint)
    if fresh >= CHECKPOINT_RECORDS:
        return True
    return fresh > 1 and now - duties.checkpointed_at >= CHECKPOINT_S
