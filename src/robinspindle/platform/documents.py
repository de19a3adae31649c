"""Decodes the documents that operators and targets write to the platform's store."""

from dataclasses import dataclass
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
from robinspindle.core.partialdecoding import Part, decode_part
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
    find_name_fault,
    make_key_ring,
)
from robinspindle.exceptions import BadDocumentError

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6

MAX_CACHED_ROUTES = 8192
"""Most recently used routes that stay decoded: 1.5 times the routes of the largest
tested configuration. Decoding blocks the event loop, so nothing is served meanwhile."""

KINDS_BY_NAME = {
    "idempotent": IDEMPOTENT,
    "non_idempotent": AT_MOST_ONCE,
    "stream": STREAM,
}


class _Backend(msgspec.Struct, rename="pascal"):
    service: str
    weight: Amount = 1.0


class _Route(msgspec.Struct, rename="pascal"):
    # Without these two it is not known whose requests the route is for.
    hostname: str
    path_prefix: str
    name: str = ""
    kind: str = ""
    timeout_ms: Amount | None = None
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
    name: str = ""
    api_keys: list[str] = []
    priority: SignedWhole = 0


class _Configuration(msgspec.Struct, rename="pascal"):
    version: Whole
    # Each route is decoded and cached separately, because most routes stay the same
    # from one version to the next.
    routes: list[msgspec.Raw]
    services: msgspec.Raw = msgspec.Raw(b"[]")
    limits: msgspec.Raw = msgspec.Raw(b"{}")
    # Requests need keys if this list is given, even if it is empty, because workspaces
    # may be added later.
    tenants: list[msgspec.Raw] | None = None


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
_decode_list = make_json_decoder(list[msgspec.Raw])
_decode_entry = make_json_decoder(_Entry, MAX_ENTRY_BYTES)


def decode_configuration(data: bytes) -> RouteTable:
    """Decode the operator's configuration.

    A part that can't be used is left out of it, or has another value, if it is known
    which requests that concerns: those of a route, or of a workspace, are rejected.

    Raises:
        BadDocumentError: If the document is no configuration, or it isn't known which
            requests a route is for, or whether requests need keys.
    """
    document = _decode_document(data)
    findings: list[str] = []
    routes = [_decode_route(bytes(route)) for route in document.routes]
    for part in routes:
        findings += part.findings
    return make_table(
        document.version,
        [part.route for part in routes],
        _decode_services(document.services, findings),
        _decode_limits(document.limits, findings),
        _decode_tenants(document.tenants, findings),
        findings,
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


@dataclass(frozen=True)
class _RoutePart:
    """A decoded route, and what of it could not be used as it was."""

    route: Route
    findings: tuple[str, ...]


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def _decode_route(data: bytes) -> _RoutePart:
    part = decode_part(_Route, data)
    route = part.value
    name = route.name or f"{route.hostname}{route.path_prefix}"
    findings = [f"route {shorten(name)}: {finding}" for finding in part.findings]
    backends = tuple(Backend(b.service, b.weight) for b in route.backends)
    if route.service is not None:
        backends = (Backend(route.service),)
    timeout_ms = route.timeout_ms
    if timeout_ms is None:
        # Its requests are rejected: they must not fall to a route with a shorter
        # prefix.
        timeout_ms, backends = 0.0, ()
        findings.append(f"route {shorten(name)} has no TimeoutMs, and serves nobody")
    decoded = Route(
        name=name,
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        # A request of unknown kind may not be safe to retry, so it runs at most once.
        kind=KINDS_BY_NAME.get(route.kind, AT_MOST_ONCE),
        timeout_s=timeout_ms / 1000,
        latency_objective_s=route.target_latency_ms / 1000,
        attempts=route.max_attempts,
        priority=route.priority,
        backends=backends,
        resumable=route.resumable,
        gap_s=route.target_gap_ms / 1000,
        is_public=route.public,
    )
    return _RoutePart(decoded, tuple(findings))


def _decode_services(data: msgspec.Raw, findings: list[str]) -> list[Service]:
    """Decode the services; one without a name has no requests, and is left out."""
    services: list[Service] = []
    try:
        documents = _decode_list(bytes(data))
    except BadDocumentError as error:
        findings.append(f"services are left out: {error}")
        return services
    for number, data in enumerate(documents):
        try:
            part = decode_part(_Service, bytes(data))
        except BadDocumentError as error:
            findings.append(f"service {number} is left out: {error}")
            continue
        name = part.value.name
        findings += [f"service {shorten(name)}: {text}" for text in part.findings]
        services.append(_make_service(part.value))
    return services


def _decode_limits(data: msgspec.Raw, findings: list[str]) -> CallerLimits:
    try:
        part = decode_part(_Limits, bytes(data))
    except BadDocumentError as error:
        part = Part(_Limits(), (f"left out: {error}",))
    limits = part.value
    findings += [f"limits: {text}" for text in part.findings]
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_s=limits.header_timeout_ms / 1000,
        idle_s=limits.idle_timeout_ms / 1000,
    )


def _decode_tenants(
    documents: list[msgspec.Raw] | None, findings: list[str]
) -> KeyRing | None:
    """Make the key ring of all workspaces; it contains only the digests of their keys.

    Keys that can't be used, and those of a workspace whose name can't, are withheld.
    Findings quote no key.
    """
    if documents is None:
        return None
    pairs, withheld, is_complete = [], set(), True
    for number, data in enumerate(documents):
        try:
            part = decode_part(_Tenant, bytes(data))
        except BadDocumentError as error:
            findings.append(f"workspace {number} is left out: {error}")
            is_complete = False
            continue
        tenant = part.value
        place = f"workspace {number} {shorten(ascii(tenant.name))}"
        # What decoding finds in a list of keys would quote them.
        findings += [f"{place} has values that can't be used"] * bool(part.findings)
        name_fault = find_name_fault(tenant.name)
        if name_fault is not None:
            findings.append(f"{place} is left out: {name_fault}")
        workspace = Workspace(tenant.name, tenant.priority)
        for key in tenant.api_keys:
            fault = find_key_fault(key)
            if fault is not None:
                findings.append(f"{place} has {fault}")
            digest = digest_key(key.encode("utf-8", "surrogatepass"))
            if fault is None and name_fault is None:
                pairs.append((digest, workspace))
            else:
                withheld.add(digest)
    ring, shared_keys = make_key_ring(pairs, withheld, is_complete)
    findings += shared_keys
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
