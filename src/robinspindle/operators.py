"""The operators' API: intents, plans, confirmations, configuration and queries."""

import uuid
from collections.abc import Callable

import msgspec

from robinspindle.callers import find_workspace
from robinspindle.core.decoding import make_json_decoder
from robinspindle.core.documents import TargetSection, parse_configuration
from robinspindle.core.effects import Refusal
from robinspindle.core.plans import make_plan
from robinspindle.core.records import (
    AnyIntent,
    AnyRecord,
    CalledOff,
    Confirmed,
    Planned,
    Published,
)
from robinspindle.core.state import (
    PLAN_REFUSED,
    Plan,
    State,
    Target,
    read_configuration,
)
from robinspindle.core.workspaces import matches_digest
from robinspindle.entry import Entry
from robinspindle.exceptions import (
    BadDocumentError,
    IntentError,
    InvalidDocumentError,
    LogUnavailableError,
)
from robinspindle.health import answer_health
from robinspindle.logs import make_log
from robinspindle.messages import Report
from robinspindle.web import (
    Answer,
    Handler,
    HttpError,
    Request,
    answer_json,
    make_error,
)

FOLD_WAIT_S = 5.0
ADMIN = "/admin/"

log = make_log("operators")


_decode_intent = make_json_decoder(AnyIntent)


class PlanView(msgspec.Struct, kw_only=True):
    """A plan as operators see it.

    Attributes:
        id: The plan's id, with which it is confirmed.
        status: How far it has come.
        reason: Why it was refused or failed.
        operator: Who asked for it.
        intent: What is wanted.
        steps: Its orders, in order.
        step: Index of the step that is next or under way.
        lost_s: Expected seconds of lost capacity, over all steps.
        holds: Until when it may be confirmed.
        fresh: A fresh plan for the same intent, when this one was refused.
    """

    id: str
    status: str
    reason: str
    operator: str
    intent: AnyIntent
    steps: list[dict]
    step: int
    lost_s: float
    holds: str
    fresh: "PlanView | None" = None


class TargetView(msgspec.Struct, kw_only=True):
    """A target as operators see it."""

    name: str
    zone: str
    pool: str
    role: str
    state: str
    running: int
    queued: int
    wait_s: float
    step_ms: float


class StatusView(msgspec.Struct, kw_only=True):
    """The deployment as one entry sees it."""

    entry: str
    ready: bool
    log_reached: bool
    offset: int
    configuration: int
    rejected: tuple[str, ...]
    coordinator: str
    in_flight: int
    targets: list[TargetView]
    plans: list[PlanView]


def make_operators_handler(entry: Entry) -> Handler:
    """Make the handler of the operators' listener."""
    routes: dict[tuple[str, str], Callable[[Entry, Request, str], Answer]] = {
        ("GET", "status"): _show_status,
        ("GET", "burn"): _show_burn,
        ("GET", "configuration"): _show_configuration,
        ("POST", "configuration"): _publish,
        ("GET", "plans"): _show_plans,
        ("POST", "plans"): _plan,
        ("POST", "confirm"): _confirm,
        ("POST", "call-off"): _call_off,
    }

    def handle(request: Request) -> Answer:
        health = answer_health(request, entry.metrics.registry, lambda: entry.is_ready)
        if health is not None:
            return health
        if not request.path.startswith(ADMIN):
            raise make_error(404, "not_found", f"nothing is at {request.path}")
        verb, _, rest = request.path[len(ADMIN) :].partition("/")
        route = routes.get((request.method, verb))
        if route is None:
            raise make_error(404, "not_found", f"nothing is at {request.path}")
        return route(entry, request, rest)

    return handle


def _find_operator(entry: Entry, request: Request) -> str:
    """Return the operator's name.

    Before the first configuration nobody has a key yet, so the entry's own settings
    name the one that may publish it.
    """
    if entry.configuration is None:
        if not entry.stream.is_ready:
            text = "this entry has not read the log to its end yet"
            raise HttpError(Refusal(503, "starting", text, "no", 1.0))
        digest = entry.settings.bootstrap_digest
        if not digest or not matches_digest(request.bearer, digest):
            text = "no configuration is in force, and this is not the bootstrap key"
            raise make_error(401, "invalid_api_key", text)
        return "bootstrap"
    workspace = find_workspace(entry.configuration, request)
    if not workspace.operator:
        text = f"workspace {workspace.name} has no operator role"
        raise make_error(403, "not_an_operator", text)
    return workspace.name


def _append(entry: Entry, record: AnyRecord) -> None:
    """Append an operator's record and wait for its verdict."""
    try:
        folded = entry.append_and_fold(record, FOLD_WAIT_S)
    except LogUnavailableError as error:
        text = f"{error}; it may still take effect, so look before you try again"
        refusal = Refusal(503, "log_unavailable", text, "unknown", 2.0)
        raise HttpError(refusal) from None
    if not folded:
        text = "the record is in the log, and this entry has not read it yet"
        raise HttpError(Refusal(504, "not_folded", text, "unknown", 2.0))


def _plan(entry: Entry, request: Request, rest: str) -> Answer:
    operator = _find_operator(entry, request)
    try:
        intent = _decode_intent(request.body)
    except BadDocumentError as error:
        raise make_error(400, "invalid_intent", str(error)) from None
    planned = _make_plan(entry, intent, operator)
    _append(entry, planned)
    log("A plan was made.", plan=planned.id, operator=operator)
    return answer_json(_view_known(entry, planned.id), 201)


