"""Datagrams between gateways: each tells its relay what it has under way.

Relays tell one another, and each its group: see `robinspindle.core.relays`.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from robinspindle.core import aggregation, peerdigests, relays
from robinspindle.core.crashupdates import RequestUpdates
from robinspindle.core.decoding import make_msgpack_decoder
from robinspindle.core.engines import Engine
from robinspindle.core.entries import UnusableEntries
from robinspindle.core.peerdigests import (
    MAX_PLACEMENTS,
    Cache,
    Datagram,
    Digest,
    Placement,
    PrefillStatistics,
    TargetLoad,
    may_shorten,
    shorten_digest,
)
from robinspindle.core.peervalidation import are_facts_valid, find_fault
from robinspindle.core.targets import Target
from robinspindle.core.targetspeeds import SpeedSums, find_interval
from robinspindle.enginepaces import EnginePaces
from robinspindle.exceptions import BadDocumentError
from robinspindle.gatewaysettings import HostPort
from robinspindle.linkqueue import ignore_sent
from robinspindle.logs import Log
from robinspindle.peerfacts import PeerFacts
from robinspindle.peers import LEARNT_INTERVAL_S, Peers, note_sent
from robinspindle.senders import Senders
from robinspindle.targetlimits import TargetLimits
from robinspindle.teaching import KnownCaches, add_caches, plan_teaching, take_caches
from robinspindle.zonetraffic import TrafficCause, ZoneTraffic

NEWCOMER_S = 3.0
"""How long after its start a gateway is told what caches hold, seconds: within it, it
has heard its relay in every start that was seen."""

MOST_DATAGRAM_BYTES = 48_000
"""Larger bundles are told in two datagrams."""

MAX_DATAGRAM_BYTES = 65_507
"""Largest datagram that UDP takes."""

encode = msgspec.msgpack.Encoder().encode
decode = make_msgpack_decoder(Datagram)


@dataclass(frozen=True)
class News:
    """What a gateway has to tell; see `Digest` for the parts."""

    loads: list[TargetLoad]
    placements: list[Placement]
    prefill_loads: dict[str, float] = field(default_factory=dict)
    role_changes: list[tuple[str, str]] = field(default_factory=list)
    prefill_statistics: list[PrefillStatistics] = field(default_factory=list)
    timed_out_targets: list[str] = field(default_factory=list)
    topic_ends: dict[str, int] = field(default_factory=dict)
    is_store_unavailable: bool = False
    requests: RequestUpdates | None = None
    era: int = 0
    rate_limits: dict[str, float] = field(default_factory=dict)


class PeersFleet(KnownCaches, Protocol):
    """Takes in what peers tell of targets."""

    limits: TargetLimits
    paces: EnginePaces

    def find_engine_of(self, lifetime: str) -> Engine | None:
        """Find the engine of a lifetime, if it is known."""

    def note_switching(self, lifetime: str, role: str, now: float) -> None:
        """Take note that a peer ordered an engine to take a role."""

    def list_speeds(self, now: float) -> list[SpeedSums]:
        """List what this gateway has measured of targets' speeds."""

    def note_speeds(self, peer: str, speeds: list[SpeedSums], now: float) -> None:
        """Take note of how fast targets are for a peer."""

    def forget_learnt(self, peer: str) -> None:
        """Forget what a peer that fell silent has told."""

    def note_heard_by_peer(self, loads: list[TargetLoad], now: float) -> None:
        """Take note of what a peer heard of engines."""

    def note_told_cache(self, cache: Cache) -> None:
        """Take note of what a peer believes a cache to hold."""

    def note_reported_silent(self, lifetimes: list[str], now: float) -> list[Target]:
        """Take note of targets that a peer found silent; return those believed."""


def pass_over_store_news(digest: Digest) -> None:
    """Stand for who follows the store."""


def pass_over_requests(news: RequestUpdates) -> None:
    """Stand for the guard."""


