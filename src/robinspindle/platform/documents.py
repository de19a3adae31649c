"""Decodes the documents that operators and targets write to the platform's store."""

from functools import lru_cache
from typing import Annotated, Literal

import msgspec

from robinspindle.core.decoding import (
    Amount,
    SignedWhole,
    Whole,
    make_json_decoder,
    parse_address,
    shorten,
)
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

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6

MAX_CACHED_ROUTES = 8192
"""Most recently used routes that stay decoded: 1.5 times the routes of the largest
tested configuration. Decoding blocks the event loop, so nothing is served meanwhile."""

MAX_FINDINGS = 10
"""Maximum number of findings of one document in an error message."""

MAX_NAME_LENGTH = 256
"""Longest name of a workspace, characters: requests carry it in a header."""

KINDS_BY_NAME = {
    "idempotent": IDEMPOTENT,
    "non_idempotent": AT_MOST_ONCE,
    "stream": STREAM,
}


class _Backend(msgspec.Struct, rename="pascal"):
    service: str
    weight: Amount = 1.0


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: Amount
    # Latency objective for the whole answer, or its first event; it is not a limit.
    target_latency_ms: Amount = 1000.0
    max_attempts: SignedWhole = 1
    priority: SignedWhole = 5
    # A route has either one service or several weighted backends.
    service: str | None = None
    backends: list[_Backend] = []
    resumable: bool = False
    # Objective for the longest pause between two events of an answer.
    target_gap_ms: Amount = 1000.0
    public: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: SignedWhole
    kv_capacity_tokens: SignedWhole
    kv_hold_s: Amount = msgspec.field(default=5.0, name="KvHoldS")
    role_switch_s: Amount = msgspec.field(default=3.0, name="RoleSwitchS")
    # Tokens per event of a stream; it is no stride in memory.
    stride: SignedWhole = 1
    # KV cache of one token, bytes, and bandwidth of the link, megabits per second.
    kv_token_bytes: Amount = 0.0
    link_mbps: Amount = 0.0
    backups: bool = False
    moves: bool = False


class _Scaling(msgspec.Struct, rename="pascal"):
    min: Whole
    max: Whole
    boot_s: Amount = msgspec.field(default=5.0, name="BootS")


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"
    max_connections: SignedWhole = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: SignedWhole = 16384
    max_body_bytes: SignedWhole = 4 << 20
    header_timeout_ms: Amount = 3000.0
    idle_timeout_ms: Amount = 15000.0


class _Tenant(msgspec.Struct, rename="pascal"):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    api_keys: list[str] = []
    priority: SignedWhole = 0


class _Configuration(msgspec.Struct, rename="pascal"):
    version: Whole
    # Each route is decoded and cached separately, because most routes stay the same
    # from one version to the next.
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Requests need keys if this list is given, even if it is empty, because workspaces
    # may be added later.
    tenants: list[_Tenant] | None = None


DRAINING = "draining"
"""State of a target that will leave soon; it still runs the requests that it has."""

MAX_ENTRY_BYTES = 16384
"""Longest entry of a target, bytes; a usual entry has about 300."""

MAX_COLD_MS = 3.6e6
"""Longest time that a target may be slow after its start, milliseconds: an hour."""


class _Entry(msgspec.Struct, rename="pascal"):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # Version of the target's software, not of its weights.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COLD_MS)]
    # Sequence number of the entry; not used.
    sequence: int
    # The role of an engine; other targets have none.
    stage: Literal["", "prefill", "decode"] = ""
    # Start of the lifetime, Unix milliseconds. It is missing on platforms where no
    # target starts again under the same id.
    born_ms: Whole | msgspec.UnsetType = msgspec.field(
        default=msgspec.UNSET, name="born"
    )


_decode_document = make_json_decoder(_Configuration)
_decode_route_document = make_json_decoder(_Route)
_decode_entry = make_json_decoder(_Entry, MAX_ENTRY_BYTES)


