"""Plays requests that compete for the room of engines, in virtual time.

Long prompts are read apart and come to their host when that is done; short ones go
there at once. An engine has slots and memory. Where memory runs out it puts back the
newest of its least urgent requests, which are read anew. A lease sets a slot and memory
aside; what does not fit is refused. Gateways tell each other late.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import count

import simpy

from robinspindle.core.decodeplacement import choose_decode_target
from robinspindle.core.interference import note_slot_hold
from robinspindle.core.peerdigests import Digest, TargetLoad, apply_digest
from robinspindle.core.reservations import Wanted, find_lease_s, should_reserve
from robinspindle.core.room import describe_room
from robinspindle.core.roomclaims import Claim, Use, add_claim, drop_claim
from tests.core.test_prefillplacement import make_pair

TELL_S = 0.05
STEP_S = 0.05
MAX_LEASE_S = 2.0
BACKLOG = [0] * 6


@dataclass(frozen=True)
class RoomLoad:
    """A load that competes for room.

    Attributes:
        slots: Slots of an engine.
        tokens: Memory of an engine, tokens.
        apart_per_s: Requests a second whose prompts are read apart.
        direct_per_s: Requests a second that go to their hosts at once.
        apart_tokens: Memory that the prompt of the former takes.
        direct_tokens: The same of the latter.
        answer_s: Mean time of an answer, seconds.
        answer_tokens: Tokens that an answer makes in a second.
        reading_s: Shortest and longest reading apart, seconds.
        objective_s: Time from the arrival to the first event that is in time, seconds.
        apart_is_urgent: Whether the former are as urgent as the latter.
        counts_room: Whether hosts are chosen by the wait for their room too.
        reserves: Whether room is set aside.
        lead_s: How long before a reading ends that is done at the earliest, seconds.
    """

    slots: int = 8
    tokens: int = 1_000_000
    apart_per_s: float = 6.0
    direct_per_s: float = 12.0
    apart_tokens: int = 6000
    direct_tokens: int = 1000
    answer_s: float = 2.0
    answer_tokens: int = 100
    reading_s: tuple[float, float] = (0.4, 1.4)
    objective_s: float = 2.0
    gap_s: float = 0.5
    apart_is_urgent: bool = True
    counts_room: bool = False
    reserves: bool = False
    lead_s: float = math.inf
    engines: int = 6
    gateways: int = 4
    for_s: float = 60.0


@dataclass
class Run:
    """One request at an engine."""

    name: str
    arrives: float
    is_apart: bool
    is_urgent: bool
    memory: int
    left_s: float
    due: float
    gives_up: float
    number: int = 0
    lease: "Lease | None" = None
    begun_at: float | None = None
    is_late: bool = False
    reread_until: float = 0.0
    done: simpy.Event | None = None


@dataclass
class Lease:
    """Room that an engine has set aside."""

    tokens: int
    until: float
    taken_at: float


@dataclass
class EngineState:
    """What an engine really does."""

    running: list[Run] = field(default_factory=list)
    waiting: list[Run] = field(default_factory=list)
    leases: list[Lease] = field(default_factory=list)


class RoomPlay:
    """One play.

    Attributes:
        counts: How requests ended, by whether they were read apart; how often any was
            put back, and the calls made.
        idle_s: Time for which leases held a slot that nobody used, seconds.
    """

    def __init__(self, load: RoomLoad, seed: int):
        self.counts: Counter = Counter()
        self.idle_s = 0.0
        self._load = load
        self._rng = random.Random(seed)
        self._choices = random.Random(seed + 1000)
        self._env = simpy.Environment()
        self._numbers = count()
        self._engines = {f"d{n}": EngineState() for n in range(load.engines)}
        self._views = [self._make_view() for _ in range(load.gateways)]

    def run(self) -> "RoomPlay":
        """Play the load to its end."""
        load = self._load
        kinds = [
            (load.apart_per_s, load.apart_tokens, load.apart_is_urgent, True),
            (load.direct_per_s, load.direct_tokens, True, False),
        ]
        for per_s, tokens, is_urgent, is_apart in kinds:
            for run in self._draw_runs(per_s, tokens, is_urgent, is_apart):
                view = self._rng.choice(self._views)
                reading_s = self._rng.uniform(*load.reading_s) if is_apart else 0.0
                self._env.process(self._serve_later(run, view, reading_s))
        self._env.process(self._tell())
        for engine in self._engines.values():
            self._env.process(self._work(engine))
        self._env.run(until=load.for_s + 20.0)
        return self

    def find_share(self, *kinds: bool) -> float:
        """Find the share of requests in time, of those read apart or not, or of all."""
        kinds = kinds or (True, False)
        counts = {
            end: sum(self.counts[end, kind] for kind in kinds)
            for end in ("in time", "late", "lost")
        }
        return counts["in time"] / sum(counts.values())

    def _make_view(self):
        view = {}
        for name in self._engines:
            target, engine = make_pair(name, "decode")
            target.announced = replace(target.announced, slots=self._load.slots)
            engine.cache_tokens = self._load.tokens
            engine.slot_hold_s = self._load.answer_s
            view[name] = (target, engine)
        return view

    def _draw_runs(self, per_s, tokens, is_urgent, is_apart):
        """Draw the requests of a kind; they are the same however they are served."""
        at = 0.0
        while (at := at + self._rng.expovariate(per_s)) < self._load.for_s:
            answer_s = self._rng.expovariate(1 / self._load.answer_s)
            yield Run(
                name=f"r{next(self._numbers)}",
                arrives=at,
                is_apart=is_apart,
                is_urgent=is_urgent,
                memory=tokens,
                left_s=answer_s,
                due=at + self._load.objective_s,
                gives_up=at + 4 * self._load.objective_s,
            )

    def _tell(self):
        for number in count(1):
            yield self._env.timeout(TELL_S)
            for sender, view in enumerate(self._views):
                loads = [
                    TargetLoad(
                        name,
                        target.in_flight,
                        BACKLOG,
                        set_aside=engine.room.own.set_aside,
                        tokens=engine.room.own.tokens,
                    )
                    for name, (target, engine) in view.items()
                ]
                digest = Digest(f"g{sender}", 1.0, number, loads, [])
                for other in self._views:
                    if other is not view:
                        find = {name: pair[1] for name, pair in other.items()}.get
                        apply_digest({}, digest, self._env.now, find)

    def _choose(self, view, run):
        """Choose a host, by room too if that counts."""
        tokens = self._count_memory(run) if self._load.counts_room else None
        pairs, now = list(view.values()), self._env.now
        host = choose_decode_target(
            pairs, "a", now, TELL_S, self._choices, tokens=tokens
        )
        return view[host.announced.lifetime]

    def _serve_later(self, run, view, reading_s):
        yield self._env.timeout(run.arrives)
        if reading_s:
            yield from self._read_apart(run, view, reading_s)
        else:
            yield from self._serve(self._choose(view, run), run)

    def _read_apart(self, run, view, reading_s):
        pair = self._choose(view, run)
        tokens = self._count_memory(run)
        claim = Claim(Use.PROMISED, tokens, self._env.now)
        add_claim(pair[1].room, run.name, claim)
        lead_s = min(reading_s, self._load.lead_s)
        yield self._env.timeout(reading_s - lead_s)
        lease = self._reserve(pair, run, lead_s) if self._load.reserves else None
        yield self._env.timeout(lead_s)
        drop_claim(pair[1].room, run.name, Use.PROMISED)
        if lease is None or lease.until <= self._env.now:
            pair = self._choose(view, run)
        else:
            run.lease = lease
        yield from self._serve(pair, run)

    def _serve(self, pair, run):
        target, engine = pair
        target.in_flight += 1
        memory = self._count_memory(run)
        add_claim(engine.room, run.name, Claim(Use.TAKEN, memory, self._env.now))
        run.done = self._env.event()
        run.number = next(self._numbers)
        self._engines[target.announced.lifetime].waiting.append(run)
        end = yield run.done
        self.counts[end, run.is_apart] += 1
        if run.begun_at is not None:
            note_slot_hold(engine, self._env.now - run.begun_at)
        target.in_flight -= 1
        drop_claim(engine.room, run.name, Use.TAKEN)

    def _count_memory(self, run):
        return run.memory + round(self._load.answer_s * self._load.answer_tokens)

    def _reserve(self, pair, run, reading_s):
        wanted = Wanted(self._count_memory(run), reading_s)
        lease_s = find_lease_s(wanted, MAX_LEASE_S)
        if not lease_s or not should_reserve(describe_room(pair, TELL_S), wanted):
            return None
        engine = self._engines[pair[0].announced.lifetime]
        self.counts["lease calls"] += 1
        is_full = (
            len(engine.running) + len(engine.leases) >= self._load.slots
            or self._measure(engine) + wanted.tokens > self._load.tokens
        )
        if is_full:
            self.counts["leases refused"] += 1
            return None
        now = self._env.now
        lease = Lease(wanted.tokens, now + lease_s, now)
        engine.leases.append(lease)
        return lease

    def _measure(self, engine):
        taken = sum(run.memory for run in engine.running)
        return taken + sum(lease.tokens for lease in engine.leases)

    def _work(self, engine):
        while True:
            yield self._env.timeout(STEP_S)
            self._lapse(engine)
            self._admit(engine)
            self._advance(engine)
            while self._measure(engine) > self._load.tokens and self._put_back(engine):
                pass

    def _lapse(self, engine):
        now = self._env.now
        for lease in [lease for lease in engine.leases if lease.until <= now]:
            self._end_lease(engine, lease)
        for run in [run for run in engine.waiting if run.gives_up <= now]:
            engine.waiting.remove(run)
            run.done.succeed("lost")

    def _end_lease(self, engine, lease):
        engine.leases.remove(lease)
        self.idle_s += self._env.now - lease.taken_at

    def _admit(self, engine):
        engine.waiting.sort(
            key=lambda run: (
                run.lease not in engine.leases,
                not run.is_urgent,
                run.number,
            )
        )
        for run in list(engine.waiting):
            if run.lease in engine.leases:
                self._end_lease(engine, run.lease)
            elif (
                len(engine.running) + len(engine.leases) >= self._load.slots
                or self._measure(engine) + run.memory > self._load.tokens
            ):
                return
            engine.waiting.remove(run)
            engine.running.append(run)
            if run.begun_at is None:
                run.begun_at = self._env.now
                run.is_late = run.begun_at > run.due

    def _advance(self, engine):
        for run in list(engine.running):
            if run.reread_until > self._env.now:
                continue
            run.left_s -= STEP_S
            run.memory += round(STEP_S * self._load.answer_tokens)
            if run.left_s <= 0:
                engine.running.remove(run)
                run.done.succeed("late" if run.is_late else "in time")

    def _put_back(self, engine):
        """Put the newest of the least urgent back; it is read anew on its return."""
        covered = [run for run in engine.running if run.lease is None]
        if not covered:
            return False
        run = max(covered, key=lambda run: (not run.is_urgent, run.number))
        engine.running.remove(run)
        engine.waiting.append(run)
        share = run.memory / self._load.apart_tokens
        reread_s = 2 * share * sum(self._load.reading_s) / 2
        run.reread_until = self._env.now + reread_s
        run.is_late |= reread_s > self._load.gap_s
        self.counts["put back"] += 1
        return True
