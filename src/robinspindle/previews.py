"""Tells what a gateway would do with a request now, without doing it.

The decisions run on a fork of what they change: shares, turns and random choices of the
requests that are served stay as they are.
"""

import math

from robinspindle.admitting import Admission, Admitted
from robinspindle.core import decodeplacement, forwarding, health, prefillplacement
from robinspindle.core.decoding import make_json_decoder
from robinspindle.core.engines import Engine
from robinspindle.core.forwarding import Refusal, Request
from robinspindle.core.requestplans import (
    PlanningContext,
    RequestPlan,
    estimate_host_move_cost_s,
)
from robinspindle.core.room import estimate_memory_wait_s
from robinspindle.core.selection import compute_cost
from robinspindle.core.streamversions import make_binding
from robinspindle.core.targets import Target, is_gone
from robinspindle.exceptions import BadDocumentError
from robinspindle.passages import Means, Passage
from robinspindle.peers import find_oldest_s
from robinspindle.previewreports import CandidateRow, Preview, Question
from robinspindle.replies import Reply

NOT_RUN = 503
"""Status of a refusal of what has not run."""


_decode_question = make_json_decoder(Question)


def decode_question(body: bytes) -> Question:
    """Decode and check a question.

    Raises:
        BadDocumentError: When it is none.
    """
    question = _decode_question(body)
    texts = [question.method, question.target, *sum(question.headers, ())]
    if not all(text.isascii() and text.isprintable() for text in texts):
        raise BadDocumentError("the request has characters that HTTP doesn't allow")
    if not question.method or not question.target.startswith("/"):
        raise BadDocumentError("the request needs a method, and a path from `/` on")
    return question


def preview_request(admission: Admission, question: Question, reply: Reply) -> Preview:
    """Tell what would become of a request that came now.

    Args:
        admission: What the served requests go through; not changed.
        question: The request.
        reply: An answer that has not begun.

    Raises:
        BadDocumentError: When it goes on with a stream: that goes where it began.
    """
    fork = admission.fork()
    means = fork.means
    now = means.clock()
    headers = tuple((a.encode(), b.encode()) for a, b in question.headers)
    request = means.dialect.decode_request(
        question.method, question.target.encode(), headers, now
    )
    preview = _begin_preview(means, now)
    admitted = fork.admit(request)
    if isinstance(admitted, Refusal):
        return _refuse(preview, admitted)
    passage = _begin(fork, admitted, reply)
    refusal = means.guard.peek_refusal(passage.named)
    _describe_passage(preview, passage, now)
    if refusal is not None:
        return _refuse(preview, refusal)
    fork.chooser.note_arrival(passage, now)
    return _add_plan(preview, fork, passage, now)


def _begin(fork: Admission, admitted: Admitted, reply: Reply) -> Passage:
    workspace = admitted.permit.workspace
    name = workspace.name if workspace else ""
    stream = make_binding(admitted.route, admitted.request, name)
    if stream.is_taken_up:
        raise BadDocumentError("a stream that is taken up goes where it began")
    return fork.begin(admitted, reply, stream)


def _begin_preview(means: Means, now: float) -> Preview:
    directory, table = means.fleet.directory, means.fleet.table
    newest_at = means.freshness.newest_at
    return Preview(
        gateway=means.peers.own.name,
        configuration=table.version if table else 0,
        configuration_age_ms=_to_ms(now - newest_at),
        list_age_ms=_to_ms(now - directory.read_at),
        peers_age_ms=_to_ms(find_oldest_s(means.peers, now)),
        is_store_away=directory.unavailable_since is not None,
    )


def _refuse(preview: Preview, refusal: Refusal) -> Preview:
    preview.refusal, preview.status = refusal.reason, refusal.status
    return preview


def _describe_passage(preview: Preview, passage: Passage, now: float) -> None:
    workspace = passage.permit.workspace
    preview.route, preview.service = passage.route.name, passage.service
    preview.workspace = workspace.name if workspace else ""
    preview.rank = passage.rank
    preview.left_ms = _to_ms(passage.aim_at - now)


