"""Callers that take broken streams up again at another gateway."""

import asyncio
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.callers import write_request
from soak.gateways import GatewayProcess
from soak.replicas import SoakReplica
from soak.versionaccount import Try, VersionAccount
from soak.world import World
from standins.rawhttp import LOOPBACK
from standins.replica import USUAL_VERSION

DEADLINE_S = 4.0
"""How long a caller waits for its answer, as it says, seconds."""

EVENTS = 8
"""Events of a whole stream."""

KNOWN_S = 1.5
"""How long ago an engine must have begun to count as one that serves, seconds."""

FEWEST_ENGINES = 2
"""Engines of its version that serve while a take-up counts."""

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

LENGTH = re.compile(r"^content-length: *(\d+)", re.MULTILINE)
EVENT = re.compile(rb"id: (\d+)\ndata: \S+-\d+(?: (\S+))?\n\n")


@dataclass(frozen=True)
class Habits:
    """How callers behave.

    Attributes:
        pause_s: Shortest and longest pause before each take-up, seconds.
        rest_s: Shortest and longest pause after each stream, seconds.
        take_ups: Most take-ups of a stream.
        leave_share: Share of the events after which a caller leaves and comes back.
        last_left: Last event after which callers leave.
        keeps_connections: Whether callers use connections again until these are gone.
    """

    pause_s: tuple[float, float] = (0.05, 0.4)
    rest_s: tuple[float, float] = (0.05, 0.4)
    take_ups: int = 6
    leave_share: float = 0.0
    last_left: int = 0
    keeps_connections: bool = False

    def leaves(self, rng: random.Random, event: int) -> bool:
        """Whether a caller leaves after an event."""
        return event <= self.last_left and rng.random() < self.leave_share


USUAL_HABITS = Habits()


@dataclass
class Stream:
    """A stream as its caller has it.

    Attributes:
        name: What its tries' ids begin with.
        data: Its request as written, for a try of that name.
        first: Id of the try that brought its first event; empty before.
        last: Number of its last event; 0 before the first.
        versions: Versions of all its events.
        is_ended: Whether its end came.
    """

    name: str
    data: bytes
    first: str = ""
    last: int = 0
    versions: set[str] = field(default_factory=set)
    is_ended: bool = False


class Connections:
    """A caller's connections, one to each gateway at the most.

    Attributes:
        is_kept: Whether one is used again after a whole answer.
    """

    def __init__(self, is_kept: bool = False):
        self.is_kept = is_kept
        self._idle: dict[int, Connection] = {}

    async def take(self, port: int) -> Connection:
        """Take a connection to a port: the kept one, unless it is gone.

        Raises:
            OSError: If none can be opened.
        """
        kept = self._idle.pop(port, None)
        if kept is not None:
            reader, writer = kept
            if not reader.at_eof() and not writer.transport.is_closing():
                return kept
            writer.close()
        return await asyncio.open_connection(LOOPBACK, port)

    def give_back(self, port: int, connection: Connection, is_whole: bool) -> None:
        """Give a connection back after an answer, or what there is of it."""
        if self.is_kept and is_whole:
            self._idle[port] = connection
        else:
            connection[1].close()

    def close(self) -> None:
        """Close those that are kept."""
        for _, writer in self._idle.values():
            writer.close()


async def call_streams(
    world: World,
    account: VersionAccount,
    serving: set[str],
    name: str,
    habits: Habits = USUAL_HABITS,
) -> None:
    """Begin one stream after another and take each up until it is whole.

    Args:
        world: The deployment.
        account: Told what became of them.
        serving: Names of the gateways that are sound.
        name: What the streams' names begin with.
        habits: How its caller behaves.
    """
    caller = _Caller(world, account, serving, habits)
    number = 0
    try:
        while True:
            number += 1
            stream = _make_stream(f"{name}-{number}", world.rng)
            try:
                await _call_stream(caller, stream)
            finally:
                account.note_stream(stream.name, stream.versions)
            await asyncio.sleep(world.rng.uniform(*habits.rest_s))
    finally:
        caller.connections.close()


class _Caller:
    """What one caller has; see `call_streams`."""

    def __init__(
        self, world: World, account: VersionAccount, serving: set[str], habits: Habits
    ):
        self.world = world
        self.account = account
        self.serving = serving
        self.habits = habits
        self.connections = Connections(habits.keeps_connections)


