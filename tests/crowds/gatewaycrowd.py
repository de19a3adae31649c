"""A crowd of clients that don't behave, before one real gateway process."""

import asyncio
import contextlib
import itertools
import resource
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial

from robinspindle.core.heldbytes import BYTES_PER_MB
from soak.clientshapes import Pieces, send_body
from soak.processmemory import MemoryWatch, read_status
from standins.endless import Endless, Shape, make_behaviour
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import SERVICES, make_configuration, read_reply
from tests.system.gatewayprocess import prepare

SENDS_S = 10.0
"""How long clients may take to send what they want to, seconds; those that a gateway
does not read on never end."""

STAYS_S = 1.5
"""How long a crowd stays whose replica is slow, seconds."""

ANSWERED_S = 60.0
"""Longest wait for the answer to an ordinary request, seconds; no test depends on
it."""

READ_BYTES = 1024

FILES = 200
"""Descriptors that are kept for files; the others are for sockets and pipes."""

TRICKLE_S = 0.2
"""Pause between two single bytes, seconds."""

PROMISED = frozenset((b"408", b"421", b"429", b"503"))
"""Statuses that promise that a request has not run and never will."""


@dataclass(frozen=True)
class Bounds:
    """What the settings of a gateway allow it.

    Attributes:
        memory_mb: Memory at which it is killed, MB.
        descriptors: Open descriptors that it may have.
        body_bytes: Longest body that callers may send.
        connections: Connections that the replica may get.
    """

    memory_mb: int = 100
    descriptors: int = 600
    body_bytes: int = 1 << 20
    connections: int = 100


@dataclass(frozen=True)
class Crowd:
    """Clients that all do the same at once.

    Attributes:
        count: How many they are.
        make: Makes what one sends from the id of its request.
        port: At which port, by its name in `GatewayProcess`.
        trickles: Whether they go on with single bytes.
        behaviour: How the replica answers them; ``held`` is only after a while.
        endless: What does not end of the behaviour ``endless``; None for another one.
        reads: Whether they read their answers.
        times: How often they come, each time when the last has left.
        is_answered: Whether they stay until the replica has answered.
    """

    count: int
    make: Callable[[str], Pieces]
    port: str = "front"
    trickles: bool = False
    behaviour: str = "ok"
    endless: Shape | None = None
    reads: bool = True
    times: int = 1
    is_answered: bool = True


class Client:
    """One client of a crowd.

    Attributes:
        id: The id of its request.
        answer: What it was answered so far.
    """

    def __init__(self, id, port):
        self.id = id
        self.answer = b""
        self._port = port
        self._reader = None
        self._writer = None

    async def send(self, pieces):
        """Send all pieces, whatever comes back meanwhile; the connection stays open."""
        with contextlib.suppress(OSError):
            opened = await asyncio.open_connection(LOOPBACK, self._port)
            self._reader, self._writer = opened
            for piece in pieces:
                self._writer.write(piece)
                await self._writer.drain()

    async def stay(self, crowd):
        """Go on with single bytes if it is a client that does, and read what comes."""
        if not crowd.reads:
            self._writer.transport.pause_reading()
            return
        with contextlib.suppress(OSError):
            while crowd.trickles:
                self._writer.write(b"t")
                await asyncio.sleep(TRICKLE_S)
        with contextlib.suppress(OSError):
            while data := await self._reader.read(READ_BYTES):
                self.answer += data

    async def play(self, crowd):
        """Send what it wants to, and stay."""
        await self.send(crowd.make(self.id))
        if self._writer is not None:
            await self.stay(crowd)

    def leave(self):
        if self._writer is not None:
            self._writer.transport.abort()

    @property
    def was_promised(self):
        """Whether it was promised that its request has not run."""
        return self.answer[9:12] in PROMISED


