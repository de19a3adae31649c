"""Slopes: how state, messages, processor time and memory grow with the deployment.

Real entry and agent processes meet fakes that speak their protocol: one process
stands for all agents of a large deployment, another for all its entries.
"""

import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import zmq

from benches.measure import (
    FIGURES,
    ROOT,
    find_percentile,
    fit_slope,
    read_cpu,
    read_memory,
    save_data,
)
from robinspindle.core.claims import (
    Claim,
    ClaimTable,
    Outcome,
    apply_claims,
    encode_claims,
)
from robinspindle.core.dispatch import (
    MAX_HEARTBEAT_S,
    MIN_HEARTBEAT_S,
    PEERS_AT_FULL_RATE,
)
from robinspindle.core.records import Published, encode_record
from robinspindle.core.routing import Candidate, estimate_answer, make_estimate_policy
from robinspindle.core.state import State, encode_state
from robinspindle.core.statemachine import apply
from robinspindle.logservice import CONTROL, LogService
from robinspindle.messages import Hello, Report, Work, decode_message, encode_message
from robinspindle.tables import format_table
from standins.fleet import find_free_ports, wait_until

TARGETS = (20, 60, 120, 240, 480)
ENTRIES = (2, 20, 60, 120, 240)
SETTLE_S = 4.0
WINDOW_S = 6.0
SAMPLES = 200


def run_slopes() -> None:
    """Measure every slope and keep the points."""
    points = {
        "entry by targets": [measure_entry(count) for count in TARGETS],
        "agent by entries": [measure_agent(count) for count in ENTRIES],
        "fold by targets": [measure_fold(count) for count in TARGETS],
        "routing by candidates": [measure_routing(count) for count in TARGETS],
        "claims by batch": [measure_claims(count) for count in (1, 4, 16, 64, 256)],
    }
    slopes = {
        name: {
            measure: fit_slope([(row["count"], row[measure]) for row in rows])
            for measure in rows[0]
            if measure != "count"
        }
        for name, rows in points.items()
    }
    save_data("slopes", {"points": points, "slopes": slopes})
    for name, rows in points.items():
        print(f"\n{name}")
        print(format_table(list(rows[0]), [list(row.values()) for row in rows]))
        for measure, (slope, base) in slopes[name].items():
            print(f"  {measure}: {base:.4g} + {slope:.4g} for each")
    draw_slopes(points)


def write_configuration(targets: int, ports: list[int], subset: int = 0) -> str:
    """Write a deployment of so many engines in 12 models and 350 workspaces."""
    models = min(12, targets)
    lines = ["[fleet]", "name = large", "entries = 420", f"subset = {subset}"]
    for number in range(models):
        lines += [f"[model m{number}]", "least_serving = 1"]
    for number in range(350):
        digest = f"{number:064x}"
        lines += [f"[workspace w{number}]", f"key_digest = {digest}"]
    for number in range(targets):
        agent = f"127.0.0.1:{ports[number % len(ports)]}"
        lines += [f"[target t{number}]", f"zone = z{number % 4}", f"agent = {agent}"]
        lines += ["address = 127.0.0.1:9", f"model = m{number % models}"]
    return "\n".join(lines) + "\n"


def measure_entry(targets: int) -> dict:
    """Measure an idle entry before so many agents: what control alone costs."""
    ports = find_free_ports(targets + 3)
    agents = ports[:targets]
    text = write_configuration(targets, agents)
    with tempfile.TemporaryDirectory() as folder:
        started = [_start_platform(ports[-1])]
        try:
            _publish(ports[-1], text)
            arguments = [",".join(str(port) for port in agents)]
            started.append(_start_python("benches.fakes", "agents", *arguments))
            settings = (
                "[entry]\nname = e\nzone = z0\nsecure = no\n"
                f"listen = 127.0.0.1:{ports[-2]}\noperators = 127.0.0.1:{ports[-3]}\n"
                f"log = http://127.0.0.1:{ports[-1]}\n"
            )
            entry = _start_process("entry", settings, folder)
            started.append(entry)
            return _measure_process(entry, targets, targets)
        finally:
            _end_all(started)


def measure_agent(entries: int) -> dict:
    """Measure an idle agent behind so many entries."""
    ports = find_free_ports(3)
    text = write_configuration(1, ports[:1])
    with tempfile.TemporaryDirectory() as folder:
        started = [_start_platform(ports[1])]
        try:
            _publish(ports[1], text)
            settings = (
                f"[agent]\ntarget = t0\nsecure = no\nlisten = 127.0.0.1:{ports[0]}\n"
                f"log = http://127.0.0.1:{ports[1]}\n"
            )
            agent = _start_process("agent", settings, folder)
            started.append(agent)
            started.append(
                _start_python("benches.fakes", "entries", str(ports[0]), str(entries))
            )
            return _measure_process(agent, entries, 1)
        finally:
            _end_all(started)


def _measure_process(process: subprocess.Popen, count: int, peers: int) -> dict:
    """Measure an idle process with so many on the other side.

    Args:
        process: The process.
        count: How many peers it has.
        peers: How many targets each entry greets, which sets how often it does.
    """
    time.sleep(SETTLE_S + count / 100)
    before, begun = read_cpu(process.pid), time.monotonic()
    time.sleep(WINDOW_S)
    used = read_cpu(process.pid) - before
    share = used / (time.monotonic() - begun)
    period = min(
        MAX_HEARTBEAT_S, MIN_HEARTBEAT_S * max(1.0, peers / PEERS_AT_FULL_RATE)
    )
    hello = len(encode_message(Hello(offset=10**6, prefix_version=9)))
    report = len(encode_message(_make_report(0)))
    return {
        "count": count,
        "core_percent": round(100 * share, 2),
        "memory_mb": round(read_memory(process.pid), 1),
        "messages_per_s": round(count * 2 / period, 1),
        "bytes_per_s": round(count * (hello + report) / period),
    }


