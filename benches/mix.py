"""Goodput through shifts in the mix: policies side by side on real processes.

Every policy of a run meets the same seeded requests at the same moments, on the
same deployment; the policy is switched by publishing a configuration.
"""

import json
import random
import re
import time
from dataclasses import dataclass, replace

from benches.load import Ask, Callers, Timing
from benches.measure import find_percentile, save_data
from robinspindle.exceptions import ApiError
from robinspindle.tables import format_table
from standins.fleet import Fleet, start_fleet, wait_until

ROUTING = re.compile(r"^routing = .*$", re.MULTILINE)
PHASE_S = 5.0
PHASES = 4
PAUSE_S = 2.0
POLICIES = ("estimate", "least-in-flight", "round-robin", "random")
ROLE_PHASE_S = 10.0
MIXED = {"mixed": 6}
SPLIT = {"prefill": 2, "decode": 2, "mixed": 2}
STANDING = {
    "all mixed, no changes": (MIXED, None),
    "split, no changes": (SPLIT, None),
    "split, goodput first": (SPLIT, {"cooldown_s": 4.0, "gain": 0.1}),
    "split, few changes first": (SPLIT, {"cooldown_s": 20.0, "gain": 0.3}),
    "split, no hysteresis": (SPLIT, {"cooldown_s": 0.0, "gain": 0.0}),
}
RULES = "Clause of the rulebook that every reader has to weigh with care. "


@dataclass(frozen=True)
class Kind:
    """A kind of work.

    Attributes:
        name: Its name.
        workspace: Whose it is.
        prompt_tokens: Length of its prompts.
        tokens: Length of its answers.
        first_token_s: When its callers need the first token.
        promised_s: When its callers need the whole answer.
        cost_s: Engine seconds that one takes in a full batch.
        is_keyed: Whether it may not be repeated.
    """

    name: str
    workspace: str
    prompt_tokens: int
    tokens: int
    first_token_s: float
    promised_s: float
    cost_s: float
    is_keyed: bool = False


@dataclass(frozen=True)
class User:
    """A user's kinds of work: long in short out, short in long out, urgent."""

    model: str
    service: str
    long: Kind
    short: Kind
    urgent: Kind


USERS = {
    "haddad": User(
        "investor-70b",
        "notification",
        Kind("digest", "filing-digest", 5000, 16, 6.0, 20.0, 0.53),
        Kind("chat", "ticker-chat", 60, 100, 1.5, 8.0, 0.21),
        Kind("alert", "alert-push", 0, 0, 1.0, 2.0, 0.0, is_keyed=True),
    ),
    "franchise": User(
        "dispatch-30b",
        "messaging",
        Kind("assignment", "zone-assignment", 4000, 12, 6.0, 15.0, 0.42, is_keyed=True),
        Kind("note", "rider-notes", 60, 80, 2.0, 10.0, 0.17),
        Kind("ping", "courier-pings", 0, 0, 1.0, 2.0, 0.0, is_keyed=True),
    ),
}


def draw_asks(
    user: User, load: float, seed: int, phase_s: float = PHASE_S
) -> list[tuple[float, Ask]]:
    """Draw the requests of one run and their moments.

    Phases of mostly long prompts alternate with phases of mostly long answers; in
    each, the engine seconds asked for are ``load`` times what six engines have.
    """
    rng = random.Random(seed)
    asks = []
    for phase in range(PHASES):
        long_share = 0.85 if phase % 2 == 0 else 0.15
        begin = phase * phase_s
        for kind, share in ((user.long, long_share), (user.short, 1 - long_share)):
            rate = 6 * load * share / kind.cost_s
            asks += _draw_kind(rng, kind, (begin, phase_s), rate, seed)
        asks += _draw_kind(rng, user.urgent, (begin, phase_s), 4.0, seed)
    return sorted(asks, key=lambda item: item[0])


