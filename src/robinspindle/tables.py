"""Tables for people, and the plot of the burn report."""

from collections.abc import Sequence

from robinspindle.core.burn import BurnRow

BAR_LENGTH = 30
FULL_BAR_RATE = 10.0


def format_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lay rows out in columns."""
    cells = [[str(cell) for cell in row] for row in [head, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    lines.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(line.rstrip() for line in lines)


def format_burn(rows: list[BurnRow]) -> str:
    """Lay the burn report out, with a bar for the rate."""
    body = [
        (
            row.workspace,
            row.work,
            row.window,
            f"{row.objective:.3%}",
            row.good,
            row.bad,
            f"{row.rate:.2f}",
            draw_bar(row.rate),
            describe_spenders(row.spenders),
        )
        for row in sorted(rows, key=lambda r: (r.workspace, r.work, len(r.window)))
    ]
    head = [
        "workspace",
        "class",
        "window",
        "objective",
        "good",
        "bad",
        "burn",
        "plot",
        "spent-by",
    ]
    return format_table(head, body)


def draw_bar(rate: float) -> str:
    """Draw a burn rate; the bar is full at ten times the allowed rate."""
    length = round(min(1.0, rate / FULL_BAR_RATE) * BAR_LENGTH)
    return "#" * length


def describe_spenders(spenders: dict[str, int]) -> str:
    """Name who spent the promise, the greatest first."""
    ranked = sorted(spenders.items(), key=lambda item: -item[1])
    return ", ".join(f"{name} ({count})" for name, count in ranked[:3])
