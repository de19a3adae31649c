"""Simulates a load against the gateways' decisions: no network, no processes.

Engines prefill one prompt at a time, the highest priority first, and are busy only
during a prefill; the network delay comes on top. Gateways decide with the product's own
functions, and receive the state of the other gateways with a delay.
"""

import math
import random
from dataclasses import dataclass, field, replace

import simpy

from robinspindle.core.decodeplacement import choose_decode_target
from robinspindle.core.engines import count_cached, make_engine, note_placed
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.prefillbacklog import note_peer_backlog, note_prefill_start
from robinspindle.core.prefillmodel import PrefillSample, make_prefill_model
from robinspindle.core.prefillplacement import choose_plan, should_refuse
from robinspindle.core.prefillspeed import (
    estimate_prefill_s,
    note_prefill_done,
    note_queued_prefill,
    note_shared_sample,
    update_all,
)
from robinspindle.core.priorities import LATE_LEVEL, REQUEST_PRIORITIES
from robinspindle.core.requestplans import PlanningContext
from robinspindle.core.sizefairness import (
    SizeFairness,
    is_underserved,
    note_arrival,
    note_not_served,
    note_served,
)
from robinspindle.core.targets import Announcement, Target
from robinspindle.core.targetspeeds import add_sums, list_told, note_told, subtract_sums
from soak.sizeaccount import Ended
from standins.prompts import SKEW, Kind, Length, draw_parts

TOKENS_PER_S = 307_000
S_PER_MILLION_PAIRS = 0.147e-3
"""Speed of a prefill-only engine: tokens per second, seconds per million pairs."""

DECODE_ENGINE_SLOWDOWN = 2.0
"""Ratio of a decode engine's prefill times to those of a prefill-only engine."""

SLOW_ENGINE_SLOWDOWN = 3.0
"""Ratio of a slow engine's prefill times to those of others."""


NOISE_SLOWDOWN = 2.5
NOISE_S = 0.6
"""Ratio of prefill times under noise to those without, and how long it lasts."""


@dataclass(frozen=True)
class Load:
    """The requests of callers, and the simulated deployment.

    Attributes:
        per_s: Requests per second.
        for_s: Time for which requests arrive, seconds.
        prefill_engines: Number of prefill-only engines.
        decode_engines: Number of decode engines.
        gateways: Number of gateways; each request goes to a random one.
        network_delay_s: Network delay of a prompt to an engine and of its answer back,
            together, seconds.
        latency_objective_s: Latency objective of the first event, seconds.
        patience_s: Timeout of callers, seconds.
        update_interval_s: Interval of the updates between gateways, seconds.
        documents: Number of shared documents; each prompt contains one of them.
        kinds: Kinds of requests to simulate instead of the one kind that the fields
            above describe.
        tokens_per_s: Prefill speed of a prefill-only engine, tokens per second.
        cache_tokens: Capacity of an engine's KV cache, tokens.
        gives_turns: Whether prompts of underserved sizes are preferred.
        slow: Names of the engines whose prefills take three times as long.
        slowdowns: Ratio of an engine's prefill times to those of others, by name.
        noise_share: Share of the time in which an engine's prefills are noisy.
        shares_speeds: Whether the gateways learn the engines' speed together.
        warm_up_s: Time at the start that `usual_busy_s` leaves out, seconds.
    """

    per_s: float
    for_s: float = 10.0
    prefill_engines: int = 7
    decode_engines: int = 10
    gateways: int = 12
    network_delay_s: float = 0.025
    latency_objective_s: float = 0.218
    patience_s: float = 2.0
    update_interval_s: float = 0.1
    documents: int = 2000
    kinds: tuple[Kind, ...] = ()
    tokens_per_s: float = TOKENS_PER_S
    cache_tokens: int = 300_000
    gives_turns: bool = False
    slow: frozenset[str] = frozenset()
    slowdowns: dict[str, float] = field(default_factory=dict)
    noise_share: float = 0.0
    shares_speeds: bool = False
    warm_up_s: float = 0.0


