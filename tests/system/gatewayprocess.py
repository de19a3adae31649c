"""A gateway as the deploy file starts it, before stand-ins; for tests of its start."""

import asyncio
import contextlib
import itertools
import os
import re
import signal
import socket
import sys
import tomllib
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standins.logstore import LogStore
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.platform.deployment import (
    make_configuration,
    read_reply,
    write_request,
)

ROOT = Path(__file__).resolve().parents[2]
SERVES_S = 20.0
"""Longest wait until a gateway serves, seconds."""

ENDS_S = 10.0
"""Longest wait until a gateway that is asked to has ended, seconds."""

SETTINGS = """Node = "front-a-1"
Zone = "a"
Ip = "{ip}"
InternalPorts = [{inner}, {last}]
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Limits]
MemoryMb = 300
LinkMbps = 1000.0
[Bounds]
DrainMs = 2000
GraceS = 4
LeaseMs = 3000
RetryBudgetSlack = 300
[Platform]
Address = "{ip}:{store}"
"""


@dataclass
class GatewayProcess:
    """One gateway with its ports: callers, readiness, metrics, and the inner two."""

    folder: Path
    store: LogStore
    front: int
    ready: int
    metrics: int
    inner: int
    last: int
    process: asyncio.subprocess.Process | None = None
    replicas: list[Replica] = field(default_factory=list)

    @property
    def settings(self) -> Path:
        return self.folder / "settings.toml"

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def write_settings(self, text=None):
        ports = {
            "ip": LOOPBACK,
            "front": self.front,
            "ready": self.ready,
            "inner": self.inner,
            "last": self.last,
            "store": self.store.server.port,
        }
        self.settings.write_text(SETTINGS.format(**ports) if text is None else text)

    def list_words(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        words[words.index("--metrics-port") + 1] = str(self.metrics)
        return [sys.executable, *words[1:]]

    async def start(self, words=None, **more):
        with (self.folder / "log").open("ab") as log:
            env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
            env["ROBINSPINDLE_CONFIG"] = str(self.settings)
            env["PYTHONPATH"] = str(ROOT / "src")
            self.process = await asyncio.create_subprocess_exec(
                *(words or self.list_words()),
                cwd=ROOT,
                env=env,
                **({"stdout": log, "stderr": log} | more),
            )

    def send(self, number):
        # Not by `send_signal`, which may take the exit code away from the event loop.
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def wait_caught(self, number):
        """Wait until a signal has no more its default effect."""
        status = Path(f"/proc/{self.process.pid}/status")
        async with asyncio.timeout(SERVES_S):
            while True:
                caught = re.search(r"SigCgt:\t(\w+)", status.read_text())
                if caught and int(caught[1], 16) >> (number - 1) & 1:
                    return
                await asyncio.sleep(0.002)

    async def wait(self):
        async with asyncio.timeout(ENDS_S):
            return await self.process.wait()

    async def end(self, number=signal.SIGTERM):
        self.send(number)
        return await self.wait()

    async def ask(self, port, path="/ready", method="GET", id="r1", body=b""):
        """Ask for the status of one request; 0 where no answer comes."""
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, port)
                writer.write(write_request(method, path, id, body, {}))
                reply = await read_reply(reader)
                writer.close()
                return reply.status
        except (OSError, TimeoutError):
            return 0

    async def is_ready(self):
        return await self.ask(self.ready) == 200

    async def call(self, id="r1"):
        return await self.ask(self.front, "/safe/x", "POST", id, b"hello")

    async def wait_until(self, condition, seconds=SERVES_S):
        async with asyncio.timeout(seconds):
            while not await condition():
                assert self.process.returncode is None, self.log[-2000:]
                await asyncio.sleep(0.05)

    async def wait_served(self):
        await self.wait_until(self.is_ready)
        await self.wait_until(self._is_served)

    async def wait_logged(self, text):
        async def is_logged():
            return text in self.log

        await self.wait_until(is_logged)

    async def _is_served(self):
        return await self.call() == 200


def hold_port(port, kind=socket.SOCK_STREAM):
    """Hold a port as another process does."""
    sock = socket.socket(type=kind)
    sock.bind((LOOPBACK, port))
    if kind == socket.SOCK_STREAM:
        sock.listen()
    return sock


@asynccontextmanager
async def prepare(folder):
    """Prepare a gateway that is not started yet, with a store and a replica."""
    store = LogStore()
    await store.server.start()
    replica = Replica("i1", "push", "")
    await replica.server.start()
    await store.put("keyed.op", "config", make_configuration())
    await store.put("keyed.servers", "i1", replica.describe())
    gateway = GatewayProcess(folder, store, *find_ports())
    gateway.replicas.append(replica)
    gateway.write_settings()
    try:
        yield gateway
    finally:
        if gateway.process is not None and gateway.process.returncode is None:
            await gateway.end(signal.SIGKILL)
        await replica.server.stop()
        await store.server.stop()


_blocks = (12_000 + (os.getpid() + number) % 3000 * 6 for number in itertools.count())


def find_ports():
    """Find three ports and two that follow each other, free by TCP and by UDP."""
    for first in _blocks:
        ports = list(range(first, first + 5))
        if all(_is_free(port) for port in ports):
            return ports
    raise AssertionError


def _is_free(port):
    with contextlib.suppress(OSError):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            hold_port(port, kind).close()
        return True
    return False
