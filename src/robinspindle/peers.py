"""What a gateway knows of the other gateways."""

import asyncio
import math
import secrets
from dataclasses import dataclass, field

from robinspindle.core import relays
from robinspindle.core.peerdigests import PeerView
from robinspindle.core.relays import Groups, Member, RelayChoice

LEARNT_INTERVAL_S = 0.25
"""Least time between two tellings of what was learnt of paces, seconds: a gateway that
starts soon knows the engines' paces."""

NUMBER_BITS = 40
"""Range in which the numbers of a life begin: two lives don't meet in it by chance."""

NUMBERS_KEPT = 256
"""Digests whose time of sending is kept: five seconds of the most frequent."""


@dataclass
class Peers:
    """The other gateways.

    Attributes:
        own: This gateway, as it introduces itself.
        started: When it started, by the time of day; only compared with itself.
        members: All other gateways that the store names, by name.
        names: Their names, by IP address and UDP port.
        groups: The groups that all form.
        choice: Whom this gateway tells its news to.
        views: What is known of each that was heard lately, directly or by a relay.
        number: Number of the last digest. It begins anywhere, so that what peers say of
            one that an earlier life sent is not taken for one of this life.
        sent_times: When the last digests were sent, by number, steady seconds.
        sent_at: When the last was sent, steady seconds.
        sent_bytes: Size of all datagrams that were sent then.
        link_bytes_per_s: Rate of this gateway's own link; infinite where not known.
        learnt_told_at: When paces were last told, steady seconds.
        speeds_told_at: When the targets' speeds were last told, steady seconds.
        speeds_turn: How often they were told so far.
        teaches: Whether those that start are told what caches hold.
        untold_caches: Engines whose caches are still to be told to a newcomer, by its
            name.
        taught: Start of each newcomer that was told of caches, by its name.
        spread_caches: Engines whose caches are still to be told to all.
        changed: Set when there is news.
        refused: Datagrams that were not believed so far.
    """

    own: Member
    started: float
    members: dict[str, Member] = field(default_factory=dict)
    names: dict[tuple[str, int], str] = field(default_factory=dict)
    groups: Groups = Groups()
    choice: RelayChoice = field(default_factory=RelayChoice)
    views: dict[str, PeerView] = field(default_factory=dict)
    number: int = field(default_factory=lambda: secrets.randbits(NUMBER_BITS))
    sent_times: dict[int, float] = field(default_factory=dict)
    sent_at: float = 0.0
    sent_bytes: int = 0
    link_bytes_per_s: float = math.inf
    learnt_told_at: float = -LEARNT_INTERVAL_S
    speeds_told_at: float = -math.inf
    speeds_turn: int = 0
    teaches: bool = True
    untold_caches: dict[str, list[str]] = field(default_factory=dict)
    taught: dict[str, float] = field(default_factory=dict)
    spread_caches: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    refused: int = 0

    def __post_init__(self):
        self.groups = relays.make_groups([self.own])

    @property
    def name(self) -> str:
        """This gateway's name."""
        return self.own.name

    @property
    def is_relay(self) -> bool:
        """Whether this gateway speaks for its group."""
        return self.choice.relay in ("", self.own.name)

    @property
    def interval_s(self) -> float:
        """The least time between two tellings, seconds."""
        least_s = relays.find_interval(self.groups)
        return relays.stretch_interval(least_s, self.sent_bytes, self.link_bytes_per_s)


def note_member(peers: Peers, member: Member) -> bool:
    """Take note of a gateway that the store names; whether that is news."""
    if member.name == peers.name or peers.members.get(member.name) == member:
        return False
    # The newest comes last, as it has an address that an earlier one may have had.
    peers.members.pop(member.name, None)
    peers.members[member.name] = member
    _arrange_members(peers)
    return True


def forget_member(peers: Peers, name: str) -> None:
    """Forget a gateway that the store does not name any more."""
    if peers.members.pop(name, None) is not None:
        _arrange_members(peers)


def _arrange_members(peers: Peers) -> None:
    members = peers.members.values()
    peers.groups = relays.make_groups([peers.own, *members])
    peers.names = {(member.host, member.port): member.name for member in members}


def note_sent(peers: Peers, now: float) -> None:
    """Take note that the next digest is sent."""
    peers.sent_at = now
    peers.sent_bytes = 0
    peers.number += 1
    peers.sent_times[peers.number] = now
    while len(peers.sent_times) > NUMBERS_KEPT:
        del peers.sent_times[next(iter(peers.sent_times))]


def list_heard(peers: Peers) -> list[str]:
    """List the names of all other gateways that are heard, also through relays."""
    names = set(peers.views)
    for view in peers.views.values():
        names.update(view.members)
    return sorted(names - {peers.name})


def has_peer_without_store(peers: Peers) -> bool:
    """Tell whether the store is unavailable for some gateway that is heard."""
    return any(view.lacks_store for view in peers.views.values())


def list_deciders(peers: Peers) -> list[str]:
    """List the other gateways that may decide for all.

    Who can't reach the store can't claim: while it counted as the first of all, nobody
    gave orders until it was back.
    """
    views = peers.views
    return [
        n
        for n in list_heard(peers)
        if n not in views or not views[n].is_store_unavailable
    ]


def find_oldest_s(peers: Peers, now: float) -> float:
    """Find how long ago the peer that was heard the longest ago was, seconds."""
    return max((now - view.heard_at for view in peers.views.values()), default=0.0)
