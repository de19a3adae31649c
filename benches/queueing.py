"""Routing decisions alone, in a small simpy queueing model with late reports.

Entries that don't talk to each other route jobs to targets with slots. A target's
report reaches an entry every ``REPORT_S``, late by ``LAG_S``. The decisions are those
of production; only queues and time are modelled.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import simpy

from benches.measure import find_percentile, save_data
from robinspindle.core.routing import (
    Candidate,
    choose_at_random,
    choose_least_in_flight,
    estimate_answer,
    make_estimate_policy,
    make_round_robin_policy,
)
from robinspindle.messages import Report, Work
from robinspindle.tables import format_table

TARGETS = 6
MANY = 1000
SLOTS = 8
REPORT_S = 0.25
LAG_S = 0.25
PROBE_S = 0.5
PREFILL_S = 0.0001
STEP_S = 0.018
SLOW_FACTOR = 2.0
LONG = (5000, 16)
SHORT = (60, 100)
PHASE_S = 10.0
RUN_S = 120.0


@dataclass
class Target:
    """A queue before some slots.

    Attributes:
        name: Its name.
        slots: The slots.
        speed: How slow it is; 1 is ordinary.
        promised_s: Slot seconds of work that is here.
    """

    name: str
    slots: simpy.PriorityResource
    speed: float
    work_s: float = 0.0

    def make_report(self, entry: "Entry") -> Report:
        """Report to an entry as an agent does."""
        queued = len(self.slots.queue)
        running = self.slots.count
        wait = self.work_s / SLOTS if running >= SLOTS else 0.0
        return Report(
            target=self.name,
            incarnation="i",
            running=running,
            queued=queued,
            own=entry.in_flight[self.name],
            wait_s=wait,
            prefill_s=PREFILL_S * self.speed,
            step_s=STEP_S * self.speed,
            slots=SLOTS,
        )


@dataclass
class Entry:
    """What one entry knows.

    Attributes:
        reports: Late reports.
        in_flight: Own jobs under way by target.
        probes: Own probes under way by target.
    """

    reports: dict[str, Report] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    probes: dict[str, int] = field(default_factory=dict)


def choose_best_of_all(
    views: list[Candidate], work: Work, rng: random.Random
) -> Candidate:
    """Take the best estimate of all targets rather than of two."""
    return min(views, key=lambda view: estimate_answer(view, work))


def choose_uncorrected(
    views: list[Candidate], work: Work, rng: random.Random
) -> Candidate:
    """Estimate from the late report alone, without the own requests' exact count."""
    blind = [
        Candidate(view.target, view.report, in_flight=view.report.own) for view in views
    ]
    return make_estimate_policy(MANY)(blind, work, rng)


def make_policies(entries: int = 1) -> dict[str, Callable]:
    """Make the policies that compete, anew for each run."""
    return {
        "estimate": make_estimate_policy(entries),
        "estimate, two choices": make_estimate_policy(MANY),
        "estimate, all targets": choose_best_of_all,
        "two choices, report alone": choose_uncorrected,
        "least in flight": choose_least_in_flight,
        "round robin": make_round_robin_policy(),
        "random": choose_at_random,
        "fewest probes in flight": None,
    }


def run_model(name: str, load: float, entries: int, seed: int) -> dict:
    """Run one policy and return its answers."""
    choose = make_policies(entries)[name]
    env = simpy.Environment()
    rng = random.Random(seed)
    speeds = [1.0] * (TARGETS - 1) + [SLOW_FACTOR]
    targets = [
        Target(f"t{n}", simpy.PriorityResource(env, SLOTS), speed)
        for n, speed in enumerate(speeds)
    ]
    answers: list[float] = []
    for _ in range(entries):
        entry = Entry()
        for target in targets:
            entry.in_flight[target.name] = entry.probes[target.name] = 0
            env.process(_report(env, entry, target))
            if choose is None:
                env.process(_probe(env, entry, target))
        env.process(_arrive(env, entry, targets, choose, load / entries, rng, answers))
    env.run(until=RUN_S)
    return {
        "policy": name,
        "load": load,
        "entries": entries,
        "seed": seed,
        "jobs": len(answers),
        "mean_s": sum(answers) / len(answers),
        "p95_s": find_percentile(answers, 0.95),
    }