class PeerLink(asyncio.DatagramProtocol):
    """The socket for datagrams."""

    def __init__(
        self,
        peers: Peers,
        fleet: PeersFleet,
        clock: Callable[[], float],
        log: Log,
        note_store: Callable[[Digest], None] = pass_over_store_news,
        note_requests: Callable[[RequestUpdates], None] = pass_over_requests,
        facts: PeerFacts | None = None,
        note_sent: Callable[[int], None] = ignore_sent,
        traffic: ZoneTraffic | None = None,
    ):
        self._traffic = traffic or ZoneTraffic(peers.own.zone)
        self._note_sent = note_sent
        self._facts = facts
        self._peers = peers
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self._note_store = note_store
        self._note_requests = note_requests
        self._transport: asyncio.DatagramTransport | None = None
        self._began_at: float | None = None
        # What the group has told that was not passed on to others yet, by name.
        self._told: dict[str, Digest] = {}
        # What other relays have told that was not passed on to the group yet.
        self._passing: dict[str, Digest] = {}
        # The last echo of each relay, to tell whether it hears us.
        self._echoes: dict[str, int] = {}
        self._senders = Senders(peers, log)
        # The peers that were sent digests without placements.
        self._shortened = UnusableEntries()

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

    def error_received(self, exc: Exception) -> None:
        """Pass over errors: a peer that is gone is noticed by its silence."""

    def datagram_received(self, data: bytes, addr) -> None:
        """Take a peer's datagram in."""
        try:
            self._take_bundle(decode(data), addr)
        except BadDocumentError as error:
            text = "datagram can't be read"
            self._senders.refuse(str(addr), text, error=str(error))
        except Exception as error:
            self._senders.refuse_failed(str(addr), error)

    def _take_bundle(self, bundle: Datagram, addr) -> None:
        if not self._senders.is_at_own_address(bundle.sender, addr):
            return
        for digest in bundle.digests:
            fault = find_fault(digest)
            if fault is not None:
                text = "digest not believed"
                self._senders.refuse(bundle.sender, text, fault=fault)
                return
        if bundle.facts is not None and not are_facts_valid(bundle.facts):
            self._senders.refuse(bundle.sender, "facts not believed")
            return
        self._note_contact(bundle)
        for digest in bundle.digests:
            self._take(digest, bundle.sender)
        if self._facts is not None and bundle.facts is not None:
            self._facts.take(bundle.sender, bundle.facts)

    def _note_contact(self, bundle: Datagram) -> None:
        """Take note that a gateway of the own group was heard as its relay."""
        peers, sender = self._peers, bundle.sender
        is_relay = any(d.is_relay and d.sender == sender for d in bundle.digests)
        of = peers.groups.group_numbers
        if not is_relay or of.get(sender) != of.get(peers.name):
            return
        echo = bundle.echo
        has_heard_us = echo is not None and echo != self._echoes.get(sender)
        if has_heard_us:
            self._echoes[sender] = echo
        relays.note_heard(peers.choice, sender, self._clock(), has_heard_us)

    def _take(self, digest: Digest, sender: str) -> None:
        """Take a digest in, told by its author or passed on by a relay."""
        peers, now = self._peers, self._clock()
        if digest.sender == peers.name:
            return
        view = peers.views.get(digest.sender)
        is_new = view is None or view.started != digest.started
        find = self._fleet.find_engine_of
        if not peerdigests.apply_digest(peers.views, digest, now, find):
            return
        self._take_beliefs(digest, now)
        self._leave_to(digest)
        if is_new:
            self._log("peer heard", peer=digest.sender, relay=digest.is_relay)
        if digest.sender == sender:
            self._keep_to_pass_on(digest)
            plan_teaching(self._peers, self._fleet, digest)

    def _take_beliefs(self, digest: Digest, now: float) -> None:
        fleet, author = self._fleet, digest.sender
        if digest.prefill_statistics:
            fleet.paces.note_learnt(author, digest.prefill_statistics)
        if digest.speeds:
            fleet.note_speeds(author, digest.speeds, now)
        fleet.note_heard_by_peer(digest.loads, now)
        fleet.limits.note_told(digest.rate_limits, now)
        for cache in digest.caches:
            fleet.note_told_cache(cache)
        for target in fleet.note_reported_silent(digest.timed_out_targets, now):
            name = target.announced.lifetime
            self._log("target is silent for a peer", target=name, peer=author)
        for lifetime, role in digest.role_changes:
            fleet.note_switching(lifetime, role, now)
        self._note_store(digest)
        if digest.requests is not None:
            self._note_requests(digest.requests)

    def _leave_to(self, digest: Digest) -> None:
        """Speak no more for those that tell another relay now; they would count twice.

        One that was just taken over is told of again after its next digest.
        """
        for name in self._told.keys() & set(digest.members or ()):
            del self._told[name]
            self._forget(name)

    def _keep_to_pass_on(self, digest: Digest) -> None:
        if not self._peers.is_relay:
            return
        if digest.is_relay:
            last = self._passing.get(digest.sender)
            self._passing[digest.sender] = aggregation.merge_unsent(last, digest)
        else:
            last = self._told.get(digest.sender)
            self._told[digest.sender] = aggregation.merge_unsent(last, digest)
        self._peers.changed.set()

    async def wait_due(self) -> None:
        """Wait until there is something to tell and it is time to."""
        peers = self._peers
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(relays.MAX_INTERVAL_S, peers.interval_s)):
                await peers.changed.wait()
        left_s = peers.sent_at + peers.interval_s - self._clock()
        if left_s > 0:
            await asyncio.sleep(left_s)

    def tell(self, now: float, news: News) -> None:
        """Tell the relay the news, or as a relay the group and the other relays."""
        peers = self._peers
        self._began_at = now if self._began_at is None else self._began_at
        # After a freeze nothing that was known before it is passed on.
        self.remove_timed_out_peers(now)
        peers.changed.clear()
        note_sent(peers, now)
        self._choose_relay(now)
        tells_all = now - peers.learnt_told_at >= LEARNT_INTERVAL_S
        if tells_all:
            peers.learnt_told_at = now
        own = self._make_digest(now, news, tells_all)
        speeds_interval_s = find_interval(len(peers.groups.ranked))
        tells_speeds = now - peers.speeds_told_at >= speeds_interval_s
        if tells_speeds:
            peers.speeds_told_at = now
            peers.speeds_turn += 1
            own = msgspec.structs.replace(own, speeds=self._fleet.list_speeds(now))
        if peers.is_relay:
            self._tell_group(own, now, tells_all, tells_speeds)
        else:
            self._send(peers.choice.relay, [own])

    def _choose_relay(self, now: float) -> None:
        peers = self._peers
        ranked = peers.groups.ranked[peers.groups.group_numbers[peers.name]]
        was_relay = peers.is_relay
        if not relays.choose_relay(peers.choice, ranked, peers.name, now):
            return
        self._log("relay chosen", relay=peers.choice.relay)
        if was_relay and not peers.is_relay:
            # From now on the new relay tells of them.
            for name in list(self._told):
                self._forget(name)
            self._told.clear()
            self._passing.clear()

    def _make_digest(self, now: float, news: News, tells_all: bool) -> Digest:
        peers = self._peers
        return Digest(
            peers.name,
            peers.started,
            peers.number,
            news.loads,
            news.placements[-MAX_PLACEMENTS:],
            news.prefill_loads,
            news.role_changes,
            news.prefill_statistics if tells_all else [],
            news.timed_out_targets,
            take_caches(self._fleet, peers.spread_caches),
            None,
            news.topic_ends,
            news.is_store_unavailable,
            now - self._began_at < NEWCOMER_S,
            requests=news.requests,
            era=news.era,
            rate_limits=news.rate_limits,
        )

    def _tell_group(
        self, own: Digest, now: float, tells_all: bool, tells_speeds: bool
    ) -> None:
        """Tell the other relays of the group, and the group of all."""
        peers, passing = self._peers, list(self._passing.values())
        self._passing = {}
        self._drop_silent_members()
        turn = peers.speeds_turn if tells_speeds else None
        total = aggregation.aggregate(own, self._told.values(), tells_all, turn)
        for name in self._list_relays(now):
            caches = take_caches(self._fleet, peers.untold_caches.get(name, []))
            self._send(name, [add_caches(total, caches)])
        for name in peers.groups.ranked[peers.groups.group_numbers[peers.name]]:
            if name != peers.name:
                self._tell_member(name, total, passing)
        self._told = {n: aggregation.drop_sent(d) for n, d in self._told.items()}

    def _tell_member(self, name: str, total: Digest, passing: list[Digest]) -> None:
        told = self._told.get(name)
        own_part = total if told is None else aggregation.subtract(total, told)
        caches = take_caches(self._fleet, self._peers.untold_caches.get(name, []))
        echo = None if told is None else told.number
        self._send(name, [add_caches(own_part, caches), *passing], echo)

    def _drop_silent_members(self) -> None:
        """Speak no more for those that fell silent or tell another relay."""
        views = self._peers.views
        self._told = {
            name: digest
            for name, digest in self._told.items()
            if name in views and not views[name].is_relay
        }

    def _list_relays(self, now: float) -> list[str]:
        """List who is told of the group in the other groups.

        Where no relay of a group is heard, two of its members are tried, the first
        choice and another one each time.
        """
        peers = self._peers
        found = []
        for number, ranked in enumerate(peers.groups.ranked):
            if number == peers.groups.group_numbers[peers.name]:
                continue
            heard = [n for n in ranked if n in peers.views and peers.views[n].is_relay]
            attempt = int(now / relays.RELAY_SILENCE_TIMEOUT_S) % len(ranked)
            found += heard or dict.fromkeys((ranked[0], ranked[attempt]))
        return found

    def _send(self, name: str, told: list[Digest], echo: int | None = None) -> None:
        member = self._peers.members.get(name)
        if member is None or self._transport is None:
            return
        facts = self._facts.describe(name) if self._facts else None
        data = encode(Datagram(self._peers.name, told, echo, facts))
        if len(data) > MOST_DATAGRAM_BYTES and len(told) > 1:
            half = len(told) // 2
            self._send(name, told[:half], echo)
            self._send(name, told[half:], echo)
            return
        if len(data) > MAX_DATAGRAM_BYTES and may_shorten(told[0]):
            self._note_shortened(name, len(data))
            self._send(name, [shorten_digest(told[0])], echo)
            return
        self._peers.sent_bytes += len(data)
        self._note_sent(len(data))
        self._traffic.note(TrafficCause.NEWS, member.zone, len(data))
        self._transport.sendto(data, (member.host, member.port))

    def _note_shortened(self, name: str, size: int) -> None:
        """Log once for each peer that placements did not fit into a datagram."""
        if self._shortened.note(name, "too long"):
            text = "placements and caches left out of a datagram"
            self._log(text, peer=name, bytes=size)

    def remove_timed_out_peers(self, now: float) -> None:
        """Forget the load of peers that fell silent."""
        find = self._fleet.find_engine_of
        for name in peerdigests.remove_timed_out_peers(self._peers.views, now, find):
            self._fleet.forget_learnt(name)
            self._peers.untold_caches.pop(name, None)
            self._log("peer silent", peer=name)
            if self._facts is not None:
                self._facts.note_silent(name)

    def _forget(self, name: str) -> None:
        if name in self._peers.views:
            peerdigests.forget_peer(self._peers.views, name, self._fleet.find_engine_of)
            self._fleet.forget_learnt(name)
