"""Orders at a target's agent: after the drain, one at a time, each with its number."""

from dataclasses import dataclass

from robinspindle.core.effects import AppendRecord, Effect, GiveOrder
from robinspindle.core.records import AgentStarted, ObservedEngine, OrderEnded, Step
from robinspindle.core.state import Target

RESEND_S = 2.0
ORDER_RETRY_S = 1.0


@dataclass
class Executor:
    """What an agent is doing about orders.

    Attributes:
        target: The target's name.
        incarnation: Name of this run of the agent.
        found: The engine as last asked, None before the first answer.
        busy: Whether the engine was in the middle of a change then.
        boot: Name of the engine's run, as last asked.
        announced: Boots of the engine that were announced in the log.
        active_order: Number of the order that the engine is carrying out, -1 for none.
        ended: The outcome that is waiting to be seen in the log.
        sent_at: When a record was last appended.
        retry_at: When the engine may be tried again.
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
    """Decide the next thing to do about orders.

    Args:
        executor: What the agent is doing; brought up to date.
        target: The folded state of the target.
        now: The present time, monotonic seconds.
        is_idle: Whether nothing runs or waits at the target.
    """
    if target is None or executor.found is None:
        return []
    if target.incarnation != executor.incarnation:
        return _announce(executor, now)
    if executor.announced is None:
        executor.announced = executor.boot
    if _has_crashed(executor, target):
        return _announce(executor, now)
    if _was_superseded(executor, target):
        executor.ended = None
    if executor.ended is not None:
        return _append(executor, now, executor.ended)
    order = target.order
    if order is None or executor.active_order >= 0 or executor.busy or not is_idle:
        return []
    if now < executor.retry_at:
        return []
    if _is_settled(order.step, executor.found, target):
        return end_order(executor, target, order.number, now, "")
    executor.active_order = order.number
    return [GiveOrder(order.number, max(order.number, target.epoch), order.step)]


def end_order(
    executor: Executor, target: Target, number: int, now: float, reason: str
) -> list[Effect]:
    """Report how an order ended; an empty reason means that it took effect."""
    executor.active_order = -1
    executor.ended = OrderEnded(
        id=f"ended/{executor.incarnation}/{number}",
        target=executor.target,
        order=number,
        epoch=target.epoch,
        done=not reason,
        found=executor.found or ObservedEngine(),
        reason=reason,
    )
    return _append(executor, now, executor.ended)


def postpone_order(executor: Executor, now: float) -> None:
    """Try the order again later: whether it took effect is not known."""
    executor.active_order = -1
    executor.found = None
    executor.retry_at = now + ORDER_RETRY_S


def _announce(executor: Executor, now: float) -> list[Effect]:
    record = AgentStarted(
        id=f"started/{executor.incarnation}/{executor.boot}",
        target=executor.target,
        incarnation=executor.incarnation,
        found=executor.found,
    )
    return _append(executor, now, record)


def _has_crashed(executor: Executor, target: Target) -> bool:
    """Whether the engine came up anew as something else than the log says."""
    if executor.boot == executor.announced or target.order is not None:
        return False
    found = executor.found
    known = (target.role, target.pool, target.adapters, target.version)
    if not found.model or known == (
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
    ended = executor.ended
    if ended is None:
        return False
    return target.order is None or target.order.number != ended.order


def _is_settled(step: Step, found: ObservedEngine, target: Target) -> bool:
    """Whether the engine already is what the order asks for."""
    if step.action in ("drain", "undrain"):
        return True
    if step.action == "role":
        return found.role == step.role
    return (
        found.model == step.model
        and set(step.adapters) <= set(found.adapters)
        and (not step.version or found.version == step.version)
    )