def _arrive(env, entry, targets, choose, load, rng, answers):
    number = 0
    while True:
        is_long = int(env.now / PHASE_S) % 2 == 0
        prompt, tokens = LONG if rng.random() < (0.85 if is_long else 0.15) else SHORT
        cost = prompt * PREFILL_S + tokens * STEP_S
        mean = _mean_cost(is_long)
        capacity = sum(SLOTS / target.speed for target in targets)
        yield env.timeout(rng.expovariate(capacity * load / mean))
        number += 1
        work = Work(
            request=str(number),
            kind="generate",
            pool="m",
            prompt_tokens=prompt,
            max_tokens=tokens,
        )
        target = _choose(entry, targets, choose, work, rng)
        env.process(_serve(env, entry, target, cost, rng, answers))


def _mean_cost(is_long: bool) -> float:
    costs = [prompt * PREFILL_S + tokens * STEP_S for prompt, tokens in (LONG, SHORT)]
    share = 0.85 if is_long else 0.15
    return share * costs[0] + (1 - share) * costs[1]


def _choose(entry, targets, choose, work, rng) -> Target:
    if choose is None:
        least = min(entry.probes.values())
        return rng.choice([t for t in targets if entry.probes[t.name] == least])
    views = [
        Candidate(
            target.name,
            entry.reports.get(target.name) or target.make_report(entry),
            in_flight=entry.in_flight[target.name],
        )
        for target in targets
    ]
    chosen = choose(views, work, rng).target
    return next(target for target in targets if target.name == chosen)


def _serve(env, entry, target, cost, rng, answers):
    cost *= target.speed * rng.uniform(0.8, 1.2)
    begun = env.now
    entry.in_flight[target.name] += 1
    target.work_s += cost
    with target.slots.request(priority=0) as slot:
        yield slot
        yield env.timeout(cost)
    answers.append(env.now - begun)
    target.work_s -= cost
    entry.in_flight[target.name] -= 1


def _report(env, entry, target):
    while True:
        report = target.make_report(entry)
        yield env.timeout(LAG_S)
        entry.reports[target.name] = report
        yield env.timeout(REPORT_S)


def _probe(env, entry, target):
    while True:
        yield env.timeout(PROBE_S)
        env.process(_ride(env, entry, target))


def _ride(env, entry, target):
    entry.probes[target.name] += 1
    with target.slots.request(priority=0) as slot:
        yield slot
    entry.probes[target.name] -= 1


def run_queueing() -> None:
    """Compare all policies over loads, numbers of entries and seeds."""
    rows = [
        run_model(name, load, entries, seed)
        for load in (0.8, 0.95)
        for entries in (2, 8)
        for name in make_policies()
        for seed in (1, 2, 3)
    ]
    save_data("queueing", {"rows": rows})
    print(format_queueing(rows))


def format_queueing(rows: list[dict]) -> str:
    """Lay the answers out, with their spread over the seeds."""
    table = []
    for load in (0.8, 0.95):
        for entries in (2, 8):
            for name in make_policies():
                mine = [
                    row
                    for row in rows
                    if (row["load"], row["entries"], row["policy"])
                    == (load, entries, name)
                ]
                means = sorted(row["mean_s"] for row in mine)
                tails = sorted(row["p95_s"] for row in mine)
                table.append(
                    (
                        load,
                        entries,
                        name,
                        f"{means[1]:.3f} ({means[0]:.3f}..{means[-1]:.3f})",
                        f"{tails[1]:.3f} ({tails[0]:.3f}..{tails[-1]:.3f})",
                    )
                )
    head = ("load", "entries", "policy", "mean answer s", "p95 answer s")
    return format_table(head, table)