def decode_configuration(data: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        BadDocumentError: If it is invalid.
    """
    document = _decode_document(data)
    return make_table(
        document.version,
        [_decode_route(bytes(route)) for route in document.routes],
        [_make_service(service) for service in document.services],
        CallerLimits(
            header_bytes=document.limits.max_header_bytes,
            body_bytes=document.limits.max_body_bytes,
            header_s=document.limits.header_timeout_ms / 1000,
            idle_s=document.limits.idle_timeout_ms / 1000,
        ),
        None if document.tenants is None else _make_key_ring(document.tenants),
    )


def decode_announcement(id: str, data: bytes) -> Announcement:
    """Decode a target's entry.

    Other programs may write entries too. An entry that lacks a field, has a field of
    another type, an unknown state or stage, or an invalid address is rejected.

    Args:
        id: The target's id, which is the entry's key.
        data: The entry.

    Raises:
        BadDocumentError: If it describes no usable target.
    """
    if not is_id(id):
        raise BadDocumentError("the entry's key is not a valid target id")
    entry = _decode_entry(data)
    parse_address(entry.address)
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
        software_version=entry.version,
    )


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def _decode_route(data: bytes) -> Route:
    route = _decode_route_document(data)
    backends = tuple(Backend(b.service, b.weight) for b in route.backends)
    if route.service is not None:
        backends = (Backend(route.service),)
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        # A request of unknown kind may not be safe to retry, so it runs at most once.
        kind=KINDS_BY_NAME.get(route.kind, AT_MOST_ONCE),
        timeout_s=route.timeout_ms / 1000,
        latency_objective_s=route.target_latency_ms / 1000,
        attempts=route.max_attempts,
        priority=route.priority,
        backends=backends,
        resumable=route.resumable,
        gap_s=route.target_gap_ms / 1000,
        is_public=route.public,
    )


def _make_key_ring(tenants: list[_Tenant]) -> KeyRing:
    """Make the key ring of all workspaces; it contains only the digests of their keys.

    Raises:
        BadDocumentError: If a name or a key is invalid, or two workspaces share a key.
            Its message quotes no key.
    """
    findings, pairs = [], []
    for tenant in tenants:
        # Requests carry the name in a header.
        if not tenant.name.isascii() or not tenant.name.isprintable():
            findings.append(
                f"workspace name {shorten(ascii(tenant.name))} is not printable ASCII"
            )
        workspace = Workspace(tenant.name, tenant.priority)
        for key in tenant.api_keys:
            fault = find_key_fault(key)
            if fault is not None:
                findings.append(f"workspace {tenant.name} has {fault}")
            pairs.append((digest_key(key.encode()), workspace))
    ring, shared_keys = make_key_ring(pairs)
    findings += shared_keys
    if findings:
        raise BadDocumentError("; ".join(findings[:MAX_FINDINGS]))
    return ring


def _compute_token_transfer_s(engine: _Engine) -> float | None:
    """Compute how long the KV cache of one token takes from one engine to another.

    Returns:
        The time, seconds; None if the configuration does not give it.
    """
    if engine.kv_token_bytes <= 0 or engine.link_mbps <= 0:
        return None
    return engine.kv_token_bytes * BITS_PER_BYTE / (engine.link_mbps * BITS_PER_MEGABIT)


def _make_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineSpec(
            slots=service.engine.slots,
            cache_tokens=service.engine.kv_capacity_tokens,
            kv_retention_s=service.engine.kv_hold_s,
            role_change_s=service.engine.role_switch_s,
            event_tokens=max(1, service.engine.stride),
            token_transfer_s=_compute_token_transfer_s(service.engine),
            token_bytes=max(0.0, service.engine.kv_token_bytes),
            keeps_copies=service.engine.backups,
            moves_answers=service.engine.moves,
        )
    scaling = None
    if service.scaling is not None:
        scaling = Bounds(
            service.scaling.min, service.scaling.max, service.scaling.boot_s
        )
    return Service(
        service.name, service.health_path, service.max_connections, engine, scaling
    )
