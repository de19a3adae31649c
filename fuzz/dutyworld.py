"""Gateways that report usage, in virtual time: a store, a platform, peers, and faults.

The gateways run the product's own reporter. The store loses answers and does late what
it was asked, the platform refuses and carries out late, datagrams are lost, gateways
are frozen, killed, cut from the store, from the platform and from each other, and
clocks are stepped. `fuzz.dutyoracle` judges what the platform saw.
"""

import asyncio
import random
from dataclasses import dataclass, field

from fuzz.sides import Side, begin_trouble
from fuzz.storerecords import Record
from fuzz.virtualtime import VirtualSelector
from robinspindle.core.authority import Authority
from robinspindle.core.freshness import Freshness
from robinspindle.core.relays import Member
from robinspindle.core.usage import make_incarnation
from robinspindle.core.usagereports import Reports, Schedule
from robinspindle.dutycalls import DutyOutcome
from robinspindle.dutylog import DutyLog
from robinspindle.dutyranking import DutyRanking
from robinspindle.exceptions import LogConflictError, LogUnavailableError
from robinspindle.peerfacts import PeerFacts
from robinspindle.peers import Peers, note_member, note_sent
from robinspindle.reporting import Reporter
from robinspindle.storerecords import Records
from robinspindle.usagebook import UsageBook

WINDOW_S = 5.0
LATE_S = 10.0
LEASE_S = 3.0
STEP_S = 2.0
"""How far a clock is set wrong, seconds."""

LENGTH_S = 60.0
"""Length of one run, seconds of virtual time."""

GATEWAYS = 4
TELL_S = 0.2
LOOK_S = 0.25
WORKSPACES = ("red", "blue", "green")
SLACK_S = 0.3
"""Calls that come so soon after their sender was frozen or cut are not judged."""

WALL_S = 1_000_000.0
"""The time of day at the start, Unix seconds."""


@dataclass
class Call:
    """A report as the platform received it."""

    at: float
    holder: str
    fence: int
    window: int
    counts: dict[str, int]
    is_judged: bool
    is_accepted: bool


@dataclass
class World:
    """All that is shared.

    Attributes:
        rng: Draws everything.
        selector: Holds the time.
        records: The store's one topic.
        calls: What the platform received.
        begun: Requests that began to run, by window and workspace.
        trouble: Names of what is wrong now.
        excused_until: Until when calls of a gateway are not judged, by name.
    """

    rng: random.Random
    selector: VirtualSelector
    checks_fences: bool
    records: list[Record[bytes]] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    begun: dict[tuple[int, str], int] = field(default_factory=dict)
    trouble: set[str] = field(default_factory=set)
    excused_until: dict[str, float] = field(default_factory=dict)
    gateways: list["Gateway"] = field(default_factory=list)

    @property
    def now(self) -> float:
        """The present time, seconds."""
        return self.selector.now

    def take_report(self, report, sender: "Gateway") -> DutyOutcome:
        """Take a report at the platform."""
        seen = max((call.fence for call in self.calls), default=0)
        is_fenced = self.checks_fences and report.fence < seen
        excused = self.excused_until.get(sender.name, -1.0)
        self.calls.append(
            Call(
                self.now,
                sender.name,
                report.fence,
                report.window,
                dict(report.counts),
                self.now > excused + SLACK_S,
                not is_fenced,
            )
        )
        return DutyOutcome.FENCED if is_fenced else DutyOutcome.TAKEN