def measure_fold(targets: int) -> dict:
    """Measure one published configuration: bytes, and time to fold it."""
    text = write_configuration(targets, list(range(1, targets + 1)))
    record = Published(id="x", text=text)
    times = []
    state = State()
    for number in range(5):
        begun = time.process_time()
        changed = Published(id=f"x{number}", text=f"{text}# {number}\n")
        state = apply(state, number, changed)
        times.append(time.process_time() - begun)
    return {
        "count": targets,
        "record_bytes": len(encode_record(record)),
        "state_bytes": len(encode_state(state)),
        "fold_ms": round(1000 * find_percentile(times, 0.5), 2),
    }


def measure_routing(candidates: int) -> dict:
    """Measure one choice among so many candidates."""
    views = [Candidate(f"t{n}", _make_report(n)) for n in range(candidates)]
    rng = random.Random(1)
    choose = make_estimate_policy(420)
    work = Work(request="r", kind="generate", pool="m", prompt_tokens=100, max_tokens=9)
    begun = time.process_time()
    for _ in range(SAMPLES):
        choose(views, work, rng)
    two = time.process_time() - begun
    begun = time.process_time()
    for _ in range(SAMPLES):
        min(views, key=lambda view: estimate_answer(view, work))
    return {
        "count": candidates,
        "two_choices_us": round(1e6 * two / SAMPLES, 2),
        "all_us": round(1e6 * (time.process_time() - begun) / SAMPLES, 2),
    }


def measure_claims(batch: int) -> dict:
    """Measure claims that go to the log in one append: bytes, and time to fold."""
    table = ClaimTable()
    records = []
    for number in range(batch):
        key, request = f"workspace/{number:032x}", f"entry-{number}"
        claim = Claim(
            key=key,
            request=request,
            attempt=1,
            digest="d" * 32,
            target="target-100",
            incarnation="i" * 12,
        )
        outcome = Outcome(
            key=key, request=request, attempt=1, status=200, body=b"x" * 100
        )
        records += [claim, outcome]
    data = encode_claims(records)
    begun = time.process_time()
    for offset in range(SAMPLES):
        apply_claims(table, offset, data)
    return {
        "count": batch,
        "append_bytes": len(data),
        "fold_us": round(1e6 * (time.process_time() - begun) / SAMPLES, 1),
    }


def _make_report(number: int) -> Report:
    return Report(
        target=f"t{number}",
        incarnation="i" * 12,
        running=3,
        wait_s=0.123,
        prefill_s=0.0001,
        step_s=0.02,
        slots=8,
        offset=10**6,
    )


def fake_agents(ports: list[int]) -> None:
    """Answer greetings as so many agents would."""
    context = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 8192)
    poller = zmq.Poller()
    reports = {}
    for number, port in enumerate(ports):
        router = context.socket(zmq.ROUTER)
        router.bind(f"tcp://127.0.0.1:{port}")
        poller.register(router, zmq.POLLIN)
        report = msgspec.structs.replace(_make_report(number), offset=-1)
        reports[router] = encode_message(report)
    while True:
        for router, _ in poller.poll():
            identity, _ = router.recv_multipart()
            router.send_multipart([identity, reports[router]])


def fake_entries(port: int, count: int) -> None:
    """Greet an agent as so many entries would."""
    context = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 8192)
    dealers = []
    for number in range(count):
        dealer = context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.IDENTITY, f"entry-{number}".encode())
        dealer.connect(f"tcp://127.0.0.1:{port}")
        dealers.append(dealer)
    hello = encode_message(Hello(offset=-1))
    while True:
        begun = time.monotonic()
        for dealer in dealers:
            dealer.send(hello)
            while dealer.poll(0):
                decode_message(dealer.recv())
        time.sleep(max(0.0, MIN_HEARTBEAT_S - (time.monotonic() - begun)))


def draw_slopes(points: dict) -> None:
    """Draw the two slopes of control."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    FIGURES.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    pairs = zip(axes, ("entry by targets", "agent by entries"), strict=True)
    for axis, name in pairs:
        counts = [row["count"] for row in points[name]]
        axis.plot(counts, [row["core_percent"] for row in points[name]], marker="o")
        axis.axhline(1.5, linestyle="--", color="grey")
        axis.set_title(f"idle {name}")
        axis.set_xlabel(name.split()[-1])
        axis.set_ylabel("percent of a core")
    figure.tight_layout()
    figure.savefig(FIGURES / "slopes.png", dpi=110)


def _start_python(module: str, *arguments: str) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{ROOT}/src:{ROOT}"},
        stderr=subprocess.DEVNULL,
    )


def _start_process(kind: str, settings: str, folder: str) -> subprocess.Popen:
    """Start an entry or an agent with its settings in a folder."""
    path = Path(folder) / f"{kind}.ini"
    path.write_text(settings)
    return _start_python("robinspindle", kind, str(path))


def _start_platform(port: int) -> subprocess.Popen:
    return _start_python("standins", "platform", "--port", str(port))


def _publish(port: int, text: str) -> None:
    service = LogService(f"http://127.0.0.1:{port}")

    def publish() -> bool:
        try:
            service.append(CONTROL, encode_record(Published(id="first", text=text)))
        except Exception:
            return False
        return True

    wait_until(publish, "the log")


def _end_all(processes: list[subprocess.Popen]) -> None:
    for process in processes:
        process.send_signal(signal.SIGKILL)
        process.wait()