def _make_plan(entry: Entry, intent: AnyIntent, operator: str) -> Planned:
    try:
        return make_plan(entry.state, intent, f"plan-{uuid.uuid4().hex[:8]}", operator)
    except IntentError as error:
        raise make_error(422, "intent_refused", str(error)) from None


def _confirm(entry: Entry, request: Request, rest: str) -> Answer:
    operator = _find_operator(entry, request)
    _require_plan(entry, rest)
    record = Confirmed(id=f"confirm/{uuid.uuid4().hex}", plan=rest, operator=operator)
    _append(entry, record)
    view = _view_known(entry, rest)
    log("A plan was confirmed.", plan=rest, operator=operator, status=view.status)
    if view.status != PLAN_REFUSED:
        return answer_json(view)
    try:
        fresh = _make_plan(entry, view.intent, operator)
        _append(entry, fresh)
        view.fresh = _view_known(entry, fresh.id)
    except HttpError as error:
        view.reason += f"; no fresh plan: {error}"
    return answer_json(view, 409)


def _call_off(entry: Entry, request: Request, rest: str) -> Answer:
    operator = _find_operator(entry, request)
    _require_plan(entry, rest)
    record = CalledOff(id=f"call-off/{uuid.uuid4().hex}", plan=rest, operator=operator)
    _append(entry, record)
    return answer_json(_view_known(entry, rest))


def _publish(entry: Entry, request: Request, rest: str) -> Answer:
    operator = _find_operator(entry, request)
    try:
        text = request.body.decode()
        parse_configuration(text)
    except UnicodeDecodeError:
        raise make_error(400, "invalid_configuration", "not UTF-8") from None
    except InvalidDocumentError as error:
        raise make_error(422, "invalid_configuration", str(error)) from None
    record = Published(id=f"publish/{uuid.uuid4().hex}", text=text, operator=operator)
    _append(entry, record)
    log("A configuration was published.", version=entry.state.version)
    return answer_json({"version": entry.state.version})


def _show_configuration(entry: Entry, request: Request, rest: str) -> Answer:
    _find_operator(entry, request)
    state = entry.state
    return answer_json({"version": state.version, "text": state.text})


def _show_plans(entry: Entry, request: Request, rest: str) -> Answer:
    _find_operator(entry, request)
    if rest:
        _require_plan(entry, rest)
        return answer_json(_view_known(entry, rest))
    return answer_json([_view_plan(plan) for plan in entry.state.plans.values()])


def _show_burn(entry: Entry, request: Request, rest: str) -> Answer:
    _find_operator(entry, request)
    return answer_json(entry.list_burn())


def _show_status(entry: Entry, request: Request, rest: str) -> Answer:
    _find_operator(entry, request)
    state = entry.state
    running = [plan for plan in state.plans.values() if plan.status == "running"]
    status = StatusView(
        entry=entry.settings.name,
        ready=entry.is_ready,
        log_reached=entry.is_log_reached,
        offset=state.offset,
        configuration=state.version,
        rejected=state.rejected,
        coordinator=state.lease.holder,
        in_flight=len(entry.dispatcher.active_requests),
        targets=_view_targets(state, entry.reports),
        plans=[_view_plan(plan) for plan in running],
    )
    return answer_json(status)


def _require_plan(entry: Entry, id: str) -> None:
    if id not in entry.state.plans:
        raise make_error(404, "plan_not_found", f"no plan {id} is known")


def _view_known(entry: Entry, id: str) -> PlanView:
    return _view_plan(entry.state.plans[id])


def _view_plan(plan: Plan) -> PlanView:
    return PlanView(
        id=plan.id,
        status=plan.status,
        reason=plan.reason,
        operator=plan.operator,
        intent=plan.intent,
        steps=[msgspec.to_builtins(step) for step in plan.steps],
        step=plan.step,
        lost_s=sum(step.lost_s for step in plan.steps),
        holds="until another confirmed change touches one of its targets",
    )


def _view_targets(state: State, reports: dict[str, Report]) -> list[TargetView]:
    """Describe the targets of one state; the entry's own may change meanwhile."""
    configuration = read_configuration(state)
    sections = configuration.targets if configuration else {}
    return [
        _view_target(target, sections[name], reports.get(name))
        for name, target in sorted(state.targets.items())
    ]


def _view_target(
    target: Target, section: TargetSection, report: Report | None
) -> TargetView:
    return TargetView(
        name=target.name,
        zone=section.zone,
        pool=target.pool,
        role="-" if section.service else target.role,
        state=_describe_target(target, report),
        running=report.running if report else 0,
        queued=report.queued if report else 0,
        wait_s=round(report.wait_s, 3) if report else 0.0,
        step_ms=round(report.step_s * 1000, 1) if report else 0.0,
    )


def _describe_target(target: Target, report: Report | None) -> str:
    if target.order is not None:
        return f"order {target.order.step.action}"
    if target.drained:
        return "drained"
    if report is None:
        return "not heard"
    if report.stopping:
        return "stopping"
    return "serving" if report.serving else "not serving"
