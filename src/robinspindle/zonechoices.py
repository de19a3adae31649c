"""What a gateway keeps to decide when requests leave its availability zone."""

import copy
import math
import random
from collections import defaultdict
from dataclasses import replace

from robinspindle.core.forwarding import Prompt
from robinspindle.core.plainplacement import (
    HomeLoad,
    PlainChoice,
    PlainView,
    choose_plain_target,
)
from robinspindle.core.policy import Policy
from robinspindle.core.requestplans import PlanningContext, RequestPlan
from robinspindle.core.targets import Target
from robinspindle.core.zonecosts import (
    CONSTANT_COSTS,
    CrossingCosts,
    find_crossing_costs,
)
from robinspindle.core.zoneplacement import (
    UNHEARD_AGE_S,
    ZoneView,
    choose_plan_by_zone,
    list_zones_left,
)
from robinspindle.core.zoneshares import ZoneShare
from robinspindle.passages import Means, Passage
from robinspindle.peers import Peers

AGES_INTERVAL_S = 0.1
"""How long the ages of zones are used before they are found again, seconds."""

LONGEST_WAY = 3
"""Intervals between digests that news of another zone takes at the most: from a gateway
to its relay, to another relay, and to its group."""

COUNT_INTERVAL_S = 0.1
"""How long a count of the zone's engines is used, seconds."""

ENGINES_MEMORY_S = 30.0
"""How long engines that are lost count for the size of their zone, seconds: longer than
a crash or a restart, so that zones go on being weighed meanwhile."""

UNWEIGHED = "unweighed"
"""Why a request left its zone where zones aren't weighed."""


class ZoneChoices:
    """The shares of each service, and how old the state of other zones is."""

    def __init__(self, means: Means, rng: random.Random):
        self._means = means
        self._rng = rng
        self._shares: dict[str, ZoneShare] = defaultdict(ZoneShare)
        self._loads: dict[str, HomeLoad] = defaultdict(HomeLoad)
        self._ages_s: dict[str, float] = {}
        self._found_at: float | None = None
        self._engines = 0
        self._engines_at = -math.inf
        self._counted_at = -math.inf

    def fork(self, means: Means, rng: random.Random) -> "ZoneChoices":
        """Make a copy whose choices change nothing here."""
        forked = ZoneChoices(means, rng)
        forked._shares = copy.deepcopy(self._shares)
        forked._loads = copy.deepcopy(self._loads)
        forked._ages_s, forked._found_at = self._ages_s, self._found_at
        forked._engines, forked._engines_at = self._engines, self._engines_at
        forked._counted_at = self._counted_at
        return forked

    def weighs(self, now: float) -> bool:
        """Tell whether zones are weighed: one with too few engines weighs nothing."""
        if not self._means.policy().weighs_zones:
            return False
        return self._count_engines(now) >= self._means.zone_terms().least_engines

    def find_policy(self, now: float) -> Policy:
        """Find the policy in force."""
        policy = self._means.policy()
        if policy.weighs_zones == self.weighs(now):
            return policy
        return replace(policy, weighs_zones=False)

    def _count_engines(self, now: float) -> int:
        """Count the engines of the own zone, the most of the last seconds."""
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._counted_at = now
            count = self._means.fleet.count_zone_engines(self._means.zone)
            if count >= self._engines or now - self._engines_at > ENGINES_MEMORY_S:
                self._engines, self._engines_at = count, now
        return self._engines

    def find_crossing(self, passage: Passage, now: float) -> CrossingCosts:
        """Find what another zone costs the parts of a request."""
        means, service = self._means, passage.service
        prompt = passage.request.prompt
        if prompt is None or not self.weighs(now):
            return CONSTANT_COSTS
        spec = means.fleet.find_engine_spec(service)
        return find_crossing_costs(
            means.zone_terms(),
            passage.request.size,
            prompt,
            spec.event_tokens,
            spec.token_transfer_s,
            spec.token_bytes,
        )

    def choose_plan(
        self,
        passage: Passage,
        pairs: list,
        prompt: Prompt,
        at: PlanningContext,
    ) -> RequestPlan | None:
        """Choose a plan of a request within the zone, or among all if leaving pays."""
        view = ZoneView(
            terms=self._means.zone_terms(),
            share=self._shares[passage.service],
            ages_s=self._find_ages_s(at.now),
            timeout_s=passage.first_due - at.now,
            rng=self._rng,
        )
        return choose_plan_by_zone(pairs, prompt, at, view)

    def choose_plain(
        self, service: str, targets: list[Target], now: float
    ) -> PlainChoice:
        """Choose the target of a request to a plain service."""
        means = self._means
        view = PlainView(
            zone=means.zone,
            gateways=_count_in_zone(means.peers),
            terms=means.zone_terms(),
            share=self._shares[service],
            load=self._loads[service],
            rng=self._rng,
        )
        return choose_plain_target(targets, now, view)

    def name_leaving(self, plan: RequestPlan) -> RequestPlan:
        """Name why a plan leaves the zone, where nothing has weighed it."""
        if plan.leaving or not list_zones_left(plan, self._means.zone):
            return plan
        return replace(plan, leaving=UNWEIGHED)

    def _find_ages_s(self, now: float) -> dict[str, float]:
        """Find how old the state of each other zone is, seconds."""
        if self._found_at is None or now - self._found_at >= AGES_INTERVAL_S:
            self._found_at = now
            self._ages_s = find_zone_ages(self._means.peers, now)
        return self._ages_s


def find_zone_ages(peers: Peers, now: float) -> dict[str, float]:
    """Find the age of what is known of each other zone, at the most UNHEARD_AGE_S.

    A relay tells of its group: what is known of a zone is as old as what its relays
    told last, and the way from its gateways.
    """
    usual_s = min(UNHEARD_AGE_S, LONGEST_WAY * peers.interval_s)
    heard_at = _find_heard_times(peers)
    ages_s: dict[str, float] = {}
    for name, member in peers.members.items():
        age_s = max(usual_s, now - heard_at.get(name, -math.inf))
        least_s = ages_s.get(member.zone, UNHEARD_AGE_S)
        ages_s[member.zone] = min(least_s, age_s)
    return ages_s


def _find_heard_times(peers: Peers) -> dict[str, float]:
    """Find when news of each gateway came last, from itself or from its relay."""
    heard_at: dict[str, float] = {}
    for name, view in peers.views.items():
        for told in (name, *view.members):
            heard_at[told] = max(view.heard_at, heard_at.get(told, -math.inf))
    return heard_at


def _count_in_zone(peers: Peers) -> int:
    """Count the gateways of the own zone."""
    own = peers.own.zone
    return 1 + sum(member.zone == own for member in peers.members.values())