def _draw_kind(
    rng: random.Random, kind: Kind, span: tuple[float, float], rate: float, seed: int
) -> list[tuple[float, Ask]]:
    begin, length = span
    asks = []
    at = begin + rng.expovariate(rate)
    while at < begin + length:
        name = f"{kind.name} {rng.random()}"
        text = (name + RULES * (kind.prompt_tokens * 4 // len(RULES)))[
            : max(len(name), kind.prompt_tokens * 4)
        ]
        key = f"{name}-{seed}-{time.monotonic_ns()}" if kind.is_keyed else ""
        ask = Ask(kind.name, kind.workspace, text, kind.tokens, kind.promised_s, key)
        asks.append((at, ask))
        at += rng.expovariate(rate)
    return asks


def run_once(fleet: Fleet, user: User, asks: list[tuple[float, Ask]]) -> list[Timing]:
    """Send all requests at their moments and gather what came back."""
    callers = Callers(user.model, user.service, fleet.callers)
    begun = time.monotonic()
    for number, (at, ask) in enumerate(asks):
        time.sleep(max(0.0, begun + at - time.monotonic()))
        callers.send(ask, number)
    callers.join()
    return callers.timings


def _rotate(policies: tuple[str, ...], seed: int) -> tuple[str, ...]:
    """Let another policy go first with each seed, so that none always does."""
    first = seed % len(policies)
    return policies[first:] + policies[:first]


def _mark_prompts(asks: list[tuple[float, Ask]], mark: str) -> list[tuple[float, Ask]]:
    """Make prompts differ between policies: none may find another's in a cache."""
    return [(at, replace(ask, prompt=f"{mark} {ask.prompt}")) for at, ask in asks]


def switch_policy(fleet: Fleet, policy: str) -> None:
    """Publish a configuration that names another routing policy."""
    text = ROUTING.sub(f"routing = {policy}", fleet.text)
    version = fleet.client.post("configuration", text.encode())["version"]

    def is_in_force() -> bool:
        views = fleet.client.get_from_all("status")
        return all(view["configuration"] == version for view in views)

    wait_until(is_in_force, "the policy")


def _is_good(kind: Kind, timing: Timing) -> bool:
    """Whether an answer was whole, and kept both promises."""
    if timing.end != "whole" or timing.total_s > kind.promised_s:
        return False
    return timing.came_back or timing.first_s <= kind.first_token_s


def summarise(user: User, timings: list[Timing]) -> dict:
    """Sum up one run."""
    kinds = {kind.name: kind for kind in (user.long, user.short, user.urgent)}
    good = [t for t in timings if _is_good(kinds[t.kind], t)]
    row = {
        "asked": len(timings),
        "good": len(good),
        "goodput": len(good) / len(timings),
        "late": sum(1 for t in timings if t.end == "whole") - len(good),
        "wrong": sum(1 for t in timings if t.end == "wrong"),
        "refused": sum(1 for t in timings if t.ran == "no" and t.end != "whole"),
        "unknown": sum(1 for t in timings if t.ran not in ("", "no")),
        "came_back": sum(1 for t in timings if t.came_back),
        "served_on_return": sum(1 for t in good if t.came_back),
        "kinds": {},
    }
    for kind in (user.long, user.short, user.urgent):
        mine = [t for t in timings if t.kind == kind.name]
        firsts = [t.first_s for t in mine if t.end == "whole"]
        gaps = [gap for t in mine for gap in t.gaps]
        row["kinds"][kind.name] = {
            "asked": len(mine),
            "good": sum(1 for t in good if t.kind == kind.name),
            "first_s": [find_percentile(firsts, q) for q in (0.5, 0.95, 0.99)],
            "gap_s": [find_percentile(gaps, q) for q in (0.5, 0.95, 0.99)],
        }
    return row


def run_mix(name: str, loads: list[float], seeds: list[int]) -> list[dict]:
    """Measure every policy at every load with every seed."""
    user = USERS[name]
    rows = []
    fleet = start_fleet(name)
    try:
        for load in loads:
            for seed in seeds:
                for policy in _rotate(POLICIES, seed):
                    switch_policy(fleet, policy)
                    time.sleep(PAUSE_S)
                    asks = _mark_prompts(draw_asks(user, load, seed), policy)
                    timings = run_once(fleet, user, asks)
                    row = {"policy": policy, "load": load, "seed": seed}
                    rows.append(row | summarise(user, timings))
                    print(json.dumps({k: rows[-1][k] for k in list(rows[-1])[:6]}))
    finally:
        fleet.close()
    save_data(f"mix-{name}", {"user": name, "rows": rows})
    print(format_mix(rows))
    return rows


def run_roles(name: str, load: float, seeds: list[int]) -> list[dict]:
    """Measure automatic role changes against none, with longer phases."""
    user = USERS[name]
    rows = []
    fleet = start_fleet(name)
    try:
        for seed in seeds:
            for variant, (counts, bounds) in STANDING.items():
                _settle_roles(fleet, user, counts, bounds)
                before = _count_changes(fleet)
                asks = draw_asks(user, load, seed, ROLE_PHASE_S)
                timings = run_once(fleet, user, asks)
                row = {"policy": variant, "load": load, "seed": seed}
                row |= summarise(user, timings)
                row["role_changes"] = _count_changes(fleet) - before
                rows.append(row)
                print(variant, seed, row["goodput"], row["role_changes"])
    finally:
        fleet.close()
    save_data(f"roles-{name}", {"user": name, "rows": rows})
    return rows


def _settle_roles(fleet: Fleet, user: User, counts: dict, bounds: dict | None) -> None:
    """End the standing intent, set the first roles, then state a new one."""
    standing = {"type": "Standing", "model": user.model, "most_prefill": 0}
    _carry_out(fleet, standing)
    first = {"type": "SetRoles", "model": user.model} | counts
    wait_until(lambda: _carry_out(fleet, first), "the first roles", 90.0)
    if bounds is not None:
        most = {"most_prefill": 4, "changes_per_hour": 1000}
        _carry_out(fleet, standing | most | bounds)
    time.sleep(PAUSE_S)


def _carry_out(fleet: Fleet, intent: dict) -> bool:
    """State and confirm an intent and wait for its end."""
    client = fleet.client
    plan = client.post("plans", json.dumps(intent).encode())
    try:
        client.post(f"confirm/{plan['id']}")
    except ApiError:
        return False
    ended = ("done", "failed", "refused")
    wait_until(lambda: client.get(f"plans/{plan['id']}")["status"] in ended, "a plan")
    return client.get(f"plans/{plan['id']}")["status"] == "done"


def _count_changes(fleet: Fleet) -> int:
    names = [n for n, t in fleet.configuration.targets.items() if t.model]
    rows = [row for name in names for row in fleet.read_journal(name)]
    return sum(1 for r in rows if r["kind"] == "order" and r["action"] == "role")


def format_mix(rows: list[dict]) -> str:
    """Lay the runs out: goodput by load and policy over the seeds."""
    table = []
    for load in sorted({row["load"] for row in rows}):
        for policy in POLICIES:
            mine = [r for r in rows if (r["load"], r["policy"]) == (load, policy)]
            shares = sorted(row["goodput"] for row in mine)
            table.append(
                (
                    load,
                    policy,
                    f"{sum(shares) / len(shares):.3f}",
                    f"{shares[0]:.3f}..{shares[-1]:.3f}",
                    sum(row["late"] for row in mine),
                    sum(row["refused"] for row in mine),
                    sum(row["wrong"] + row["unknown"] for row in mine),
                    sum(row["came_back"] for row in mine),
                    sum(row["served_on_return"] for row in mine),
                )
            )
    head = ("load", "policy", "goodput", "spread", "late", "refused")
    return format_table((*head, "wrong", "came back", "then served"), table)
