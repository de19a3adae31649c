"""Gateways and callers that take streams up, in virtual time, while versions change.

The real memory of streams, records of versions and kept origins run before a store in
memory. Gateways read the list of targets late, stand still, are cut off from the store
and from each other, one way or both, and die, also all at once. The store's answers
come late or are lost; its writes are lost too, or done later.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from fuzz.virtualtime import VirtualSelector, run_virtually
from robinspindle import streambinding
from robinspindle.core import targets
from robinspindle.core.peerdigests import PeerView
from robinspindle.core.relays import Member
from robinspindle.core.routes import Backend, CallerLimits, Route, make_table
from robinspindle.core.streamorigins import StreamOrigin, make_stream_key
from robinspindle.core.streamversions import StreamBinding
from robinspindle.core.targets import Announcement, Directory, apply_announcement
from robinspindle.core.versionhistory import note_listed
from robinspindle.exceptions import LogConflictError, LogUnavailableError
from robinspindle.fleet import Fleet
from robinspindle.following import Follower
from robinspindle.originlink import PORT_OFFSET, OriginLink
from robinspindle.originlog import OriginLog
from robinspindle.peers import Peers, has_peer_without_store, note_member
from robinspindle.platform.dialect import decode_answer
from robinspindle.storerecords import KeyedRecord, Records
from robinspindle.streammemory import StreamMemory
from robinspindle.versionkeeping import VersionKeeper
from robinspindle.versionwriting import VersionWriter

TOPIC = "keyed.gateways"
SERVICE = "lm"
LIMIT_S = 3.0
"""Time limit of the streams' route, seconds."""

CALL_S = 0.004
TRANSIT_S = 0.002
"""How long a call of the store and a datagram take, seconds."""

LOST_SHARE = 0.02
"""Share of datagrams, of writes, and of the store's answers to them, that are lost
where nothing else is said."""

LATE_SHARE = 0.05
LATE_S = (0.1, 3.0)
"""Share of reads whose answers are held up; how late these are, and writes that are
done later, seconds."""

HEARD_S = 0.25
"""How often gateways look whom they hear, seconds."""

READ_S = (0.02, 3.0)
"""Shortest and longest time between two reads of the list or the records, seconds."""

STREAM_S = (0.05, LIMIT_S)
BACK_S = (0.05, 1.5)
"""How long streams last, and how long callers wait before they take one up, seconds."""

BREAK_SHARE = 0.3
"""Share of streams that break although their gateway lives."""


@dataclass(frozen=True)
class TakeUp:
    """A stream that was taken up.

    Attributes:
        began: The version that began it.
        found: The version at which it goes on; empty where it is refused.
        counts: Whether its version served, and its gateway reached the store.
    """

    began: str
    found: str
    counts: bool


class FuzzStore:
    """The platform's store: one keyed topic and one without keys.

    Attributes:
        era: Its era.
        keyed: The records of the keyed topic.
        late_share: Share of reads whose answers are held up.
        lost_share: Share of writes, and of the answers to them, that are lost.
    """

    def __init__(self, rng: random.Random):
        self.era = 0
        self.late_share = LATE_SHARE
        self.lost_share = LOST_SHARE
        self.keyed: list[KeyedRecord] = []
        self._origins: list[bytes] = []
        self._rng = rng

    async def read_from(
        self, topic: str, offset: int, wait_s: float
    ) -> Records[KeyedRecord]:
        """Read the keyed records from an offset on."""
        await asyncio.sleep(CALL_S)
        items = tuple(self.keyed[offset:])
        records = Records(items, offset + len(items), len(self.keyed))
        await self._hold_up()
        return records

    async def append_keyed(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> int:
        """Append one keyed record."""
        await asyncio.sleep(CALL_S)
        if self._loses():
            return self._lose(lambda: self._put(key, value, expected_end))
        return self._answer(self._put(key, value, expected_end))

    async def append(self, topic: str, record: bytes) -> int:
        """Append one record without a key."""
        await asyncio.sleep(CALL_S)
        if self._loses():
            return self._lose(lambda: self._origins.append(record))
        self._origins.append(record)
        return self._answer(len(self._origins) - 1)

    async def read_records(self, topic: str, offset: int) -> Records[bytes]:
        """Read the records without keys from an offset on."""
        await asyncio.sleep(CALL_S)
        values = tuple(self._origins[offset:])
        records = Records(values, offset + len(values), len(self._origins))
        await self._hold_up()
        return records

    def _put(self, key: str, value: bytes, expected_end: int | None) -> int:
        if expected_end not in (None, len(self.keyed)):
            raise LogConflictError(len(self.keyed))
        self.keyed.append(KeyedRecord(key, value or None))
        return len(self.keyed) - 1

    async def _hold_up(self) -> None:
        """Hold an answer up: what it says may be old when it comes."""
        if self._rng.random() < self.late_share:
            await asyncio.sleep(self._rng.uniform(*LATE_S))

    def _loses(self) -> bool:
        return self._rng.random() < self.lost_share

    def _lose(self, write: Callable[[], object]) -> int:
        """Lose a write, or do it later if its condition still holds."""

        def do_later() -> None:
            with contextlib.suppress(LogConflictError):
                write()

        if self._rng.random() < 0.5:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(*LATE_S), do_later)
        raise LogUnavailableError("no answer")

    def _answer(self, offset: int) -> int:
        if self._loses():
            raise LogUnavailableError("the answer was lost")
        return offset


