"""The replicated state machine: ``apply(state, offset, record) -> state``.

``apply`` alone decides which records of the control stream are valid. It is pure and
reads no clock, so all processes that read the same records reach the same state
without exchanging messages. An invalid record changes nothing but the offset.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from robinspindle.core import plans
from robinspindle.core.documents import Configuration, parse_configuration
from robinspindle.core.records import (
    AgentStarted,
    AnyRecord,
    CalledOff,
    Checkpoint,
    Confirmed,
    ObservedEngine,
    OrderEnded,
    Planned,
    Published,
    Renewal,
    RoleActed,
    Standing,
    Step,
    Takeover,
    decode_record,
)
from robinspindle.core.state import (
    FINAL_STATUSES,
    PLAN_CALLED_OFF,
    PLAN_DONE,
    PLAN_FAILED,
    PLAN_OPEN,
    PLAN_REFUSED,
    PLAN_RUNNING,
    Envelope,
    Lease,
    Order,
    Plan,
    State,
    Target,
    decode_state,
)
from robinspindle.exceptions import InvalidDocumentError, LogIncompleteError

MAX_RECENT_IDS = 2048
MAX_PLANS = 128
HOUR_S = 3600.0


def apply(state: State, offset: int, record: AnyRecord | None) -> State:
    """Apply one record to the replicated state.

    Args:
        state: The state before the record.
        offset: The record's offset.
        record: The record, or None for bytes that cannot be decoded.

    Returns:
        The state after the record. A record at or before ``state.offset`` changes
        nothing.
    """
    if offset <= state.offset:
        return state
    if record is None or record.id in state.recent:
        return replace(state, offset=offset)
    state = replace(
        state, offset=offset, recent=_add_recent_id(state, record.id, offset)
    )
    state = _HANDLERS[type(record)](state, offset, record)
    return _advance_plans(state, offset)


def restore_state(records: Iterable[tuple[int, bytes]], first: int) -> State:
    """Build the state of a starting process from the records that the log retains.

    Args:
        records: Offsets and bytes of all retained records, in offset order.
        first: The first retained offset.

    Returns:
        The state at the end of the log.

    Raises:
        LogIncompleteError: If records were trimmed that no retained checkpoint covers.
    """
    decoded = [(offset, decode_record(data)) for offset, data in records]
    state = _find_start(decoded, first)
    for offset, record in decoded:
        state = apply(state, offset, record)
    return state


def _find_start(decoded: list[tuple[int, AnyRecord | None]], first: int) -> State:
    """Return the state to start from.

    It is empty if no record was trimmed, else that of the oldest usable checkpoint.

    Raises:
        LogIncompleteError: If records were trimmed that no retained checkpoint covers.
    """
    if first == 0:
        return State()
    usable = [
        record
        for _, record in decoded
        if isinstance(record, Checkpoint) and record.covers >= first - 1
    ]
    if not usable:
        raise LogIncompleteError(
            f"records before offset {first} were trimmed and no retained checkpoint "
            "covers them"
        )
    return decode_state(min(usable, key=lambda record: record.covers).state)


def _add_recent_id(state: State, id: str, offset: int) -> dict[str, int]:
    recent = {**state.recent, id: offset}
    while len(recent) > MAX_RECENT_IDS:
        del recent[next(iter(recent))]
    return recent


def _apply_published(state: State, offset: int, record: Published) -> State:
    try:
        configuration = parse_configuration(record.text)
    except InvalidDocumentError as error:
        findings = tuple(str(finding) for finding in error.findings)
        return replace(state, rejected=findings)
    return replace(
        state,
        text=record.text,
        version=offset,
        rejected=(),
        targets=_merge_targets(state, configuration),
        envelopes={
            model: envelope
            for model, envelope in state.envelopes.items()
            if model in configuration.models
        },
    )


def _merge_targets(state: State, configuration: Configuration) -> dict[str, Target]:
    """Build the targets of a new configuration.

    A target keeps its previous state if it is an engine whose current model is still
    configured, or a plain service whose previous pool is no configured model. Otherwise
    it starts with the values of its section.
    """
    merged = {}
    for name, section in configuration.targets.items():
        previous = state.targets.get(name)
        if previous and bool(section.model) == (previous.pool in configuration.models):
            merged[name] = previous
        else:
            merged[name] = Target(name, section.serves, section.role)
    return merged


def _apply_takeover(state: State, offset: int, record: Takeover) -> State:
    if record.after != state.lease.renewed:
        return state
    return replace(state, lease=Lease(record.holder, offset, offset))


def _apply_renewal(state: State, offset: int, record: Renewal) -> State:
    lease = state.lease
    if record.holder != lease.holder or record.fence != lease.fence:
        return state
    return replace(state, lease=replace(lease, renewed=offset))


def _apply_planned(state: State, offset: int, record: Planned) -> State:
    if record.base > offset:
        return state
    plan = Plan(record.id, record.intent, record.base, record.steps, record.operator)
    return _drop_oldest_plan(state.with_plan(plan))


def _drop_oldest_plan(state: State) -> State:
    if len(state.plans) <= MAX_PLANS:
        return state
    not_running = [
        plan.id for plan in state.plans.values() if plan.status != PLAN_RUNNING
    ]
    oldest = not_running[0]
    kept = {id: plan for id, plan in state.plans.items() if id != oldest}
    return replace(state, plans=kept)


def _apply_confirmed(state: State, offset: int, record: Confirmed) -> State:
    plan = state.plans.get(record.plan)
    if plan is None or plan.status != PLAN_OPEN:
        return state
    refusal = plans.find_refusal(state, plan)
    if refusal:
        return state.with_plan(replace(plan, status=PLAN_REFUSED, reason=refusal))
    if isinstance(plan.intent, Standing):
        return _activate_standing_intent(state, plan)
    for step in plan.steps:
        touched = replace(state.targets[step.target], touched=offset)
        state = state.with_target(touched)
    status = PLAN_RUNNING if plan.steps else PLAN_DONE
    return state.with_plan(replace(plan, status=status))


def _activate_standing_intent(state: State, plan: Plan) -> State:
    intent = plan.intent
    envelopes = {**state.envelopes}
    envelopes.pop(intent.model, None)
    if intent.most_prefill > 0:
        envelopes[intent.model] = Envelope(intent, plan.id)
    state = state.with_plan(replace(plan, status=PLAN_DONE))
    return replace(state, envelopes=envelopes)


def _apply_called_off(state: State, offset: int, record: CalledOff) -> State:
    plan = state.plans.get(record.plan)
    if plan is None or plan.status in FINAL_STATUSES:
        return state
    reason = f"called off by {record.operator}" if record.operator else ""
    return state.with_plan(replace(plan, status=PLAN_CALLED_OFF, reason=reason))


def _apply_agent_started(state: State, offset: int, record: AgentStarted) -> State:
    target = state.targets.get(record.target)
    if target is None:
        return state
    started = replace(target, epoch=offset, incarnation=record.incarnation)
    return state.with_target(_update_from_engine(started, record.found))


def _update_from_engine(target: Target, found: ObservedEngine) -> Target:
    if not found.model:
        return target
    return replace(
        target,
        pool=found.model,
        role=found.role,
        adapters=found.adapters,
        version=found.version,
    )


def _apply_order_ended(state: State, offset: int, record: OrderEnded) -> State:
    target = state.targets.get(record.target)
    if target is None or target.order is None:
        return state
    if record.order != target.order.number or record.epoch != target.epoch:
        return state
    order = target.order
    target = _update_from_engine(replace(target, order=None), record.found)
    if record.done and order.step.action in ("drain", "undrain"):
        target = replace(target, drained=order.step.action == "drain")
    state = state.with_target(target)
    plan = state.plans.get(order.plan)
    if plan is None:
        return state
    return state.with_plan(_finish_step(plan, record))


def _finish_step(plan: Plan, record: OrderEnded) -> Plan:
    plan = replace(plan, step=plan.step + 1)
    if plan.status != PLAN_RUNNING:
        return plan
    if not record.done:
        return replace(plan, status=PLAN_FAILED, reason=record.reason)
    if plan.step >= len(plan.steps):
        return replace(plan, status=PLAN_DONE)
    return plan


def _apply_role_acted(state: State, offset: int, record: RoleActed) -> State:
    lease = state.lease
    if record.holder != lease.holder or record.fence != lease.fence:
        return state
    target = state.targets.get(record.target)
    envelope = state.envelopes.get(target.pool) if target else None
    if envelope is None:
        return state
    change_times = tuple(at for at in envelope.acts if at > record.at - HOUR_S)
    if not plans.allows_role_change(state, envelope, change_times, target, record):
        return state
    step = Step(target=target.name, action="role", role=record.role)
    state = state.with_target(
        replace(target, order=Order(offset, "", step), touched=offset)
    )
    envelope = replace(envelope, acts=(*change_times, record.at))
    return replace(state, envelopes={**state.envelopes, target.pool: envelope})


def _apply_checkpoint(state: State, offset: int, record: Checkpoint) -> State:
    return replace(state, checkpoint=max(state.checkpoint, record.covers))


def _advance_plans(state: State, offset: int) -> State:
    """Issue the next order of each running plan whose step may begin now."""
    for plan in state.plans.values():
        if plan.status != PLAN_RUNNING:
            continue
        step = plan.steps[plan.step]
        target = state.targets.get(step.target)
        if target is None:
            reason = f"target {step.target} is no longer configured"
            failed = replace(plan, status=PLAN_FAILED, reason=reason)
            state = state.with_plan(failed)
        elif target.order is None and not plans.find_step_obstacle(state, step):
            order = Order(offset, plan.id, step)
            state = state.with_target(replace(target, order=order))
    return state


_HANDLERS: dict[type, Callable[[State, int, AnyRecord], State]] = {
    Published: _apply_published,
    Takeover: _apply_takeover,
    Renewal: _apply_renewal,
    Planned: _apply_planned,
    Confirmed: _apply_confirmed,
    CalledOff: _apply_called_off,
    AgentStarted: _apply_agent_started,
    OrderEnded: _apply_order_ended,
    RoleActed: _apply_role_acted,
    Checkpoint: _apply_checkpoint,
}
