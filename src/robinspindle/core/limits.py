"""Limits of a workspace: its request rate (token bucket) and requests in flight."""

from dataclasses import dataclass

from robinspindle.core.documents import Configuration, WorkspaceSection
from robinspindle.core.tokenbuckets import count_tokens, find_capacity

BURST_S = 2.0
"""The bucket holds the requests of this many seconds at the allowed rate."""


@dataclass
class WorkspaceUsage:
    """Usage of a workspace at one entry.

    Attributes:
        tokens: Tokens in the bucket. Each request takes one.
        updated_at: When ``tokens`` was last updated, monotonic seconds.
        in_flight: Number of requests in flight.
    """

    tokens: float
    updated_at: float
    in_flight: int = 0


@dataclass
class WorkspaceLimits:
    """Usage of all workspaces at one entry, by workspace name."""

    usage: dict[str, WorkspaceUsage]


def admit(
    limits: WorkspaceLimits,
    configuration: Configuration,
    workspace: WorkspaceSection,
    now: float,
) -> float:
    """Admit a request if this entry's share of the workspace's limits allows it.

    The entries don't exchange their usage. Each one grants an equal share of the
    limits. Their sum is the whole limit if the load balancer distributes evenly.

    Args:
        limits: The usage of all workspaces.
        configuration: The configuration in force.
        workspace: The request's workspace.
        now: The current time, monotonic seconds.

    Returns:
        0 if the request is admitted, in which case `release` must be called when it
        ends. Otherwise the delay after which a retry may succeed, seconds.
    """
    entries = configuration.fleet.entries
    rate = workspace.requests_per_s / entries
    full = find_capacity(rate, BURST_S)
    usage = limits.usage.setdefault(workspace.name, WorkspaceUsage(full, now))
    usage.tokens = count_tokens(usage.tokens, usage.updated_at, rate, BURST_S, now)
    usage.updated_at = now
    if usage.in_flight >= max(1, workspace.in_flight // entries):
        return 1.0
    if usage.tokens < 1.0:
        return (1.0 - usage.tokens) / rate
    usage.tokens -= 1.0
    usage.in_flight += 1
    return 0.0


def release(limits: WorkspaceLimits, workspace: str) -> None:
    """Count the end of an admitted request."""
    usage = limits.usage.get(workspace)
    if usage is not None and usage.in_flight > 0:
        usage.in_flight -= 1
