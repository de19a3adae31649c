"""Plans: made from an intent, judged at the confirmation and before each step."""

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
MODEL_LOAD_S = 8.0
ROLES = ("prefill", "decode", "mixed")


def make_plan(state: State, intent: AnyIntent, id: str, operator: str) -> Planned:
    """Make a plan for an intent from the state as folded so far.

    Args:
        state: The folded state.
        intent: What the operator wants.
        id: Id of the new plan.
        operator: Who asks.

    Returns:
        The record to append; nothing happens before its confirmation.

    Raises:
        IntentError: If the intent names what does not exist or can't be met.
    """
    texts = list(_find_faults(state, intent))
    if texts:
        raise IntentError([Finding("intent", "", "", 0, text) for text in texts])
    steps = tuple(_make_steps(state, intent))
    return Planned(
        id=id, intent=intent, base=state.offset, steps=steps, operator=operator
    )


def find_refusal(state: State, plan: Plan) -> str:
    """Say why a plan may not be confirmed now, or return an empty string."""
    faults = list(_find_faults(state, plan.intent))
    if faults:
        return faults[0]
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
    """Say which pool would fall below its least number of targets.

    The plan is judged together with all that running plans have yet to do: else a
    plan could be confirmed whose steps then wait for ever.
    """
    steps = [step for other in _list_running(state) for step in _list_open(other)]
    # An order in force goes on though its plan was called off.
    steps += [t.order.step for t in state.targets.values() if t.order is not None]
    steps += plan.steps
    left = {name: t for name, t in state.targets.items() if not t.drained}
    for step in steps:
        target = state.targets.get(step.target)
        if target is not None and _takes_away(step, target):
            left.pop(step.target, None)
    for step in steps:
        target = state.targets.get(step.target)
        if target is None or target.drained or step.action == "undrain":
            continue
        shortage = _find_pool_shortage(state, left, target)
        if shortage:
            return shortage
    return ""


def _list_running(state: State) -> list[Plan]:
    return [plan for plan in state.plans.values() if plan.status == PLAN_RUNNING]


def _list_open(plan: Plan) -> tuple[Step, ...]:
    return plan.steps[plan.step :]


def _takes_away(step: Step, target: Target) -> bool:
    """Whether a step leaves its target's pool with one target less for good."""
    if step.action == "drain":
        return True
    return step.action == "load" and step.model != target.pool


def find_step_obstacle(state: State, step: Step) -> str:
    """Say why a step may not begin now, or return an empty string."""
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
    acts: tuple[float, ...],
    target: Target,
    record: RoleActed,
) -> bool:
    """Whether an automatic role change stays inside its standing intent."""
    intent = envelope.intent
    if target.order is not None or target.drained or target.role == record.role:
        return False
    if len(acts) >= intent.changes_per_hour:
        return False
    if acts and record.at - acts[-1] < intent.cooldown_s:
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
    """Whether targets in these roles can serve a request from prompt to answer."""
    return "mixed" in roles or ("prefill" in roles and "decode" in roles)


def _is_planned(state: State, target: str, but: str) -> bool:
    return any(
        step.target == target
        for plan in _list_running(state)
        if plan.id != but
        for step in _list_open(plan)
    )


def _find_pool_shortage(state: State, left: dict[str, Target], leaving: Target) -> str:
    """Say whether a pool has too few targets while one of them is away."""
    configuration = read_configuration(state)
    pool = leaving.pool
    others = sum(1 for t in left.values() if t.pool == pool and t.name != leaving.name)
    least = configuration.find_least_serving(pool) if configuration else 0
    if others < least:
        return f"{pool} would be left with {others} targets; it needs {least}"
    return ""


def _find_faults(state: State, intent: AnyIntent):
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
        yield from _find_role_faults(state, intent)
    if isinstance(intent, Standing) and intent.least_prefill > intent.most_prefill:
        yield "least_prefill is greater than most_prefill"


def _find_role_faults(state: State, intent: SetRoles):
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
    """Keep every target whose role is still wanted; change the fewest."""
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
