"""What entries tell each other: the work that each has under way, and what it placed.

A digest tells all of it, for one entry or added up for several, so a lost one is made
good by the next; only placements are told once, and a belief about a cache is allowed
to be a little wrong.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from robinspindle.core.crashupdates import RequestUpdates
from robinspindle.core.engines import (
    Engine,
    forget_peer_backlog,
    note_peer_backlog,
    note_placed,
    note_prefill_start,
)
from robinspindle.core.forwarding import Part
from robinspindle.core.prefillmodel import FitSums
from robinspindle.core.priorities import FIRST_RANK_LEVEL
from robinspindle.core.usage import Account

PEER_TIMEOUT_S = 1.5
"""A peer that was not heard for this long has nothing under way as far as is known,
seconds: seven of the longest intervals between its datagrams."""

RELAY_TIMEOUT_S = 1.0
"""The same for a relay, seconds: five of its longest intervals. Sooner than for others,
as those for whom it spoke are heard through the next one after 0.6 s, and would count
twice until then."""

MAX_PLACEMENTS = 24
"""Placements in one datagram, so that it stays far below 64 KB and mostly whole."""


NEVER_HEARD_MS = 1 << 30
"""Stands for a target that was not heard yet, milliseconds."""


CACHE_SENDERS = 2
"""Entries that tell a newcomer what caches hold: one more than is needed, as datagrams
are lost and the first may have just started itself."""


class Load(msgspec.Struct, array_like=True):
    """What one entry has under way at one target.

    Attributes:
        lifetime: The target's lifetime.
        in_flight: Requests.
        work_ms: Reading that is not done yet, milliseconds, by level.
        long_answers: Long answers that are generated.
        heard_ms_ago: How long ago anything was heard of it, milliseconds.
    """

    lifetime: str
    in_flight: int
    work_ms: list[int]
    long_answers: int = 0
    heard_ms_ago: int = NEVER_HEARD_MS


class Placement(msgspec.Struct, array_like=True):
    """A prompt that one entry sent to an engine.

    Attributes:
        lifetime: The engine's lifetime.
        parts: Ids and tokens of the prompt's parts in order.
        work_ms: How long the engine should read, milliseconds; 0 where it fetches.
        level: How urgent that is.
    """

    lifetime: str
    parts: list[tuple[str, int]]
    work_ms: int = 0
    level: int = FIRST_RANK_LEVEL


class PrefillStatistics(msgspec.Struct, array_like=True):
    """What one entry has learnt of how fast engines read.

    Attributes:
        service: Their service.
        prefill_only: Whether they only read.
        sums: The sums over its own readings.
    """

    service: str
    prefill_only: bool
    sums: FitSums


class Cache(msgspec.Struct, array_like=True):
    """What one engine's cache is believed to hold.

    Attributes:
        lifetime: The engine's lifetime.
        parts: Ids and tokens, the least recently used first.
    """

    lifetime: str
    parts: list[tuple[str, int]]


class Digest(msgspec.Struct, array_like=True):
    """What one entry has to tell, or a relay for all that tell it.

    Attributes:
        sender: The name of the entry, or of the relay.
        started: When it started; tells a restarted entry from its late datagrams.
        number: Counts up.
        loads: All that it has under way.
        placements: What it placed since its last datagram.
        prefill_loads: Seconds of a reader's work that it is asked for in a second, by
            service.
        role_changes: Engines that it ordered lately, with the role that they take.
        prefill_statistics: What it has learnt of paces; empty for nothing new.
        silent_targets: Targets that it lately found silent.
        caches: What caches hold, for peers that have just started.
        members: Names of all for whom a relay speaks; None where that is not told now.
        topic_ends: How far each topic of the store has been read.
        is_store_unavailable: Whether the store is away for the sender.
        is_new: Whether the sender has just started, and is to be told of caches.
        is_relay: Whether this is told for several.
        requests: News of requests that crash targets; None for none.
        era: The era of the store to which the ends belong.
    """

    sender: str
    started: float
    number: int
    loads: list[Load]
    placements: list[Placement]
    prefill_loads: dict[str, float] = {}
    role_changes: list[tuple[str, str]] = []
    prefill_statistics: list[PrefillStatistics] = []
    silent_targets: list[str] = []
    caches: list[Cache] = []
    members: list[str] | None = None
    topic_ends: dict[str, int] = {}
    is_store_unavailable: bool = False
    is_new: bool = False
    is_relay: bool = False
    requests: RequestUpdates | None = None
    era: int = 0


class ConfigurationAge(msgspec.Struct, array_like=True):
    """How sure an entry is that its configuration is the newest.

    Attributes:
        version: The version that it holds.
        age_ms: How long ago, at the most, that was the newest, milliseconds.
    """

    version: int
    age_ms: int


class Facts(msgspec.Struct, array_like=True):
    """What an entry knows besides its work, told to one receiver.

    Attributes:
        last_received: Number of the newest digest that the sender has of the receiver,
            whoever speaks for whom; None for none. All of this was true after that
            came.
        configuration_age: The age of its configuration; None where no key hangs on
            that.
        wall_ms: Its time of day, Unix milliseconds.
        agreed_ms: What it believes the time of day to be.
        counts: Requests that began to run, as far as the receiver has not confirmed
            that it knows of them.
        reported: Windows whose usage the platform has taken lately.
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
        sender: The name of the entry that sends it.
        digests: What it tells.
        echo: Number of the newest digest that it has of the receiver; None to one whom
            it does not speak for.
        facts: What it knows besides; None where nothing hangs on it.
    """

    sender: str
    digests: list[Digest]
    echo: int | None = None
    facts: Facts | None = None


@dataclass
class PeerView:
    """What is known of one peer.

    Attributes:
        started: Its start, as it tells.
        number: Number of its newest digest.
        heard_at: When that came, steady seconds.
        lifetimes: Targets at which it had work.
        prefill_loads: Seconds of a reader's work that it is asked for in a second, by
            service.
        is_relay: Whether it speaks for others too.
        members: Names of those.
        is_store_unavailable: Whether the store is away for it.
    """

    started: float = 0.0
    number: int = -1
    heard_at: float = 0.0
    lifetimes: set[str] = field(default_factory=set)
    prefill_loads: dict[str, float] = field(default_factory=dict)
    is_relay: bool = False
    members: list[str] = field(default_factory=list)
    is_store_unavailable: bool = False


FindEngine = Callable[[str], Engine | None]


def apply_digest(
    peers: dict[str, PeerView], digest: Digest, now: float, find: FindEngine
) -> bool:
    """Take a peer's digest in.

    Returns:
        Whether it was newer than what was known.
    """
    peer = peers.setdefault(digest.sender, PeerView())
    if (digest.started, digest.number) <= (peer.started, peer.number):
        return False
    peer.started, peer.number = digest.started, digest.number
    peer.heard_at = now
    peer.prefill_loads = digest.prefill_loads
    peer.is_relay = digest.is_relay
    peer.is_store_unavailable = digest.is_store_unavailable
    if digest.members is not None:
        peer.members = digest.members
    _replace_loads(peer, digest.sender, digest.loads, find)
    for placement in digest.placements:
        engine = find(placement.lifetime)
        if engine is not None:
            ready_at = now + engine.backlog_s + placement.work_ms / 1000
            note_placed(engine, [Part(*part) for part in placement.parts], ready_at)
            if placement.work_ms:
                seconds = placement.work_ms / 1000
                note_prefill_start(engine, now, seconds, placement.level)
    return True


def is_cache_sender(name: str, others: Iterable[str], newcomer: str) -> bool:
    """Whether an entry is one of those that tell a newcomer what caches hold."""
    heard = sorted({name, *others} - {newcomer})
    return name in heard[:CACHE_SENDERS]


def remove_timed_out_peers(
    peers: dict[str, PeerView], now: float, find: FindEngine
) -> list[str]:
    """Forget the load of peers that fell silent, and return their names."""
    silent = [name for name, peer in peers.items() if _is_silent(peer, now)]
    for name in silent:
        forget_peer(peers, name, find)
    return silent


def forget_peer(peers: dict[str, PeerView], name: str, find: FindEngine) -> None:
    """Forget a peer and its load."""
    _replace_loads(peers.pop(name), name, [], find)


def _is_silent(peer: PeerView, now: float) -> bool:
    most_s = RELAY_TIMEOUT_S if peer.is_relay else PEER_TIMEOUT_S
    return now - peer.heard_at > most_s


def _replace_loads(
    peer: PeerView, name: str, loads: list[Load], find: FindEngine
) -> None:
    for lifetime in peer.lifetimes - {load.lifetime for load in loads}:
        engine = find(lifetime)
        if engine is not None:
            forget_peer_backlog(engine, name)
            engine.peers_in_flight.pop(name, None)
            engine.peers_long_answers.pop(name, None)
    for load in loads:
        engine = find(load.lifetime)
        if engine is not None:
            note_peer_backlog(engine, name, [ms / 1000 for ms in load.work_ms])
            engine.peers_in_flight[name] = load.in_flight
            engine.peers_long_answers[name] = load.long_answers
    peer.lifetimes = {load.lifetime for load in loads}
