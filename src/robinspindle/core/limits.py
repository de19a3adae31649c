"""Limits of a workspace: a rate with a burst, and requests in flight."""

from dataclasses import dataclass

from robinspindle.core.documents import Configuration, WorkspaceSection

BURST_S = 2.0


@dataclass
class Usage:
    """What a workspace uses at one entry.

    Attributes:
        tokens: Requests that may still start at once.
        at: When ``tokens`` was last brought up to date.
        in_flight: Requests that are under way.
    """

    tokens: float
    at: float
    in_flight: int = 0


@dataclass
class WorkspaceLimits:
    """Usage of all workspaces at one entry, by name."""

    usage: dict[str, Usage]


def admit(
    limits: WorkspaceLimits,
    configuration: Configuration,
    workspace: WorkspaceSection,
    now: float,
) -> float:
    """Take a request in if the workspace's share of this entry allows it.

    The entries don't talk to each other about limits: each grants its share, which
    a balancer that spreads evenly makes the whole.

    Returns:
        0 when it was taken in (then `release` is owed), else the seconds after
        which a new try can succeed.
    """
    entries = configuration.fleet.entries
    rate = workspace.requests_per_s / entries
    burst = max(1.0, rate * BURST_S)
    usage = limits.usage.setdefault(workspace.name, Usage(burst, now))
    usage.tokens = min(burst, usage.tokens + (now - usage.at) * rate)
    usage.at = now
    if usage.in_flight >= max(1, workspace.in_flight // entries):
        return 1.0
    if usage.tokens < 1.0:
        return (1.0 - usage.tokens) / rate
    usage.tokens -= 1.0
    usage.in_flight += 1
    return 0.0


def release(limits: WorkspaceLimits, workspace: str) -> None:
    """Note that a request which was taken in has ended."""
    usage = limits.usage.get(workspace)
    if usage is not None and usage.in_flight > 0:
        usage.in_flight -= 1
