"""Datagrams between gateways: each tells all others what it has under way."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from robinspindle.core.sharing import (
    MOST_PLACEMENTS,
    Cache,
    Digest,
    FindEngine,
    Learnt,
    Load,
    PeerView,
    Placement,
    forget_silent,
    is_teacher,
    take_digest,
)
from robinspindle.core.targets import Target
from robinspindle.gatewaysettings import HostPort
from robinspindle.logs import Log

LEAST_INTERVAL_S = 0.02
"""Least time between two datagrams to one peer, seconds: about the time in which a
prompt is read, so that a belief is at most one prompt behind."""

INTERVAL_PER_PEER_S = 0.0025
"""The interval grows by this with each peer, seconds: at most 400 datagrams a second
are sent, 0.006 to 0.015 of a core more than half as many. It is worth that: beliefs
that are 0.1 s old send prompts where others just went (docs/MEASUREMENTS.md)."""

MOST_INTERVAL_S = 0.5
"""Interval without news, seconds."""

LEARNT_INTERVAL_S = 0.25
"""Least time between two tellings of what was learnt of paces, seconds: 200 bytes each,
and a gateway that starts knows the engines' paces after half a second at the latest."""

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Digest).decode


def find_interval(peers: int) -> float:
    """Find the interval between two datagrams to one peer, seconds."""
    return max(LEAST_INTERVAL_S, INTERVAL_PER_PEER_S * peers)


@dataclass
class Peers:
    """The other gateways.

    Attributes:
        name: This gateway's name.
        started: When it started, by the time of day; only compared with itself.
        addresses: Of all gateways that the store names, by name.
        views: What is known of each that was heard lately.
        number: Number of the next datagram.
        sent_at: When the last was sent, steady seconds.
        learnt_told_at: When paces were last told, steady seconds.
        teaches: Whether those that start are told what caches hold.
        untold_caches: Engines whose caches are still to be told to a peer, by its name.
    """

    name: str
    started: float
    addresses: dict[str, HostPort] = field(default_factory=dict)
    views: dict[str, PeerView] = field(default_factory=dict)
    number: int = 0
    sent_at: float = 0.0
    learnt_told_at: float = -LEARNT_INTERVAL_S
    teaches: bool = True
    untold_caches: dict[str, list[str]] = field(default_factory=dict)


def find_oldest_s(peers: Peers, now: float) -> float:
    """Find how long ago the peer that was heard the longest ago was, seconds."""
    return max((now - view.heard_at for view in peers.views.values()), default=0.0)


@dataclass(frozen=True)
class News:
    """What a gateway has to tell; see `Digest` for the parts."""

    loads: list[Load]
    placements: list[Placement]
    read_rates: dict[str, float] = field(default_factory=dict)
    switching: list[tuple[str, str]] = field(default_factory=list)
    learnt: list[Learnt] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)


class PeersFleet(Protocol):
    """Takes in what peers tell of targets."""

    def note_learnt(self, peer: str, learnt: list[Learnt]) -> None:
        """Take note of what a peer has learnt."""

    def forget_learnt(self, peer: str) -> None:
        """Forget what a peer that fell silent has told."""

    def note_heard_by_peer(self, loads: list[Load], now: float) -> None:
        """Take note of what a peer heard of engines."""

    def list_known_caches(self) -> list[str]:
        """List the engines of whose caches something is known."""

    def describe_cache(self, lifetime: str) -> Cache | None:
        """Describe what an engine's cache is believed to hold."""

    def note_told_cache(self, cache: Cache) -> None:
        """Take note of what a peer believes a cache to hold."""

    def note_told_silent(self, lifetimes: list[str], now: float) -> list[Target]:
        """Take note of targets that a peer found silent; return those believed."""


class PeerLink(asyncio.DatagramProtocol):
    """The socket for datagrams."""

    def __init__(
        self,
        peers: Peers,
        find: FindEngine,
        note_switching: Callable[[str, str], None],
        fleet: PeersFleet,
        clock: Callable[[], float],
        log: Log,
    ):
        self._note_switching = note_switching
        self._fleet = fleet
        self._peers = peers
        self._find = find
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: HostPort) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address.host, address.port),
            family=socket.AF_INET,
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport) -> None:
        """Note the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        """Take a peer's datagram in."""
        try:
            digest = decode(data)
        except msgspec.MsgspecError as error:
            self._log("datagram can't be read", sender=str(addr), error=str(error))
            return
        view = self._peers.views.get(digest.sender)
        is_new = view is None or view.started != digest.started
        now = self._clock()
        take_digest(self._peers.views, digest, now, self._find)
        self._fleet.note_learnt(digest.sender, digest.learnt)
        self._fleet.note_heard_by_peer(digest.loads, now)
        for cache in digest.caches:
            self._fleet.note_told_cache(cache)
        for target in self._fleet.note_told_silent(digest.silent, now):
            name = target.announced.lifetime
            self._log("target is silent for a peer", target=name, peer=digest.sender)
        for lifetime, role in digest.switching:
            self._note_switching(lifetime, role)
        if is_new:
            self._log("peer heard", peer=digest.sender)
            self._plan_teaching(digest.sender)

    def _plan_teaching(self, newcomer: str) -> None:
        peers = self._peers
        if peers.teaches and is_teacher(peers.name, peers.views, newcomer):
            peers.untold_caches[newcomer] = self._fleet.list_known_caches()

    def error_received(self, exc: Exception) -> None:
        """Pass over errors: a peer that is gone is noticed by its silence."""

    def may_tell(self, now: float) -> bool:
        """Whether it is time to tell peers, if there is news."""
        peers = self._peers
        interval_s = find_interval(len(peers.addresses))
        return bool(peers.addresses) and now - peers.sent_at >= interval_s

    def tell(self, now: float, news: News) -> bool:
        """Tell all peers, if it is time to.

        Returns:
            Whether the placements have been told.
        """
        peers = self._peers
        is_teaching = any(peers.untold_caches.values())
        is_empty = not (news.loads or news.placements or news.switching or news.silent)
        least_s = MOST_INTERVAL_S if is_empty and not is_teaching else 0.0
        if not self.may_tell(now) or now - peers.sent_at < least_s:
            return False
        peers.sent_at = now
        peers.number += 1
        digest = Digest(
            peers.name,
            peers.started,
            peers.number,
            news.loads,
            news.placements[-MOST_PLACEMENTS:],
            news.read_rates,
            news.switching,
            news.learnt if now - peers.learnt_told_at >= LEARNT_INTERVAL_S else [],
            news.silent,
        )
        if digest.learnt:
            peers.learnt_told_at = now
        data = encode(digest)
        for name, address in peers.addresses.items():
            own = (
                self._add_cache(name, digest) if peers.untold_caches.get(name) else data
            )
            self._transport.sendto(own, (address.host, address.port))
        return True

    def _add_cache(self, peer: str, digest: Digest) -> bytes:
        """Add what one cache holds to a datagram for a peer that has just started."""
        lifetime = self._peers.untold_caches[peer].pop()
        cache = self._fleet.describe_cache(lifetime)
        return encode(msgspec.structs.replace(digest, caches=[cache] if cache else []))

    def forget_silent(self, now: float) -> None:
        """Forget the load of peers that fell silent."""
        for name in forget_silent(self._peers.views, now, self._find):
            self._fleet.forget_learnt(name)
            self._peers.untold_caches.pop(name, None)
            self._log("peer silent", peer=name)