class StoreLink:
    """One gateway's way to the store.

    Attributes:
        cut: Which way nothing gets through: empty, ``in`` for calls, ``out`` for their
            answers, or ``both``.
    """

    def __init__(self, store: FuzzStore, await_step: Callable[[], Awaitable[None]]):
        self.cut = ""
        self._store = store
        self._await_step = await_step

    @property
    def era(self) -> int:
        """The store's era."""
        return self._store.era

    def __getattr__(self, name: str):
        """Find a call of the store."""
        call = getattr(self._store, name)

        async def make(*arguments):
            await self._await_step()
            if self.cut in ("in", "both"):
                raise LogUnavailableError("cut off")
            try:
                return await call(*arguments)
            finally:
                # An answer waits in the socket of a process that stands still.
                await self._await_step()
                if self.cut:
                    raise LogUnavailableError("cut off")

        return make


@dataclass
class Listed:
    """The targets that the platform lists.

    Attributes:
        versions: The version of each lifetime.
    """

    versions: dict[str, str] = field(default_factory=dict)


class FuzzGateway:
    """One life of a gateway.

    Attributes:
        member: How it introduces itself.
        is_alive: Whether its process runs.
        cut: Which way no datagram of other gateways gets through: empty, ``in``,
            ``out`` or ``both``.
    """

    def __init__(self, world: "TakeUpWorld", number: int):
        self._world = world
        clock = world.clock
        self.member = Member(f"g{number}", f"10.0.0.{number}", 7000)
        self.is_alive = True
        self.cut = ""
        self._in_step = asyncio.Event()
        self._in_step.set()
        self._held: list[tuple[bytes, tuple[str, int]]] = []
        self.store = StoreLink(world.store, self.await_step)
        self.fleet = Fleet(Directory(), decode_answer)
        self.fleet.directory.missing_grace_s = 0.1
        self.fleet.table = world.table
        self.peers = Peers(self.member, 1.0)
        self.link = OriginLink(self.peers, world.log)
        self.link.connection_made(self)
        kept = OriginLog(self.store, "origins", lambda: 1, world.log)
        self.memory = StreamMemory(self.peers, self.link, kept, clock, world.log)
        shared = (self.store, TOPIC, self.fleet, world.count_gateways, clock, world.log)
        self.keeper = VersionKeeper(*shared)
        self.keeper.note_several = self.memory.keep_running
        self.keeper.follower = Follower(
            TOPIC, self.keeper.apply, lambda: None, lambda: None
        )
        writer = VersionWriter(
            self.keeper, *shared, lambda: has_peer_without_store(self.peers)
        )
        self._tasks = [
            asyncio.create_task(run())
            for run in (kept.run, writer.run, self._follow, self._list, self._hear)
        ]
        self.means = SimpleNamespace(
            streams=self.memory,
            versions=self.keeper,
            clock=clock,
            book=SimpleNamespace(read_wall=lambda: 1e9 + clock()),
        )

    @property
    def is_ready(self) -> bool:
        """Whether it has read the records and the list."""
        follower = self.keeper.follower
        return self.is_alive and follower.offset is not None and self._is_list_read

    _is_list_read = False

    @property
    def is_frozen(self) -> bool:
        """Whether it stands still."""
        return not self._in_step.is_set()

    def freeze(self) -> None:
        """Have it stand still; what comes waits."""
        self._in_step.clear()

    def thaw(self) -> None:
        """Have it go on, with what came meanwhile."""
        self._in_step.set()
        held, self._held = self._held, []
        for data, source in held:
            self.link.datagram_received(data, source)

    async def await_step(self) -> None:
        """Wait until it does not stand still."""
        await self._in_step.wait()

    def take(self, data: bytes, source: tuple[str, int]) -> None:
        """Take a datagram, or have it wait."""
        if self.is_frozen:
            self._held.append((data, source))
        else:
            self.link.datagram_received(data, source)

    def end(self) -> None:
        """End the process."""
        self.is_alive = False
        # Who waits for it sees that it is dead.
        self._in_step.set()
        for task in self._tasks:
            task.cancel()

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, unless it stands still."""
        if not self.is_frozen:
            self._world.carry(self, data, address)

    async def _follow(self) -> None:
        """Read the versions' records."""
        follower = self.keeper.follower
        while True:
            try:
                records = await self.store.read_from(TOPIC, follower.offset or 0, 0.0)
            except LogUnavailableError:
                await asyncio.sleep(READ_S[1])
                continue
            for item in records.items:
                follower.apply(item.key, item.value)
            follower.offset = records.end
            await asyncio.sleep(self._world.rng.uniform(*READ_S))

    async def _list(self) -> None:
        """Read the list of targets."""
        while True:
            await self.await_step()
            if not self.store.cut:
                self._take_list(self._world.clock())
            await asyncio.sleep(self._world.rng.uniform(*READ_S))

    async def _hear(self) -> None:
        """Look whom it hears."""
        while True:
            await self.await_step()
            self._world.tell_heard(self)
            await asyncio.sleep(HEARD_S)

    def _take_list(self, now: float) -> None:
        directory = self.fleet.directory
        listed = self._world.listed.versions
        for lifetime, version in listed.items():
            announced = Announcement(
                lifetime, SERVICE, "10.1.0.1:1", "a", 8, software_version=version
            )
            apply_announcement(directory, announced, now)
            note_listed(self.fleet.versions, announced, now)
            if not self.keeper.may_begin(announced):
                self.keeper.note_announced()
        for lifetime in directory.targets.keys() - listed.keys():
            targets.note_missing(directory, now, lifetime)
        for target in targets.drop_gone(directory, now):
            self.fleet.forget(target, now)
        self._is_list_read = True


