"""A small deployment on the loopback: gateways and replicas as processes, a store here.

The gateways are started with the command of ``deploy/system.toml``, each at a loopback
address of its own, so that all their ports are free. Nothing is left running.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent

SETTINGS = """
Node = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "amman-a"
Region = "amman"
InternalPorts = [7660,7675]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[Zones]
amman-a = "amman"
[Listen]
Front = "{ip}:8144"
Ready = "{ip}:8140"
[Limits]
CpuShare = 0.817
Cores = 1
MemoryMb = {memory}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxSkewMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 56
RecoveryS = 12
TransitMs = 120
RetryAfterS = 3
RequireFence = true
LeaseMs = 3000
ThawSlackMs = 300
[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 24
AppendMs = 1.0
PartMbPerS = 20.0
ReadMbPerS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"""

LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The deployment could not be started."""


@dataclass
class Answer:
    """What a requester got; `status` is 0 where nothing came."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    seconds: float = 0.0
    end: str = ""


class Door:
    """One machine's way to the store.

    Attributes:
        is_silent: Whether calls on it, those that wait too, get no answer.
    """

    def __init__(self, store):
        self.store = store
        self.is_silent = False
        self.server = None

    async def answer(self, request, writer):
        if self.is_silent:
            await asyncio.sleep(3600)
        parts = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        found = await self.store._carry_out(parts.path, query, request.body)
        if self.is_silent:
            # The store has done it; the machine isn't told.
            await asyncio.sleep(3600)
        status, body = found
        head = f"HTTP/1.1 {status} Phrase\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        return True


class Deployment:
    """Starts everything at addresses of its own, and ends it.

    Attributes:
        folder: A temporary folder.
        net: The first three numbers of all its addresses.
    """

    def __init__(self):
        # Only this runs before the path is set, so the import stands here.
        sys.path.insert(0, str(ROOT))
        block = f"127.{random.randint(32, 200)}.{random.randint(1, 250)}"
        self.net = block
        os.environ["STANDIN_ADDRESS"] = f"{block}.1"
        from standins.logstore import LogStore

        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

        class Store(LogStore):
            """The project's store; what is silent answers no call that waits either."""

            async def _carry_out(self, path, query, body):
                found = await super()._carry_out(path, query, body)
                if self.trouble == "silent":
                    await asyncio.sleep(3600)
                return found

        self.store = Store()
        self.processes = []
        self.gateways = {}
        self.replicas = {}
        self.entries = {}
        self.run_log = self.folder / "runs"
        self.run_log.touch()
        self._beats = None
        self._sequence = 0

    async def start_store(self):
        await self.store.server.start()
        self._beats = asyncio.create_task(self._beat())

    async def open_door(self):
        """Give one machine a way of its own to the store, which may go silent alone."""
        from standins.rawhttp import RawServer

        door = Door(self.store)
        door.server = RawServer(door.answer)
        await door.server.start()
        return door

    async def configure(self, version, routes, services):
        value = {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": LIMITS,
        }
        await self.store.put("keyed.op", "config", value)

    async def start_gateway(self, number, store=None, memory_mb=300):
        name, ip = f"front-amman-a-{number}", f"{self.net}.{10 + number}"
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                store=store or self.store.server.address,
                memory=memory_mb,
            )
        )
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = role["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ROBINSPINDLE_CONFIG"] = str(settings)
        with open(self.folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.gateways[number] = process
        return process

    def gateway_log(self, number):
        return (self.folder / f"front-amman-a-{number}.log").read_text()

    def front(self, number):
        return f"{self.net}.{10 + number}", 8144

    async def await_ready(self, numbers, seconds=15.0):
        end = asyncio.get_running_loop().time() + seconds
        for number in numbers:
            while True:
                answer = await ask(
                    (f"{self.net}.{10 + number}", 8140), b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", 1.0
                )
                if answer.status == 200:
                    break
                if asyncio.get_running_loop().time() > end:
                    raise CannotRunError(f"gateway {number} is not ready")
                await asyncio.sleep(0.1)

    async def start_replica(self, id, number, service, stage="", *options, slots=48):
        host, port = f"{self.net}.{100 + number}", 8147
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(COMMON / "replica.py"), "--id", id, "--host", host,
            "--port", str(port), "--log", str(self.run_log), *options,
        )
        self.processes.append(process)
        self.replicas[id] = process
        for _ in range(100):
            if f'"replica": "{id}", "what": "started"' in self.run_log.read_text():
                break
            await asyncio.sleep(0.05)
        else:
            raise CannotRunError(f"replica {id} does not start")
        entry = {
            "Service": service,
            "Address": f"{host}:{port}",
            "Zone": "amman-a",
            "Version": "v1",
            "Slots": slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        if stage:
            entry |= {
                "Stage": stage,
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            }
        self.entries[id] = entry
        await self.store.put("keyed.servers", id, entry)
        return process

    async def _beat(self):
        """Write the entries as live replicas do; one that crashed says nothing."""
        silent = {}
        while True:
            await asyncio.sleep(1.2)
            if self.store.trouble:
                continue
            self._sequence += 1
            for id, entry in list(self.entries.items()):
                if self.replicas[id].returncode is None:
                    entry["Sequence"] = self._sequence
                    await self.store.put("keyed.servers", id, entry)
                    continue
                silent[id] = silent.get(id, 0) + 1
                if silent[id] == 3:
                    await self.store.put("keyed.servers", id, None)

    def list_runs(self):
        return [json.loads(line) for line in self.run_log.read_text().splitlines()]

    async def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
                await process.wait()
        await self.store.server.stop()
        self._temporary.cleanup()


async def ask(address, data, limit_s):
    """Send a request on a new connection and read its answer as a requester does."""
    answer, loop = Answer(), asyncio.get_running_loop()
    since = loop.time()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await _read(reader, answer)
    except TimeoutError:
        answer.end = "time limit"
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        answer.end = "closed early"
    except OSError as error:
        answer.end = type(error).__name__
    finally:
        answer.seconds = loop.time() - since
        if writer is not None:
            writer.close()
    return answer


async def _read(reader, answer):
    while answer.status < 200:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    answer.is_whole = True
    answer.end = "whole"


def write_request(method, path, id, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", "Host: ficu95.example", f"X-Request-Id: {id}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
