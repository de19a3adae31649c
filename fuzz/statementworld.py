"""Targets that leave, rest and start again, before many gateways, in virtual time.

Targets say what they want in their answers alone: entries say that they are ready, come
late, go missing and come back. Requests wait between the choice of a target and their
sending, some go to two targets, and answers overtake each other. Gateways run the
product's own decisions. `fuzz.statementoracle` judges what reached targets and what
was refused.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from fuzz.eventqueue import EventQueue
from robinspindle import targettraffic
from robinspindle.core import health, targets
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.lifetimes import find_id
from robinspindle.core.targets import Announcement, Directory, Target

SERVICE = "s"
MISDIRECTED = 421

MOST_CHOICES = 20
"""Targets that one request may be held back from, one after the other."""

RESTS_S = (0.2, 1.0, 2.0, 3.0, 8.0)
"""Rests that targets ask for, seconds."""

NETWORK_S = (0.001, 0.02)
"""Shortest and longest way between a gateway and a target, seconds."""


@dataclass(frozen=True)
class Kind:
    """What is played.

    Attributes:
        gateways: Number of gateways.
        targets: Number of targets.
        requests_per_s: Requests at all gateways together in a second.
        longest_wait_s: Longest wait between a choice and the sending, seconds.
        leaving_per_s: Targets that begin to leave in a second.
        resting_per_s: Targets that begin to turn requests away in a second.
        restarts: Whether targets that leave start again under their id.
        has_late_entries: Whether entries go missing, come back and are repeated.
        has_strangers: Whether other instances answer at targets' addresses.
        kills: Whether gateways are killed.
        seconds: Length of the run, seconds of virtual time.
    """

    gateways: int = 4
    targets: int = 5
    requests_per_s: float = 60.0
    longest_wait_s: float = 0.5
    leaving_per_s: float = 0.0
    resting_per_s: float = 0.0
    restarts: bool = True
    has_late_entries: bool = False
    has_strangers: bool = False
    kills: bool = False
    seconds: float = 30.0


@dataclass
class FakeTarget:
    """A place of a target, which begins a new lifetime after each leave.

    Attributes:
        id: Its id.
        life: Number of its lifetimes so far.
        is_leaving: Whether its answers say that it leaves.
        is_turning_away: Whether it turns requests away.
    """

    id: str
    life: int = 1
    is_leaving: bool = False
    is_turning_away: bool = False

    @property
    def lifetime(self) -> str:
        """The lifetime that serves."""
        return f"{self.id}@{self.life}"


@dataclass
class Account:
    """What passed between one life of a gateway and one lifetime of a target.

    Attributes:
        left_at: When the gateway heard that the target leaves; None for never.
        rests: When the target asked for rest, and for how long, seconds.
        arrivals: When requests were sent, and when they reached the target.
        heard_until: Time until which rest was heard of, seconds.
    """

    left_at: float | None = None
    rests: list[tuple[float, float]] = field(default_factory=list)
    arrivals: list[tuple[float, float]] = field(default_factory=list)
    heard_until: float = 0.0


@dataclass(frozen=True)
class NeedlessRefusal:
    """A request that was refused though a target could have taken it."""

    at: float
    gateway: str
    lifetime: str


class FakeGateway:
    """One life of a gateway."""

    def __init__(self, name: str, clock: Callable[[], float]):
        self.name = name
        self.directory = Directory()
        self.accounts: dict[str, Account] = {}
        self._make_traffic = targettraffic.make_traffic_maker(
            clock, lambda text, **fields: None
        )
        self._traffic: dict[str, targettraffic.TargetTraffic] = {}

    def find_account(self, lifetime: str) -> Account:
        """Find what passed between it and a target."""
        return self.accounts.setdefault(lifetime, Account())

    def find_traffic(self, target: Target) -> targettraffic.TargetTraffic:
        """Find what takes note of a target's answers."""
        lifetime = target.announced.lifetime
        if self.directory.targets.get(lifetime) is not target:
            return self._make_traffic(target)
        traffic = self._traffic.get(lifetime)
        if traffic is None:
            traffic = self._traffic[lifetime] = self._make_traffic(target)
        return traffic

    def drop_gone(self, now: float) -> None:
        """Forget the targets whose entries have been missing for long."""
        for target in targets.drop_gone(self.directory, now):
            self._traffic.pop(target.announced.lifetime, None)


