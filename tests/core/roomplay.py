"""Plays requests that compete for the memory of engines, in virtual time.

Long prompts are read elsewhere and come to their engine when that is done; short ones
go there at once. Where memory runs out, an engine puts back the newest of its least
urgent requests, which are read anew. Gateways tell each other late.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import simpy

from robinspindle.core.decodeplacement import choose_decode_target
from robinspindle.core.peerdigests import Digest, TargetLoad, apply_digest
from robinspindle.core.priorities import LEVELS
from robinspindle.core.roomclaims import Claim, Use, add_claim, drop_claim
from tests.core.test_prefillplacement import make_pair

TELL_S = 0.05
STEP_S = 0.05
ENGINES = 6
GATEWAYS = 4
MEMORY_TOKENS = 45_000
ANSWER_S = 2.0
ANSWER_TOKENS_PER_S = 100
LONG_PROMPT_TOKENS = 6000
SHORT_PROMPT_TOKENS = 1000
READING_S = (0.4, 1.4)
REREAD_S_PER_TOKEN = 0.0003
OBJECTIVE_S = 2.0
GAP_S = 0.5


@dataclass
class Run:
    """One request at an engine."""

    name: str
    memory: int
    left_s: float
    due: float
    number: int = 0
    is_late: bool = False
    reread_until: float = 0.0
    done: simpy.Event | None = None


@dataclass
class EngineState:
    """What an engine really does."""

    running: list[Run] = field(default_factory=list)
    waiting: list[Run] = field(default_factory=list)

    @property
    def memory(self) -> int:
        return sum(run.memory for run in self.running)


class RoomPlay:
    """One play.

    Attributes:
        counts: How requests ended, and how often one was put back.
    """

    def __init__(
        self, long_per_s: float, short_per_s: float, seed: int, counts_memory: bool
    ):
        self.counts: Counter[str] = Counter()
        self._rates = {LONG_PROMPT_TOKENS: long_per_s, SHORT_PROMPT_TOKENS: short_per_s}
        self._counts_memory = counts_memory
        self._rng, self._choices = random.Random(seed), random.Random(seed + 1000)
        self._env = simpy.Environment()
        self._numbers = count()
        self._engines = {f"d{n}": EngineState() for n in range(ENGINES)}
        self._views = [self._make_view() for _ in range(GATEWAYS)]

    def run(self, for_s: float) -> "RoomPlay":
        """Play the load for some seconds, and until all requests have ended."""
        for tokens, per_s in self._rates.items():
            at = 0.0
            while (at := at + self._rng.expovariate(per_s)) < for_s:
                answer_s = self._rng.expovariate(1 / ANSWER_S)
                due = at + OBJECTIVE_S
                run = Run(f"r{next(self._numbers)}", tokens, answer_s, due)
                view = self._rng.choice(self._views)
                reading_s = self._rng.uniform(*READING_S)
                self._env.process(self._serve(run, view, at, reading_s))
        self._env.process(self._tell())
        for engine in self._engines.values():
            self._env.process(self._work(engine))
        self._env.run(until=for_s + 20.0)
        return self

    def find_share_in_time(self) -> float:
        """Find the share of requests that were in time."""
        ended = self.counts["in time"] + self.counts["late"]
        return self.counts["in time"] / ended

    def _make_view(self):
        view = {f"d{n}": make_pair(f"d{n}", "decode") for n in range(ENGINES)}
        for _, engine in view.values():
            engine.cache_tokens = MEMORY_TOKENS
            engine.slot_hold_s = ANSWER_S
        return view

    def _tell(self):
        for number in count(1):
            yield self._env.timeout(TELL_S)
            for sender, view in enumerate(self._views):
                loads = [
                    TargetLoad(
                        name,
                        target.in_flight,
                        [0] * LEVELS,
                        tokens=engine.room.own.tokens,
                    )
                    for name, (target, engine) in view.items()
                ]
                digest = Digest(f"g{sender}", 1.0, number, loads, [])
                for other in self._views:
                    if other is not view:
                        find = {name: engine for name, (_, engine) in other.items()}.get
                        apply_digest({}, digest, self._env.now, find)

    def _choose(self, view, tokens):
        tokens = tokens if self._counts_memory else None
        pairs, now = list(view.values()), self._env.now
        host = choose_decode_target(
            pairs, "a", now, TELL_S, self._choices, tokens=tokens
        )
        return view[host.announced.lifetime]

    def _serve(self, run, view, at, reading_s):
        yield self._env.timeout(at)
        tokens = run.memory + round(ANSWER_S * ANSWER_TOKENS_PER_S)
        if run.memory == LONG_PROMPT_TOKENS:
            room = self._choose(view, tokens)[1].room
            add_claim(room, run.name, Claim(Use.PROMISED, tokens, self._env.now))
            yield self._env.timeout(reading_s)
            drop_claim(room, run.name, Use.PROMISED)
        target, engine = self._choose(view, tokens)
        target.in_flight += 1
        add_claim(engine.room, run.name, Claim(Use.TAKEN, tokens, self._env.now))
        run.done, run.number = self._env.event(), next(self._numbers)
        self._engines[target.announced.lifetime].waiting.append(run)
        yield run.done
        self.counts["late" if run.is_late else "in time"] += 1
        target.in_flight -= 1
        drop_claim(engine.room, run.name, Use.TAKEN)

    def _work(self, engine):
        while True:
            yield self._env.timeout(STEP_S)
            self._admit(engine)
            self._advance(engine)
            while engine.memory > MEMORY_TOKENS:
                self._put_newest_back(engine)

    def _admit(self, engine):
        while engine.waiting:
            run = min(engine.waiting, key=lambda run: run.number)
            if engine.memory + run.memory > MEMORY_TOKENS:
                return
            engine.waiting.remove(run)
            engine.running.append(run)
            run.is_late |= self._env.now > run.due and not run.reread_until

    def _advance(self, engine):
        for run in list(engine.running):
            if run.reread_until > self._env.now:
                continue
            run.left_s -= STEP_S
            run.memory += round(STEP_S * ANSWER_TOKENS_PER_S)
            if run.left_s <= 0:
                engine.running.remove(run)
                run.done.succeed()

    def _put_newest_back(self, engine):
        run = max(engine.running, key=lambda run: run.number)
        engine.running.remove(run)
        engine.waiting.append(run)
        reread_s = REREAD_S_PER_TOKEN * run.memory
        run.reread_until = self._env.now + reread_s
        run.is_late |= reread_s > GAP_S
        self.counts["put back"] += 1
