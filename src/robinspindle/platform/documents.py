"""Decodes what operators and targets write to the platform's store."""

import ipaddress
from functools import lru_cache
from typing import Annotated, Any, Literal

import msgspec

from robinspindle.core.lifetimes import is_id, make_lifetime
from robinspindle.core.routes import (
    AT_MOST_ONCE,
    IDEMPOTENT,
    STREAM,
    Backend,
    CallerLimits,
    EngineSpec,
    Route,
    RouteTable,
    Service,
    make_table,
)
from robinspindle.core.scaling import Bounds
from robinspindle.core.targets import Announcement
from robinspindle.core.workspaces import (
    KeyRing,
    Workspace,
    digest_key,
    find_key_fault,
    make_key_ring,
)
from robinspindle.exceptions import BadDocumentError

MOST_PORT = 65535
BITS_A_BYTE = 8
BITS_A_MEGABIT = 1e6

ROUTES_KEPT = 8192
"""Routes that are kept decoded, the ones read last: half as many again as the largest
configuration played. Nothing is served while a configuration is decoded."""

MOST_FINDINGS = 10
"""Findings of one document that are told together."""

MOST_NAME = 256
"""Longest name of a workspace, characters: targets are told it in a header."""

KINDS = {
    "idempotent": IDEMPOTENT,
    "non_idempotent": AT_MOST_ONCE,
    "stream": STREAM,
}


class _Backend(msgspec.Struct, rename="pascal"):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # The aim for the whole answer or the first event, not a limit.
    target_latency_ms: float = 1000.0
    max_attempts: int = 1
    priority: int = 5
    # A route has either one service or several by weight.
    service: str | None = None
    backends: list[_Backend] = []
    resumable: bool = False
    # The longest pause between two events that keeps an answer in time.
    target_gap_ms: float = 1000.0
    public: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int
    kv_capacity_tokens: int
    kv_hold_s: float = msgspec.field(default=5.0, name="KvHoldS")
    role_switch_s: float = msgspec.field(default=3.0, name="RoleSwitchS")
    # Tokens in one event of a stream, not a distance in memory.
    stride: int = 1
    # Memory of one token, bytes; links are in megabits a second.
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class _Scaling(msgspec.Struct, rename="pascal"):
    min: Annotated[int, msgspec.Meta(ge=0)]
    max: Annotated[int, msgspec.Meta(ge=0)]
    boot_s: float = msgspec.field(default=5.0, name="BootS")


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, rename="pascal"):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_NAME)]
    api_keys: list[str] = []
    priority: int = 0


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    # Each is decoded by itself, as most are the same from version to version.
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Requests need keys where there are any workspaces, or may be some later.
    tenants: list[_Tenant] | None = None


DRAINING = "draining"
"""State of a target that leaves soon; it still serves what it has."""

MOST_ENTRY_BYTES = 16384
"""Longest entry of a target, bytes; those of today hold about 300."""

MOST_COLD_MS = 3.6e6
"""Longest time for which a target may be slow from its start, milliseconds: an hour."""


class _Entry(msgspec.Struct, rename="pascal"):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # Of its software; not used.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MOST_COLD_MS)]
    # Of the entry; not used.
    sequence: int
    # Only engines have one.
    stage: Literal["", "prefill", "decode"] = ""
    # Entries of platforms whose targets never start again under an id have none.
    born_ms: Annotated[int, msgspec.Meta(ge=0)] | msgspec.UnsetType = msgspec.field(
        default=msgspec.UNSET, name="born"
    )