@asynccontextmanager
async def start_bounded(folder, bounds):
    """Start a gateway whose settings and operating system hold it to some bounds."""
    async with prepare(folder) as gateway:
        told = f"MemoryMb = {bounds.memory_mb}\nMaxFds = {bounds.descriptors}"
        settings = gateway.settings.read_text()
        gateway.write_settings(settings.replace("MemoryMb = 300", told))
        limits = {"MaxBodyBytes": bounds.body_bytes}
        services = [
            {"Name": "push", "MaxConnections": bounds.connections},
            *SERVICES[1:],
        ]
        configuration = make_configuration(limits=limits, Services=services)
        await gateway.store.put("keyed.op", "config", configuration)
        limit = (bounds.descriptors, bounds.descriptors)
        set_limit = partial(resource.setrlimit, resource.RLIMIT_NOFILE, limit)
        await gateway.start(preexec_fn=set_limit)
        await gateway.wait_served()
        yield gateway


async def play(folder, crowd, bounds):
    """Play a crowd, and check what has to hold whatever it sends."""
    async with start_bounded(folder, bounds) as gateway:
        lone = b"".join(send_body("lone", bounds.body_bytes, 0))
        assert await ask(gateway, lone) == 200

        ports = frozenset((gateway.front, gateway.ready, gateway.metrics))
        pid = gateway.process.pid
        with MemoryWatch(pid, ports) as watch:
            clients = []
            for _ in range(crowd.times):
                clients += await play_crowd(gateway, crowd, len(clients))
            await wait_answered(gateway, "after")
        watch.peaks.held = max(watch.peaks.held, read_status(pid, "VmHWM"))
        print(watch.peaks)

        assert gateway.process.returncode is None, gateway.log[-2000:]
        assert watch.peaks.held <= bounds.memory_mb * BYTES_PER_MB, watch.peaks
        assert watch.peaks.sockets <= bounds.descriptors - FILES, watch.peaks
        last = lone.replace(b"lone", b"last")
        assert await ask_until_read(gateway, last) == 200
        ran = [a.headers.get("x-request-id") for a in gateway.replicas[0].arrivals]
        # A connection that is closed unread, and no answer that is lost.
        assert ran.count("last") == 1
        assert not [c.id for c in clients if c.was_promised and c.id in ran]
        assert await gateway.end() == 0


async def play_crowd(gateway, crowd, first):
    """Have all clients of a crowd send, stay and leave; the first has this number."""
    replica, port = gateway.replicas[0], getattr(gateway, crowd.port)
    replica.gate.clear()
    if crowd.endless is not None:
        replica._be_endless = make_behaviour(Endless(crowd.endless), replica._head)
    replica.behaviours.extend([crowd.behaviour] * crowd.count)
    numbers = range(first, first + crowd.count)
    clients = [Client(f"c{number}", port) for number in numbers]
    tasks = [asyncio.create_task(client.play(crowd)) for client in clients]
    await asyncio.wait(tasks, timeout=STAYS_S if crowd.behaviour == "held" else SENDS_S)
    if crowd.endless is not None:
        await asyncio.sleep(STAYS_S)
    replica.behaviours.clear()
    if crowd.is_answered:
        replica.gate.set()
    await wait_answered(gateway, "beside")
    for client in clients:
        client.leave()
    replica.gate.set()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return clients


async def wait_answered(gateway, name):
    """Send an ordinary request until it is answered with success."""
    async with asyncio.timeout(ANSWERED_S):
        for number in itertools.count():
            if await gateway.call(f"{name}-{number}") == 200:
                return
            assert gateway.process.returncode is None, gateway.log[-2000:]
            await asyncio.sleep(0.1)


async def ask_until_read(gateway, request):
    """Send a request, and again where its connection was closed unread."""
    async with asyncio.timeout(ANSWERED_S):
        while not (status := await ask(gateway, request)):
            await asyncio.sleep(0.1)
        return status


async def ask(gateway, request):
    """Send a request as written; returns the status of its answer."""
    async with asyncio.timeout(ANSWERED_S):
        reader, writer = await asyncio.open_connection(LOOPBACK, gateway.front)
        writer.write(request)
        reply = await read_reply(reader)
        writer.close()
        return reply.status
