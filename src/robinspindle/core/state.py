"""The folded state: what every process knows after reading the same records."""

from dataclasses import dataclass, field, replace

import msgspec

from robinspindle.core.documents import Configuration, parse_configuration
from robinspindle.core.records import AnyIntent, Role, Standing, Step

PLAN_OPEN = "open"
PLAN_RUNNING = "running"
PLAN_DONE = "done"
PLAN_FAILED = "failed"
PLAN_REFUSED = "refused"
PLAN_CALLED_OFF = "called off"
FINAL_STATUSES = (PLAN_DONE, PLAN_FAILED, PLAN_REFUSED, PLAN_CALLED_OFF)


@dataclass(frozen=True)
class Lease:
    """The coordinator lease.

    Attributes:
        holder: The process that holds it, empty for none.
        fence: Offset of the takeover that gave it, the fencing number.
        renewed: Offset of the last renewal or takeover.
    """

    holder: str = ""
    fence: int = -1
    renewed: int = -1


@dataclass(frozen=True)
class Order:
    """An order in force for one target.

    Attributes:
        number: Offset of the record that put it in force, its fencing number.
        plan: The plan it belongs to, empty for an automatic change.
        step: What to do.
    """

    number: int
    plan: str
    step: Step


@dataclass(frozen=True)
class Target:
    """What the log says of one target.

    Attributes:
        name: The target's name.
        pool: The model or service that it serves.
        role: An engine's role.
        adapters: Adapters that an engine has loaded.
        version: Version of the model, empty for the engine's own.
        drained: Whether a plan took it out of service.
        touched: Offset of the last confirmed change of it.
        epoch: Offset of its agent's start, -1 before the first.
        incarnation: Name of that run of the agent.
        order: The order in force, if any.
    """

    name: str
    pool: str
    role: Role = "mixed"
    adapters: tuple[str, ...] = ()
    version: str = ""
    drained: bool = False
    touched: int = -1
    epoch: int = -1
    incarnation: str = ""
    order: Order | None = None

    @property
    def serving(self) -> bool:
        """Whether the log lets it take new work."""
        return not self.drained and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether an order in force takes it out of service."""
        return self.order is not None and self.order.step.action != "undrain"


@dataclass(frozen=True)
class Plan:
    """A plan and how far it has come.

    Attributes:
        id: The plan's id.
        intent: What the operator wants.
        base: Offset of the state it was made from.
        steps: Its orders.
        operator: Who asked for it.
        status: One of the ``PLAN_`` constants.
        reason: Why it was refused or failed.
        step: Index of the next step, or of the one in force.
    """

    id: str
    intent: AnyIntent
    base: int
    steps: tuple[Step, ...]
    operator: str
    status: str = PLAN_OPEN
    reason: str = ""
    step: int = 0


@dataclass(frozen=True)
class Envelope:
    """A confirmed standing intent and what was done under it.

    Attributes:
        intent: The bounds.
        plan: The plan that confirmed it.
        acts: Times of the automatic changes in the last hour.
    """

    intent: Standing
    plan: str
    acts: tuple[float, ...] = ()


@dataclass(frozen=True)
class State:
    """Everything that is agreed.

    Attributes:
        offset: Offset of the last record folded, -1 for none.
        text: The configuration document in force.
        version: Its offset, -1 for none.
        rejected: Findings of the last document that was not accepted.
        lease: The coordinator lease.
        targets: Targets by name.
        plans: Plans by id, oldest first.
        envelopes: Standing intents by model.
        recent: Ids of recent records, oldest first, to drop repeats.
        checkpoint: What the last checkpoint record covers.
    """

    offset: int = -1
    text: str = ""
    version: int = -1
    rejected: tuple[str, ...] = ()
    lease: Lease = field(default_factory=Lease)
    targets: dict[str, Target] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    envelopes: dict[str, Envelope] = field(default_factory=dict)
    recent: dict[str, int] = field(default_factory=dict)
    checkpoint: int = -1

    def with_target(self, target: Target) -> "State":
        """Return a copy with one target replaced."""
        return replace(self, targets={**self.targets, target.name: target})

    def with_plan(self, plan: Plan) -> "State":
        """Return a copy with one plan replaced."""
        return replace(self, plans={**self.plans, plan.id: plan})


def encode_state(state: State) -> bytes:
    """Encode a state for a checkpoint."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> State:
    """Decode a checkpoint's state."""
    return msgspec.msgpack.decode(data, type=State)


_CACHE: dict[str, Configuration] = {}


def read_configuration(state: State) -> Configuration | None:
    """Return the configuration in force, or None before the first.

    The parsed document is kept for the last text, since it is asked for often.
    """
    if state.version < 0:
        return None
    if state.text not in _CACHE:
        parsed = parse_configuration(state.text)
        _CACHE.clear()
        _CACHE[state.text] = parsed
    return _CACHE[state.text]