class TakeUpWorld:
    """The deployment.

    Attributes:
        take_ups: Streams that were taken up.
        begun: Number of streams that began.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.selector = VirtualSelector()
        self.store = FuzzStore(self.rng)
        self.listed = Listed()
        self.table = _make_table()
        self.gateways: list[FuzzGateway] = []
        self.take_ups: list[TakeUp] = []
        self.begun = 0
        self._lives = 0

    def clock(self) -> float:
        """Tell the present time, seconds."""
        return self.selector.now

    def log(self, text: str, **fields) -> None:
        """Take a log line."""

    def count_gateways(self) -> int:
        """Count the gateways."""
        return len(self.gateways)

    def play(self, coroutine):
        """Run a coroutine in virtual time."""
        return run_virtually(coroutine, self.selector)

    def start_gateway(self) -> None:
        """Start a gateway under a new name."""
        self._lives += 1
        self.gateways.append(FuzzGateway(self, self._lives))
        self._introduce_all()

    def end_gateway(self, gateway: FuzzGateway) -> None:
        """Kill a gateway."""
        gateway.end()
        self.gateways.remove(gateway)
        self._introduce_all()

    def carry(self, sender: FuzzGateway, data: bytes, address) -> None:
        """Carry a datagram, unless it is lost."""
        if sender.cut not in ("out", "both") and self.rng.random() >= LOST_SHARE:
            loop = asyncio.get_running_loop()
            loop.call_later(TRANSIT_S, self._deliver, sender, data, address)

    def _deliver(self, sender: FuzzGateway, data: bytes, address) -> None:
        source = (sender.member.host, sender.member.port + PORT_OFFSET)
        for gateway in self.gateways:
            own = (gateway.member.host, gateway.member.port + PORT_OFFSET)
            if own == address and gateway.cut not in ("in", "both"):
                gateway.take(data, source)

    def _introduce_all(self) -> None:
        for gateway in self.gateways:
            others = [g.member for g in self.gateways if g is not gateway]
            gateway.peers.members = {}
            for member in others:
                note_member(gateway.peers, member)
            self.tell_heard(gateway)

    def tell_heard(self, gateway: FuzzGateway) -> None:
        """Tell a gateway whom it hears now; the first of all is the relay."""
        others = [g for g in self.gateways if g is not gateway]
        names = [g.member.name for g in others if self._can_hear(gateway, g)]
        lacks_store = any(g.store.cut for g in others if g.member.name in names)
        view = PeerView(members=names, lacks_store=lacks_store)
        gateway.peers.views = {names[0]: view} if names else {}
        gateway.peers.choice.relay = min([gateway.member.name, *names])
        gateway.fleet.hears_all_gateways = len(names) == len(others)

    def _can_hear(self, gateway: FuzzGateway, other: FuzzGateway) -> bool:
        is_sent = other.cut not in ("out", "both") and not other.is_frozen
        return is_sent and gateway.cut not in ("in", "both")

    def find_ready(self) -> FuzzGateway | None:
        """Find a gateway that callers are sent to."""
        ready = [gateway for gateway in self.gateways if gateway.is_ready]
        return self.rng.choice(ready) if ready else None

    async def run_stream(self) -> None:
        """Begin a stream, and take it up once its gateway has died."""
        gateway = self.find_ready()
        if gateway is None:
            return
        await gateway.await_step()
        lifetime = self._choose_target(gateway) if gateway.is_alive else None
        if lifetime is None:
            return
        self.begun += 1
        key = make_stream_key("", f"{self.begun}")
        began = gateway.fleet.directory.targets[lifetime].announced.software_version
        origin = StreamOrigin(SERVICE, began, lifetime, 0)
        is_kept = gateway.keeper.has_several([SERVICE])
        gateway.memory.note_begun(key, origin, is_kept)
        ends_at = self.clock() + self.rng.uniform(*STREAM_S)
        while gateway.is_alive and self.clock() < ends_at:
            await asyncio.sleep(0.05)
        if gateway.is_alive and self.rng.random() >= BREAK_SHARE:
            await gateway.await_step()
            gateway.memory.note_whole(key)
            return
        await asyncio.sleep(self.rng.uniform(*BACK_S))
        await self._take_up(StreamBinding(key, None, True), began)

    def _choose_target(self, gateway: FuzzGateway) -> str | None:
        """Choose a target at which a stream may begin, as the gateway knows them."""
        found = [
            lifetime
            for lifetime, target in sorted(gateway.fleet.directory.targets.items())
            if gateway.keeper.may_begin(target.announced)
            and self.listed.versions.get(lifetime, target.announced.software_version)
        ]
        return self.rng.choice(found) if found else None

    async def _take_up(self, stream: StreamBinding, began: str) -> None:
        gateway = self.find_ready()
        if gateway is None:
            return
        await gateway.await_step()
        if not gateway.is_alive:
            return
        was_cut = gateway.store.cut
        route = next(iter(self.table.routes.values()))[0]
        found = await streambinding.find_origin(gateway.means, route, stream, True)
        serves = began in self.listed.versions.values()
        counts = serves and not (was_cut or gateway.store.cut)
        version = found.origin.software_version if found.origin else ""
        self.take_ups.append(TakeUp(began, version, counts))


def _make_table():
    route = Route(
        "digest",
        "h",
        "/digest/",
        "stream",
        LIMIT_S,
        1.0,
        backends=(Backend(SERVICE),),
        resumable=True,
    )
    return make_table(1, [route], [], CallerLimits())
