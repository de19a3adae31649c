"""Plans: made from an intent, validated when confirmed and before each step."""

from robinspindle.core.records import (
    AnyIntent,
    Drain,
    Planned,
    RoleActed,
    ServeModel,
    SetRoles,
    Standing,
    Step,
    Undrain,
)
from robinspindle.core.state import (
    PLAN_RUNNING,
    Envelope,
    Plan,
    State,
    Target,
    read_configuration,
)
from robinspindle.exceptions import Finding, IntentError

ROLE_CHANGE_S = 4.0
"""Expected time for which a role change takes a target out of service, seconds."""

MODEL_LOAD_S = 8.0
"""Expected time for which loading a model takes a target out of service, seconds."""

ROLES = ("prefill", "decode", "mixed")


def make_plan(state: State, intent: AnyIntent, id: str, operator: str) -> Planned:
    """Make a plan for an intent from the current replicated state.

    Args:
        state: The replicated state.
        intent: What the operator wants.
        id: Id of the new plan.
        operator: The operator that requests the plan.

    Returns:
        The record to append. The plan has no effect before it is confirmed.

    Raises:
        IntentError: If the intent names a model or target that is not configured, or
            cannot be satisfied.
    """
    texts = list(_find_problems(state, intent))
    if texts:
        raise IntentError([Finding("intent", "", "", 0, text) for text in texts])
    steps = tuple(_make_steps(state, intent))
    return Planned(
        id=id, intent=intent, base=state.offset, steps=steps, operator=operator
    )


def find_refusal(state: State, plan: Plan) -> str:
    """Return why a plan may not be confirmed now, or an empty string if it may."""
    problems = list(_find_problems(state, plan.intent))
    if problems:
        return problems[0]
    for step in plan.steps:
        target = state.targets.get(step.target)
        if target is None:
            return f"target {step.target} is no longer configured"
        if target.touched > plan.base:
            return f"target {step.target} was changed by another plan since"
        if target.order is not None or _is_planned(state, step.target, plan.id):
            return f"target {step.target} is in a plan that is still running"
    if not plan.steps and list(_make_steps(state, plan.intent)):
        return "the targets have changed since the plan was made"
    return find_shortage(state, plan)


def find_shortage(state: State, plan: Plan) -> str:
    """Return which pool would fall below its minimum number of targets.

    The check includes the remaining steps of all running plans. Otherwise a plan could
    be confirmed whose steps then wait forever.

    Returns:
        The reason to refuse the plan, or an empty string.
    """
    steps = [
        step
        for other in _list_running_plans(state)
        for step in _list_remaining_steps(other)
    ]
    # An issued order is still executed after its plan was called off.
    steps += [t.order.step for t in state.targets.values() if t.order is not None]
    steps += plan.steps
    left = {name: t for name, t in state.targets.items() if not t.drained}
    for step in steps:
        target = state.targets.get(step.target)
        if target is not None and _removes_target(step, target):
            left.pop(step.target, None)
    for step in steps:
        target = state.targets.get(step.target)
        if target is None or target.drained or step.action == "undrain":
            continue
        shortage = _find_pool_shortage(state, left, target)
        if shortage:
            return shortage
    return ""


def _list_running_plans(state: State) -> list[Plan]:
    return [plan for plan in state.plans.values() if plan.status == PLAN_RUNNING]


def _list_remaining_steps(plan: Plan) -> tuple[Step, ...]:
    return plan.steps[plan.step :]


def _removes_target(step: Step, target: Target) -> bool:
    """Whether a step permanently removes its target from the target's pool."""
    if step.action == "drain":
        return True
    return step.action == "load" and step.model != target.pool


def find_step_obstacle(state: State, step: Step) -> str:
    """Return why a step may not begin now, or an empty string if it may."""
    if step.action == "undrain":
        return ""
    pool = state.targets[step.target].pool
    for other in state.targets.values():
        if other.pool == pool and other.name != step.target and other.is_leaving:
            return f"{other.name} is already out of service"
    target = state.targets[step.target]
    if not target.serving:
        return ""
    left = {name: t for name, t in state.targets.items() if t.serving}
    return _find_pool_shortage(state, left, target)


def allows_role_change(
    state: State,
    envelope: Envelope,
    change_times: tuple[float, ...],
    target: Target,
    record: RoleActed,
) -> bool:
    """Whether an automatic role change is within the bounds of its standing intent.

    Args:
        state: The replicated state.
        envelope: The standing intent in effect for the target's model.
        change_times: Times of the automatic changes in the last hour.
        target: The target whose role changes.
        record: The requested change.
    """
    intent = envelope.intent
    if target.order is not None or target.drained or target.role == record.role:
        return False
    if len(change_times) >= intent.changes_per_hour:
        return False
    if change_times and record.at - change_times[-1] < intent.cooldown_s:
        return False
    if _is_planned(state, target.name, ""):
        return False
    step = Step(target=target.name, action="role", role=record.role)
    if find_step_obstacle(state, step):
        return False
    pool = [other for other in state.targets.values() if other.pool == target.pool]
    roles = [record.role if t.name == target.name else t.role for t in pool]
    if not intent.least_prefill <= roles.count("prefill") <= intent.most_prefill:
        return False
    return can_serve(roles)


