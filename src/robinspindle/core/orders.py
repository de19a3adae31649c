"""Execution of orders at a target's agent.

The agent sends orders to the engine one at a time, each with its fencing token, after
the target's last request has ended.
"""

from dataclasses import dataclass

from robinspindle.core.effects import AppendRecord, Effect, GiveOrder
from robinspindle.core.records import AgentStarted, ObservedEngine, OrderEnded, Step
from robinspindle.core.state import Target

RESEND_S = 2.0
"""Time after which a record is appended again if the log doesn't have it, seconds."""

ORDER_RETRY_S = 1.0
"""Time before an order of unknown outcome is tried again, seconds."""


@dataclass
class Executor:
    """The state of an agent's order execution.

    Attributes:
        target: The target's name.
        incarnation: Unique name of this run of the agent.
        found: The engine's state at the last query, None before the first answer.
        busy: Whether the engine was executing a change at that time.
        boot: Unique name of the engine's run at the last query.
        announced: The run of the engine whose state the log has, None before the
            agent's own start is in the log.
        active_order: Number of the order that the engine is executing, -1 for none.
        ended: The outcome that was appended and is not in the log yet, None for none.
        sent_at: When a record was last appended, monotonic seconds.
        retry_at: When an order may be sent to the engine again, monotonic seconds.
    """

    target: str
    incarnation: str
    found: ObservedEngine | None = None
    busy: bool = False
    boot: str = ""
    announced: str | None = None
    active_order: int = -1
    ended: OrderEnded | None = None
    sent_at: float = -RESEND_S
    retry_at: float = 0.0


def decide_orders(
    executor: Executor, target: Target | None, now: float, is_idle: bool
) -> list[Effect]:
    """Decide the next effects of order execution.

    Args:
        executor: The agent's order execution; updated.
        target: The replicated state of the target, None if it is not configured.
        now: The current time, monotonic seconds.
        is_idle: Whether no request runs or waits at the target.

    Returns:
        A record to append or an order to send to the engine, or nothing.
    """
    if target is None or executor.found is None:
        return []
    if target.incarnation != executor.incarnation:
        return _announce_engine(executor, now)
    if executor.announced is None:
        executor.announced = executor.boot
    if _has_changed_by_restart(executor, target):
        return _announce_engine(executor, now)
    if _was_superseded(executor, target):
        executor.ended = None
    if executor.ended is not None:
        return _append(executor, now, executor.ended)
    order = target.order
    if order is None or executor.active_order >= 0 or executor.busy or not is_idle:
        return []
    if now < executor.retry_at:
        return []
    if _has_effect(order.step, executor.found, target):
        return end_order(executor, target, order.number, now, "")
    executor.active_order = order.number
    return [GiveOrder(order.number, max(order.number, target.epoch), order.step)]


def end_order(
    executor: Executor, target: Target, number: int, now: float, reason: str
) -> list[Effect]:
    """Report the outcome of an order in the log.

    Args:
        executor: The agent's order execution; updated.
        target: The replicated state of the target.
        number: The order's number.
        now: The current time, monotonic seconds.
        reason: Why the order had no effect, empty if it took effect.

    Returns:
        The record to append, or nothing if a record was appended less than `RESEND_S`
        ago.
    """
    executor.active_order = -1
    executor.ended = OrderEnded(
        id=f"ended/{executor.incarnation}/{target.epoch}/{number}",
        target=executor.target,
        order=number,
        epoch=target.epoch,
        done=not reason,
        found=executor.found or ObservedEngine(),
        reason=reason,
    )
    return _append(executor, now, executor.ended)


def postpone_order(executor: Executor, now: float) -> None:
    """Query the engine and retry the order later, because its outcome is unknown."""
    executor.active_order = -1
    executor.found = None
    executor.retry_at = now + ORDER_RETRY_S


def _announce_engine(executor: Executor, now: float) -> list[Effect]:
    record = AgentStarted(
        id=f"started/{executor.incarnation}/{executor.boot}",
        target=executor.target,
        incarnation=executor.incarnation,
        found=executor.found,
    )
    return _append(executor, now, record)


def _has_changed_by_restart(executor: Executor, target: Target) -> bool:
    """Whether the engine restarted in a state that differs from the replicated state.

    A restart in the same state needs no record and only updates `announced`.
    """
    if executor.boot == executor.announced or target.order is not None:
        return False
    found = executor.found
    logged = (target.role, target.pool, target.adapters, target.version)
    if not found.model or logged == (
        found.role,
        found.model,
        found.adapters,
        found.version,
    ):
        executor.announced = executor.boot
        return False
    return True


def _append(executor: Executor, now: float, record) -> list[Effect]:
    if now - executor.sent_at < RESEND_S and executor.sent_at > 0:
        return []
    executor.sent_at = now
    return [AppendRecord(record)]


def _was_superseded(executor: Executor, target: Target) -> bool:
    """Whether the outcome that was appended is void.

    The target no longer has the order, or the log has a later start of the engine.
    """
    ended = executor.ended
    if ended is None:
        return False
    if target.order is None or target.order.number != ended.order:
        return True
    return target.epoch != ended.epoch


def _has_effect(step: Step, found: ObservedEngine, target: Target) -> bool:
    """Whether the engine already has the state that the order asks for."""
    if step.action in ("drain", "undrain"):
        return True
    if step.action == "role":
        return found.role == step.role
    return (
        found.model == step.model
        and set(step.adapters) <= set(found.adapters)
        and (not step.version or found.version == step.version)
    )