def decode_configuration(data: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        BadDocumentError: When it can't be read.
    """
    document = _decode(data, _Configuration)
    return make_table(
        document.version,
        [_read_route(bytes(route)) for route in document.routes],
        [_make_service(service) for service in document.services],
        CallerLimits(
            header_bytes=document.limits.max_header_bytes,
            body_bytes=document.limits.max_body_bytes,
            header_s=document.limits.header_timeout_ms / 1000,
            idle_s=document.limits.idle_timeout_ms / 1000,
        ),
        None if document.tenants is None else _read_keys(document.tenants),
    )


def decode_announcement(id: str, data: bytes) -> Announcement:
    """Decode a target's entry.

    Others may write entries too: what lacks a field, or holds one of another type, a
    state or a stage that is not named, or no address, names no target to use.

    Args:
        id: The target's id, the entry's key.
        data: The entry.

    Raises:
        BadDocumentError: When it names no target to use.
    """
    if not is_id(id):
        raise BadDocumentError("its key can't be an id")
    if len(data) > MOST_ENTRY_BYTES:
        raise BadDocumentError(f"{len(data)} bytes are too long for an entry")
    entry = _decode(data, _Entry)
    _check_address(entry.address)
    born_ms = None if entry.born_ms is msgspec.UNSET else entry.born_ms
    return Announcement(
        lifetime=make_lifetime(id, born_ms),
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == DRAINING,
        role=entry.stage,
        cold_s=entry.cold_remaining_ms / 1000,
    )


def _check_address(address: str) -> None:
    """Check that an address is IP:PORT.

    Raises:
        BadDocumentError: When it is not.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise BadDocumentError(f"{address[:80]!r} is no address") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MOST_PORT):
        raise BadDocumentError(f"{address[:80]!r} is no address")


def _decode(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        # Values that lie in one another too deeply are no error of the codec's own.
        raise BadDocumentError(str(error)) from None


@lru_cache(maxsize=ROUTES_KEPT)
def _read_route(data: bytes) -> Route:
    route = _decode(data, _Route)
    backends = tuple(Backend(b.service, b.weight) for b in route.backends)
    if route.service is not None:
        backends = (Backend(route.service),)
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        # What is not known to be repeatable runs at most once.
        kind=KINDS.get(route.kind, AT_MOST_ONCE),
        timeout_s=route.timeout_ms / 1000,
        latency_objective_s=route.target_latency_ms / 1000,
        attempts=route.max_attempts,
        priority=route.priority,
        backends=backends,
        resumable=route.resumable,
        gap_s=route.target_gap_ms / 1000,
        is_public=route.public,
    )


def _read_keys(tenants: list[_Tenant]) -> KeyRing:
    """Read the keys of all workspaces; only their digests are kept.

    Raises:
        BadDocumentError: When any is no key, or belongs to two. No key is quoted.
    """
    findings, pairs = [], []
    for tenant in tenants:
        if not tenant.name.isascii() or not tenant.name.isprintable():
            findings.append(f"{ascii(tenant.name)} can't be told in a header")
        workspace = Workspace(tenant.name, tenant.priority)
        for key in tenant.api_keys:
            fault = find_key_fault(key)
            if fault is not None:
                findings.append(f"workspace {tenant.name} has {fault}")
            pairs.append((digest_key(key.encode()), workspace))
    ring, shared = make_key_ring(pairs)
    findings += shared
    if findings:
        raise BadDocumentError("; ".join(findings[:MOST_FINDINGS]))
    return ring


def _find_move_s(engine: _Engine) -> float | None:
    """Find how long a token takes from engine to engine, seconds; None: unknown."""
    if engine.kv_token_bytes <= 0 or engine.link_mbps <= 0:
        return None
    return engine.kv_token_bytes * BITS_A_BYTE / (engine.link_mbps * BITS_A_MEGABIT)


def _make_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineSpec(
            slots=service.engine.slots,
            cache_tokens=service.engine.kv_capacity_tokens,
            kv_retention_s=service.engine.kv_hold_s,
            role_change_s=service.engine.role_switch_s,
            event_tokens=max(1, service.engine.stride),
            token_transfer_s=_find_move_s(service.engine),
        )
    scaling = None
    if service.scaling is not None:
        scaling = Bounds(
            service.scaling.min, service.scaling.max, service.scaling.boot_s
        )
    return Service(
        service.name, service.health_path, service.max_connections, engine, scaling
    )