def can_serve(roles: list[str]) -> bool:
    """Whether targets in these roles can run both prefill and decode of a request."""
    return "mixed" in roles or ("prefill" in roles and "decode" in roles)


def _is_planned(state: State, target: str, except_plan: str) -> bool:
    """Whether a remaining step of a running plan changes a target.

    Args:
        state: The replicated state.
        target: The target's name.
        except_plan: Id of a plan to leave out, empty for none.
    """
    return any(
        step.target == target
        for plan in _list_running_plans(state)
        if plan.id != except_plan
        for step in _list_remaining_steps(plan)
    )


def _find_pool_shortage(state: State, left: dict[str, Target], leaving: Target) -> str:
    """Return why a pool has too few targets without ``leaving``, or an empty string.

    Args:
        state: The replicated state.
        left: The targets that remain in service, by name.
        leaving: The target that is out of service meanwhile.
    """
    configuration = read_configuration(state)
    pool = leaving.pool
    others = sum(1 for t in left.values() if t.pool == pool and t.name != leaving.name)
    least = configuration.find_least_serving(pool) if configuration else 0
    if others < least:
        return f"{pool} would be left with {others} targets; it needs {least}"
    return ""


def _find_problems(state: State, intent: AnyIntent):
    configuration = read_configuration(state)
    if configuration is None:
        yield "no configuration is in force yet"
        return
    model = getattr(intent, "model", None)
    if model is not None and model not in configuration.models:
        yield f"no model {model} is configured"
    names = getattr(intent, "targets", ())
    if len(set(names)) < len(names):
        yield "a target is named twice"
    for name in names:
        if name not in state.targets:
            yield f"no target {name} is configured"
        elif isinstance(intent, ServeModel) and configuration.targets[name].service:
            yield f"target {name} is a plain service and loads no model"
    if isinstance(intent, SetRoles):
        yield from _find_role_problems(state, intent)
    if isinstance(intent, Standing) and intent.least_prefill > intent.most_prefill:
        yield "least_prefill is greater than most_prefill"


def _find_role_problems(state: State, intent: SetRoles):
    wanted = intent.prefill + intent.decode + intent.mixed
    pool = [t for t in state.targets.values() if t.pool == intent.model]
    if min(intent.prefill, intent.decode, intent.mixed) < 0:
        yield "a role cannot have fewer than 0 targets"
    if wanted != len(pool):
        yield f"the roles add up to {wanted}; {intent.model} has {len(pool)} targets"
    roles = [role for role in ROLES if getattr(intent, role) > 0]
    if not can_serve(roles):
        yield "no request could be served: needs mixed, or prefill and decode"


def _make_steps(state: State, intent: AnyIntent):
    if isinstance(intent, SetRoles):
        yield from _make_role_steps(state, intent)
    elif isinstance(intent, ServeModel):
        for name in intent.targets:
            if not _already_serves(state.targets[name], intent):
                yield Step(
                    target=name,
                    action="load",
                    model=intent.model,
                    adapters=intent.adapters,
                    version=intent.version,
                    lost_s=MODEL_LOAD_S,
                )
    elif isinstance(intent, Drain):
        for name in intent.targets:
            if not state.targets[name].drained:
                yield Step(target=name, action="drain")
    elif isinstance(intent, Undrain):
        for name in intent.targets:
            if state.targets[name].drained:
                yield Step(target=name, action="undrain")


def _already_serves(target: Target, intent: ServeModel) -> bool:
    wanted = (intent.model, intent.adapters, intent.version or target.version)
    return wanted == (target.pool, target.adapters, target.version)


def _make_role_steps(state: State, intent: SetRoles):
    """Make the fewest role changes: a target whose role is still wanted keeps it."""
    wanted = {role: getattr(intent, role) for role in ROLES}
    movable = []
    for target in sorted(state.targets.values(), key=lambda target: target.name):
        if target.pool != intent.model:
            continue
        if wanted[target.role] > 0:
            wanted[target.role] -= 1
        else:
            movable.append(target)
    missing = [role for role in ROLES for _ in range(wanted[role])]
    for target, role in zip(movable, missing, strict=False):
        yield Step(target=target.name, action="role", role=role, lost_s=ROLE_CHANGE_S)