class FakeStore:
    """One gateway's way to the store."""

    def __init__(self, world: World, gateway: "Gateway"):
        self.era = None
        self._world = world
        self._gateway = gateway

    async def _travel(self) -> None:
        world = self._world
        await asyncio.sleep(world.rng.uniform(0.002, 0.05))
        name = self._gateway.name
        if {"store down", f"store cut {name}", f"whole cut {name}"} & world.trouble:
            raise LogUnavailableError("no way", 0, 0.0)

    async def read_newest(self, topic: str) -> Records[bytes]:
        """Read the newest record of each key."""
        await self._travel()
        newest = {item.key: item for item in self._world.records}
        end = len(self._world.records)
        await self._gateway.wait_while_frozen()
        return Records(tuple(newest.values()), end, end)

    async def read_from(self, topic: str, offset: int, wait_s: float) -> Records[bytes]:
        """Read from an offset on."""
        await self._travel()
        records = self._world.records
        read = Records(tuple(records[offset:]), len(records), len(records))
        await self._gateway.wait_while_frozen()
        return read

    async def append_keyed(self, topic, key, value, expected_end=None) -> int:
        """Append; at times without an answer, done at once, late or not at all."""
        world = self._world
        await self._travel()
        if "store loses" in world.trouble and world.rng.random() < 0.5:
            delay_s = world.rng.choice((0.0, 2.0, 5.0))
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append, key, value, expected_end)
            await asyncio.sleep(1.0)
            raise LogUnavailableError("no answer", 0, 1.0)
        offset = self._append(key, value, expected_end)
        await self._gateway.wait_while_frozen()
        if offset is None:
            raise LogConflictError(len(world.records))
        return offset

    def _append(self, key, value, expected_end) -> int | None:
        records = self._world.records
        if expected_end is not None and expected_end != len(records):
            return None
        records.append(Record(key, value))
        return len(records) - 1