class World:
    """All of one run.

    Attributes:
        gateways: All lives of gateways.
        needless: Requests that were refused without need.
        served: Number of requests that ran.
    """

    def __init__(self, seed: int, kind: Kind):
        self.kind = kind
        self.gateways: list[FakeGateway] = []
        self.needless: list[NeedlessRefusal] = []
        self.served = 0
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._targets = [FakeTarget(f"i{n}") for n in range(kind.targets)]
        self._up = [self._start_gateway(f"g{n}") for n in range(kind.gateways)]

    @property
    def now(self) -> float:
        """The present time, seconds."""
        return self._events.now

    def play(self) -> None:
        """Play to the end."""
        kind = self.kind
        self._repeat(kind.requests_per_s, self._send_any)
        self._repeat(2.0, self._drop_gone)
        for per_s, act in (
            (kind.leaving_per_s, self._leave_any),
            (kind.resting_per_s, self._turn_away_any),
            (3.0 if kind.has_late_entries else 0.0, self._disturb_entry),
            (0.3 if kind.kills else 0.0, self._kill_any),
        ):
            if per_s:
                self._repeat(per_s, act)
        self._events.run(kind.seconds)

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        self._events.add(delay_s, act)

    def _repeat(self, per_s: float, act: Callable[[], None]) -> None:
        def go_on() -> None:
            act()
            self._repeat(per_s, act)

        self._at(self._rng.expovariate(per_s), go_on)

    # Requests.

    def _send_any(self) -> None:
        gateway = self._rng.choice(self._up)
        tried: set[str] = set()
        self._choose(gateway, tried, 0)
        if self._rng.random() < 0.1:
            self._choose(gateway, tried, 0)

    def _choose(self, gateway: FakeGateway, tried: set[str], choices: int) -> None:
        found = health.list_usable(gateway.directory, SERVICE, self.now, tried)
        if not found or choices >= MOST_CHOICES:
            self._note_refused(gateway, tried)
            return
        target = self._rng.choice(found)
        tried.add(target.announced.lifetime)

        def write() -> None:
            self._write(gateway, target, tried, choices)

        wait_s = self._rng.uniform(0.0, self.kind.longest_wait_s)
        self._at(0.0 if choices else wait_s, write)

    def _write(
        self, gateway: FakeGateway, target: Target, tried: set[str], choices: int
    ) -> None:
        if gateway not in self._up:
            return
        if gateway.find_traffic(target).find_obstacle() is not None:
            tried.discard(target.announced.lifetime)
            self._choose(gateway, tried, choices + 1)
            return
        sent_at = self.now
        self._at(
            self._rng.uniform(*NETWORK_S),
            lambda: self._arrive(gateway, target, tried, sent_at),
        )

    def _arrive(
        self, gateway: FakeGateway, target: Target, tried: set[str], sent_at: float
    ) -> None:
        lifetime = target.announced.lifetime
        place = next(t for t in self._targets if t.id == find_id(lifetime))
        if place.lifetime != lifetime:
            head = _make_head(place, MISDIRECTED, is_misdirected=True)
        elif self.kind.has_strangers and self._rng.random() < 0.02:
            head = _make_head(place, 503, answered_by="x1", leaving=True)
        else:
            head = self._answer(gateway, place, sent_at)
        delay_s = self._rng.uniform(*NETWORK_S)
        if head.status == 200 and self._rng.random() < 0.2:
            delay_s += self._rng.uniform(0.0, 1.0)
        self._at(delay_s, lambda: self._hear(gateway, target, tried, head, sent_at))

    def _answer(
        self, gateway: FakeGateway, place: FakeTarget, sent_at: float
    ) -> AnswerHead:
        account = gateway.find_account(place.lifetime)
        account.arrivals.append((sent_at, self.now))
        if not place.is_turning_away:
            self.served += 1
            return _make_head(place, 200)
        rest_s = self._rng.choice(RESTS_S)
        account.rests.append((self.now, rest_s))
        return _make_head(place, 503, rest_s=rest_s, not_run=True)

    def _hear(
        self,
        gateway: FakeGateway,
        target: Target,
        tried: set[str],
        head: AnswerHead,
        sent_at: float,
    ) -> None:
        if gateway not in self._up:
            return
        gateway.find_traffic(target).note_head(head, sent_at)
        is_own = not head.is_misdirected and not head.answered_by
        account = gateway.find_account(target.announced.lifetime)
        if is_own and head.leaving and account.left_at is None:
            account.left_at = self.now
        if is_own:
            account.heard_until = max(account.heard_until, self.now + head.rest_s)
        if head.not_run and len(tried) < 3:
            self._choose(gateway, tried, 1)

    def _note_refused(self, gateway: FakeGateway, tried: set[str]) -> None:
        """Note a refusal, if a target that wanted requests was known."""
        for place in self._targets:
            known = gateway.directory.targets.get(place.lifetime)
            if known is None or place.lifetime in tried:
                continue
            account = gateway.find_account(place.lifetime)
            is_resting = account.heard_until > self.now
            if not (known.gone_at or account.left_at or is_resting):
                refusal = NeedlessRefusal(self.now, gateway.name, place.lifetime)
                self.needless.append(refusal)

    # Targets.

    def _leave_any(self) -> None:
        place = self._rng.choice(self._targets)
        if place.is_leaving:
            return
        place.is_leaving = True
        if self.kind.restarts:
            self._at(self._rng.uniform(1.0, 6.0), lambda: self._restart(place))

    def _restart(self, place: FakeTarget) -> None:
        place.life += 1
        place.is_leaving = False
        place.is_turning_away = False
        for gateway in self._up:
            delay_s = self._rng.uniform(0.0, 1.0)
            self._at(delay_s, lambda to=gateway: self._announce(to, place))

    def _turn_away_any(self) -> None:
        place = self._rng.choice(self._targets)
        place.is_turning_away = True

        def stop() -> None:
            place.is_turning_away = False

        self._at(self._rng.uniform(0.3, 5.0), stop)

    # Entries.

    def _announce(self, gateway: FakeGateway, place: FakeTarget) -> None:
        entry = Announcement(place.lifetime, SERVICE, "127.0.0.1:9", "z", 8)
        targets.apply_announcement(gateway.directory, entry, self.now)

    def _disturb_entry(self) -> None:
        gateway, place = self._rng.choice(self._up), self._rng.choice(self._targets)
        if self._rng.random() < 0.5:
            targets.note_missing(gateway.directory, self.now, place.id)
        delay_s = self._rng.uniform(0.0, 4.0)
        self._at(delay_s, lambda: self._announce(gateway, place))

    # Gateways.

    def _start_gateway(self, name: str) -> FakeGateway:
        gateway = FakeGateway(name, lambda: self.now)
        self.gateways.append(gateway)
        for place in self._targets:
            self._announce(gateway, place)
        return gateway

    def _drop_gone(self) -> None:
        for gateway in self._up:
            gateway.drop_gone(self.now)

    def _kill_any(self) -> None:
        index = self._rng.randrange(len(self._up))
        self._up[index] = self._start_gateway(self._up[index].name)


def _make_head(place: FakeTarget, status: int, **more: object) -> AnswerHead:
    values: dict[str, object] = {
        "status": status,
        "reason": b"",
        "headers": (),
        "request_id": "",
        "not_run": status == MISDIRECTED,
        "answered_by": "",
        "sealed": status == 200,
        "idle_s": None,
        "leaving": place.is_leaving,
    }
    return AnswerHead(**(values | more))
