"""What replicas said of themselves to each gateway, and what reaches them since."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

GRACE_S = 0.5
MOST_IN_REST = 2
"""From when after an answer that asks for rest it holds, seconds; how many requests may
come until it ends."""

HELD_S = 2.0
MOST_HELD = 2
"""For how long a request counts as held that is not served, seconds; how many may be
where no replica takes requests of all gateways."""

LEAST_SERVED = 0.9
FEWEST_COUNTED = 50
"""Least share that is served while replicas of all roles take requests; the number of
such requests without which nothing is said of it."""


SERVED = 200


class Supply(StrEnum):
    """Whether replicas that a request needs take those of all gateways at its time."""

    FULL = "enough take requests of all"
    SOME = "some take requests of all, or the gateway may not know all"
    NONE = "none takes requests of all"


class Pair(NamedTuple):
    """One life of a gateway and one of a replica."""

    gateway: str
    replica: str


@dataclass(frozen=True)
class Sent:
    """A request as its caller sent it.

    Attributes:
        gateway: The life of the gateway that it was sent to.
        at: When, steady seconds.
    """

    gateway: str
    at: float


@dataclass(frozen=True)
class Rest:
    """A time in which a replica wants nothing from a gateway.

    Attributes:
        pair: The two.
        begins_at: When it was asked for, steady seconds.
        ends_at: Its end, steady seconds.
    """

    pair: Pair
    begins_at: float
    ends_at: float


@dataclass
class SelfReportAccount:
    """Requests, answers that say something of their replicas, and what came of it.

    Attributes:
        leave_s: From how long after an answer that says so nothing may reach a leaving
            replica, seconds.
        passed_on: When a gateway first passed on that a replica leaves.
        rests: All rests that were asked for.
        late: Requests that reached a leaving replica, as they are told.
        outcomes: How often each status was answered, 0 for a broken answer and None for
            none until the deadline, by what replicas were there.
        away_at: When the store was last out of reach of a gateway, by its name.
        held: How many were not served and held, by the same.
    """

    leave_s: float
    passed_on: dict[Pair, float] = field(default_factory=dict)
    rests: list[Rest] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    outcomes: dict[Supply, Counter[int | None]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    away_at: dict[str, float] = field(default_factory=dict)
    held: Counter[Supply] = field(default_factory=Counter)
    _sent: dict[str, Sent] = field(default_factory=dict)
    _leaving: dict[tuple[str, str], str] = field(default_factory=dict)
    _arrivals: dict[Pair, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def note_sent(self, id: str, gateway: str, now: float) -> None:
        """Take note of a request before it is sent."""
        self._sent[id] = Sent(gateway, now)

    def note_arrival(self, id: str, replica: str, now: float) -> None:
        """Take note that a request reaches a life of a replica."""
        sent = self._sent.get(id)
        if sent is None:
            return
        pair = Pair(sent.gateway, replica)
        self._arrivals[pair].append(now)
        passed_at = self.passed_on.get(pair)
        if passed_at is not None and sent.at > passed_at + self.leave_s:
            late_ms = round(1000 * (sent.at - passed_at))
            text = f"{id}: sent {late_ms} ms after {pair.gateway} passed on an answer"
            self.late.append(f"{text} that {replica} leaves, and reaches it")

    def note_leaving(self, id: str, seal: str, replica: str) -> None:
        """Take note that a replica's answer to a request says that it leaves."""
        self._leaving[id, seal] = replica

    def note_passed_on(self, id: str, seal: str, now: float) -> None:
        """Take note of the head of an answer as its caller gets it."""
        replica = self._leaving.get((id, seal))
        if replica is not None:
            pair = Pair(self._sent[id].gateway, replica)
            self.passed_on.setdefault(pair, now)

    def note_rest(self, id: str, replica: str, rest_s: float, now: float) -> None:
        """Take note that a replica turns a request away and asks for rest."""
        sent = self._sent.get(id)
        if sent is not None:
            pair = Pair(sent.gateway, replica)
            self.rests.append(Rest(pair, now, now + rest_s))

    def note_outcome(self, supply: Supply, status: int | None, waited_s: float) -> None:
        """Take note of what a caller got; None for nothing until its deadline."""
        self.outcomes[supply][status] += 1
        self.held[supply] += status != SERVED and waited_s >= HELD_S

    def compute_served(self, supply: Supply) -> float:
        """Compute the share that was served; 1 where there were no requests."""
        found = self.outcomes[supply]
        return found[SERVED] / found.total() if found else 1.0

    def list_disturbed(self) -> list[str]:
        """List the rests in which more requests came than may."""
        findings = []
        for rest in self.rests:
            from_at = rest.begins_at + GRACE_S
            times = self._arrivals[rest.pair]
            found = sum(from_at <= time < rest.ends_at for time in times)
            if found > MOST_IN_REST:
                seconds = rest.ends_at - rest.begins_at
                text = f"{rest.pair.replica} asked {rest.pair.gateway}"
                findings.append(f"{text} for {seconds:.1f} s of rest, and got {found}")
        return findings

    def list_findings(self) -> list[str]:
        """List all that must not be."""
        findings = self.late + self.list_disturbed()
        held = self.held[Supply.NONE]
        if held > MOST_HELD:
            findings.append(f"{held} held where {Supply.NONE}")
        served = self.compute_served(Supply.FULL)
        enough = self.outcomes[Supply.FULL].total() >= FEWEST_COUNTED
        if enough and served < LEAST_SERVED:
            findings.append(f"{served:.2f} served where {Supply.FULL}")
        return findings
