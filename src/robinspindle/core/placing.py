"""Placing: offer a request to the target that the routing policy chooses."""

import msgspec

from robinspindle.core import membership, retries, routing, subsets
from robinspindle.core.documents import Configuration
from robinspindle.core.effects import Effect, Refusal, Send
from robinspindle.core.flights import (
    COME_BACK_S,
    PLACING,
    Dispatcher,
    Flight,
    give_up,
    tell_ran,
)
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
    busy = {flight.target for flight in entry.flights.values()}
    targets = entry.configuration.targets
    return {
        name: targets[name].agent
        for name in sorted({*list_peers(entry), *busy})
        if name in targets
    }


def place(entry: Dispatcher, flight: Flight, now: float) -> list[Effect]:
    """Offer a request to the best target that has not refused it yet.

    A refusal costs one round trip and no work, so it does not count against the
    retry budget, but the number of offers is bounded.
    """
    views = [
        view
        for view in _list_views(entry, flight.work, now)
        if view.target not in flight.refused
    ]
    spent = max(flight.offers, flight.tries - retries.MOST_ATTEMPTS)
    if not views or spent >= MOST_OFFERS:
        return give_up(entry, flight, _explain_no_place(entry, flight))
    view, work = _choose_stage(entry, flight, views)
    flight.tries += 1
    flight.target = view.target
    flight.run = flight.work.request
    flight.attempt = flight.tries
    flight.incarnation = view.report.incarnation
    flight.status = PLACING
    flight.since = now
    flight.event_at = now
    flight.is_started = False
    entry.sent[view.target].add(flight.work.request)
    return [Send(view.target, _make_offer(flight, work, now))]


def _make_offer(flight: Flight, work: Work, now: float) -> Offer:
    left_s = max(0.0, flight.due - now)
    first_left_s = max(0.0, flight.first_due - now)
    has_begun = bool(flight.buffer.texts)
    return Offer(
        work=work,
        attempt=flight.attempt,
        left_s=left_s,
        first_left_s=left_s if has_begun else first_left_s,
    )


def _choose_stage(
    entry: Dispatcher, flight: Flight, views: list[routing.View]
) -> tuple[routing.View, Work]:
    """Choose a target, and let a prefill target read a long prompt first."""
    work = flight.work
    if flight.decode_target:
        chosen = [view for view in views if view.target == flight.decode_target]
        flight.decode_target = ""
        if chosen:
            return chosen[0], msgspec.structs.replace(work, stage="decode")
    roles = {view.target: entry.state.targets[view.target].role for view in views}
    whole = [view for view in views if roles[view.target] != "prefill"] or views
    readers = [view for view in views if roles[view.target] == "prefill"]
    decoders = [view for view in views if roles[view.target] == "decode"]
    if not readers or not decoders or not _is_long(entry, work, whole):
        return entry.choose(whole, work, entry.rng), work
    decoding = msgspec.structs.replace(work, stage="decode")
    decoder = entry.choose(decoders, decoding, entry.rng)
    flight.decode_target = decoder.target
    address = entry.configuration.targets[decoder.target].address
    # Reading a prompt has no effect that a second time could double.
    reading = msgspec.structs.replace(
        work, stage="prefill", export_to=address, repeatable=True, key=""
    )
    return entry.choose(readers, reading, entry.rng), reading


def _is_long(entry: Dispatcher, work: Work, views: list[routing.View]) -> bool:
    if work.kind != "generate" or work.resumed:
        return False
    reused = any(work.prefix in view.prefixes for view in views if work.prefix)
    pace = min(view.report.prefill_s for view in views)
    return not reused and work.prompt_tokens * pace > entry.configuration.policy.split_s


def _list_views(entry: Dispatcher, work: Work, now: float) -> list[routing.View]:
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
) -> routing.View:
    entry.sent.setdefault(name, set())
    near = configuration.targets[name].zone == entry.zone
    return routing.View(
        target=name,
        report=evidence.report,
        prefixes=evidence.prefixes,
        unread_s=_sum_unread(entry, name, evidence.report.prefill_s),
        in_flight=len(entry.sent[name]),
        near=near,
        zone_delay_s=0.0 if near else configuration.policy.zone_delay_s,
    )


def _sum_unread(entry: Dispatcher, target: str, prefill_s: float) -> float:
    """Add up own long prompts at a target whose first token has not come."""
    unread = 0.0
    for request in entry.sent[target]:
        flight = entry.flights.get(request)
        if flight is None or flight.buffer.texts:
            continue
        seconds = flight.work.prompt_tokens * prefill_s
        if routing.is_long(seconds):
            unread += seconds
    return unread


def _explain_no_place(entry: Dispatcher, flight: Flight) -> Refusal:
    ran = tell_ran(flight)
    if flight.refused:
        retry_s = min(flight.refused.values()) or COME_BACK_S
        text = "no target can answer in the promised time"
        return Refusal(429, "overloaded", text, ran, retry_s)
    pools = {target.pool for target in entry.state.targets.values()}
    if flight.work.pool not in pools:
        text = f"no target serves {flight.work.pool}"
        return Refusal(503, "not_served", text, ran, COME_BACK_S)
    text = f"no target of {flight.work.pool} takes new work at present"
    return Refusal(503, "unavailable", text, ran, COME_BACK_S)
