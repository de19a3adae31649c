"""Routes of the operator's configuration, which map requests to services."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.scaling import Bounds
from robinspindle.core.workspaces import KeyRing, Workspace

IDEMPOTENT = "idempotent"
AT_MOST_ONCE = "at-most-once"
STREAM = "stream"


@dataclass(frozen=True)
class Backend:
    """A service of a route, and its weight among the route's services."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """A route.

    Attributes:
        name: Its name, for logs.
        host: The host name that it matches, lower case, without a port.
        prefix: The prefix of the paths that it matches.
        kind: ``idempotent``, ``at-most-once`` or ``stream``.
        timeout_s: Timeout of one attempt, seconds.
        latency_objective_s: Latency objective of an answer, seconds; it is worth most
            within this time.
        attempts: Maximum number of targets that one request may be sent to.
        priority: Its priority; 0 is the highest.
        backends: Its services and their weights.
        resumable: Whether a broken stream may be resumed at another target.
        gap_s: Longest gap between two events of a stream that meets the deadline,
            seconds.
        is_public: Whether its requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    latency_objective_s: float
    attempts: int = 1
    priority: int = 5
    backends: tuple[Backend, ...] = ()
    resumable: bool = False
    gap_s: float = 1.0
    is_public: bool = False

    @property
    def may_rerun(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind == IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineSpec:
    """The engines of a service, as the configuration describes them.

    Attributes:
        slots: Requests that one engine processes concurrently.
        cache_tokens: Capacity of an engine's KV cache, tokens.
        kv_retention_s: Time for which a prefill engine keeps the KV cache of a prompt
            for a transfer, seconds.
        role_change_s: Time for which a role change makes an engine unavailable,
            seconds.
        event_tokens: Maximum number of tokens in one event of a stream.
        token_transfer_s: Transfer time per token of the KV cache over an engine's link,
            seconds; None for unknown.
        token_bytes: Size of the KV cache of a token, bytes; 0 for unknown.
        keeps_copies: Whether an engine sends the KV cache of an answer to another one
            as it grows.
        moves_answers: Whether an engine moves answers under way to another one.
    """

    slots: int
    cache_tokens: int
    kv_retention_s: float
    role_change_s: float
    event_tokens: int = 1
    token_transfer_s: float | None = None
    token_bytes: float = 0.0
    keeps_copies: bool = False
    moves_answers: bool = False


@dataclass(frozen=True)
class Service:
    """A service.

    Attributes:
        name: Its name.
        health_path: Path of its health check.
        connection_limit: Connections that one target accepts from all callers together.
        engine: Its engines; None for a plain service.
        scaling: Bounds of its number of targets per availability zone; None if it
            isn't scaled.
    """

    name: str
    health_path: str
    connection_limit: int
    engine: EngineSpec | None = None
    scaling: Bounds | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits of what a caller may send.

    Attributes:
        header_bytes: Longest header section of a request, bytes.
        body_bytes: Longest body of a request, bytes.
        header_s: Timeout for receiving a header section, seconds.
        idle_s: Timeout of an idle connection between two requests, seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class RouteTable:
    """A complete configuration.

    Attributes:
        version: Its version; a higher one replaces a lower one.
        routes: Its routes by host, the longest prefix first.
        services: Its services by name.
        limits: Limits of what callers may send.
        keys: The keys of workspaces; None if requests need no key.
        ranks: The rank of a request among those to its service, by service and by the
            pair of its workspace's and its route's priority; 0 is the highest.
        findings: What of the configuration could not be used as it was, in words.
    """

    version: int
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    keys: KeyRing | None = None
    ranks: dict[str, dict[tuple[int, int], int]] = field(default_factory=dict)
    findings: tuple[str, ...] = ()


def make_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    limits: CallerLimits,
    keys: KeyRing | None = None,
    findings: Iterable[str] = (),
) -> RouteTable:
    """Build a table for looking up routes."""
    hosts: dict[str, list[Route]] = {}
    routes = list(routes)
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in hosts.items()
    }
    by_name = {service.name: service for service in services}
    ranks = _rank_routes(routes, keys) if keys is not None else {}
    return RouteTable(version, ordered, by_name, limits, keys, ranks, tuple(findings))


def find_rank(
    table: RouteTable, route: Route, service: str, workspace: Workspace | None
) -> int:
    """Return the rank of a request, by its workspace's priority before its route's.

    Without a workspace the rank is the route's priority.
    """
    if workspace is None:
        return route.priority
    pair = (workspace.priority, route.priority)
    return table.ranks.get(service, {}).get(pair, route.priority)


def _rank_routes(
    routes: list[Route], keys: KeyRing
) -> dict[str, dict[tuple[int, int], int]]:
    """Rank all pairs of priorities that occur at each service.

    Engines support few ranks, so only pairs that occur get one.
    """
    priorities: dict[str, set[int]] = {}
    for route in routes:
        if not route.is_public:
            for backend in route.backends:
                priorities.setdefault(backend.service, set()).add(route.priority)
    workspace_priorities = sorted(
        {workspace.priority for workspace in keys.owners.values()}
    )
    return {
        service: {
            pair: rank
            for rank, pair in enumerate(
                (first, second)
                for first in workspace_priorities
                for second in sorted(found)
            )
        }
        for service, found in priorities.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix that matches the path."""
    for route in table.routes.get(host.lower().partition(":")[0], ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose one of a route's services by weight; empty if it has none."""
    backends = [backend for backend in route.backends if backend.weight > 0]
    if not backends:
        return ""
    if len(backends) == 1:
        return backends[0].service
    weights = [backend.weight for backend in backends]
    return rng.choices(backends, weights)[0].service


def is_newer(table: RouteTable, current: RouteTable | None) -> bool:
    """Return whether a table may replace the current one; versions never go back."""
    return current is None or table.version > current.version
