"""Lays out what was lost, for people and for programs."""

from collections import Counter
from dataclasses import asdict

from robinspindle.losses import (
    CUT,
    GATEWAY_LOST,
    IN_TIME,
    MISJUDGED,
    MOVED,
    OWN_FAULT,
    PAUSED,
    REFUSED,
    REFUSED_AGAIN,
    REREAD,
    SLOW,
    TARGET_LOST,
    TURNED_AWAY,
    UNBEGUN,
    WAITED,
    Losses,
)
from robinspindle.tables import format_table

REASONS = (
    IN_TIME,
    WAITED,
    MISJUDGED,
    UNBEGUN,
    PAUSED,
    CUT,
    REREAD,
    MOVED,
    SLOW,
    REFUSED,
    REFUSED_AGAIN,
    TURNED_AWAY,
    TARGET_LOST,
    GATEWAY_LOST,
    OWN_FAULT,
)
"""Reasons in the order of the columns: served late first, then not served."""

PERCENTILES = (0.1, 0.5, 0.9)


def format_losses(losses: Losses) -> str:
    """Lay losses out as tables, with what was left out below."""
    shown = [reason for reason in REASONS if _sum_reason(losses, reason)]
    routes = [
        _make_row(route, counts, shown)
        for route, counts in sorted(losses.by_route.items())
    ]
    total = sum(losses.by_route.values(), Counter())
    routes.append(_make_row("all", total, shown))
    spans = [
        _make_row(f"{span:g}", counts, shown)
        for span, counts in sorted(losses.by_span.items())
    ]
    parts = [
        format_table(["route", "attempts", *shown], routes),
        "",
        *_describe_sizes(losses),
        format_table(["from second", "attempts", *shown], spans),
    ]
    parts += _describe_ratios(losses.planned_ratios)
    parts += [f"left out: {count} {why}" for why, count in losses.left_out.items()]
    return "\n".join(parts)


def describe_losses(losses: Losses) -> dict[str, object]:
    """Describe losses as JSON."""
    return {
        "attempts": losses.attempts,
        "by_route": {name: dict(counts) for name, counts in losses.by_route.items()},
        "by_size": [
            {"route": route, "most_tokens": size, **asdict(served)}
            for (route, size), served in sorted(losses.by_size.items())
        ],
        "by_span": {
            f"{span:g}": dict(counts) for span, counts in sorted(losses.by_span.items())
        },
        "real_against_planned": _find_percentiles(losses.planned_ratios),
        "left_out": dict(losses.left_out),
    }


def _describe_sizes(losses: Losses) -> list[str]:
    if not losses.by_size:
        return []
    rows = [
        [route, size, s.asked, s.answered, f"{s.answered / s.asked:.2f}", s.refused]
        for (route, size), s in sorted(losses.by_size.items())
    ]
    head = ["route", "tokens up to", "attempts", "answered", "share", "refused"]
    return [format_table(head, rows), ""]


def _make_row(name: str, counts: Counter[str], shown: list[str]) -> list[object]:
    return [name, counts.total(), *(counts.get(reason, 0) for reason in shown)]


def _sum_reason(losses: Losses, reason: str) -> int:
    return sum(counts.get(reason, 0) for counts in losses.by_route.values())


def _describe_ratios(ratios: list[float]) -> list[str]:
    if not ratios:
        return []
    low, middle, high = _find_percentiles(ratios)
    return [
        "",
        f"first event, real against planned: {low} {middle} {high}"
        " (10th, 50th and 90th percent)",
    ]


def _find_percentiles(ordered: list[float]) -> list[float]:
    if not ordered:
        return []
    return [
        round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 2)
        for share in PERCENTILES
    ]