def _add_plan(
    preview: Preview, fork: Admission, passage: Passage, now: float
) -> Preview:
    plan = fork.chooser.choose(passage, now)
    preview.candidates = _list_candidates(fork, passage, plan, now)
    if passage.given_up_at - now <= forwarding.MIN_ATTEMPT_S:
        return _refuse(preview, Refusal(NOT_RUN, passage.last_reason or "too-late"))
    if plan is None:
        return _refuse(preview, Refusal(NOT_RUN, passage.last_reason or "no-target"))
    preview.target = plan.target.announced.lifetime
    preview.reader = _name(plan.prefill_target)
    preview.cache_source = _name(plan.cache_source)
    preview.leaving = str(plan.leaving)
    if passage.request.prompt is not None:
        preview.level = plan.level
        preview.first_event_ms = _to_ms(plan.first_event_s)
    reason = fork.chooser.find_refusal(passage, plan, now)
    return _refuse(preview, Refusal(NOT_RUN, reason)) if reason else preview


def _list_candidates(
    fork: Admission, passage: Passage, plan: RequestPlan | None, now: float
) -> list[CandidateRow]:
    means, chooser = fork.means, fork.chooser
    pairs = chooser.pair_open(passage, chooser.list_usable(passage, now))
    usable = {target.announced.lifetime for target, _ in pairs}
    context = chooser.describe_situation(passage, now)
    plans = _plan_each(pairs, passage.request, context, plan)
    rows = []
    for lifetime, target in means.fleet.directory.targets.items():
        if target.announced.service != passage.service:
            continue
        row = _describe_target(means, target, lifetime in usable, now)
        engine = means.fleet.find_engine(target)
        if engine is not None:
            _add_engine(row, (target, engine), context, plans.get(lifetime))
        elif row.is_usable:
            row.cost = compute_cost(target, means.zone, now)
        rows.append(row)
    return sorted(rows, key=lambda row: (not row.is_usable, row.cost or 0.0))


def _plan_each(
    pairs: list[tuple[Target, Engine | None]],
    request: Request,
    context: PlanningContext,
    plan: RequestPlan | None,
) -> dict[str, RequestPlan]:
    """Plan a prompt at each engine, by lifetime; none for a plain service."""
    if plan is None or request.prompt is None or any(e is None for _, e in pairs):
        return {}
    plans = prefillplacement.plan_each(pairs, request.prompt, context, plan)
    return {_name(p.prefill_target or p.target): p for p in plans}


def _describe_target(
    means: Means, target: Target, is_usable: bool, now: float
) -> CandidateRow:
    announced = target.announced
    return CandidateRow(
        target=announced.lifetime,
        role=announced.role,
        zone=announced.zone,
        is_usable=is_usable,
        state=_name_state(means, target, is_usable, now),
        in_flight=target.in_flight,
        slowness=health.find_slowness(target, now),
        faults=round(target.faults, 3),
        heard_ms=_to_ms(now - target.liveness.heard_at),
    )


def _name_state(means: Means, target: Target, is_usable: bool, now: float) -> str:
    """Name what speaks against a target, in one word; empty for nothing."""
    obstacle = means.fleet.limits.find_obstacle(target, now)
    states = {
        "gone": is_gone(target, now),
        "replaced": target.replaced,
        "unreadable": target.is_unreadable,
        obstacle.reason.value if obstacle else "": obstacle is not None,
        "switching": health.is_switching(target, now),
        "backoff": now < target.backoff_until,
        "full": now < target.stated.full_until,
        "missing": target.gone_at is not None,
        # Its connections are in use, or its role, version or suspects speak against it.
        "left-out": not is_usable,
    }
    return next((name for name, holds in states.items() if holds), "")


def _add_engine(
    row: CandidateRow,
    pair: tuple[Target, Engine],
    context: PlanningContext,
    plan: RequestPlan | None,
) -> None:
    """Add what is known of a target's engine, and what the request would cost there."""
    target, engine = pair
    row.peers_in_flight = engine.others_in_flight
    row.backlog_ms = _to_ms(engine.backlog_s)
    row.slowness = round(row.slowness * engine.slowness, 3)
    row.slot_wait_ms = _to_ms(decodeplacement.estimate_slot_wait_s(pair))
    if context.tokens is not None:
        row.memory_wait_ms = _to_ms(estimate_memory_wait_s(pair, context.tokens))
    row.zone_ms = _to_ms(
        decodeplacement.estimate_zone_cost_s(target, context.zone, context.crossing)
    )
    row.crossing_ms = _to_ms(estimate_host_move_cost_s(None, target, context))
    if plan is not None:
        row.cost, row.first_event_ms = _to_ms(plan.cost_s), _to_ms(plan.first_event_s)
        row.missing_tokens = plan.uncached_tokens


def _name(target: Target | None) -> str:
    return target.announced.lifetime if target else ""


def _to_ms(seconds: float) -> float | None:
    return round(seconds * 1000, 1) if math.isfinite(seconds) else None
