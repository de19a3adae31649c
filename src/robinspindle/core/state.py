"""The replicated state: what every process knows after applying the same records."""

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
        holder: The process that holds the lease, empty for none.
        fence: Offset of the takeover that granted it, used as the fencing token.
        renewed: Offset of the last renewal or takeover.
    """

    holder: str = ""
    fence: int = -1
    renewed: int = -1


@dataclass(frozen=True)
class Order:
    """An order that was issued to one target and has not ended.

    Attributes:
        number: Offset of the record that issued the order, used as its fencing token.
        plan: Id of the plan that it belongs to, empty for an automatic role change.
        step: The step to execute.
    """

    number: int
    plan: str
    step: Step


@dataclass(frozen=True)
class Target:
    """The state of one target according to the log.

    Attributes:
        name: The target's name.
        pool: Name of the model or service that it serves.
        role: The engine's role.
        adapters: Adapters that the engine has loaded.
        version: Version of the model, empty for the engine's default.
        drained: Whether a plan took the target out of service.
        touched: Offset of the last confirmed change to the target.
        epoch: Offset of the last start of its agent, -1 before the first.
        incarnation: Unique name of that run of the agent.
        order: The order that was issued and has not ended, None if there is none.
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
        """Whether the target may take new requests according to the log."""
        return not self.drained and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether an issued order takes the target out of service."""
        return self.order is not None and self.order.step.action != "undrain"


@dataclass(frozen=True)
class Plan:
    """A plan and its progress.

    Attributes:
        id: The plan's id.
        intent: What the operator wants.
        base: Offset of the state that the plan was made from.
        steps: The plan's steps, executed in this order.
        operator: The operator that requested the plan.
        status: One of the ``PLAN_`` constants.
        reason: Why the plan was refused, failed or was called off.
        step: Index of the step that is being executed or comes next.
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
    """A standing intent in effect and the automatic role changes made under it.

    Attributes:
        intent: The bounds for automatic role changes.
        plan: Id of the confirmed plan that put the intent into effect.
        acts: Times of the automatic role changes in the last hour, seconds since the
            Unix epoch.
    """

    intent: Standing
    plan: str
    acts: tuple[float, ...] = ()


@dataclass(frozen=True)
class State:
    """The replicated state of the deployment.

    Attributes:
        offset: Offset of the last record applied, -1 for none.
        text: The configuration document in effect.
        version: Offset of that document's record, -1 for none.
        rejected: Findings of the last document, empty if it was accepted.
        lease: The coordinator lease.
        targets: Targets by name.
        plans: Plans by id, oldest first.
        envelopes: Standing intents in effect, by model.
        recent: Offsets of recent records by record id, oldest first, to detect
            duplicates.
        checkpoint: Offset of the last record that the newest checkpoint covers, -1
            for none.
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
    """Return the configuration in effect, or None before the first one.

    The parsed configuration of the last document is cached, because callers need it
    often. Another thread may replace it at any moment.
    """
    if state.version < 0:
        return None
    parsed = _CACHE.get(state.text)
    if parsed is None:
        parsed = parse_configuration(state.text)
        _CACHE.clear()
        _CACHE[state.text] = parsed
    return parsed