async def _call_stream(caller: _Caller, stream: Stream) -> None:
    """Begin a stream and take it up, each time at another gateway."""
    world, habits = caller.world, caller.habits
    gateway = world.rng.choice(world.gateways)
    await _try_counted(caller, stream, gateway, 0)
    for attempt in range(1, habits.take_ups + 1):
        if stream.is_ended or not stream.last:
            break
        await asyncio.sleep(world.rng.uniform(*habits.pause_s))
        gateway = world.rng.choice([g for g in world.gateways if g is not gateway])
        await _try_counted(caller, stream, gateway, attempt)


def _make_stream(name: str, rng: random.Random) -> Stream:
    data = write_request(name, "digest", rng, deadline_ms=round(DEADLINE_S * 1000))
    return Stream(name, data)


async def _try_counted(
    caller: _Caller, stream: Stream, gateway: GatewayProcess, attempt: int
) -> None:
    world, account, habits = caller.world, caller.account, caller.habits
    kind = Try.TAKE_UP if stream.last else Try.NEW
    process, before = gateway.process, stream.last

    def counts() -> bool:
        is_sound = gateway.name in caller.serving and gateway.process is process
        return is_sound and (kind is Try.NEW or _may_go_on(stream, world))

    is_open = counts()

    def judge() -> None:
        nonlocal is_open
        if is_open and counts():
            # Who has all events is owed the end alone.
            is_whole = before == EVENTS and stream.is_ended
            account.note_try(kind, stream.last > before or is_whole)
        is_open = False

    def take_event() -> None:
        judge()
        if habits.leaves(world.rng, stream.last):
            raise ConnectionAbortedError

    status = await _try_once(
        stream, gateway.callers, attempt, take_event, caller.connections
    )
    account.statuses[kind, status] += 1
    judge()


def _may_go_on(stream: Stream, world: World) -> bool:
    """Whether enough engines of a stream's version serve."""
    now = asyncio.get_running_loop().time()
    engines = [r for r in world.replicas.values() if _serves(r, now)]
    versions = [r.software_version for r in engines]
    return all(versions.count(v) >= FEWEST_ENGINES for v in stream.versions)


def _serves(replica: SoakReplica, now: float) -> bool:
    is_engine = replica.role != "" and not replica.is_leaving
    return is_engine and now - replica.began_at >= KNOWN_S


async def _try_once(
    stream: Stream,
    port: int,
    attempt: int,
    on_event: Callable[[], None],
    connections: Connections,
) -> int:
    """Send a stream's request and read its events; returns the answer's status."""
    id = f"{stream.name}-t{attempt}"
    status, is_whole = 0, False
    connection = None
    try:
        connection = await connections.take(port)
        reader, writer = connection
        async with asyncio.timeout(DEADLINE_S):
            writer.write(write_try(stream, id))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split()[1])
            if "transfer-encoding: chunked" in head:
                await read_events(stream, id, reader, on_event)
            elif (length := LENGTH.search(head)) is not None:
                await reader.readexactly(int(length[1]))
            is_whole = "connection: close" not in head
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass  # Broken off, which is what take-ups are for.
    finally:
        if connection is not None:
            connections.give_back(port, connection, is_whole)
    return status


def write_try(stream: Stream, id: str) -> bytes:
    """Write a try of a stream: its first request, or one that takes it up."""
    lines = f"X-Request-Id: {id}\r\n"
    if stream.last:
        lines += f"Last-Event-Id: {stream.last}\r\nResumes: {stream.first}\r\n"
    own = f"X-Request-Id: {stream.name}\r\n"
    return stream.data.replace(own.encode(), lines.encode())


async def read_events(
    stream: Stream, id: str, reader, on_event: Callable[[], None] = lambda: None
) -> None:
    """Read the events of a try of a stream, until the stream ends or breaks.

    Args:
        stream: The stream.
        id: The try's id.
        reader: Where its answer comes, after the head.
        on_event: Called with each event.
    """
    text = b""
    while size := int(await reader.readline(), 16):
        text += (await reader.readexactly(size + 2))[:size]
        end = 0
        for event in EVENT.finditer(text):
            end = event.end()
            stream.first = stream.first or id
            stream.last = int(event[1])
            stream.versions.add((event[2] or USUAL_VERSION.encode()).decode())
            on_event()
        text = text[end:]
    stream.is_ended = True
    await reader.readline()
