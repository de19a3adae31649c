"""Placing: offer a request to the target that the routing policy chooses."""

import msgspec

from robinspindle.core import membership, retries, routing, subsets
from robinspindle.core.activerequests import (
    PLACING,
    RETRY_AFTER_S,
    ActiveRequest,
    Dispatcher,
    get_run_status,
    refuse,
)
from robinspindle.core.documents import Configuration
from robinspindle.core.effects import Effect, Refusal, Send
from robinspindle.messages import Offer, Work

MOST_OFFERS = 4


def list_peers(entry: Dispatcher) -> list[str]:
    """Name the targets that this entry speaks to."""
    configuration = entry.configuration
    if configuration is None:
        return []
    pools: dict[str, list[str]] = {}
    for target in entry.state.targets.values():
        pools.setdefault(target.pool, []).append(target.name)
    size = configuration.fleet.subset
    return [
        name
        for names in pools.values()
        for name in subsets.choose_subset(entry.name, names, size)
    ]


def find_addresses(entry: Dispatcher) -> dict[str, str]:
    """Find the addresses of all agents that an entry needs a connection to.

    Those are its peers, and the targets at which requests of it are under way: a target
    that is added may take the place of one of them among its peers, and the answer
    still has to come.
    """
    busy = {active.target for active in entry.active_requests.values()}
    targets = entry.configuration.targets
    return {
        name: targets[name].agent
        for name in sorted({*list_peers(entry), *busy})
        if name in targets
    }


def place(entry: Dispatcher, active: ActiveRequest, now: float) -> list[Effect]:
    """Offer a request to the best target that has not refused it yet.

    A refusal costs one round trip and no work, so it does not count against the
    retry budget, but the number of offers is bounded.
    """
    views = [
        view
        for view in _list_views(entry, active.work, now)
        if view.target not in active.refusals
    ]
    spent = max(active.refused_offers, active.attempts - retries.MAX_ATTEMPTS)
    if not views or spent >= MOST_OFFERS:
        return refuse(entry, active, _explain_no_place(entry, active))
    view, work = _choose_stage(entry, active, views)
    active.attempts += 1
    active.target = view.target
    active.run = active.work.request
    active.attempt = active.attempts
    active.incarnation = view.report.incarnation
    active.status = PLACING
    active.status_since = now
    active.last_event_at = now
    active.is_started = False
    entry.active_by_target[view.target].add(active.work.request)
    return [Send(view.target, _make_offer(active, work, now))]


def _make_offer(active: ActiveRequest, work: Work, now: float) -> Offer:
    left_s = max(0.0, active.deadline - now)
    first_left_s = max(0.0, active.first_token_deadline - now)
    has_begun = bool(active.buffer.texts)
    return Offer(
        work=work,
        attempt=active.attempt,
        left_s=left_s,
        first_left_s=left_s if has_begun else first_left_s,
    )


def _choose_stage(
    entry: Dispatcher, active: ActiveRequest, views: list[routing.Candidate]
) -> tuple[routing.Candidate, Work]:
    """Choose a target, and let a prefill target read a long prompt first."""
    work = active.work
    if active.decode_target:
        chosen = [view for view in views if view.target == active.decode_target]
        active.decode_target = ""
        if chosen:
            return chosen[0], msgspec.structs.replace(work, stage="decode")
    roles = {view.target: entry.state.targets[view.target].role for view in views}
    whole = [view for view in views if roles[view.target] != "prefill"] or views
    readers = [view for view in views if roles[view.target] == "prefill"]
    decoders = [view for view in views if roles[view.target] == "decode"]
    if not readers or not decoders or not _is_long(entry, work, whole):
        return entry.choose_target(whole, work, entry.rng), work
    decoding = msgspec.structs.replace(work, stage="decode")
    decoder = entry.choose_target(decoders, decoding, entry.rng)
    active.decode_target = decoder.target
    address = entry.configuration.targets[decoder.target].address
    # Reading a prompt has no effect that a second time could double.
    reading = msgspec.structs.replace(
        work, stage="prefill", export_to=address, repeatable=True, key=""
    )
    return entry.choose_target(readers, reading, entry.rng), reading


def _is_long(entry: Dispatcher, work: Work, views: list[routing.Candidate]) -> bool:
    if work.kind != "generate" or work.resumed:
        return False
    reused = any(work.prefix in view.prefixes for view in views if work.prefix)
    pace = min(view.report.prefill_s for view in views)
    return not reused and work.prompt_tokens * pace > entry.configuration.policy.split_s


def _list_views(entry: Dispatcher, work: Work, now: float) -> list[routing.Candidate]:
    configuration = entry.configuration
    views = []
    for name in list_peers(entry):
        target = entry.state.targets[name]
        if target.pool != work.pool or not target.serving:
            continue
        if work.adapter and work.adapter not in target.adapters:
            continue
        evidence = entry.evidence.get(name)
        silence_s = configuration.policy.leaving_after_s
        if evidence and membership.may_get_work(evidence, now, silence_s):
            views.append(_make_view(entry, configuration, name, evidence))
    return views


def _make_view(
    entry: Dispatcher,
    configuration: Configuration,
    name: str,
    evidence: membership.Evidence,
) -> routing.Candidate:
    entry.active_by_target.setdefault(name, set())
    near = configuration.targets[name].zone == entry.zone
    return routing.Candidate(
        target=name,
        report=evidence.report,
        prefixes=evidence.prefixes,
        pending_prefill_s=_sum_unread(entry, name, evidence.report.prefill_s),
        in_flight=len(entry.active_by_target[name]),
        near=near,
        zone_delay_s=0.0 if near else configuration.policy.zone_delay_s,
    )


def _sum_unread(entry: Dispatcher, target: str, prefill_s: float) -> float:
    """Add up own long prompts at a target whose first token has not come."""
    unread = 0.0
    for request in entry.active_by_target[target]:
        active = entry.active_requests.get(request)
        if active is None or active.buffer.texts:
            continue
        seconds = active.work.prompt_tokens * prefill_s
        if routing.is_long_prefill(seconds):
            unread += seconds
    return unread


def _explain_no_place(entry: Dispatcher, active: ActiveRequest) -> Refusal:
    ran = get_run_status(active)
    if active.refusals:
        retry_s = min(active.refusals.values()) or RETRY_AFTER_S
        text = "no target can answer in the promised time"
        return Refusal(429, "overloaded", text, ran, retry_s)
    pools = {target.pool for target in entry.state.targets.values()}
    if active.work.pool not in pools:
        text = f"no target serves {active.work.pool}"
        return Refusal(503, "not_served", text, ran, RETRY_AFTER_S)
    text = f"no target of {active.work.pool} takes new work at present"
    return Refusal(503, "unavailable", text, ran, RETRY_AFTER_S)
