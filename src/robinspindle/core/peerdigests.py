"""Digests that gateways exchange: requests in flight, placements and other state.

A digest contains the whole state of one gateway, or the aggregated state of several, so
that the next digest makes up for a lost one. Only placements are sent once: a lost one
makes the estimate of a cache's contents slightly wrong, which is acceptable.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from robinspindle.core.crashupdates import RequestUpdates
from robinspindle.core.engines import Engine, note_placed
from robinspindle.core.forwarding import Part
from robinspindle.core.prefillbacklog import (
    forget_peer_backlog,
    note_peer_backlog,
    note_prefill_start,
)
from robinspindle.core.prefillmodel import FitSums
from robinspindle.core.priorities import FIRST_RANK_LEVEL
from robinspindle.core.roomclaims import (
    ClaimSums,
    forget_peer_claims,
    note_peer_claims,
)
from robinspindle.core.targetspeeds import SpeedSums
from robinspindle.core.usage import Account

PEER_TIMEOUT_S = 1.5
"""Time without a datagram from a peer after which it is assumed to have no requests in
flight, seconds: seven of the longest intervals between its datagrams."""

RELAY_TIMEOUT_S = 1.0
"""The same for a relay, seconds: five of its longest intervals. It is shorter than for
other peers because the group's next relay takes over sooner, and the requests of the
group count twice until the failed relay has timed out."""

MAX_PLACEMENTS = 24
"""Maximum number of placements in one datagram, so that it stays far below 64 KB and
mostly arrives complete."""


NEVER_HEARD_MS = 1 << 30
"""Value of `TargetLoad.heard_ms_ago` for a target that has sent no message yet,
milliseconds."""


CACHE_SENDERS = 2
"""Number of gateways that send cache contents to a gateway that has just started: one
more than is needed, as datagrams are lost and the first sender may have just started
itself."""


class TargetLoad(msgspec.Struct, array_like=True):
    """The requests of one gateway that are in flight at one target.

    Attributes:
        lifetime: The target's lifetime.
        in_flight: Number of requests.
        backlog_ms: Prefill backlog by priority level, milliseconds.
        long_answers: Number of long answers that are being decoded.
        heard_ms_ago: Time since the last message from the target, milliseconds.
        set_aside: Slots set aside there for requests that are not in flight.
        tokens: Memory that its requests take there, tokens.
    """

    lifetime: str
    in_flight: int
    backlog_ms: list[int]
    long_answers: int = 0
    heard_ms_ago: int = NEVER_HEARD_MS
    set_aside: int = 0
    tokens: int = 0


class Placement(msgspec.Struct, array_like=True):
    """A prompt that one gateway sent to an engine.

    Attributes:
        lifetime: The engine's lifetime.
        parts: Ids and numbers of tokens of the prompt's parts, in order.
        prefill_ms: Estimated prefill time, milliseconds; 0 if the engine fetches the KV
            cache instead.
        level: Priority level of the prefill.
    """

    lifetime: str
    parts: list[tuple[str, int]]
    prefill_ms: int = 0
    level: int = FIRST_RANK_LEVEL


class PrefillStatistics(msgspec.Struct, array_like=True):
    """Statistics of one gateway on how fast the engines of a service prefill.

    Attributes:
        service: The service of the engines.
        prefill_only: Whether the engines are prefill-only.
        sums: Sums over the gateway's own measurements, to fit the prefill model.
    """

    service: str
    prefill_only: bool
    sums: FitSums


class Cache(msgspec.Struct, array_like=True):
    """The estimated contents of one engine's KV cache.

    Attributes:
        lifetime: The engine's lifetime.
        parts: Ids and numbers of tokens of prompt parts, the least recently used first.
    """

    lifetime: str
    parts: list[tuple[str, int]]


class Digest(msgspec.Struct, array_like=True):
    """The state of one gateway, or of a relay and all gateways that send to it.

    Attributes:
        sender: The name of the gateway, or of the relay.
        started: When it started, Unix seconds; distinguishes a restarted gateway from
            late datagrams of its earlier incarnation.
        number: Sequence number of the digest.
        loads: All requests in flight.
        placements: Placements since the last datagram.
        prefill_loads: Requested prefill work, seconds of one engine per second, by
            service.
        role_changes: Engines whose role the sender changed recently, with the new role.
        prefill_statistics: Statistics to fit the prefill model; empty if they are not
            in this digest.
        timed_out_targets: Targets that recently timed out for the sender.
        caches: Contents of caches, for peers that have just started.
        members: Names of all gateways that a relay's digest covers; None if they are
            not in this digest.
        topic_ends: The offset up to which each topic of the store has been read.
        is_store_unavailable: Whether the store is unavailable for the sender.
        is_new: Whether the sender has just started and needs the contents of caches.
        is_relay: Whether the digest covers several gateways.
        requests: Updates on requests that crash targets; None if there are none.
        era: The store era to which `topic_ends` belongs.
        rate_limits: Limits that targets have named recently, requests per second of all
            gateways, by lifetime.
        speeds: How slow targets are, as measured; None if it is not in this digest.
        lacks_store: Whether the store is unavailable for any gateway that a relay's
            digest covers.
    """

    sender: str
    started: float
    number: int
    loads: list[TargetLoad]
    placements: list[Placement]
    prefill_loads: dict[str, float] = {}
    role_changes: list[tuple[str, str]] = []
    prefill_statistics: list[PrefillStatistics] = []
    timed_out_targets: list[str] = []
    caches: list[Cache] = []
    members: list[str] | None = None
    topic_ends: dict[str, int] = {}
    is_store_unavailable: bool = False
    is_new: bool = False
    is_relay: bool = False
    requests: RequestUpdates | None = None
    era: int = 0
    rate_limits: dict[str, float] = {}
    speeds: list[SpeedSums] | None = None
    lacks_store: bool = False


class ConfigurationAge(msgspec.Struct, array_like=True):
    """The age of a gateway's configuration.

    Attributes:
        version: The version that it holds.
        age_ms: Maximum time since this was known to be the newest version,
            milliseconds.
    """

    version: int
    age_ms: int


class Facts(msgspec.Struct, array_like=True):
    """State of a gateway, other than its digest, for one receiver.

    Attributes:
        last_received: Number of the newest digest that the sender received from the
            receiver, directly or from a relay; None if there is none. All facts were
            true after that digest came.
        configuration_age: The age of the sender's configuration; None if no key depends
            on it.
        wall_ms: The sender's time of day, Unix milliseconds.
        agreed_ms: The sender's estimate of the time of day, Unix milliseconds.
        counts: Counts of requests that the receiver has not acknowledged.
        reported: Windows whose usage report the platform has accepted recently.
    """

    last_received: int | None = None
    configuration_age: ConfigurationAge | None = None
    wall_ms: int = 0
    agreed_ms: int = 0
    counts: list[Account] = []
    reported: list[int] = []


class Datagram(msgspec.Struct, array_like=True):
    """One datagram.

    Attributes:
        sender: The name of the gateway that sends it.
        digests: The digests.
        echo: Number of the newest digest that the sender received from the receiver;
            None if the sender is not the receiver's relay.
        facts: Other state of the sender; None if no state needs to be sent.
    """

    sender: str
    digests: list[Digest]
    echo: int | None = None
    facts: Facts | None = None


@dataclass
class PeerView:
    """What is known of one peer.

    Attributes:
        started: When it started, as it sent it, Unix seconds.
        number: Sequence number of its newest digest.
        heard_at: When that digest was received, monotonic seconds.
        lifetimes: Targets at which it has requests in flight.
        prefill_loads: Requested prefill work, seconds of one engine per second, by
            service.
        is_relay: Whether its digests cover other gateways too.
        members: Names of the gateways that its digests cover.
        is_store_unavailable: Whether the store is unavailable for it.
        lacks_store: Whether it is for any gateway that its digests cover.
    """

    started: float = 0.0
    number: int = -1
    heard_at: float = 0.0
    lifetimes: set[str] = field(default_factory=set)
    prefill_loads: dict[str, float] = field(default_factory=dict)
    is_relay: bool = False
    members: list[str] = field(default_factory=list)
    is_store_unavailable: bool = False
    lacks_store: bool = False


FindEngine = Callable[[str], Engine | None]


def apply_digest(
    peers: dict[str, PeerView], digest: Digest, now: float, find: FindEngine
) -> bool:
    """Apply a peer's digest to the local view of the peer and of the engines.

    Returns:
        Whether the digest was newer than the last one of the peer.
    """
    peer = peers.setdefault(digest.sender, PeerView())
    if (digest.started, digest.number) <= (peer.started, peer.number):
        return False
    peer.started, peer.number = digest.started, digest.number
    peer.heard_at = now
    peer.prefill_loads = digest.prefill_loads
    peer.is_relay = digest.is_relay
    peer.is_store_unavailable = digest.is_store_unavailable
    peer.lacks_store = digest.is_store_unavailable or digest.lacks_store
    if digest.members is not None:
        peer.members = digest.members
    _replace_loads(peer, digest.sender, digest.loads, find)
    for placement in digest.placements:
        engine = find(placement.lifetime)
        if engine is not None:
            ready_at = now + engine.backlog_s + placement.prefill_ms / 1000
            note_placed(engine, [Part(*part) for part in placement.parts], ready_at)
            if placement.prefill_ms:
                seconds = placement.prefill_ms / 1000
                note_prefill_start(engine, now, seconds, placement.level)
    return True


def may_shorten(digest: Digest) -> bool:
    """Whether a digest holds anything that may be lost."""
    return bool(digest.placements or digest.caches)


def shorten_digest(digest: Digest) -> Digest:
    """Leave out of a digest what may be lost, as datagrams are.

    Callers name the parts of their prompts, with any number of long names; a digest
    that doesn't fit into a datagram isn't sent, and its sender seems silent.
    """
    return msgspec.structs.replace(digest, placements=[], caches=[])


def is_cache_sender(name: str, others: Iterable[str], starting: str) -> bool:
    """Whether a gateway sends cache contents to one that has just started."""
    candidates = sorted({name, *others} - {starting})
    return name in candidates[:CACHE_SENDERS]


def remove_timed_out_peers(
    peers: dict[str, PeerView], now: float, find: FindEngine
) -> list[str]:
    """Remove the peers that timed out, with their load, and return their names."""
    expired = [name for name, peer in peers.items() if _has_timed_out(peer, now)]
    for name in expired:
        forget_peer(peers, name, find)
    return expired


def forget_peer(peers: dict[str, PeerView], name: str, find: FindEngine) -> None:
    """Remove a peer and its load."""
    _replace_loads(peers.pop(name), name, [], find)


def _has_timed_out(peer: PeerView, now: float) -> bool:
    timeout_s = RELAY_TIMEOUT_S if peer.is_relay else PEER_TIMEOUT_S
    return now - peer.heard_at > timeout_s


def _replace_loads(
    peer: PeerView, name: str, loads: list[TargetLoad], find: FindEngine
) -> None:
    for lifetime in peer.lifetimes - {load.lifetime for load in loads}:
        engine = find(lifetime)
        if engine is not None:
            forget_peer_backlog(engine, name)
            engine.peers_in_flight.pop(name, None)
            engine.peers_long_answers.pop(name, None)
            forget_peer_claims(engine.room, name)
    for load in loads:
        engine = find(load.lifetime)
        if engine is not None:
            note_peer_backlog(engine, name, [ms / 1000 for ms in load.backlog_ms])
            engine.peers_in_flight[name] = load.in_flight
            engine.peers_long_answers[name] = load.long_answers
            claims = ClaimSums(load.set_aside, load.tokens)
            note_peer_claims(engine.room, name, claims)
    peer.lifetimes = {load.lifetime for load in loads}
