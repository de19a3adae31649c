"""Decides whether a request with a prompt leaves its gateway's availability zone.

The gateway decides alone, by what it knows of all engines: it plans the request within
its zone and among all zones, and compares the two plans. All parts of a request, its
prefill, its generation and the move between them, belong to one plan.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from robinspindle.core.decodeplacement import count_requests
from robinspindle.core.estimates import Pair
from robinspindle.core.forwarding import Prompt
from robinspindle.core.prefillbacklog import sum_backlog_s
from robinspindle.core.prefillplacement import (
    DEADLINE_SHARE,
    TIMEOUT_SHARE,
    choose_plan,
    choose_plan_with,
    find_transfer,
)
from robinspindle.core.priorities import LATE_LEVEL
from robinspindle.core.requestplans import PlanningContext, RequestPlan
from robinspindle.core.targets import Target
from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.core.zoneshares import (
    Gain,
    ZoneShare,
    draws_leave,
    find_leaving_probability,
    find_room,
    note_wanted,
)


class Leaving(StrEnum):
    """Why a request leaves its zone."""

    NO_TARGET = "no-target"
    REFUSED = "refused-at-home"
    LATE = "late-at-home"
    SOONER = "sooner"


UNHEARD_AGE_S = 2.0
"""Assumed age of the state of a zone none of whose gateways is heard, seconds: what its
own callers do there can't be known, and only a small share leaves for it."""


@dataclass
class ZoneView:
    """What a decision about leaving the zone depends on, besides the engines.

    Attributes:
        terms: The operator's terms.
        share: How much of the service's requests leaves; changed by decisions.
        ages_s: Age of what is known of each other zone, seconds; zones that aren't
            named are known as well as `PlanningContext.age_s` says.
        timeout_s: Time until the caller gives up if it receives no event, seconds.
        rng: Source of random choices.
    """

    terms: ZoneTerms
    share: ZoneShare
    ages_s: Mapping[str, float]
    timeout_s: float
    rng: random.Random


def choose_plan_by_zone(
    candidates: list[Pair], prompt: Prompt, context: PlanningContext, view: ZoneView
) -> RequestPlan | None:
    """Choose a plan within the zone, or among all zones if leaving pays.

    Args:
        candidates: The engines that may get work.
        prompt: The prompt.
        context: What else the choice depends on.
        view: What the decision about leaving depends on.

    Returns:
        The plan; None if there is no decode engine.
    """
    home = [pair for pair in candidates if pair[0].announced.zone == context.zone]
    if _lacks_role(home, candidates):
        return _choose_anywhere(candidates, prompt, context)
    transfer = find_transfer(candidates, prompt, context)
    home_plan = choose_plan_with(home, prompt, context, transfer)
    taking = [pair for pair in candidates if _takes(pair, context, view.terms)]
    if home_plan is None or len(taking) == len(home):
        note_wanted(view.share, context.now, 0.0)
        return home_plan
    plan = choose_plan_with(taking, prompt, context, transfer)
    zones = list_zones_left(plan, context.zone)
    if not zones:
        note_wanted(view.share, context.now, 0.0)
        return home_plan
    gain, leaving = _compare(home_plan, plan, context, view)
    age_s = max(view.ages_s.get(zone, context.age_s) for zone in zones)
    room = find_room(plan.wait_s, context.latency_objective_s, view.terms)
    probability = find_leaving_probability(gain, age_s, room, view.terms)
    note_wanted(view.share, context.now, probability)
    if not draws_leave(view.share, probability, view.terms, view.rng):
        return home_plan
    home_first_event_s = home_plan.first_event_s
    return replace(plan, leaving=leaving, home_first_event_s=home_first_event_s)


def _lacks_role(home: list[Pair], candidates: list[Pair]) -> bool:
    """Check whether the zone has no engine in a role that other zones have.

    Roles are chosen for all zones together, so a zone of few engines may lack one.
    """
    found = {engine.prefill_only for _, engine in home}
    return any(engine.prefill_only not in found for _, engine in candidates)


def _choose_anywhere(
    candidates: list[Pair], prompt: Prompt, context: PlanningContext
) -> RequestPlan | None:
    """Choose a plan among all zones, as one at home lacks a part."""
    plan = choose_plan(candidates, prompt, context)
    if plan is None or not list_zones_left(plan, context.zone):
        return plan
    return replace(plan, leaving=Leaving.NO_TARGET)


def list_zones_left(plan: RequestPlan, zone: str) -> set[str]:
    """List the other zones in which parts of a plan run."""
    targets: list[Target | None] = [plan.target, plan.prefill_target]
    return {target.announced.zone for target in targets if target} - {zone}


def _takes(pair: Pair, context: PlanningContext, terms: ZoneTerms) -> bool:
    """Check whether an engine has room for a request, as a guest if it is elsewhere.

    The rest of its slots, and the rest of the time until the objective, are for the
    callers of its own zone.
    """
    target, engine = pair
    if target.announced.zone == context.zone:
        return True
    backlog_s = sum_backlog_s(engine, LATE_LEVEL - 1)
    share = terms.guest_load_share
    has_slots = count_requests(pair) < share * target.announced.slots
    return has_slots and backlog_s <= share * context.latency_objective_s


def _compare(
    home_plan: RequestPlan,
    plan: RequestPlan,
    context: PlanningContext,
    view: ZoneView,
) -> tuple[Gain, Leaving]:
    """Find what leaving gains after all costs, and why.

    An answer in time in place of a late one, or one in place of a refusal, gains as
    much as the caller's own objective, beside the time itself.
    """
    objective_s = context.latency_objective_s
    total_s = min(home_plan.cost_s - plan.cost_s, objective_s)
    load_s = home_plan.load_cost_s - plan.load_cost_s
    lasting_s = total_s - max(0.0, load_s)
    max_first_s = view.timeout_s * TIMEOUT_SHARE
    in_time_s = context.left_s * DEADLINE_SHARE
    if home_plan.first_event_s > max_first_s >= plan.first_event_s:
        return Gain(total_s + objective_s, lasting_s), Leaving.REFUSED
    if home_plan.first_event_s > in_time_s >= plan.first_event_s:
        return Gain(total_s + objective_s, lasting_s), Leaving.LATE
    return Gain(total_s, lasting_s), Leaving.SOONER
