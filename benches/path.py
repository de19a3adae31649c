"""What entry and agent add to the path, and how much one of each carries."""

import time

from benches.load import Ask, Callers, Timing
from benches.measure import (
    find_percentile,
    fit_slope,
    read_cpu,
    read_memory,
    save_data,
)
from robinspindle.core.documents import parse_configuration
from robinspindle.engines import Engine
from robinspindle.httpcalls import MOST_BODY_BYTES, UpstreamLimits
from robinspindle.messages import Work
from robinspindle.tables import format_table
from standins.fleet import Fleet, start_fleet

MODEL = "investor-70b"
SINGLE_RUNS = 40
TOKENS = 40
STREAMS = (4, 12, 24, 36, 44)
RUN_S = 8.0


def run_path() -> None:
    """Measure added latency, then processor time and memory against streams."""
    fleet = start_fleet("haddad", entries=1)
    try:
        latency = _measure_latency(fleet)
        points = [_measure_streams(fleet, streams) for streams in STREAMS]
    finally:
        fleet.close()
    slopes = {
        part: fit_slope([(p["tokens_per_s"], p[f"{part}_cpu"]) for p in points])[0]
        for part in ("entry", "agent")
    }
    save_data("path", {"latency": latency, "points": points, "cpu_per_token": slopes})
    _print_all(latency, points, slopes)


def _measure_latency(fleet: Fleet) -> dict:
    """Send one request at a time, straight to an engine and through the path."""
    configuration = parse_configuration(fleet.text)
    engine = Engine(
        configuration.targets["engine-1"].address, 8, UpstreamLimits(MOST_BODY_BYTES)
    )
    straight, through = [], []
    for number in range(SINGLE_RUNS):
        straight.append(_time_straight(engine, f"straight {number}"))
        callers = Callers(MODEL, "", fleet.callers)
        prompt = f"through {number}"
        ask = Ask("chat", "ticker-chat", prompt, TOKENS, 60.0)
        callers.send(ask, 0)
        callers.join()
        through.append(callers.timings[0])
    return {
        name: {
            "first_ms": [_ms([t.first_s for t in timings], q) for q in (0.5, 0.95)],
            "gap_ms": [
                _ms([g for t in timings for g in t.gaps], q) for q in (0.5, 0.95)
            ],
        }
        for name, timings in (("straight", straight), ("through", through))
    }


def _time_straight(engine: Engine, prompt: str) -> Timing:
    text = f"<|user|>{prompt}<|assistant|>"
    work = Work(
        request=prompt, kind="generate", pool=MODEL, prompt=text, max_tokens=TOKENS
    )
    timing = Timing("chat", 0.0)
    begun = last = time.monotonic()
    for number, _ in enumerate(engine.generate(work, prompt)):
        now = time.monotonic()
        if number == 0:
            timing.first_s = now - begun
        else:
            timing.gaps.append(now - last)
        last = now
    return timing


def _measure_streams(fleet: Fleet, streams: int) -> dict:
    """Keep so many streams in flight for a while."""
    pids = {
        "entry": fleet.processes["entry-1"].pid,
        "agent": fleet.processes["engine-1"].pid,
    }
    agents = [f"engine-{number}" for number in range(1, 7)]
    before = {name: read_cpu(fleet.processes[name].pid) for name in agents}
    entry_before = read_cpu(pids["entry"])
    callers = Callers(MODEL, "", fleet.callers)
    begun = time.monotonic()
    number = 0
    for number in range(streams):
        callers.send(
            Ask("chat", "ticker-chat", f"{streams}/{number}", 400, 60.0), number
        )
    callers.join()
    seconds = time.monotonic() - begun
    whole = [t for t in callers.timings if t.end == "whole"]
    agent_cpu = sum(
        read_cpu(fleet.processes[name].pid) - before[name] for name in agents
    )
    return {
        "streams": streams,
        "whole": len(whole),
        "tokens_per_s": len(whole) * 400 / seconds,
        "entry_cpu": (read_cpu(pids["entry"]) - entry_before) / seconds,
        "agent_cpu": agent_cpu / seconds,
        "entry_mb": read_memory(pids["entry"]),
        "agent_mb": read_memory(pids["agent"]),
    }


def _ms(values: list[float], share: float) -> float:
    return round(find_percentile(values, share) * 1000, 2)


def _print_all(latency: dict, points: list[dict], slopes: dict) -> None:
    rows = [
        (name, *value["first_ms"], *value["gap_ms"]) for name, value in latency.items()
    ]
    head = ("path", "first p50 ms", "first p95 ms", "gap p50 ms", "gap p95 ms")
    print(format_table(head, rows))
    print()
    names = list(points[0])
    rows = [[round(point[name], 2) for name in names] for point in points]
    print(format_table(names, rows))
    for part, slope in slopes.items():
        print(f"{part}: {slope * 1e6:.0f} microseconds of a core for each token")
