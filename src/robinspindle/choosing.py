"""What becomes of a request: the choice of a plan from all that a gateway believes."""

import copy
import math
import random
from dataclasses import replace

from robinspindle.core import (
    decodeplacement,
    prefillplacement,
    retrywindows,
    sizefairness,
    streamversions,
)
from robinspindle.core.engines import Engine
from robinspindle.core.enginesampling import sample_engines
from robinspindle.core.forwarding import TOO_LARGE, Prompt, Request
from robinspindle.core.plainplacement import PlainChoice
from robinspindle.core.prefillmodel import estimate_busy_s
from robinspindle.core.prefillplacement import RequestPlan
from robinspindle.core.priorities import LATE_LEVEL, SHORT_LEVEL
from robinspindle.core.rebalancing import (
    PrefillDemand,
    compute_prefill_load,
    note_prefill_demand,
)
from robinspindle.core.room import can_ever_fit, count_tokens
from robinspindle.core.roomclaims import Use
from robinspindle.core.routes import Route
from robinspindle.core.selection import choose_target
from robinspindle.core.sizefairness import SizeFairness
from robinspindle.core.targets import PREFILL_ROLE, Directory, Target
from robinspindle.core.versioncapacity import (
    has_several_versions,
    list_open,
    should_refuse_take_up,
)
from robinspindle.passages import Means, Passage
from robinspindle.zonechoices import ZoneChoices

MOST_READS = 2
"""Times that a prompt may be read apart: once more than it should need, for a reader
that fell silent or whose answer was lost."""


