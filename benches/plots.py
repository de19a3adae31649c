"""Plots of the runs that are kept as data: ``scripts/bench plots``."""

import json

from benches.measure import DATA, FIGURES, find_percentile


def draw_plots() -> None:
    """Draw goodput by load and policy for each user, and role changes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    FIGURES.mkdir(parents=True, exist_ok=True)
    for path in sorted(DATA.glob("mix-*.json")):
        value = json.loads(path.read_text())
        figure, axis = pyplot.subplots(figsize=(6, 3.5))
        _draw_mix(axis, value["rows"])
        axis.set_title(f"{value['user']}: goodput by load")
        _save(figure, path.stem)
    for path in sorted(DATA.glob("roles-*.json")):
        value = json.loads(path.read_text())
        figure, axis = pyplot.subplots(figsize=(6, 3.5))
        _draw_roles(axis, value["rows"])
        axis.set_title(f"{value['user']}: goodput and role changes")
        _save(figure, path.stem)
    for path in sorted(DATA.glob("platform-*.json")):
        value = json.loads(path.read_text())
        figure, axis = pyplot.subplots(figsize=(6, 3.5))
        _draw_answers(axis, value["answered_ms"])
        axis.set_title("gateways before stand-ins")
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