@dataclass
class Outcome:
    """The result of a simulation.

    Attributes:
        asked: Number of requests.
        in_time: Requests whose first event met the deadline.
        late: Requests that were served later.
        refused: Requests that were refused, or whose callers gave up.
        busy_s: Sum of the times for which the engines were busy, seconds.
        estimated_busy_s: The gateways' estimate of `busy_s`, seconds.
        usual_busy_s: What `busy_s` would be at engines of the usual speed, by engine.
        ended: The result of each request, if several kinds are simulated.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    busy_s: float = 0.0
    estimated_busy_s: float = 0.0
    usual_busy_s: dict[str, float] = field(default_factory=dict)
    ended: list[Ended] = field(default_factory=list)


@dataclass
class Gateway:
    """The local view of one gateway: the target and the engine of each lifetime."""

    pairs: list
    prompt_fairness: SizeFairness = field(default_factory=SizeFairness)


def simulate(load: Load, seed: int = 1) -> Outcome:
    """Simulate a load."""
    return _Simulation(load, random.Random(seed)).run()


class _Simulation:
    def __init__(self, load, rng):
        self.load, self.rng = load, rng
        self.env = simpy.Environment()
        self.outcome = Outcome()
        self.names = [f"p{n}" for n in range(load.prefill_engines)]
        self.names += [f"d{n}" for n in range(load.decode_engines)]
        self.servers = {
            name: simpy.PriorityResource(self.env, 1) for name in self.names
        }
        self.real_engines = {
            name: make_engine(name[0] == "p", load.cache_tokens) for name in self.names
        }
        # Gateways exchange the sums of their prefill models, so all share one model.
        self.prefill_models = {
            True: make_prefill_model(True),
            False: make_prefill_model(False),
        }
        self.placed = []
        self.gateways = [self._make_gateway() for _ in range(load.gateways)]
        self.kinds = load.kinds or (_make_only_kind(load),)

    def _make_gateway(self):
        pairs = []
        for number, name in enumerate(self.names):
            is_prefill = name[0] == "p"
            role = "prefill" if is_prefill else "decode"
            zone = "abcde"[number % 5]
            announced = Announcement(name, "s", f"{name}:1", zone, 24, role=role)
            engine = make_engine(
                is_prefill, self.load.cache_tokens, self.prefill_models[is_prefill]
            )
            pairs.append((Target(announced), engine))
        return Gateway(pairs)

    def run(self):
        for kind in self.kinds:
            self.env.process(self._generate_requests(kind))
        self.env.process(self._send_updates())
        if self.load.shares_speeds:
            self.env.process(self._send_speeds())
        patience_s = max(kind.patience_s for kind in self.kinds)
        self.env.run(until=self.load.for_s + patience_s + 1.0)
        return self.outcome

    def _generate_requests(self, kind):
        while self.env.now < self.load.for_s:
            yield self.env.timeout(self.rng.expovariate(kind.per_s))
            self.env.process(self._serve(self.rng.choice(self.gateways), kind))

    def _send_updates(self):
        """Send each gateway the placements and the summed backlogs of all others."""
        while True:
            yield self.env.timeout(self.load.update_interval_s)
            for author, engine_name, prompt, plan in self.placed:
                for gateway in self.gateways:
                    if gateway is not author:
                        engine = gateway.pairs[self.names.index(engine_name)][1]
                        note_placed(engine, prompt.parts, self.env.now)
                        note_prefill_start(
                            engine, self.env.now, plan.prefill_s, plan.level
                        )
            self.placed.clear()
            for index in range(len(self.names)):
                own = [g.pairs[index][1].own_backlog_s for g in self.gateways]
                total = [sum(level) for level in zip(*own, strict=True)]
                for gateway in self.gateways:
                    engine = gateway.pairs[index][1]
                    own_s = engine.own_backlog_s
                    others = [t - m for t, m in zip(total, own_s, strict=True)]
                    note_peer_backlog(engine, "others", others)

    def _send_speeds(self):
        """Send each gateway the speeds that all others have measured."""
        while True:
            yield self.env.timeout(1.0)
            now = self.env.now
            told = []
            for gateway in self.gateways:
                update_all([engine for _, engine in gateway.pairs], now)
                engines = zip(self.names, gateway.pairs, strict=True)
                told.append(list_told({n: e.speed for n, (_, e) in engines}, now))
            total = add_sums(one for sums in told for one in sums)
            for gateway, own in zip(self.gateways, told, strict=True):
                for one in subtract_sums(total, own):
                    engine = gateway.pairs[self.names.index(one.lifetime)][1]
                    note_told(engine.speed, "others", one, now)

    def _make_prompt(self, kind):
        rng = self.rng
        if not self.load.kinds:
            document = int(self.load.documents * rng.random() ** SKEW)
            parts = (
                Part(f"h{rng.randrange(4)}", 2520),
                Part(f"x{document}", 3780),
                Part(f"o{rng.random()}", round(rng.lognormvariate(7.6, 0.8))),
            )
        else:
            parts = draw_parts(kind, rng)
        return Prompt("m", parts, sum(part.tokens for part in parts), 92)

    def _make_planning_context(self, gateway, kind, prompt):
        """Describe what a placement depends on besides the engines."""
        return PlanningContext(
            self.env.now, kind.latency_objective_s, kind.latency_objective_s, 0.15, "a",
            rank=kind.rank, has_pause_sensitive=False, handoff_s=0.01,
            late_handoff_s=0.01,
            token_transfer_s=1.2e-7, age_s=self.load.update_interval_s, rng=self.rng,
        )  # fmt: skip

    def _find_max_slot_wait_s(self, kind):
        """Return the longest time that an answer may wait for a slot, seconds."""
        return math.inf

    def _serve(self, gateway, kind):
        env, load, outcome = self.env, self.load, self.outcome
        outcome.asked += 1
        arrived_at = env.now
        prompt = self._make_prompt(kind)
        at = self._make_planning_context(gateway, kind, prompt)
        prompt_fairness, asked = gateway.prompt_fairness, (kind.name, prompt.tokens)
        note_arrival(prompt_fairness, env.now, *asked)
        at = replace(
            at,
            is_prompt_underserved=load.gives_turns
            and is_underserved(prompt_fairness, env.now, *asked),
        )
        plan = choose_plan(gateway.pairs, prompt, at)
        max_slot_wait_s = self._find_max_slot_wait_s(kind)
        if should_refuse(plan, kind.patience_s, max_slot_wait_s=max_slot_wait_s):
            self._note_end(kind, prompt, None)
            return
        if plan.level < LATE_LEVEL:
            note_served(prompt_fairness, env.now, *asked)
        engines = {t.announced.lifetime: e for t, e in gateway.pairs}
        engine_name = (plan.prefill_target or plan.target).announced.lifetime
        engine = engines[engine_name]
        alone = engine.backlog_s <= 0.001
        usual_wait_s = plan.wait_s / engine.slowness
        engine.own_backlog_s[plan.level] += plan.prefill_s
        note_prefill_start(engine, env.now, plan.prefill_s, plan.level)
        self.placed.append((gateway, engine_name, prompt, plan))
        placed = engine.placed
        note_placed(engine, prompt.parts, env.now + plan.wait_s + plan.prefill_s)
        yield from self._prefill(
            engine_name, prompt, plan, arrived_at + kind.patience_s
        )
        left = engine.own_backlog_s[plan.level] - plan.prefill_s
        engine.own_backlog_s[plan.level] = max(0.0, left)
        outcome.estimated_busy_s += plan.prefill_s
        seconds = env.now - arrived_at - plan.fetch_s
        context = prompt.tokens - plan.uncached_tokens
        measured = PrefillSample(plan.uncached_tokens, context, seconds)
        was_alone = alone and engine.placed == placed
        if load.shares_speeds:
            wait_s = usual_wait_s if plan.level < LATE_LEVEL else None
            note_shared_sample(engine, measured, env.now, was_alone, wait_s)
            yield from self._answer(gateway, kind, prompt, plan, arrived_at)
            return
        note_prefill_done(engine, measured, was_alone)
        if not was_alone and plan.level < LATE_LEVEL:
            prefill_s = estimate_prefill_s(engine, plan.uncached_tokens, context)
            note_queued_prefill(engine, seconds, plan.wait_s + prefill_s)
        yield from self._answer(gateway, kind, prompt, plan, arrived_at)

    def _answer(self, gateway, kind, prompt, plan, arrived_at):
        """Begin the answer to a prefilled prompt; its other events take no time."""
        env = self.env
        if plan.prefill_target is not None:
            decode_target = choose_decode_target(
                gateway.pairs, "a", env.now, self.load.update_interval_s, self.rng
            )
            decode_target.in_flight += 1
            yield env.timeout(self.load.network_delay_s / 2 + 0.002)
            decode_target.in_flight -= 1
        is_served = env.now - arrived_at <= kind.patience_s
        if is_served != (plan.level < LATE_LEVEL):
            note = note_served if is_served else note_not_served
            note(gateway.prompt_fairness, env.now, kind.name, prompt.tokens)
        self._note_end(kind, prompt, env.now - arrived_at)

    def _prefill(self, engine_name, prompt, plan, gives_up_at):
        """Prefill what is neither in the engine's own cache nor in the source's."""
        request_priority = REQUEST_PRIORITIES[plan.level]
        env, real_engine = self.env, self.real_engines[engine_name]
        yield env.timeout(self.load.network_delay_s / 2)
        with self.servers[engine_name].request(priority=request_priority) as server:
            yield server
            # With several kinds, requests of callers that gave up are dropped, as on
            # real engines.
            if not self.load.kinds or env.now < gives_up_at:
                yield from self._run_prefill(
                    engine_name, self._find_busy_s(engine_name, prompt, plan)
                )
                note_placed(real_engine, prompt.parts)
        yield env.timeout(self.load.network_delay_s / 2)

    def _run_prefill(self, engine_name, busy_s):
        """Keep an engine busy with one prompt."""
        yield self.env.timeout(busy_s)

    def _find_busy_s(self, engine_name, prompt, plan):
        real_engine = self.real_engines[engine_name]
        cached = count_cached(real_engine, prompt)
        if plan.cache_source is not None:
            source = self.real_engines[plan.cache_source.announced.lifetime]
            cached = max(cached, count_cached(source, prompt))
        new = prompt.tokens - cached
        pairs_m = new * (cached + new / 2) / 1e6
        busy_s = new / self.load.tokens_per_s + pairs_m * S_PER_MILLION_PAIRS
        busy_s *= 1.0 if real_engine.prefill_only else DECODE_ENGINE_SLOWDOWN
        usual = self.outcome.usual_busy_s
        if self.env.now >= self.load.warm_up_s:
            usual[engine_name] = usual.get(engine_name, 0.0) + busy_s
        busy_s *= SLOW_ENGINE_SLOWDOWN if engine_name in self.load.slow else 1.0
        busy_s *= self.load.slowdowns.get(engine_name, 1.0)
        busy_s *= self._find_noise(engine_name)
        self.outcome.busy_s += busy_s
        return busy_s

    def _find_noise(self, engine_name):
        """Return by how much noise slows the prefill that begins now."""
        slot = (engine_name, int(self.env.now / NOISE_S))
        is_noisy = random.Random(str(slot)).random() < self.load.noise_share
        return NOISE_SLOWDOWN if is_noisy else 1.0

    def _note_end(self, kind, prompt, taken_s):
        """Record the end of a request; `taken_s` is None if it was refused."""
        outcome = self.outcome
        in_time = taken_s is not None and taken_s <= kind.latency_objective_s
        served = taken_s is not None and taken_s <= kind.patience_s
        if in_time:
            outcome.in_time += 1
        elif served:
            outcome.late += 1
        else:
            outcome.refused += 1
        if self.load.kinds:
            last = "in time" if in_time else "late" if served else "refused"
            outcome.ended.append(Ended(kind.name, prompt.tokens, served, last))


def _make_only_kind(load):
    """Make the one kind of a load that has no kinds."""
    return Kind(
        "",
        load.per_s,
        0,
        load.latency_objective_s,
        load.patience_s,
        (),
        Length(1.0, 0.0, 1.0),
    )
