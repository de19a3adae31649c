"""Records of the control stream: everything that must be agreed or kept.

Each record carries an id of its own, so that an append whose answer was lost can
be sent again: the fold drops repeats. Codec: msgspec, MessagePack.
"""

from typing import Literal

import msgspec

Role = Literal["mixed", "prefill", "decode"]
Action = Literal["drain", "undrain", "role", "load"]


class Record(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Root of all records.

    Attributes:
        id: Unique id of the record, chosen by the writer.
    """

    id: str


class Intent(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Root of all intents: what an operator wants to be true."""


class SetRoles(Intent, frozen=True, kw_only=True):
    """Have so many targets of a model in each role.

    Attributes:
        model: The model whose targets are meant.
        prefill: Targets that only read prompts.
        decode: Targets that only generate.
        mixed: Targets that do both.
    """

    model: str
    prefill: int = 0
    decode: int = 0
    mixed: int = 0


class ServeModel(Intent, frozen=True, kw_only=True):
    """Have named targets serve a model with these adapters and version."""

    model: str
    targets: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    version: str = ""


class Drain(Intent, frozen=True, kw_only=True):
    """Take named targets out of service, each after its last request."""

    targets: tuple[str, ...]


class Undrain(Intent, frozen=True, kw_only=True):
    """Put drained targets back into service."""

    targets: tuple[str, ...]


class Standing(Intent, frozen=True, kw_only=True):
    """Let the policy change roles of a model inside an envelope.

    Attributes:
        model: The model whose targets may change role.
        least_prefill: Fewest targets in the prefill role.
        most_prefill: Most targets in the prefill role; 0 ends the standing intent.
        changes_per_hour: Most automatic changes in any hour.
        cooldown_s: Seconds between two automatic changes.
        gain: Least gain in served work, as a share, that pays for one change.
    """

    model: str
    least_prefill: int = 0
    most_prefill: int = 0
    changes_per_hour: int = 6
    cooldown_s: float = 60.0
    gain: float = 0.1


AnyIntent = SetRoles | ServeModel | Drain | Undrain | Standing


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One order of a plan.

    Attributes:
        target: The target it goes to.
        action: What the target's agent is to do.
        role: The role to take, for the action ``role``.
        model: The model to load, for the action ``load``.
        adapters: Adapters to load with it.
        version: Version to load, empty for the current one.
        lost_s: Expected seconds for which the target's capacity is lost.
    """

    target: str
    action: Action
    role: Role = "mixed"
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    lost_s: float = 0.0


class ObservedEngine(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent found its engine to be, asked after a start or an order."""

    role: Role = "mixed"
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""


class Published(Record, frozen=True, kw_only=True):
    """An operator published a configuration document (INI text)."""

    text: str
    operator: str = ""


class Takeover(Record, frozen=True, kw_only=True):
    """A process asks for the coordinator lease.

    Attributes:
        holder: The process that asks.
        after: Offset of the last renewal that it saw, -1 for none.
    """

    holder: str
    after: int


class Renewal(Record, frozen=True, kw_only=True):
    """The holder keeps the lease.

    Attributes:
        holder: The process that holds it.
        fence: The fencing number it was given.
    """

    holder: str
    fence: int


class Planned(Record, frozen=True, kw_only=True):
    """A plan made for an intent; nothing happens until it is confirmed.

    Attributes:
        intent: What the operator wants.
        base: Offset of the state that the plan was made from.
        steps: Orders, in their order.
        operator: Who asked.
    """

    intent: AnyIntent
    base: int
    steps: tuple[Step, ...]
    operator: str = ""


class Confirmed(Record, frozen=True, kw_only=True):
    """An operator confirmed a plan, named by its record id."""

    plan: str
    operator: str = ""


class CalledOff(Record, frozen=True, kw_only=True):
    """An operator called off the steps of a plan that have not begun."""

    plan: str
    operator: str = ""


class AgentStarted(Record, frozen=True, kw_only=True):
    """An agent took charge of its target; the record's offset is its epoch.

    Attributes:
        target: The target.
        incarnation: Unique name of this run of the agent.
        found: The engine's state as the agent found it.
    """

    target: str
    incarnation: str
    found: ObservedEngine


class OrderEnded(Record, frozen=True, kw_only=True):
    """An agent carried out an order, or could not.

    Attributes:
        target: The target.
        order: The order's number.
        epoch: The agent's epoch.
        done: Whether it took effect.
        found: The engine's state afterwards.
        reason: Why not, when it did not.
    """

    target: str
    order: int
    epoch: int
    done: bool
    found: ObservedEngine
    reason: str = ""


class RoleActed(Record, frozen=True, kw_only=True):
    """The coordinator changes a role inside a confirmed standing intent.

    Attributes:
        holder: The coordinator.
        fence: Its fencing number.
        target: The target whose role changes.
        role: The new role.
        at: Wall-clock time at the coordinator, seconds since the epoch.
    """

    holder: str
    fence: int
    target: str
    role: Role
    at: float


class Checkpoint(Record, frozen=True, kw_only=True):
    """The folded state, so that older records may be trimmed.

    Attributes:
        covers: Offset of the last record the state includes.
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

_DECODER = msgspec.msgpack.Decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record for the log."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> AnyRecord | None:
    """Decode a record, or return None for bytes that are none.

    A record that cannot be read must not stop the fold: every process skips it
    alike.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
