"""Routes of the operator's configuration: which service a request belongs to."""

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
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """One route.

    Attributes:
        name: Its name, for logs.
        host: The host that it belongs to, lower case, no port.
        prefix: The beginning of the paths that it takes.
        kind: ``idempotent``, ``at-most-once`` or ``stream``.
        timeout_s: The longest that one attempt may be held, seconds.
        latency_objective_s: The time within which an answer is worth most, seconds.
        attempts: The most targets that one attempt may go to.
        priority: 0 is the most urgent.
        backends: Its services by weight.
        resumable: Whether a broken stream may go on at another target.
        gap_s: The longest pause between two events of a stream that is in time,
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
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineSpec:
    """What the configuration says of a service's engines.

    Attributes:
        slots: Requests that one engine works on at once.
        cache_tokens: Tokens that one engine's memory holds.
        kv_retention_s: How long a prompt that was read is held for fetching, seconds.
        role_change_s: How long a change of role takes an engine away, seconds.
        event_tokens: Tokens that one event of a stream holds at the most.
        token_transfer_s: Seconds that a token's memory takes over an engine's link;
            None where that is not told.
    """

    slots: int
    cache_tokens: int
    kv_retention_s: float
    role_change_s: float
    event_tokens: int = 1
    token_transfer_s: float | None = None


@dataclass(frozen=True)
class Service:
    """One service.

    Attributes:
        name: Its name.
        health_path: Path of its health check.
        connection_limit: Connections that one target takes from all callers together.
        engine: The shape of its engines; None for a plain service.
        scaling: How many targets it may have in each zone; None where nobody orders
            that.
    """

    name: str
    health_path: str
    connection_limit: int
    engine: EngineSpec | None = None
    scaling: Bounds | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body of a request.
        header_s: Longest time that a head may take, seconds.
        idle_s: Longest rest of a connection between two requests, seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class RouteTable:
    """A whole configuration.

    Attributes:
        version: Its number; a higher one replaces a lower one.
        routes: Its routes by host, the longest prefix first.
        services: Its services by name.
        limits: What callers may send.
        keys: The keys of workspaces; None where requests need none.
        ranks: The rank of a request among those to its service, by the priorities of
            its workspace (None without one) and of its route; 0 is the highest.
    """

    version: int
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    keys: KeyRing | None = None
    ranks: dict[str, dict[tuple[int, int], int]] = field(default_factory=dict)


def make_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    limits: CallerLimits,
    keys: KeyRing | None = None,
) -> RouteTable:
    """Build a table whose routes can be looked up."""
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
    return RouteTable(version, ordered, by_name, limits, keys, ranks)


def find_rank(
    table: RouteTable, route: Route, service: str, workspace: Workspace | None
) -> int:
    """Find the rank of a request: its workspace's priority counts before its route's.

    Without a workspace it is the route's priority alone.
    """
    if workspace is None:
        return route.priority
    pair = (workspace.priority, route.priority)
    return table.ranks.get(service, {}).get(pair, route.priority)


def _rank_routes(
    routes: list[Route], keys: KeyRing
) -> dict[str, dict[tuple[int, int], int]]:
    """Rank all pairs of priorities that occur at each service.

    Engines know few ranks. Counted over what occurs, none is wasted.
    """
    priorities: dict[str, set[int]] = {}
    for route in routes:
        if not route.is_public:
            for backend in route.backends:
                priorities.setdefault(backend.service, set()).add(route.priority)
    firsts = sorted({workspace.priority for workspace in keys.owners.values()})
    return {
        service: {
            pair: rank
            for rank, pair in enumerate(
                (first, second) for first in firsts for second in sorted(found)
            )
        }
        for service, found in priorities.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Find the route of a host with the longest prefix that begins the path."""
    for route in table.routes.get(host.lower().partition(":")[0], ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose one of a route's services by weight; empty when it has none."""
    backends = [backend for backend in route.backends if backend.weight > 0]
    if not backends:
        return ""
    if len(backends) == 1:
        return backends[0].service
    weights = [backend.weight for backend in backends]
    return rng.choices(backends, weights)[0].service


def is_newer(table: RouteTable, current: RouteTable | None) -> bool:
    """Whether a table may replace the one in force; versions never go back."""
    return current is None or table.version > current.version
