"""Records of the control stream, the log that all processes replicate.

Each record carries a unique id, so that a writer can retry an append whose answer was
lost: the replicated state machine drops duplicates. Records are encoded as MessagePack
with msgspec.
"""

from typing import Literal

import msgspec

from robinspindle.core.decoding import make_msgpack_decoder
from robinspindle.exceptions import BadDocumentError

Role = Literal["mixed", "prefill", "decode"]
Action = Literal["drain", "undrain", "role", "load"]


class Record(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of all records.

    Attributes:
        id: Unique id of the record, chosen by the writer.
    """

    id: str


class Intent(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of all intents: the state that an operator wants."""


class SetRoles(Intent, frozen=True, kw_only=True):
    """Set how many targets of a model have each role.

    Attributes:
        model: The model whose targets change role.
        prefill: Number of targets that run only prefill.
        decode: Number of targets that run only decode.
        mixed: Number of targets that run both.
    """

    model: str
    prefill: int = 0
    decode: int = 0
    mixed: int = 0


class ServeModel(Intent, frozen=True, kw_only=True):
    """Load a model on named targets, with these adapters and this version."""

    model: str
    targets: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    version: str = ""


class Drain(Intent, frozen=True, kw_only=True):
    """Take named targets out of service, each after its last request has ended."""

    targets: tuple[str, ...]


class Undrain(Intent, frozen=True, kw_only=True):
    """Put drained targets back into service."""

    targets: tuple[str, ...]


class Standing(Intent, frozen=True, kw_only=True):
    """A standing intent: pre-approved bounds for automatic role changes of a model.

    Attributes:
        model: The model whose targets may change role.
        least_prefill: Minimum number of targets in the prefill role.
        most_prefill: Maximum number of targets in the prefill role; 0 ends the
            standing intent.
        changes_per_hour: Maximum number of automatic role changes in any hour.
        cooldown_s: Minimum time between two automatic role changes, seconds.
        gain: Minimum relative reduction of the load, beyond the cost of the change,
            that justifies a role change.
    """

    model: str
    least_prefill: int = 0
    most_prefill: int = 0
    changes_per_hour: int = 6
    cooldown_s: float = 60.0
    gain: float = 0.1


AnyIntent = SetRoles | ServeModel | Drain | Undrain | Standing


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a plan, executed as an order to one target.

    Attributes:
        target: The target that executes the step.
        action: What the target's agent does.
        role: The new role, for the action ``role``.
        model: The model to load, for the action ``load``.
        adapters: Adapters to load with the model.
        version: Version of the model to load, empty for the current one.
        lost_s: Expected time for which the target's capacity is lost, seconds.
    """

    target: str
    action: Action
    role: Role = "mixed"
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    lost_s: float = 0.0


class ObservedEngine(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an engine, as its agent reads it after a start or an order.

    Attributes:
        role: The engine's role.
        model: The loaded model, empty for a plain service or when unknown.
        adapters: The loaded adapters.
        version: Version of the loaded model.
    """

    role: Role = "mixed"
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""


class Published(Record, frozen=True, kw_only=True):
    """An operator published a configuration document (INI text)."""

    text: str
    operator: str = ""


class Takeover(Record, frozen=True, kw_only=True):
    """A process requests the coordinator lease.

    Attributes:
        holder: The process that requests it.
        after: Offset of the last renewal or takeover that the process has applied, -1
            for none.
    """

    holder: str
    after: int


class Renewal(Record, frozen=True, kw_only=True):
    """The holder of the coordinator lease renews it.

    Attributes:
        holder: The process that holds the lease.
        fence: The fencing token of its takeover.
    """

    holder: str
    fence: int


class Planned(Record, frozen=True, kw_only=True):
    """A plan that was made for an intent. It has no effect until it is confirmed.

    Attributes:
        intent: What the operator wants.
        base: Offset of the state that the plan was made from.
        steps: The steps, in the order of their execution.
        operator: The operator that requested the plan.
    """

    intent: AnyIntent
    base: int
    steps: tuple[Step, ...]
    operator: str = ""


class Confirmed(Record, frozen=True, kw_only=True):
    """An operator confirmed a plan, identified by the id of its record."""

    plan: str
    operator: str = ""


class CalledOff(Record, frozen=True, kw_only=True):
    """An operator cancelled the steps of a plan that have not begun."""

    plan: str
    operator: str = ""


class AgentStarted(Record, frozen=True, kw_only=True):
    """An agent started or announced its engine; the record's offset is its epoch.

    Attributes:
        target: The agent's target.
        incarnation: Unique name of this run of the agent.
        found: The engine's state at that time.
    """

    target: str
    incarnation: str
    found: ObservedEngine


class OrderEnded(Record, frozen=True, kw_only=True):
    """The outcome of an order, reported by the target's agent.

    Attributes:
        target: The target.
        order: The order's number.
        epoch: The agent's epoch.
        done: Whether the order took effect.
        found: The engine's state after the order.
        reason: Why the order had no effect, empty if it took effect.
    """

    target: str
    order: int
    epoch: int
    done: bool
    found: ObservedEngine
    reason: str = ""


class RoleActed(Record, frozen=True, kw_only=True):
    """The coordinator changes a role within a confirmed standing intent.

    Attributes:
        holder: The coordinator.
        fence: The coordinator's fencing token.
        target: The target whose role changes.
        role: The new role.
        at: Wall-clock time at the coordinator, seconds since the Unix epoch.
    """

    holder: str
    fence: int
    target: str
    role: Role
    at: float


class Checkpoint(Record, frozen=True, kw_only=True):
    """The replicated state, recorded so that older records may be trimmed.

    Attributes:
        covers: Offset of the last record that the state includes.
        state: The encoded state.
    """

    covers: int
    state: bytes


AnyRecord = (
    Published
    | Takeover
    | Renewal
    | Planned
    | Confirmed
    | CalledOff
    | AgentStarted
    | OrderEnded
    | RoleActed
    | Checkpoint
)

_decode = make_msgpack_decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record for the log."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> AnyRecord | None:
    """Decode a record, or return None for bytes that are not a valid record.

    A record that cannot be decoded must not stop the replicated state machine, so every
    process skips it in the same way.
    """
    try:
        return _decode(data)
    except BadDocumentError:
        return None
