"""Gateways that guard targets, in virtual time: bad parts, own crashes, and faults.

Requests share a first part and a few others. Some hold a part that crashes each target
that begins to write an answer on it. Targets crash for reasons of their own too.
Gateways run the product's own guards; they are killed, frozen and cut from each other,
and datagrams are lost. `fuzz.guardoracle` judges what targets and callers saw.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from fuzz.eventqueue import EventQueue
from robinspindle.core.fingerprints import (
    FingerprintedRequest,
    make_part_fingerprint,
)
from robinspindle.core.forwarding import Part, Prompt, Request
from robinspindle.core.quarantine import Entry, list_quarantined
from robinspindle.core.targets import Announcement, Directory, note_announced
from robinspindle.crashwatch import Run
from robinspindle.guard import Guard
from robinspindle.guardnews import list_news, take_news

STEP_S = 0.1
"""How often gateways look after their guards and tell each other, seconds."""

CRASH_S = 0.08
"""How long a target writes an answer that crashes it, seconds."""

AWAY_S = 2.0
"""How long a crashed target is away, seconds."""

SHARED_PARTS = 8
STORE_S = 0.5
"""How long an entry takes from one gateway to another through the store, seconds."""

WALL_MS = 1_000_000_000
"""The time of day at the start, Unix milliseconds."""


@dataclass(frozen=True)
class Kind:
    """What is played.

    Attributes:
        gateways: Number of gateways.
        targets: Number of targets.
        bad_parts: Number of parts that crash targets.
        bad_per_s: Requests a second that hold one of them.
        sound_per_s: Requests a second that hold none.
        has_company: Whether bad parts always come with the same other part.
        own_crash_s: Mean time between two crashes for other reasons, seconds; 0 for
            none.
        has_outage: Whether all targets crash at once, once.
        has_faults: Whether gateways are killed, frozen and cut.
        seconds: Length of the run, seconds of virtual time.
    """

    gateways: int = 4
    targets: int = 6
    bad_parts: int = 1
    bad_per_s: float = 8.0
    sound_per_s: float = 30.0
    has_company: bool = False
    own_crash_s: float = 0.0
    has_outage: bool = False
    has_faults: bool = False
    seconds: float = 30.0


@dataclass
class FakeTarget:
    """A place of a target, which begins a new life after each crash.

    Attributes:
        id: Its id.
        life: Number of its lives so far.
        is_up: Whether it serves.
        runs: What it runs, with the gateway of each.
    """

    id: str
    life: int = 1
    is_up: bool = True
    runs: dict[Run, "FakeGateway"] = field(default_factory=dict)

    @property
    def lifetime(self) -> str:
        """The lifetime that serves."""
        return f"{self.id}@{self.life}"


@dataclass(frozen=True)
class Arrival:
    """A request with a bad part that reached a target."""

    at: float
    part: str
    is_judged: bool


@dataclass
class Seen:
    """What callers and targets saw.

    Attributes:
        arrivals: Requests with bad parts that reached targets.
        crashes: When a bad part crashed a target, by part.
        sound: When each sound request was sent, and whether it was turned away.
        blamed: Entries of the quarantine that gateways decided.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    crashes: dict[str, list[float]] = field(default_factory=dict)
    sound: list[tuple[float, bool]] = field(default_factory=list)
    blamed: list[tuple[float, Entry]] = field(default_factory=list)


class FakeGateway:
    """One life of a gateway."""

    def __init__(self, world: "World", name: str):
        self.name = name
        self.directory = Directory()
        self.away_until = 0.0
        self.cut_until = 0.0
        self.excused_until = world.now
        self.told: set[tuple[bytes, int]] = set()
        self.guard = Guard(
            self.directory,
            lambda: world.now,
            lambda text, **fields: None,
            lambda fingerprint: world.find_place(self),
            wall_ms=lambda: WALL_MS + int(world.now * 1000),
        )

    def is_away(self, now: float) -> bool:
        """Whether it is frozen."""
        return now < self.away_until


