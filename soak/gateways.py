"""The gateways of a soak: a process each, with settings and ports of its own."""

import asyncio
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from standins.rawhttp import LOOPBACK

ROOT = Path(__file__).resolve().parent.parent

FIRST_PORT = 10_000
SOAKS = 200
PORTS_EACH = 100
"""Soaks that run side by side use ports of their own, by their process ids."""

STARTED = b'"text":"started"'
"""What a gateway's log says once it serves."""

_taken: set[int] = set()
"""Ports given to gateways of this soak."""

SETTINGS = """
Node = "{name}"
Zone = "a"
Ip = "{ip}"
InternalPorts = [{inner},{last}]
[Listen]
Front = "{ip}:{callers}"
Ready = "{ip}:{ready}"
[Limits]
MemoryMb = 300
[Bounds]
DrainMs = 1000
GraceS = 4
LeaseMs = 1000
RetryBudgetSlack = 64
{bounds}[Platform]
Address = "{ip}:{store}"
{duties}"""

DUTIES = """[Cloud]
Address = "{ip}:{port}"
Duties = ["usage"]
"""


@dataclass
class GatewayProcess:
    """One gateway process.

    Attributes:
        name: Its name.
        settings: The file of its settings; its log lies beside it.
        callers: Its port for callers.
        process: The process that was started last.
        log_start: Where its log began when that was, bytes.
        lock: Held by the fault that is done to it.
        options: Options of its command line.
    """

    name: str
    settings: Path
    callers: int
    process: asyncio.subprocess.Process | None = None
    log_start: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    options: tuple[str, ...] = ()

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.log_start = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "robinspindle",
                "gateway",
                str(self.settings),
                *self.options,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    @property
    def log(self) -> Path:
        """Where its log lies."""
        return self.settings.with_suffix(".log")

    def has_started(self) -> bool:
        """Whether the process has said that it takes requests, and so signals too."""
        with self.log.open("rb") as log:
            log.seek(self.log_start)
            return STARTED in log.read()

    async def end(self, how: int) -> int:
        """End the process and wait for it.

        Args:
            how: The signal.

        Returns:
            Its exit code.
        """
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
        if self.process.returncode is None:
            self.process.send_signal(how)
        return await self.process.wait()


def prepare_gateway(
    folder: Path, name: str, store: int, bounds: str = "", duties: int = 0
) -> GatewayProcess:
    """Write the settings of a gateway that is not started yet.

    Args:
        folder: Where its settings and its log lie.
        name: Its name.
        store: The port at which it reaches the store.
        bounds: More of what was promised, as lines of its settings.
        duties: The port at which the platform takes reports; 0 where it asks for none.
    """
    callers, ready, inner, last = _find_ports(4)
    path = folder / f"{name}.toml"
    path.write_text(
        SETTINGS.format(
            ip=LOOPBACK,
            name=name,
            callers=callers,
            ready=ready,
            inner=inner,
            last=last,
            store=store,
            bounds=bounds,
            duties=DUTIES.format(ip=LOOPBACK, port=duties) if duties else "",
        )
    )
    return GatewayProcess(name, path, callers)


def _find_ports(count: int) -> list[int]:
    """Find free ports below those that the system hands out to others."""
    ports: list[int] = []
    port = FIRST_PORT + os.getpid() % SOAKS * PORTS_EACH
    while len(ports) < count:
        port += 1
        if port in _taken:
            continue
        with socket.socket() as sock:
            if sock.connect_ex((LOOPBACK, port)) != 0:
                ports.append(port)
                _taken.add(port)
    return ports
