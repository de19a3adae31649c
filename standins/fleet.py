"""A whole deployment on the loopback: stand-ins, entries and agents as processes."""

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from robinspindle.client import OperatorClient
from robinspindle.core.documents import Configuration, parse_configuration
from robinspindle.core.workspaces import digest_bearer_key
from robinspindle.exceptions import ApiError
from robinspindle.keys import format_fleet_key, make_fleet_key
from standins.http import to_json

ROOT = Path(__file__).resolve().parent.parent
READY_S = 30.0
STOP_S = 10.0
ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
BOOTSTRAP_KEY = "demo-bootstrap"


def find_free_ports(count: int) -> list[int]:
    """Find ports that are free on the loopback."""
    sockets = []
    for _ in range(count):
        found = socket.socket()
        found.bind(("127.0.0.1", 0))
        sockets.append(found)
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


@dataclass
class Fleet:
    """A deployment under way.

    Attributes:
        text: The configuration document, with addresses of this fleet.
        configuration: The same, parsed.
        folder: Where settings and logs are.
        processes: Processes by name.
        callers: URLs of the entries' callers' listeners.
        operators: URLs of the entries' operators' listeners.
        platform: URL of the stand-in platform.
    """

    text: str
    configuration: Configuration
    folder: Path
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    callers: list[str] = field(default_factory=list)
    operators: list[str] = field(default_factory=list)
    platform: str = ""
    commands: dict[str, list[str]] = field(default_factory=dict)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(maxsize=64, retries=False)
    )

    @property
    def client(self) -> OperatorClient:
        """A client with the operators' key."""
        return OperatorClient(self.operators, "demo-operators")

    def start(self, name: str, command: list[str] | None = None) -> None:
        """Start a process, or start it again."""
        command = command or self.commands[name]
        self.commands[name] = command
        path = self.folder / f"{name}.log"
        with path.open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": f"{ROOT}/src:{ROOT}"},
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process that this fleet started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str) -> int:
        """Ask one process to stop and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(STOP_S)

    def set_faults(self, address: str, **faults: object) -> None:
        """Set what goes wrong at a stand-in."""
        self.http.request("POST", f"http://{address}/faults", body=to_json(faults))

    def read_journal(self, target: str) -> list[dict]:
        """Read what a stand-in target really ran."""
        address = self.configuration.targets[target].address
        return self.http.request("GET", f"http://{address}/journal").json()

    def close(self) -> None:
        """Stop everything that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 3.0
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def start_fleet(
    sample: str, entries: int = 2, secure: bool = True, change_s: float = 1.0, **edits
) -> Fleet:
    """Start a deployment from a sample configuration and wait until it serves.

    Args:
        sample: Name of the document in ``examples``, without its ending.
        entries: How many entries to start.
        secure: Whether entries and agents use a fleet key.
        change_s: Seconds that an engine's change takes.
        edits: Text in the document to replace: ``old=new`` by keyword pairs in
            ``replace``.
    """
    text = (ROOT / "examples" / f"{sample}.ini").read_text()
    for old, new in edits.get("replace", {}).items():
        text = text.replace(old, new)
    known = list(dict.fromkeys(ADDRESS.findall(text)))
    ports = find_free_ports(len(known) + 1 + 2 * entries)
    moved = {old: f"127.0.0.1:{ports.pop()}" for old in known}
    text = ADDRESS.sub(lambda match: moved[match.group()], text)
    folder = Path(tempfile.mkdtemp(prefix="robinspindle-"))
    fleet = Fleet(text, parse_configuration(text), folder)
    try:
        _start_all(fleet, ports, entries, secure, change_s)
    except BaseException:
        fleet.close()
        raise
    return fleet


def _start_all(
    fleet: Fleet, ports: list[int], entries: int, secure: bool, change_s: float
) -> None:
    port = ports.pop()
    fleet.platform = f"127.0.0.1:{port}"
    fleet.start("platform", ["standins", "platform", "--port", str(port)])
    key_file = fleet.folder / "fleet.key"
    key_file.write_text(format_fleet_key(make_fleet_key()))
    security = f"key_file = {key_file}" if secure else "secure = no"
    for name, target in fleet.configuration.targets.items():
        port = target.address.rpartition(":")[2]
        kind = ["engine", "--model", target.model, "--fencing", target.fencing]
        kind += ["--slots", str(target.slots), "--change-s", str(change_s)]
        command = ["service"] if target.service else kind
        fleet.start(f"{name}.target", ["standins", *command, "--port", port])
        settings = f"[agent]\ntarget = {name}\nlisten = {target.agent}\n"
        settings += f"log = http://{fleet.platform}/for/{name}\n{security}\n"
        _start_robinspindle(fleet, name, "agent", settings)
    zones = [target.zone for target in fleet.configuration.targets.values()]
    for number in range(entries):
        callers, operators = (f"127.0.0.1:{ports.pop()}" for _ in range(2))
        fleet.callers.append(f"http://{callers}")
        fleet.operators.append(f"http://{operators}")
        settings = f"[entry]\nname = entry-{number + 1}\nzone = {zones[number % 3]}\n"
        settings += f"listen = {callers}\noperators = {operators}\n"
        settings += f"log = http://{fleet.platform}/for/entry-{number + 1}\n"
        settings += f"{security}\n"
        settings += f"vms = http://{fleet.platform}/vms\n"
        settings += f"bootstrap_digest = {digest_bearer_key(BOOTSTRAP_KEY)}\n"
        _start_robinspindle(fleet, f"entry-{number + 1}", "entry", settings)
    _publish_first(fleet)
    wait_until(lambda: _all_serve(fleet), "the fleet to serve")


def _start_robinspindle(fleet: Fleet, name: str, kind: str, settings: str) -> None:
    path = fleet.folder / f"{name}.ini"
    path.write_text(settings)
    fleet.start(name, ["robinspindle", kind, str(path)])


def _publish_first(fleet: Fleet) -> None:
    client = OperatorClient(fleet.operators, BOOTSTRAP_KEY)

    def publish() -> bool:
        try:
            client.post("configuration", fleet.text.encode())
        except ApiError as error:
            if error.status not in (0, 503, 504):
                raise
            return False
        return True

    wait_until(publish, "the first configuration")


def _all_serve(fleet: Fleet) -> bool:
    try:
        views = fleet.client.get_from_all("status")
    except ApiError:
        return False
    return len(views) == len(fleet.operators) and all(
        view["ready"] and all(t["state"] == "serving" for t in view["targets"])
        for view in views
    )


def wait_until(condition, what: str, limit_s: float = READY_S) -> None:
    """Wait until something holds.

    Raises:
        TimeoutError: If it does not within the limit.
    """
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {limit_s:.0f} s for {what}")
        time.sleep(0.05)
