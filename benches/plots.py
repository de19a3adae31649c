"""Plots of the runs that are kept as data: ``scripts/bench plots``."""

import json
from collections.abc import Callable

from benches.measure import DATA, FIGURES, find_percentile

FIGURE_INCHES = (6, 3.5)
"""Width and height of a figure, inches."""


def draw_plots() -> None:
    """Draw goodput by load and policy, role changes, and gateways' answers."""
    import matplotlib

    matplotlib.use("Agg")
    FIGURES.mkdir(parents=True, exist_ok=True)
    _draw_each(
        "mix-*.json",
        lambda axis, value: _draw_mix(axis, value["rows"]),
        lambda value: f"{value['user']}: goodput by load",
    )
    _draw_each(
        "roles-*.json",
        lambda axis, value: _draw_roles(axis, value["rows"]),
        lambda value: f"{value['user']}: goodput and role changes",
    )
    _draw_each(
        "platform-*.json",
        lambda axis, value: _draw_answers(axis, value["answered_ms"]),
        lambda value: "gateways before stand-ins",
    )


def _draw_each(
    pattern: str, draw: Callable[..., None], name: Callable[[dict], str]
) -> None:
    """Draw a figure of each kept run whose file matches a pattern."""
    from matplotlib import pyplot

    for path in sorted(DATA.glob(pattern)):
        value = json.loads(path.read_text())
        figure, axis = pyplot.subplots(figsize=FIGURE_INCHES)
        draw(axis, value)
        axis.set_title(name(value))
        _save(figure, path.stem)


def _draw_answers(axis, answered: dict[str, list[float]]) -> None:
    for name, taken in answered.items():
        if taken:
            shares = [(place + 1) / len(taken) for place in range(len(taken))]
            axis.plot(sorted(taken), shares, label=name)
    axis.set_xscale("log")
    axis.set_xlabel("ms to the whole answer")
    axis.set_ylabel("share answered")
    axis.legend(fontsize=7)


def _draw_mix(axis, rows: list[dict]) -> None:
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    loads = sorted({row["load"] for row in rows})
    for number, policy in enumerate(policies):
        places = [load + 0.02 * (number - 1.5) for load in loads]
        shares = [_list_shares(rows, policy, load) for load in loads]
        middles = [find_percentile(share, 0.5) for share in shares]
        low = [m - min(s) for m, s in zip(middles, shares, strict=True)]
        high = [max(s) - m for m, s in zip(middles, shares, strict=True)]
        axis.errorbar(places, middles, (low, high), marker="o", label=policy)
    axis.set_xlabel("load, of nominal capacity")
    axis.set_ylabel("share whole and in time")
    axis.legend(fontsize=8)


def _list_shares(rows: list[dict], policy: str, load: float) -> list[float]:
    return [
        row["goodput"] for row in rows if (row["policy"], row["load"]) == (policy, load)
    ]


def _draw_roles(axis, rows: list[dict]) -> None:
    for row in rows:
        axis.scatter(row["role_changes"], row["goodput"], label=row["policy"])
    axis.set_xlabel("role changes")
    axis.set_ylabel("share whole and in time")
    axis.legend(fontsize=8)


def _save(figure, name: str) -> None:
    figure.tight_layout()
    figure.savefig(FIGURES / f"{name}.png", dpi=110)