class Gateway(Side):
    """One life of a gateway: the product's reporter, book and facts."""

    def __init__(self, world: World, number: int, schedule: Schedule):
        super().__init__(world, f"g{number}", (0.001, 0.02, 0.1))
        self.number = number
        self.started = world.now
        zones = [f"z{index}" for index in (0, 1, 2, 0)]
        members = [Member(f"g{n}", "h", 1, zones[n]) for n in range(GATEWAYS)]
        own = members[number]
        self.peers = Peers(own, world.now)
        for member in members:
            note_member(self.peers, member)
        # The last one is in the first one's group, and tells it alone.
        self.peers.choice.relay = "g0" if number == GATEWAYS - 1 else self.name
        self.peers.number = world.rng.randrange(1 << 30)
        self.book = UsageBook(
            self.name,
            make_incarnation(self.peers.started),
            lambda: world.now,
            self._log,
            lambda: WALL_S + world.now + self.step_s,
            schedule,
        )
        self.lines: list[tuple[float, str]] = []
        read_clock = lambda: world.now  # noqa: E731
        self.duties = DutyLog(
            Authority(self.name, LEASE_S),
            Reports(),
            "keyed.usage",
            FakeStore(world, self),
            self.book,
            read_clock,
            self._log,
        )
        self.ranking = DutyRanking(self.peers)
        self.reporter = Reporter(
            self.duties,
            self.ranking,
            self._send,
            self.book,
            self.peers,
            read_clock,
            self._log,
        )
        self.facts = PeerFacts(
            self.peers,
            Freshness(),
            self.book,
            self.duties.reports,
            lambda: world.now,
        )

    def _log(self, text: str, **fields) -> None:
        self.lines.append((self.world.now, f"{text} {fields}"))

    async def _send(self, report) -> DutyOutcome:
        world = self.world
        await self.wait_while_frozen()
        await asyncio.sleep(world.rng.uniform(0.001, 0.02))
        cuts = {f"api cut {self.name}", f"whole cut {self.name}"}
        if ({"api down"} | cuts) & world.trouble:
            await asyncio.sleep(1.0)
            return DutyOutcome.UNSURE
        if "api busy" in world.trouble:
            return DutyOutcome.BUSY
        if "api late" in world.trouble and world.checks_fences:
            delay_s = world.rng.uniform(1.0, 8.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, world.take_report, report, self)
            await asyncio.sleep(1.0)
            return DutyOutcome.UNSURE
        outcome = world.take_report(report, self)
        if "api loses" in world.trouble and world.rng.random() < 0.5:
            await asyncio.sleep(1.0)
            return DutyOutcome.UNSURE
        return outcome

    async def live(self) -> None:
        """Report, count and tell until the life ends."""
        await asyncio.gather(self._report(), self._count(), self._tell())

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            if self.world.now < self.frozen_until:
                await self.wait_while_frozen()
                self.ranking.note_pause()
            self.ranking.note_heard(self.world.now)
            await self.reporter.look()

    async def _count(self) -> None:
        world = self.world
        while True:
            await asyncio.sleep(world.rng.uniform(0.02, 0.3))
            await self.wait_while_frozen()
            workspace = world.rng.choice(WORKSPACES)
            window = int((WALL_S + world.now) // WINDOW_S)
            key = (window, workspace)
            world.begun[key] = world.begun.get(key, 0) + 1
            self.book.count(workspace, world.now)

    async def _tell(self) -> None:
        world = self.world
        while True:
            await asyncio.sleep(TELL_S)
            await self.wait_while_frozen()
            note_sent(self.peers, world.now)
            for other in world.gateways:
                if other.name != self.name:
                    self.tell(other)

    def is_alive(self) -> bool:
        """Whether this life goes on: none of it hears after a kill."""
        return self in self.world.gateways

    def remove_timed_out_peers(self) -> None:
        """Forget peers that were not heard lately, and tell a relay that is."""
        views = self.peers.views
        for name in [n for n, v in views.items() if self.world.now - v.heard_at > 1.5]:
            del views[name]
            self.facts.note_silent(name)
        if self.number == GATEWAYS - 1:
            self.peers.choice.relay = "g0" if "g0" in views else self.name


CALM_S = 3.0
"""How long all is well between two troubles that don't overlap, seconds."""


async def run_world(world: World, kinds: tuple[str, ...], overlap: bool) -> None:
    """Let the gateways live for the length of a run, while things go wrong.

    Args:
        world: The world; changed in place.
        kinds: What may go wrong.
        overlap: Whether something goes wrong while something else is.
    """
    schedule = Schedule(WINDOW_S, LATE_S)
    tasks = {}

    def start(number: int) -> None:
        gateway = Gateway(world, number, schedule)
        world.gateways.append(gateway)
        tasks[gateway.name] = asyncio.ensure_future(gateway.live())

    for number in range(GATEWAYS):
        start(number)
    while world.now < LENGTH_S:
        await asyncio.sleep(0.5)
        for gateway in world.gateways:
            gateway.remove_timed_out_peers()
        for task in tasks.values():
            if task.done():
                task.result()
        if not overlap and not _is_calm(world):
            continue
        if kinds and world.rng.random() < 0.2:
            _trouble(world, kinds, tasks, start)
    for task in tasks.values():
        task.cancel()
    await asyncio.gather(*tasks.values(), return_exceptions=True)


def _is_calm(world: World) -> bool:
    """Whether all gateways have lived and run for a while, and nothing is wrong."""
    if world.trouble or len(world.gateways) < GATEWAYS:
        return False
    if any(gateway.step_s for gateway in world.gateways):
        return False
    return all(
        world.now - max(gateway.started, gateway.frozen_until) >= CALM_S
        for gateway in world.gateways
    )


def _trouble(world: World, kinds: tuple[str, ...], tasks, start) -> None:
    """Begin one more trouble."""
    rng = world.rng
    gateway = rng.choice(world.gateways)
    leader = next(
        (g for g in world.gateways if world.calls and world.calls[-1].holder == g.name),
        gateway,
    )
    if rng.random() < 0.5:
        gateway = leader
    kind = rng.choice(kinds)
    if kind.endswith("cut"):
        kind = f"{kind} {gateway.name}"
    seconds = rng.uniform(0.5, 6.0)
    if kind == "kill":
        _kill(world, gateway, tasks, start)
        return
    begin_trouble(world, gateway, kind, seconds, STEP_S)
    if kind == "freeze":
        world.excused_until[gateway.name] = gateway.frozen_until


def _kill(world: World, gateway: Gateway, tasks, start) -> None:
    tasks.pop(gateway.name).cancel()
    world.gateways.remove(gateway)
    number = int(gateway.name[1:])
    loop = asyncio.get_running_loop()
    loop.call_later(world.rng.uniform(0.3, 3.0), start, number)