class World:
    """All of one run.

    Attributes:
        seen: What callers and targets saw.
        requests: Whole requests and parts that are bad, by fingerprint.
    """

    def __init__(self, seed: int, kind: Kind):
        self.kind = kind
        self.seen = Seen()
        self.bad: set[bytes] = set()
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._store: dict[bytes, Entry] = {}
        self._targets = [FakeTarget(f"i{n}") for n in range(kind.targets)]
        self._gateways = [FakeGateway(self, f"g{n}") for n in range(kind.gateways)]

    @property
    def now(self) -> float:
        """The present time, seconds."""
        return self._events.now

    def play(self) -> Seen:
        """Play to the end."""
        self._schedule_all()
        self._events.run(self.kind.seconds)
        return self.seen

    def list_quarantined(self) -> list[Entry]:
        """List what gateways turn away at the end."""
        return [
            entry
            for gateway in self._gateways
            for entry in list_quarantined(gateway.guard.quarantine)
        ]

    def find_place(self, gateway: FakeGateway) -> int:
        """Find a gateway's place in an order that is the same everywhere."""
        return sorted(g.name for g in self._gateways).index(gateway.name)

    def _schedule_all(self) -> None:
        kind = self.kind
        self._at(0.01, self._look_after)
        self._at(0.5, lambda: self._repeat(kind.sound_per_s, self._send_sound))
        if kind.bad_parts:
            self._at(4.0, lambda: self._repeat(kind.bad_per_s, self._send_bad))
        if kind.own_crash_s:
            self._at(2.0, lambda: self._repeat(1 / kind.own_crash_s, self._crash_any))
        if kind.has_outage:
            self._at(self._rng.uniform(3.0, 8.0), self._crash_all)
        if kind.has_faults:
            self._at(2.0, lambda: self._repeat(0.3, self._harm))

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        self._events.add(delay_s, act)

    def _repeat(self, per_s: float, act: Callable[[], None]) -> None:
        act()
        self._at(self._rng.expovariate(per_s), lambda: self._repeat(per_s, act))

    # Requests.

    def _send_sound(self) -> None:
        named = self._make_request("")
        is_refused = self._send(named, "")
        if is_refused is not None:
            self.seen.sound.append((self.now, is_refused))

    def _send_bad(self) -> None:
        part = f"bad{self._rng.randrange(self.kind.bad_parts)}"
        named = self._make_request(part)
        self.bad |= {named.fingerprint, make_part_fingerprint(named.part_head, part)}
        self._send(named, part)

    def _make_request(self, bad_part: str) -> FingerprintedRequest:
        rng = self._rng
        own = f"own{self._events.take_number()}"
        shared = rng.randrange(SHARED_PARTS)
        if bad_part and self.kind.has_company:
            shared = 0
        ids = ["head", f"shared{shared}"]
        if bad_part:
            ids.insert(rng.randrange(3), bad_part)
        parts = tuple(Part(id, 500) for id in [*ids, own])
        prompt = Prompt("m", parts, 2000, 100)
        request = Request(
            own, "POST", b"/chat/x", "shop", (), own.encode(), 2.0, self.now, prompt
        )
        return FingerprintedRequest(request)

    def _send(self, named: FingerprintedRequest, bad_part: str) -> bool | None:
        """Send a request; returns whether it was turned away, None for no gateway."""
        gateway = self._rng.choice(self._gateways)
        if gateway.is_away(self.now):
            return None
        if gateway.guard.find_refusal(named) is not None:
            return True
        avoided = gateway.guard.list_avoided(named)
        up = [target for target in self._targets if target.is_up]
        apart = [target for target in up if target.lifetime not in avoided]
        if up:
            self._run(gateway, self._rng.choice(apart or up), named, bad_part)
        return False

    def _run(
        self,
        gateway: FakeGateway,
        target: FakeTarget,
        named: FingerprintedRequest,
        bad_part: str,
    ) -> None:
        run = Run(named, self._announce(gateway, target), "chat", self.now)
        gateway.guard.runs.begin(run)
        target.runs[run] = gateway
        run.began_at = self.now + 0.01
        if bad_part:
            is_judged = self.now >= gateway.excused_until
            self.seen.arrivals.append(Arrival(self.now, bad_part, is_judged))
            life = target.life
            self._at(0.01 + CRASH_S, lambda: self._crash_by(target, life, bad_part))
            return
        seconds = self._rng.choice((0.1, 0.1, 0.1, 3.0))
        self._at(seconds, lambda: self._end(gateway, target, run))

    def _announce(self, gateway: FakeGateway, target: FakeTarget):
        announced = Announcement(target.lifetime, "lm", "127.0.0.1:9", "z", 8)
        if target.lifetime not in gateway.directory.targets:
            note_announced(gateway.directory, announced, self.now)
        return gateway.directory.targets[target.lifetime]

    def _end(self, gateway: FakeGateway, target: FakeTarget, run: Run) -> None:
        if target.runs.pop(run, None) is None:
            return
        run.target.liveness.heard_at = self.now
        gateway.guard.note_success(run)
        gateway.guard.runs.end(run)

    # Crashes.

    def _crash_by(self, target: FakeTarget, life: int, part: str) -> None:
        if target.is_up and target.life == life:
            self.seen.crashes.setdefault(part, []).append(self.now)
            self._crash(target)

    def _crash_any(self) -> None:
        self._crash(self._rng.choice(self._targets))

    def _crash_all(self) -> None:
        for target in self._targets:
            self._crash(target)

    def _crash(self, target: FakeTarget) -> None:
        if not target.is_up:
            return
        target.is_up = False
        for run, gateway in target.runs.items():
            gateway.guard.runs.end(run)
            if gateway in self._gateways:
                gateway.guard.note_own_crash(run, self.now)
        target.runs.clear()
        self._at(AWAY_S * self._rng.uniform(0.8, 1.2), lambda: self._restart(target))

    def _restart(self, target: FakeTarget) -> None:
        target.life += 1
        target.is_up = True

    # Gateways.

    def _look_after(self) -> None:
        self._at(STEP_S, self._look_after)
        for gateway in self._gateways:
            if not gateway.is_away(self.now):
                self._note_heard(gateway)
                gateway.guard.settle(self.now)
                self._tell(gateway)
                self._write(gateway)

    def _note_heard(self, gateway: FakeGateway) -> None:
        """Have targets be heard that write answers."""
        for run in gateway.guard.runs.under_way:
            run.target.liveness.heard_at = self.now

    def _tell(self, gateway: FakeGateway) -> None:
        news = list_news(gateway.guard, self.now)
        for other in self._gateways:
            if other is gateway or self._rng.random() < 0.1:
                continue
            if max(gateway.cut_until, other.cut_until) > self.now:
                continue
            delay_s = self._rng.uniform(0.001, 0.05)
            self._at(delay_s, lambda other=other: self._take(other, news))

    def _take(self, gateway: FakeGateway, news) -> None:
        if gateway in self._gateways and not gateway.is_away(self.now):
            take_news(gateway.guard, news, self.now)

    def _write(self, gateway: FakeGateway) -> None:
        """Store what a gateway decided itself; the others read it a moment later."""
        for fingerprint, at_ms in gateway.guard.quarantine.own.items():
            entry = gateway.guard.quarantine.entries.get(fingerprint)
            if entry is None or (fingerprint, at_ms) in gateway.told:
                continue
            gateway.told.add((fingerprint, at_ms))
            self.seen.blamed.append((self.now, entry))
            self._at(STORE_S, lambda entry=entry: self._read(entry))

    def _read(self, entry: Entry) -> None:
        self._store[entry.fingerprint] = entry
        for gateway in self._gateways:
            if gateway.is_away(self.now):
                self._at(STORE_S, lambda: self._read(entry))
            gateway.guard.merge_entry(entry)

    def _harm(self) -> None:
        index = self._rng.randrange(len(self._gateways))
        gateway = self._gateways[index]
        what, seconds = self._rng.choice("kfc"), self._rng.uniform(0.5, 3.0)
        gateway.excused_until = self.now + seconds + 3.0
        if what == "f":
            gateway.away_until = self.now + seconds
        elif what == "c":
            gateway.cut_until = self.now + seconds
        else:
            self._kill(index)

    def _kill(self, index: int) -> None:
        before = self._gateways[index]
        for target in self._targets:
            target.runs = {r: g for r, g in target.runs.items() if g is not before}
        self._gateways[index] = started = FakeGateway(self, before.name)
        started.excused_until = self.now + 3.0
        for entry in self._store.values():
            started.guard.merge_entry(entry)
