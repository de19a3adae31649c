"""Placement: offers a request to the target that the routing policy chooses."""

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

MAX_OFFERS = 4
"""Most refused offers of one request."""


def list_peers(entry: Dispatcher) -> list[str]:
    """List the targets that this entry exchanges messages with."""
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

    These are the agents of its peers and of all targets with its active requests. A
    configuration may drop one of these, or a target that it adds may replace one in the
    entry's subset of peers, but the answers in progress still have to arrive.
    """
    if entry.configuration is None:
        return {}
    targets = entry.configuration.targets
    known = entry.former_addresses | {name: t.agent for name, t in targets.items()}
    needed = sorted({*list_peers(entry), *entry.busy_targets})
    return {name: known[name] for name in needed if name in known}


def place(entry: Dispatcher, active: ActiveRequest, now: float) -> list[Effect]:
    """Offer a request to the best target that has not refused it yet.

    A refused offer costs one round trip and no work at the target, so it doesn't use
    the retry budget. The number of refused offers is limited instead. Refusals of
    stopping targets are not counted among these, so the attempts are limited too.
    """
    candidates = _list_untried(entry, active, now)
    if not candidates:
        return refuse(entry, active, _make_placement_refusal(entry, active))
    candidate, work = _choose_stage(entry, active, candidates)
    active.attempts += 1
    active.target = candidate.target
    active.run = active.work.request
    active.attempt = active.attempts
    active.incarnation = candidate.report.incarnation
    active.status = PLACING
    active.status_since = now
    active.last_event_at = now
    active.is_started = False
    entry.active_by_target[candidate.target].add(active.work.request)
    return [Send(candidate.target, _make_offer(active, work, now))]


def can_move(entry: Dispatcher, active: ActiveRequest, now: float) -> bool:
    """Whether a request could be offered to another target than its present one."""
    untried = _list_untried(entry, active, now)
    return any(candidate.target != active.target for candidate in untried)


def _list_untried(
    entry: Dispatcher, active: ActiveRequest, now: float
) -> list[routing.Candidate]:
    """List the targets that a request may still be offered to."""
    used_offers = max(active.refused_offers, active.attempts - retries.MAX_ATTEMPTS)
    if used_offers >= MAX_OFFERS:
        return []
    return [
        candidate
        for candidate in _list_candidates(entry, active.work, now)
        if candidate.target not in active.refusals
    ]


def _make_offer(active: ActiveRequest, work: Work, now: float) -> Offer:
    left_s = max(0.0, active.deadline - now)
    first_left_s = max(0.0, active.first_token_deadline - now)
    has_first_token = bool(active.buffer.texts)
    return Offer(
        work=work,
        attempt=active.attempt,
        left_s=left_s,
        first_left_s=left_s if has_first_token else first_left_s,
    )


def _choose_stage(
    entry: Dispatcher, active: ActiveRequest, candidates: list[routing.Candidate]
) -> tuple[routing.Candidate, Work]:
    """Choose a target and a stage.

    A long prompt goes to a prefill target first and then to a decode target.
    """
    work = active.work
    if active.decode_target:
        chosen = [
            candidate
            for candidate in candidates
            if candidate.target == active.decode_target
        ]
        active.decode_target = ""
        if chosen:
            return chosen[0], msgspec.structs.replace(work, stage="decode")
    roles = {
        candidate.target: entry.state.targets[candidate.target].role
        for candidate in candidates
    }
    answering_candidates = [
        candidate for candidate in candidates if roles[candidate.target] != "prefill"
    ] or candidates
    prefill_candidates = [
        candidate for candidate in candidates if roles[candidate.target] == "prefill"
    ]
    decode_candidates = [
        candidate for candidate in candidates if roles[candidate.target] == "decode"
    ]
    if (
        not prefill_candidates
        or not decode_candidates
        or not _is_long_prompt(entry, work, answering_candidates)
    ):
        return entry.choose_target(answering_candidates, work, entry.rng), work
    decode_work = msgspec.structs.replace(work, stage="decode")
    decode_candidate = entry.choose_target(decode_candidates, decode_work, entry.rng)
    active.decode_target = decode_candidate.target
    address = entry.configuration.targets[decode_candidate.target].address
    # Prefill has no side effects, so it may be repeated.
    prefill_work = msgspec.structs.replace(
        work, stage="prefill", export_to=address, repeatable=True, key=""
    )
    return entry.choose_target(
        prefill_candidates, prefill_work, entry.rng
    ), prefill_work


def _is_long_prompt(
    entry: Dispatcher, work: Work, candidates: list[routing.Candidate]
) -> bool:
    if work.kind != "generate" or work.resumed:
        return False
    is_cached = any(
        work.prefix in candidate.prefixes for candidate in candidates if work.prefix
    )
    token_prefill_s = min(candidate.report.prefill_s for candidate in candidates)
    return (
        not is_cached
        and work.prompt_tokens * token_prefill_s > entry.configuration.policy.split_s
    )


def _list_candidates(
    entry: Dispatcher, work: Work, now: float
) -> list[routing.Candidate]:
    configuration = entry.configuration
    candidates = []
    for name in list_peers(entry):
        target = entry.state.targets[name]
        if target.pool != work.pool or not target.serving:
            continue
        if work.adapter and work.adapter not in target.adapters:
            continue
        evidence = entry.evidence.get(name)
        timeout_s = configuration.policy.leaving_after_s
        if evidence and membership.may_get_work(evidence, now, timeout_s):
            candidates.append(_make_candidate(entry, configuration, name, evidence))
    return candidates


def _make_candidate(
    entry: Dispatcher,
    configuration: Configuration,
    name: str,
    evidence: membership.Evidence,
) -> routing.Candidate:
    entry.active_by_target.setdefault(name, set())
    is_same_zone = configuration.targets[name].zone == entry.zone
    return routing.Candidate(
        target=name,
        report=evidence.report,
        prefixes=evidence.prefixes,
        pending_prefill_s=_sum_pending_prefill(entry, name, evidence.report.prefill_s),
        in_flight=len(entry.active_by_target[name]),
        is_same_zone=is_same_zone,
        zone_delay_s=0.0 if is_same_zone else configuration.policy.zone_delay_s,
    )


def _sum_pending_prefill(entry: Dispatcher, target: str, prefill_s: float) -> float:
    """Sum the prefill time of own long prompts at a target without a first token."""
    pending_s = 0.0
    for request in entry.active_by_target[target]:
        active = entry.active_requests.get(request)
        if active is None or active.buffer.texts:
            continue
        seconds = active.work.prompt_tokens * prefill_s
        if routing.is_long_prefill(seconds):
            pending_s += seconds
    return pending_s


def _make_placement_refusal(entry: Dispatcher, active: ActiveRequest) -> Refusal:
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
