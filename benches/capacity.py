"""The target size worked out from the kept slopes: ``scripts/bench capacity``."""

import json

from benches.measure import DATA
from robinspindle.core.coordination import CHECKPOINT_S
from robinspindle.core.dispatch import (
    MAX_HEARTBEAT_S,
    MIN_HEARTBEAT_S,
    PEERS_AT_FULL_RATE,
)
from robinspindle.tables import format_table

ENTRIES = 420
REPLICAS = 680
MODELS = 12
REQUESTS_PER_S = 2300
TOKENS_PER_S = 1_000_000
TOKENS_PER_STREAM = 40
CHANGES_PER_DAY = 2300
KEYED_SHARE = 0.1
DAY_S = 86_400
SUBSETS = (2, 4)
RENEWAL_S = 2.0
RENEWAL_BYTES = 110
BUDGET = {"core_percent": 1.5, "memory_mb": 256.0, "bytes_per_s": 8000.0}


def run_capacity() -> None:
    """Print what each role needs at the target size, beside the budget."""
    slopes = json.loads((DATA / "slopes.json").read_text())
    path = json.loads((DATA / "path.json").read_text())
    rows = [row for size in SUBSETS for row in _work_out(slopes, size)]
    rows += _work_out_data(path)
    rows += _work_out_log(slopes)
    print(format_table(("role", "what", "value", "budget", "verdict"), rows))


def _work_out(slopes: dict, size: int) -> list[tuple]:
    """Control of one entry and one agent, for so many targets of each model."""
    peers = size * MODELS
    entries = peers * ENTRIES / REPLICAS
    period_s = min(
        MAX_HEARTBEAT_S, MIN_HEARTBEAT_S * max(1.0, peers / PEERS_AT_FULL_RATE)
    )
    rows = []
    for measure, budget in BUDGET.items():
        value = interpolate(slopes["points"]["entry by targets"], measure, peers)
        value += _count_log(slopes, measure)
        rows.append(_judge(f"entry, {peers} targets", measure, value, budget))
    for measure, budget in BUDGET.items():
        # The measured entries greeted at the full rate; these greet less often.
        rate = 1.0 if measure == "memory_mb" else MIN_HEARTBEAT_S / period_s
        slope, base = slopes["slopes"]["agent by entries"][measure]
        value = base + slope * entries * rate + _count_log(slopes, measure)
        rows.append(_judge(f"agent, {entries:.0f} entries", measure, value, budget))
    return rows


def _count_log(slopes: dict, measure: str) -> float:
    """What reading the control stream adds in every process."""
    if measure == "bytes_per_s":
        return _count_log_bytes(slopes)
    return _count_fold_percent(slopes) if measure == "core_percent" else 0.0


def _count_log_bytes(slopes: dict) -> float:
    """Bytes a second that every process reads from the control stream."""
    fold = slopes["slopes"]["fold by targets"]
    document = _extend(fold["record_bytes"], REPLICAS)
    state = _extend(fold["state_bytes"], REPLICAS)
    changes = document * CHANGES_PER_DAY / DAY_S
    return changes + state / CHECKPOINT_S + RENEWAL_BYTES / RENEWAL_S


def _count_fold_percent(slopes: dict) -> float:
    fold_ms = _extend(slopes["slopes"]["fold by targets"]["fold_ms"], REPLICAS)
    return 100 * fold_ms / 1000 * CHANGES_PER_DAY / DAY_S


def _work_out_data(path: dict) -> list[tuple]:
    per_token = path["cpu_per_token"]
    rows = []
    for role, nodes in (("entry", ENTRIES), ("agent", REPLICAS)):
        tokens = TOKENS_PER_S / nodes
        streams = tokens / TOKENS_PER_STREAM
        value = 100 * tokens * per_token[role]
        what = f"data: {tokens:.0f} tokens/s in {streams:.0f} streams, core_percent"
        rows.append((role, what, f"{value:.0f}", "-", "extrapolated"))
    return rows


def _work_out_log(slopes: dict) -> list[tuple]:
    claims = slopes["slopes"]["claims by batch"]
    keyed = REQUESTS_PER_S * KEYED_SHARE
    each = claims["append_bytes"][0]
    every = keyed * each
    fold = 100 * keyed * claims["fold_us"][0] / 1e6
    return [
        _judge("every entry", "claims, bytes_per_s", every, BUDGET["bytes_per_s"]),
        _judge("every entry", "claims, core_percent", fold, BUDGET["core_percent"]),
        ("log service", "claims and outcomes, appends/s", f"{2 * keyed:.0f}", "-", ""),
        (
            "log service",
            "tails of the control stream",
            f"{ENTRIES + REPLICAS}",
            "-",
            "",
        ),
    ]


def interpolate(points: list[dict], measure: str, count: float) -> float:
    """Read a measure off the measured points, between or beyond them."""
    ranked = sorted(points, key=lambda row: row["count"])
    pairs = list(zip(ranked, ranked[1:], strict=False))
    low, high = next((p for p in pairs if count <= p[1]["count"]), pairs[-1])
    share = (count - low["count"]) / (high["count"] - low["count"])
    return low[measure] + share * (high[measure] - low[measure])


def _extend(line: list[float], count: float) -> float:
    slope, base = line
    return base + slope * count


def _judge(role: str, what: str, value: float, budget: float) -> tuple:
    verdict = "within" if value <= budget else "OVER"
    return (role, what, f"{value:.1f}", f"{budget:g}", verdict)