class Chooser:
    """Chooses where requests go, and keeps the demand that follows from it.

    Attributes:
        demands: Seconds of readers' work that is asked for, by service.
    """

    def __init__(self, means: Means, rng: random.Random):
        self.demands: dict[str, PrefillDemand] = {}
        self._means = means
        self._rng = rng
        self._turns = SizeFairness()
        self._answer_turns = SizeFairness()
        self._zones = ZoneChoices(means, rng)

    def fork(self, means: Means, rng: random.Random) -> "Chooser":
        """Make a copy that chooses as this one would, and changes nothing here."""
        forked = Chooser(means, rng)
        forked.demands = copy.deepcopy(self.demands)
        forked._turns = copy.deepcopy(self._turns)
        forked._answer_turns = copy.deepcopy(self._answer_turns)
        forked._zones = self._zones.fork(means, rng)
        return forked

    def note_expected(self, request: Request, route: Route, service: str) -> None:
        """Take note of how long an answer a caller expects."""
        prompt = request.prompt
        if prompt is None:
            return
        expected = prompt.expected_answer_tokens or prompt.max_answer_tokens
        event_tokens = self._means.fleet.find_engine_spec(service).event_tokens
        events = expected / event_tokens
        self._means.lengths.note_expected(route.name, service, events)

    def note_arrival(self, passage: Passage, now: float) -> None:
        """Take note of a request; its length or its answer's may be due a turn."""
        prompt = passage.request.prompt
        if prompt is None:
            return
        route = passage.route.name
        for kept, tokens in self._list_turns(prompt):
            sizefairness.note_arrival(kept, now, route, tokens)
        if self._means.policy().gives_turns:
            passage.is_prompt_underserved, passage.is_answer_underserved = (
                sizefairness.is_underserved(kept, now, route, tokens)
                for kept, tokens in self._list_turns(prompt)
            )

    def note_end(self, passage: Passage, now: float, is_served: bool) -> None:
        """Take note of whether a request got its whole answer."""
        prompt = passage.request.prompt
        if prompt is None or is_served == passage.counts_as_served:
            return
        note = sizefairness.note_served if is_served else sizefairness.note_not_served
        for kept, tokens in self._list_turns(prompt):
            note(kept, now, passage.route.name, tokens)

    def _list_turns(self, prompt: Prompt) -> tuple[tuple[SizeFairness, int], ...]:
        """List whose turns a request counts for: its prompt's length, its answer's."""
        return (
            (self._turns, prompt.tokens),
            (self._answer_turns, prompt.expected_answer_tokens),
        )

    def expects_long(self, route: Route, service: str) -> bool:
        """Tell whether answers of a route are to be taken as long."""
        gathers_long = self._means.policy().gathers_long
        return gathers_long and self._means.lengths.is_long(route.name, service)

    def choose(self, passage: Passage, now: float) -> RequestPlan | None:
        """Choose a plan; None where no target may get the request."""
        usable = self.list_usable(passage, now)
        pairs = self.pair_open(passage, usable)
        prompt = passage.request.prompt
        if prompt is None or any(engine is None for _, engine in pairs):
            return self._choose_plainly(passage, pairs, now)
        if passage.reads and not self._may_read_again(passage, now):
            pairs = [pair for pair in pairs if not pair[1].prefill_only]
        at = self.describe_situation(passage, now)
        compared = sample_engines(pairs, prompt, self._means.zone, self._rng)
        plan = self._choose_plan(passage, compared, prompt, at)
        if plan is not None and self._goes_first(passage, now):
            plan = replace(plan, level=SHORT_LEVEL)
        if plan is not None and passage.plan is None and plan.uncached_tokens:
            self._note_demand(passage, plan, now)
        if plan is not None and plan.level < LATE_LEVEL and plan.has_capacity:
            self._count_as_served(passage, now)
        return plan and self._zones.name_leaving(plan)

    def _choose_plan(
        self,
        passage: Passage,
        pairs: list[tuple[Target, Engine]],
        prompt: Prompt,
        at: prefillplacement.PlanningContext,
    ) -> RequestPlan | None:
        if at.policy.weighs_zones:
            return self._zones.choose_plan(passage, pairs, prompt, at)
        return prefillplacement.choose_plan(pairs, prompt, at)

    def has_target(self, passage: Passage, now: float) -> bool:
        """Tell whether any target may get a request."""
        return bool(self.list_usable(passage, now))

    def find_refusal(self, passage: Passage, plan: RequestPlan, now: float) -> str:
        """Find why a request had better be refused than sent; empty if it hadn't."""
        if not self.can_ever_run(passage, plan):
            return TOO_LARGE.reason
        if self.should_refuse(passage, plan, now):
            return "busy"
        left_s = passage.given_up_at - now
        if self._means.link.estimate_arrival(passage.request.size) > left_s:
            return "link-full"
        return ""

    def should_refuse(self, passage: Passage, plan: RequestPlan, now: float) -> bool:
        """Tell whether a request had better be refused than sent."""
        if passage.offers or passage.reads or passage.request.prompt is None:
            return False
        if self._goes_first(passage, now):
            return should_refuse_take_up(plan, passage.first_due - now)
        serves_late = self._means.policy().serves_late
        # Who is refused at once can come back in time; who came back may not again.
        max_slot_wait_s = math.inf if passage.is_caller_retry else passage.aim_at - now
        return prefillplacement.should_refuse(
            plan, passage.first_due - now, serves_late, max_slot_wait_s
        )

    def _goes_first(self, passage: Passage, now: float) -> bool:
        """Tell whether a stream goes before new ones: it fits one version of several.

        New ones may begin at any engine, and would fill those that alone fit it.
        """
        directory = self._means.fleet.directory
        return passage.stream.is_taken_up and has_several_versions(
            directory, passage.service, now
        )

    def can_ever_run(self, passage: Passage, plan: RequestPlan) -> bool:
        """Tell whether engines like a plan's target can run a request at all.

        An engine turns what is larger than its memory away as if it were full, and
        would be left alone for a while by requests that fit.
        """
        prompt = passage.request.prompt
        engine = self._means.fleet.find_engine(plan.target)
        return prompt is None or engine is None or can_ever_fit(engine, prompt)

    def find_host(self, passage: Passage, plan: RequestPlan) -> Target | None:
        """Find where to generate the answer to a prompt that was read apart.

        Reading takes up to seconds, and the engine that was planned may have begun to
        leave or have crashed meanwhile, or have become the busiest one. Where zones
        are weighed, it stays where the KV cache is until that costs more than a move.
        """
        now = self._means.clock()
        pairs = self.pair_open(passage, self.list_usable(passage, now))
        engines = [pair for pair in pairs if pair[1] is not None]
        means = self._means
        age_s = means.peers.interval_s
        has_pause_sensitive = means.lengths.has_pause_sensitive(passage.service)
        return decodeplacement.choose_decode_target(
            engines,
            means.zone,
            now,
            age_s,
            self._rng,
            has_pause_sensitive,
            self._count_tokens(passage),
            self._zones.find_crossing(passage, now),
            plan.prefill_target.announced.zone if plan.prefill_target else "",
        )

    def _count_tokens(self, passage: Passage) -> int | None:
        """Count the memory that a request takes; None if it doesn't count."""
        prompt = passage.request.prompt
        if prompt is None or not self._means.policy().counts_memory:
            return None
        return count_tokens(prompt, Use.TAKEN)

    def pair_open(
        self, passage: Passage, usable: list[Target]
    ) -> list[tuple[Target, Engine | None]]:
        """Pair targets that may get a request with their engines, if they have any."""
        pairs = [(target, self._means.fleet.find_engine(target)) for target in usable]
        has_engines = all(engine is not None for _, engine in pairs)
        is_open = has_engines and streamversions.is_unbound(passage.stream)
        return list_open(pairs) if is_open else pairs

    def list_usable(self, passage: Passage, now: float) -> list[Target]:
        """List the targets that may get a request; those best avoided if no other."""
        avoided = self._means.guard.list_avoided(passage.named)
        if avoided:
            apart = self._list_fitting(passage, now, passage.tried | avoided)
            if apart:
                return apart
        return self._list_fitting(passage, now, passage.tried)

    def _list_fitting(
        self, passage: Passage, now: float, tried: set[str]
    ) -> list[Target]:
        """List usable targets; for a bound stream with the prefill engines of all."""
        list_usable = self._means.fleet.list_usable
        directory = self._means.fleet.directory
        if streamversions.is_unbound(passage.stream):
            if passage.route.resumable:
                tried = tried | self._list_unrecorded(directory, passage.service)
            return list_usable(passage.service, now, tried)
        barred = streamversions.list_barred(directory, passage.stream)
        fitting = list_usable(passage.service, now, tried | barred)
        if not fitting:
            return []
        generating = streamversions.list_generating(directory)
        return fitting + list_usable(passage.service, now, tried | generating)

    def _list_unrecorded(self, directory: Directory, service: str) -> set[str]:
        """List a service's lifetimes at which no stream may begin to be taken up."""
        return {
            lifetime
            for lifetime, target in directory.targets.items()
            if target.announced.service == service
            and target.announced.role != PREFILL_ROLE
            and not self._means.versions.may_begin(target.announced)
        }

    def read_rate(self, service: str) -> float:
        """Seconds of a reader's work that this gateway is asked for in a second."""
        demand = self.demands.get(service)
        return compute_prefill_load(demand, self._means.clock()) if demand else 0.0

    def list_read_rates(self) -> dict[str, float]:
        """List the same for all services that were asked for."""
        return {service: self.read_rate(service) for service in self.demands}

    def _may_read_again(self, passage: Passage, now: float) -> bool:
        """Whether a prompt may be read apart once more; that is a repeat."""
        if passage.reads >= MOST_READS:
            return False
        return retrywindows.take_retry(self._means.budget, now, passage.service)

    def _count_as_served(self, passage: Passage, now: float) -> None:
        """Count a request as served from when it is planned in time until it is lost.

        Others of its length that come before its end would get a turn each otherwise.
        What is planned late counts at its end: half of it is lost, and while it counted
        as served no prompt of its length was due a turn.
        """
        if not passage.counts_as_served:
            passage.counts_as_served = True
            for kept, tokens in self._list_turns(passage.request.prompt):
                sizefairness.note_served(kept, now, passage.route.name, tokens)

    def _note_demand(self, passage: Passage, plan: RequestPlan, now: float) -> None:
        context = passage.request.prompt.tokens - plan.uncached_tokens
        pace = self._means.fleet.paces.find(passage.service, prefill_only=True)
        seconds = estimate_busy_s(pace, plan.uncached_tokens, context)
        demand = self.demands.setdefault(passage.service, PrefillDemand())
        note_prefill_demand(demand, now, seconds)

    def _choose_plainly(
        self,
        passage: Passage,
        pairs: list[tuple[Target, Engine | None]],
        now: float,
    ) -> RequestPlan | None:
        """Choose a target without regard to any prompt."""
        plain = [
            target
            for target, engine in pairs
            if engine is None or not engine.prefill_only
        ]
        if not plain:
            return None
        chosen = self._choose_plain_target(passage, plain, now)
        plan = RequestPlan(
            target=chosen.target,
            leaving=chosen.leaving,
            prefill_target=None,
            uncached_tokens=0,
            prefill_s=0.0,
            wait_s=0.0,
            first_event_s=0.0,
            cost_s=0.0,
        )
        return self._zones.name_leaving(plan)

    def _choose_plain_target(
        self, passage: Passage, targets: list[Target], now: float
    ) -> PlainChoice:
        if self._zones.weighs(now):
            return self._zones.choose_plain(passage.service, targets, now)
        return PlainChoice(choose_target(targets, self._means.zone, now, self._rng))

    def describe_situation(
        self, passage: Passage, now: float
    ) -> prefillplacement.PlanningContext:
        """Describe what a plan depends on besides the engines."""
        at = self._describe_any(passage, now)
        has_bounds = passage.is_long and passage.request.prompt is not None
        return self._add_bounds(at, passage) if has_bounds else at

    def _add_bounds(
        self, at: prefillplacement.PlanningContext, passage: Passage
    ) -> prefillplacement.PlanningContext:
        """Add how long events of a long answer may take at its host."""
        prompt, route = passage.request.prompt, passage.route
        event_tokens = self._means.fleet.find_engine_spec(passage.service).event_tokens
        whole_s = passage.due - at.now
        mean_events = self._means.lengths.events.get(route.name, 0.0)
        return replace(
            at,
            max_event_s=decodeplacement.find_max_event_s(prompt, event_tokens, whole_s),
            longest_answer_event_s=decodeplacement.find_longest_answer_event_s(
                prompt, event_tokens, mean_events, whole_s, route.gap_s
            ),
        )

    def _describe_any(
        self, passage: Passage, now: float
    ) -> prefillplacement.PlanningContext:
        return prefillplacement.PlanningContext(
            now=now,
            left_s=passage.aim_at - now,
            latency_objective_s=passage.route.latency_objective_s,
            gap_s=passage.route.gap_s,
            zone=self._means.zone,
            rank=passage.rank,
            is_long=passage.is_long,
            has_pause_sensitive=self._means.lengths.has_pause_sensitive(
                passage.service
            ),
            handoff_s=self._means.lengths.find_handoff_s(passage.service, now),
            late_handoff_s=self._means.lengths.find_handoff_s(
                passage.service, now, True
            ),
            token_transfer_s=self._means.fleet.find_engine_spec(
                passage.service
            ).token_transfer_s,
            age_s=self._means.peers.interval_s,
            rng=self._rng,
            policy=self._zones.find_policy(now),
            is_prompt_underserved=passage.is_prompt_underserved,
            is_answer_underserved=passage.is_answer_underserved,
            tokens=self._count_tokens(passage),
            crossing=self._zones.find_crossing(passage, now),
        )
