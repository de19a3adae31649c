"""The gateways of a soak: a process each, with settings and ports of its own."""

import asyncio
import contextlib
import itertools
import os
import re
import signal
import socket
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from standins.rawhttp import LOOPBACK

ROOT = Path(__file__).resolve().parent.parent

FIRST_PORT = 10_000
SOAKS = 200
PORTS_EACH = 100
"""Soaks that run side by side use blocks of ports of their own."""

DRAIN_S = 1.0
"""How soon nothing may be sent any more to a replica that leaves, seconds."""

MEMORY_MB = 300
"""Memory that each gateway may have, MB."""

STARTED = b'"text":"started"'
PAUSED = b'"text":"process was paused"'
"""What a gateway's log says once it serves, and after it was not run for a while."""

_guards: list[socket.socket] = []
"""They listen at the first port of each block of this soak."""

SETTINGS = """
Node = "{name}"
Zone = "a"
Ip = "{ip}"
InternalPorts = [{inner},{last}]
[Listen]
Front = "{ip}:{callers}"
Ready = "{ip}:{ready}"
[Limits]
MemoryMb = {memory}
[Bounds]
DrainMs = {drain_ms}
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


class EndedGatewayError(Exception):
    """A gateway process ended by itself."""

    def __init__(self, name: str, line: str):
        super().__init__(f"{name} ended by itself, and last said: {line}")


@dataclass
class GatewayProcess:
    """One gateway process.

    Attributes:
        name: Its name.
        settings: The file of its settings; its log lies beside it.
        callers: Its port for callers.
        inner: Its first port for other gateways.
        process: The process that was started last.
        log_start: Where its log began when that was, bytes.
        lock: Held by the fault that is done to it.
        options: Options of its command line.
        began_at: When the process was started last, steady seconds.
        is_asked_to_end: Whether that process was sent a signal to end.
    """

    name: str
    settings: Path
    callers: int
    inner: int = 0
    process: asyncio.subprocess.Process | None = None
    log_start: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    options: tuple[str, ...] = ()
    began_at: float = 0.0
    is_asked_to_end: bool = False

    async def start(self) -> None:
        """Start the process.

        Raises:
            EndedGatewayError: If the one before has ended by itself.
        """
        self.check()
        with self.log.open("ab") as log:
            self.log_start = log.tell()
            began_at = asyncio.get_running_loop().time()
            process = await asyncio.create_subprocess_exec(
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
        self.process, self.began_at, self.is_asked_to_end = process, began_at, False

    @property
    def log(self) -> Path:
        """Where its log lies."""
        return self.settings.with_suffix(".log")

    def has_started(self) -> bool:
        """Whether the process has said that it takes requests, and so signals too."""
        with self.log.open("rb") as log:
            log.seek(self.log_start)
            return STARTED in log.read()

    def was_paused(self) -> bool:
        """Whether its log says that the process was not run for a while."""
        return PAUSED in self.log.read_bytes()

    def holds_signals(self) -> bool:
        """Whether the process has handlers: signals have their default effect before.

        That is until the interpreter runs the first instruction of the program.
        """
        path = Path(f"/proc/{self.process.pid}/status")
        try:
            caught = re.search(r"SigCgt:\t(\w+)", path.read_text())
        except OSError:
            return False
        return caught is not None and bool(int(caught[1], 16) >> signal.SIGTERM - 1 & 1)

    def check(self) -> None:
        """Check that the process, once started, runs until it is asked to end.

        Raises:
            EndedGatewayError: If it has ended by itself.
        """
        ended = self.process is not None and self.process.returncode is not None
        if ended and not self.is_asked_to_end:
            lines = self.log.read_bytes()[self.log_start :].split(b"\n")
            last = next((line for line in reversed(lines) if line.strip()), b"")
            raise EndedGatewayError(self.name, last.decode(errors="replace"))

    def kill(self) -> None:
        """Kill the process, also one that stands still, and don't wait for its end."""
        if self.process.returncode is None:
            self.is_asked_to_end = True
            self.process.kill()

    async def end(self, how: int) -> int:
        """End the process and wait for it.

        Args:
            how: The signal.

        Returns:
            Its exit code.
        """
        if self.process.returncode is None:
            self.is_asked_to_end = True
            self.send_signal(signal.SIGCONT)
            self.send_signal(how)
        return await self.process.wait()

    def send_signal(self, number: int) -> None:
        """Send the process a signal, if it has not ended.

        `Process.send_signal` may take the exit code away from the event loop.
        """
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


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
    callers, ready, inner, last = find_ports(4)
    path = folder / f"{name}.toml"
    path.write_text(
        SETTINGS.format(
            ip=LOOPBACK,
            name=name,
            callers=callers,
            ready=ready,
            memory=MEMORY_MB,
            inner=inner,
            last=last,
            store=store,
            drain_ms=round(DRAIN_S * 1000),
            bounds=bounds,
            duties=DUTIES.format(ip=LOOPBACK, port=duties) if duties else "",
        )
    )
    return GatewayProcess(name, path, callers, inner)


def find_ports(count: int) -> list[int]:
    """Find ports below those that the system hands out to others."""
    return list(itertools.islice(_ports, count))


def _list_ports() -> Iterator[int]:
    """List the free ports of all blocks that no other soak has."""
    for number in range(SOAKS):
        first = FIRST_PORT + (os.getpid() + number) % SOAKS * PORTS_EACH
        with contextlib.suppress(OSError):
            _guards.append(socket.create_server((LOOPBACK, first)))
            yield from filter(is_free, range(first + 1, first + PORTS_EACH))


def is_free(port: int) -> bool:
    """Whether nobody listens at a port, by TCP or by UDP."""
    try:
        socket.create_server((LOOPBACK, port)).close()
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


_ports = _list_ports()
