"""Gateways as the deploy file starts them, and the record of a script.

Each gateway has a loopback address of its own, as machines have; ports are alike.
"""

import asyncio
import os
import signal
import socket
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """Node = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
InternalPorts = [{inner}, {last}]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = [{contracts}]
[Zones]
a = "r"
b = "r"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Limits]
CpuShare = 0.817
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = {link_mbps}
[Bounds]
ContactMs = 3000
AckMs = 4000
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
{bounds}[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
keep_s = 20
{more}"""

CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "split", "stream")
CONTRACTS += ("engine", "platform")


def now() -> float:
    """Read the clock by which all of a script is timed, seconds."""
    return time.monotonic()


class Record:
    """Lines about what was sent, answered and run, by the time since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._began = now()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{now() - self._began:8.3f} {text}\n")
        self._file.flush()

    def tell(self, moment: float) -> str:
        """Tell when something was, by the time since the start."""
        return f"{moment - self._began:.3f}"


def find_ports(count: int, ips: list[str]) -> list[int]:
    """Find ports that are free at all of some addresses, by TCP and by UDP."""
    found: list[int] = []
    for port in range(20_000 + os.getpid() % 1000 * 10, 32_000):
        if _is_free(port, ips):
            found.append(port)
            if len(found) == count:
                return found
    raise OSError("no free ports")


def _is_free(port: int, ips: list[str]) -> bool:
    try:
        for ip in ips:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as sock:
                    sock.bind((ip, port))
    except OSError:
        return False
    return True


@dataclass
class Gateway:
    """One gateway process.

    Attributes:
        name: Its name.
        ip: Its address.
        front: Its port for callers.
        ready: Its port for the platform's question.
        metrics: Its port for metrics.
        folder: Where its settings and its log lie.
        process: The process.
    """

    name: str
    ip: str
    front: int
    ready: int
    metrics: int
    folder: Path
    process: asyncio.subprocess.Process | None = None
    env: dict[str, str] = field(default_factory=dict)

    @property
    def log(self) -> Path:
        """Where its log lies."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        words[words.index("--metrics-port") + 1] = str(self.metrics)
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=kept
                | {
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ROBINSPINDLE_CONFIG": str(self.folder / f"{self.name}.toml"),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does whether it may be sent callers."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until it calls itself ready.

        Raises:
            TimeoutError: If it does not.
        """
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def send_signal(self, how: int) -> None:
        """Send its process a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(how)

    async def kill(self) -> None:
        """End it."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def prepare(
    folder: Path,
    stores: list[str],
    zones: list[str],
    link_mbps: float = 1000.0,
    bounds: str = "",
    more: str = "",
    contracts: tuple[str, ...] = (),
) -> list[Gateway]:
    """Write the settings of gateways that are not started yet.

    Args:
        folder: Where their settings and logs lie.
        stores: The address at which each reaches the store.
        zones: The zone of each.
        link_mbps: The rate of each one's link.
        bounds: More of the table of bounds, as lines.
        more: More tables, as lines.
        contracts: More contracts in force.
    """
    ips = [f"127.0.0.{11 + number}" for number in range(len(stores))]
    front, ready, metrics, inner, last = find_ports(5, ips)
    gateways = []
    for number, (ip, store, zone) in enumerate(zip(ips, stores, zones, strict=True)):
        name = f"front-{zone}-{number + 1}"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            inner=inner,
            last=last,
            front=front,
            ready=ready,
            store=store,
            link_mbps=link_mbps,
            bounds=bounds,
            more=more,
            contracts=", ".join(f'"{c}"' for c in (*CONTRACTS, *contracts)),
        )
        (folder / f"{name}.toml").write_text(text)
        gateways.append(Gateway(name, ip, front, ready, metrics, folder))
    return gateways
