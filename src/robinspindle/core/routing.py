"""Routing: which target to offer a request to.

A target's report is late by up to a heartbeat. What this entry itself has under way
there is known exactly; what other entries sent since is not, and the agent's last word
covers that.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.messages import Report, Work

LEAST_CHOICES = 2
LONG_PREFILL_S = 0.1
CROWDING = 1.0
INTERFERENCE = 0.5


@dataclass
class Candidate:
    """One candidate as an entry sees it.

    Attributes:
        target: The target's name.
        report: Its last report.
        prefixes: Digests of prefixes that it has in its cache.
        pending_prefill_s: Seconds of own long prompts there that are not read yet.
        in_flight: All own requests that are under way there.
        near: Whether it is in the entry's own availability zone.
        zone_delay_s: One-way delay to it, seconds.
    """

    target: str
    report: Report
    prefixes: tuple[str, ...] = ()
    pending_prefill_s: float = 0.0
    in_flight: int = 0
    near: bool = True
    zone_delay_s: float = 0.0


RoutingPolicy = Callable[[list[Candidate], Work, random.Random], Candidate]


def estimate_work(view: Candidate, work: Work) -> float:
    """Estimate the seconds for which a request holds one slot of a target."""
    report = view.report
    if work.kind == "call":
        return report.step_s
    fresh = work.prompt_tokens
    if work.prefix and work.prefix in view.prefixes:
        fresh -= work.prefix_tokens
    prefill = 0.0 if work.stage == "decode" else fresh * report.prefill_s
    if work.stage == "prefill":
        return prefill
    steps = max(1, work.max_tokens - len(work.resumed))
    return prefill + steps * report.step_s


def is_long_prefill(prefill_s: float) -> bool:
    """Whether a prompt takes so long to read that prompts have to take turns."""
    return prefill_s > LONG_PREFILL_S


def estimate_answer(view: Candidate, work: Work) -> float:
    """Estimate the seconds until the whole answer, from a late report.

    What this entry has under way at the target is known without delay; only the
    requests of other entries, and how long a request lasts there, come from the
    report.
    """
    report = view.report
    own = estimate_work(view, work)
    reported = report.running + report.queued
    occupancy = max(0, reported - report.own) + view.in_flight
    usual = report.wait_s * report.slots / reported if report.wait_s else own
    wait = max(0, occupancy + 1 - report.slots) * usual / report.slots
    others_s = max(0.0, report.prefill_wait_s - report.own_prefill_s)
    unread_s = others_s + view.pending_prefill_s
    if is_long_prefill(work.prompt_tokens * report.prefill_s):
        wait = max(wait, unread_s)
    else:
        # While an engine reads a long prompt, its answers get fewer steps.
        wait += INTERFERENCE * min(unread_s, own)
    # Weighs more than the noise in what targets measure of their own speed.
    crowding = CROWDING * min(1.0, occupancy / report.slots)
    return wait + own * (1.0 + crowding) + 2 * view.zone_delay_s


def count_compared_targets(targets: int, entries: int) -> int:
    """Decide how many targets to compare.

    What other entries sent since the report is unknown, and if all compared all
    targets, all would run after the one that looked idle. The fewer others there
    are, the more of the load an entry knows exactly.
    """
    return max(LEAST_CHOICES, round(LEAST_CHOICES * targets / entries))


def make_estimate_policy(entries: int) -> RoutingPolicy:
    """Make the policy that prefers the sooner answer among a few targets.

    Args:
        entries: How many entries route to the same targets.
    """

    def choose_by_estimate(
        views: list[Candidate], work: Work, rng: random.Random
    ) -> Candidate:
        count = count_compared_targets(len(views), entries)
        sample = rng.sample(views, min(count, len(views)))
        reusing = [view for view in views if work.prefix in view.prefixes]
        if work.prefix and reusing:
            sample.append(rng.choice(reusing))
        return min(sample, key=lambda view: estimate_answer(view, work))

    return choose_by_estimate


def choose_at_random(
    views: list[Candidate], work: Work, rng: random.Random
) -> Candidate:
    """Take any target; a baseline."""
    return rng.choice(views)


def choose_least_in_flight(
    views: list[Candidate], work: Work, rng: random.Random
) -> Candidate:
    """Take the target with the fewest own requests; a baseline."""
    least = min(view.in_flight for view in views)
    return rng.choice([view for view in views if view.in_flight == least])


def make_round_robin_policy() -> RoutingPolicy:
    """Make a policy that takes one target after another; a baseline."""
    turn = 0

    def choose_in_turn(
        views: list[Candidate], work: Work, rng: random.Random
    ) -> Candidate:
        nonlocal turn
        turn += 1
        return sorted(views, key=lambda view: view.target)[turn % len(views)]

    return choose_in_turn


def make_policy(name: str, entries: int) -> RoutingPolicy:
    """Make the routing policy that the configuration names."""
    if name == "round-robin":
        return make_round_robin_policy()
    if name == "estimate":
        return make_estimate_policy(entries)
    return {"random": choose_at_random, "least-in-flight": choose_least_in_flight}[name]
