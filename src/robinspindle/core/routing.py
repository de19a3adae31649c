"""Routing policies, which choose the target that a request is offered to.

A target's report is up to one heartbeat interval old. An entry knows its own requests
in flight at the target exactly, but not what other entries have sent since the report.
If the target turns out to be too busy, its agent refuses the offer.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.messages import Report, Work

MIN_COMPARED_TARGETS = 2

LONG_PREFILL_S = 0.1
"""Prompts with a longer estimated prefill are prefilled one at a time, seconds."""

OCCUPANCY_PENALTY = 1.0
"""Added share of a request's service time when all slots of a target are occupied."""

PREFILL_INTERFERENCE = 0.5
"""Share of the time of a concurrent prefill by which it delays an answer."""


@dataclass
class Candidate:
    """A target that may get a request, with the entry's local view of it.

    Attributes:
        target: The target's name.
        report: The target's last report.
        prefixes: Digests of the prompt prefixes in the target's KV cache.
        pending_prefill_s: Estimated prefill time of the entry's own long prompts at
            the target whose prefill has not finished, seconds.
        in_flight: Number of the entry's own requests in flight at the target.
        is_same_zone: Whether the target is in the entry's availability zone.
        zone_delay_s: One-way network delay to the target, seconds.
    """

    target: str
    report: Report
    prefixes: tuple[str, ...] = ()
    pending_prefill_s: float = 0.0
    in_flight: int = 0
    is_same_zone: bool = True
    zone_delay_s: float = 0.0


RoutingPolicy = Callable[[list[Candidate], Work, random.Random], Candidate]


def estimate_service(candidate: Candidate, work: Work) -> float:
    """Estimate the seconds for which a request holds one slot of a target."""
    report = candidate.report
    if work.kind == "call":
        return report.step_s
    uncached_tokens = work.prompt_tokens
    if work.prefix and work.prefix in candidate.prefixes:
        uncached_tokens -= work.prefix_tokens
    prefill = 0.0 if work.stage == "decode" else uncached_tokens * report.prefill_s
    if work.stage == "prefill":
        return prefill
    steps = max(1, work.max_tokens - len(work.resumed))
    return prefill + steps * report.step_s


def is_long_prefill(prefill_s: float) -> bool:
    """Whether a prefill is so long that it must not run beside another long one."""
    return prefill_s > LONG_PREFILL_S


def estimate_answer(candidate: Candidate, work: Work) -> float:
    """Estimate the seconds until the answer is complete.

    The entry's own requests at the target are known exactly. Only the requests of
    other entries and the service time come from the report, which may be outdated.
    """
    report = candidate.report
    service_s = estimate_service(candidate, work)
    reported = report.running + report.queued
    occupancy = max(0, reported - report.own) + candidate.in_flight
    mean_service_s = (
        report.wait_s * report.slots / reported if report.wait_s else service_s
    )
    wait = max(0, occupancy + 1 - report.slots) * mean_service_s / report.slots
    others_prefill_s = max(0.0, report.prefill_wait_s - report.own_prefill_s)
    pending_prefill_s = others_prefill_s + candidate.pending_prefill_s
    if is_long_prefill(work.prompt_tokens * report.prefill_s):
        wait = max(wait, pending_prefill_s)
    else:
        # During the prefill of a long prompt, an engine runs fewer decode steps.
        wait += PREFILL_INTERFERENCE * min(pending_prefill_s, service_s)
    # The penalty outweighs the noise in the speeds that the targets measure.
    penalty = OCCUPANCY_PENALTY * min(1.0, occupancy / report.slots)
    return wait + service_s * (1.0 + penalty) + 2 * candidate.zone_delay_s


def count_compared_targets(targets: int, entries: int) -> int:
    """Compute how many targets to compare for one request.

    An entry doesn't know what other entries have sent since the last report. If each
    entry compared all targets, all of them would send to the one that was reported
    idle. With fewer entries, each knows more of the load exactly and may compare more.
    """
    return max(MIN_COMPARED_TARGETS, round(MIN_COMPARED_TARGETS * targets / entries))


def make_estimate_policy(entries: int) -> RoutingPolicy:
    """Make the policy that chooses the earliest estimated answer in a random sample.

    A target with the request's prefix in its KV cache is added to the sample.

    Args:
        entries: Number of entries that route to the same targets.
    """

    def choose_by_estimate(
        candidates: list[Candidate], work: Work, rng: random.Random
    ) -> Candidate:
        count = count_compared_targets(len(candidates), entries)
        sample = rng.sample(candidates, min(count, len(candidates)))
        cached = [
            candidate for candidate in candidates if work.prefix in candidate.prefixes
        ]
        if work.prefix and cached:
            sample.append(rng.choice(cached))
        return min(sample, key=lambda candidate: estimate_answer(candidate, work))

    return choose_by_estimate


def choose_at_random(
    candidates: list[Candidate], work: Work, rng: random.Random
) -> Candidate:
    """Choose a random target. A baseline for comparisons."""
    return rng.choice(candidates)


def choose_least_in_flight(
    candidates: list[Candidate], work: Work, rng: random.Random
) -> Candidate:
    """Choose a target with the fewest own requests. A baseline for comparisons."""
    least = min(candidate.in_flight for candidate in candidates)
    return rng.choice(
        [candidate for candidate in candidates if candidate.in_flight == least]
    )


def make_round_robin_policy() -> RoutingPolicy:
    """Make a round-robin policy. A baseline for comparisons."""
    position = 0

    def choose_next(
        candidates: list[Candidate], work: Work, rng: random.Random
    ) -> Candidate:
        nonlocal position
        position += 1
        return sorted(candidates, key=lambda candidate: candidate.target)[
            position % len(candidates)
        ]

    return choose_next


def make_policy(name: str, entries: int) -> RoutingPolicy:
    """Make the routing policy with a name from the configuration."""
    if name == "round-robin":
        return make_round_robin_policy()
    if name == "estimate":
        return make_estimate_policy(entries)
    return {"random": choose_at_random, "least-in-flight": choose_least_in_flight}[name]
