"""Helpers of the measurements: processor time, memory, data files and plots."""

import json
import os
import platform
import statistics
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DATA = ROOT / "docs" / "data"
FIGURES = ROOT / "docs" / "figures"
TICKS = os.sysconf("SC_CLK_TCK")


def read_cpu(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / TICKS


def read_memory(pid: int) -> float:
    """Return a process's resident memory, MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def describe_machine() -> dict:
    """Describe the machine that measured."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "load_before": os.getloadavg()[0],
    }


def save_data(name: str, value: dict) -> None:
    """Keep a run as data in the repository."""
    DATA.mkdir(parents=True, exist_ok=True)
    text = json.dumps({"machine": describe_machine()} | value, indent=1)
    (DATA / f"{name}.json").write_text(text + "\n")


def find_percentile(values: list[float], share: float) -> float:
    """Return a percentile, NaN for no values."""
    if not values:
        return float("nan")
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def fit_slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line and return its slope and its value at 0."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    return line.slope, line.intercept
