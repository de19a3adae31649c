"""Gateways that serve keys, in virtual time: an operator takes keys away under faults.

The gateways follow the stand-in store with the product's own follower, pass their
freshness on by the product's own facts, and let requests run by its own permits. They
are frozen, cut from the store and from each other; answers and datagrams take any time.
"""

import asyncio
import random
from dataclasses import dataclass, field

from fuzz.sides import Side, begin_trouble
from fuzz.storerecords import Record
from fuzz.virtualtime import VirtualSelector, run_virtually
from robinspindle import following
from robinspindle.core import freshness as ages
from robinspindle.core import permits, routes
from robinspindle.core.forwarding import Refusal, Request
from robinspindle.core.freshness import Freshness
from robinspindle.core.relays import Member
from robinspindle.core.routes import IDEMPOTENT, Backend, CallerLimits, Route
from robinspindle.core.usagereports import Reports
from robinspindle.core.workspaces import Workspace, digest_key, make_key_ring
from robinspindle.exceptions import LogUnavailableError
from robinspindle.following import Follower, Outage
from robinspindle.peerfacts import PeerFacts
from robinspindle.peers import Peers, note_member, note_sent
from robinspindle.storerecords import Records
from robinspindle.usagebook import UsageBook

REVOKE_S = 5.0
APPLY_S = 3.0
LENGTH_S = 60.0
GATEWAYS = 4
KEYS = 6
WALL_S = 1_000_000.0
STEP_S = 3.0
"""How far a clock is set wrong, seconds."""


KeyConfiguration = tuple[int, frozenset[int]]
"""A configuration: its version, and the keys that it holds."""


@dataclass
class World:
    """All that is shared.

    Attributes:
        versions: The configurations that were acknowledged.
        given: When each key's giving was acknowledged.
        taken_away: When each key's taking away was.
        ran: Requests that ran: when sent, whose key, what the gateway knew.
    """

    rng: random.Random
    selector: VirtualSelector
    versions: list[Record[KeyConfiguration]] = field(default_factory=list)
    given: dict[int, float] = field(default_factory=dict)
    taken_away: dict[int, float] = field(default_factory=dict)
    found: list[str] = field(default_factory=list)
    trouble: set[str] = field(default_factory=set)
    gateways: list["Gateway"] = field(default_factory=list)
    served: int = 0

    @property
    def now(self) -> float:
        """The present time, seconds."""
        return self.selector.now


class Gateway(Side):
    """One gateway: the product's follower, facts and permits."""

    def __init__(self, world: World, number: int):
        super().__init__(world, f"g{number}", (0.002, 0.05, 0.4))
        self.era = None
        self.table = None
        self.freshness = Freshness(REVOKE_S, APPLY_S)
        members = [Member(f"g{n}", "h", 1, f"z{n // 2}") for n in range(GATEWAYS)]
        self.peers = Peers(members[number], world.now)
        for member in members:
            note_member(self.peers, member)
        self.peers.choice.relay = f"g{number // 2 * 2}"
        self.peers.number = world.rng.randrange(1 << 30)
        book = UsageBook(
            self.name, 0, self.read_clock, lambda *a, **k: None, self._read_wall
        )
        self.facts = PeerFacts(
            self.peers, self.freshness, book, Reports(), self.read_clock
        )
        self.follower = Follower(
            "config",
            self._apply,
            lambda: None,
            lambda: None,
            wait_s=self._find_wait_s,
            note_newest=lambda sent_at: ages.note_store_read(self.freshness, sent_at),
        )

    def read_clock(self) -> float:
        """Read the steady clock."""
        return self.world.now

    def _read_wall(self) -> float:
        return WALL_S + self.world.now + self.step_s

    def _find_wait_s(self) -> float:
        if self.peers.is_relay:
            return ages.find_relay_wait_s(self.freshness, 2.0)
        return ages.find_wait_s(self.freshness, self.world.now, 25.0)

    def _apply(self, key: str, value) -> None:
        version, keys = value
        pairs = [(digest_key(b"%d" % k), Workspace(f"w{k}")) for k in keys]
        ring, _ = make_key_ring(pairs)
        route = Route("r", "h", "/", IDEMPOTENT, 5.0, 1.0, backends=(Backend("s"),))
        self.table = routes.make_table(version, [route], [], CallerLimits(), ring)
        self.freshness.version = version
        self.freshness.has_keys = True

    # As a store.

    async def read_newest(self, topic: str) -> Records[KeyConfiguration]:
        """Read the newest configuration."""
        await self._travel()
        newest = tuple(self.world.versions[-1:])
        end = len(self.world.versions)
        await self._come_back()
        return Records(newest, end, end)

    async def read_from(
        self, topic: str, offset: int, wait_s: float
    ) -> Records[KeyConfiguration]:
        """Read on, waiting for the first record."""
        await self._travel()
        until = self.world.now + wait_s
        while len(self.world.versions) <= offset and self.world.now < until:
            await asyncio.sleep(min(0.1, until - self.world.now + 1e-6))
        end = len(self.world.versions)
        items = tuple(self.world.versions[offset:])
        await self._come_back()
        return Records(items, end, end)

    def drop_connections(self) -> None:
        """Drop kept connections; there are none in memory."""

    async def _travel(self) -> None:
        await asyncio.sleep(self.world.rng.uniform(0.002, 0.05))
        if {"store down", f"store cut {self.name}"} & self.world.trouble:
            await asyncio.sleep(1.0)
            raise LogUnavailableError("no way", 0, 1.0)

    async def _come_back(self) -> None:
        if "store slow" in self.world.trouble:
            await asyncio.sleep(self.world.rng.uniform(0.0, 0.9))
        await self.wait_while_frozen()

    # What it does.

    async def live(self) -> None:
        """Follow, tell and serve until the end."""
        log = lambda *a, **k: None  # noqa: E731
        await asyncio.gather(
            following.follow(self, self.follower, log, Outage(), self.read_clock),
            self._tell(),
            self._serve(),
        )

    async def _tell(self) -> None:
        world = self.world
        while True:
            await asyncio.sleep(0.2)
            await self.wait_while_frozen()
            if ages.must_renew(self.freshness, world.now):
                following.note_told_away(self.follower)
            note_sent(self.peers, world.now)
            for other in world.gateways:
                if other is not self:
                    self.tell(other)

    async def _serve(self) -> None:
        rng = self.world.rng
        while True:
            await asyncio.sleep(rng.uniform(0.01, 0.2))
            key = rng.choice(sorted(self.world.given))
            asyncio.ensure_future(self._handle(self.world.now, key))

    async def _handle(self, sent_at: float, key: int) -> None:
        """Handle one request; through a freeze it waits before it is read."""
        world = self.world
        await self.wait_while_frozen()
        if self.table is None:
            return
        now = world.now
        request = Request(
            "r", "GET", b"/", "h", (), b"", None, now, None, b"", b"%d" % key
        )
        route = self.table.routes["h"][0]
        permit = permits.authorize(self.table, route, request, self.freshness, now)
        if isinstance(permit, Refusal):
            self._judge_refusal(permit, key, sent_at)
            return
        await asyncio.sleep(world.rng.choice((0.0, 0.02, 0.5, 3.0)))
        await self.wait_while_frozen()
        if permits.is_revoked(self.table, permit):
            return
        self._judge_run(key, sent_at)

    def _judge_run(self, key: int, sent_at: float) -> None:
        world = self.world
        world.served += 1
        taken_at = world.taken_away.get(key)
        if taken_at is None:
            return
        if sent_at > taken_at + REVOKE_S:
            late_s = sent_at - taken_at
            world.found.append(f"{self.name} ran key {key}, gone for {late_s:.2f} s")
        knows = find_owner_of(self.table, key) is None
        if knows:
            world.found.append(f"{self.name} ran key {key} though it knew better")

    def _judge_refusal(self, refusal: Refusal, key: int, sent_at: float) -> None:
        """A key that was given in time, and not taken away, is unknown to nobody."""
        world = self.world
        is_given = sent_at > world.given[key] + APPLY_S
        if refusal.status == 401 and is_given and key not in world.taken_away:
            world.found.append(f"{self.name} called key {key} unknown")


def find_owner_of(table, key: int):
    """Find whose a key is by a table."""
    return table.keys.owners.get(digest_key(b"%d" % key))


def play_keys(seed: int) -> tuple[str, ...]:
    """Play one run; returns what the oracle found."""
    selector = VirtualSelector()
    world = World(random.Random(seed), selector)
    run_virtually(_play(world), selector)
    if not world.served:
        world.found.append("nothing was served at all")
    return tuple(world.found)


async def _play(world: World) -> None:
    held = frozenset(range(KEYS))
    world.given = dict.fromkeys(held, -APPLY_S)
    world.versions.append(Record("config", (1, held)))
    world.gateways += [Gateway(world, number) for number in range(GATEWAYS)]
    tasks = [asyncio.ensure_future(g.live()) for g in world.gateways]
    while world.now < LENGTH_S:
        await asyncio.sleep(0.25)
        for task in tasks:
            if task.done():
                task.result()
        if world.rng.random() < 0.15:
            _trouble(world)
        if world.rng.random() < 0.04:
            held = _change_keys(world, held)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _change_keys(world: World, held: frozenset[int]) -> frozenset[int]:
    """Take one key away and give another."""
    gone, new = world.rng.choice(sorted(held)), len(world.given)
    held = held - {gone} | {new}
    world.versions.append(Record("config", (len(world.versions) + 1, held)))
    world.taken_away[gone] = world.given[new] = world.now
    return held


def _trouble(world: World) -> None:
    rng = world.rng
    gateway = rng.choice(world.gateways)
    seconds = rng.uniform(0.5, 9.0)
    name = gateway.name
    kinds = ("store down", f"store cut {name}", "store slow", f"peers cut {name}")
    kind = rng.choice((*kinds, "freeze", "step"))
    begin_trouble(world, gateway, kind, seconds, STEP_S)
