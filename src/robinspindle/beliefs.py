"""What a gateway believes of the world by the platform's store.

Each topic of the store is followed, and what it says is taken into the configuration,
the targets, the peers and the claims to give orders.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from robinspindle.adapters import Adapter
from robinspindle.core import quarantine, silence, targets, versionrecords
from robinspindle.core.decoding import shorten
from robinspindle.core.entries import UnusableEntries
from robinspindle.core.freshness import (
    Freshness,
    find_relay_wait_s,
    find_wait_s,
    note_newest_readable,
    note_newest_unreadable,
    note_store_read,
)
from robinspindle.core.relays import decode_member
from robinspindle.core.routes import is_newer
from robinspindle.core.storepolls import find_hold_s
from robinspindle.core.targets import Target
from robinspindle.core.versionhistory import note_listed
from robinspindle.exceptions import BadDocumentError
from robinspindle.fleet import Fleet
from robinspindle.following import Follower
from robinspindle.guard import Guard
from robinspindle.introduction import Introduction
from robinspindle.logs import Log
from robinspindle.ordering import CLAIM_KEY, Orderer
from robinspindle.peers import Peers, forget_member, list_heard, note_member
from robinspindle.quarantinekeeping import QuarantineKeeper
from robinspindle.requestparser import Limits
from robinspindle.versionkeeping import VersionKeeper

LONG_WAIT_S = 25.0
"""How long the store holds a poll that may wait in vain for a while, seconds: peers
tell how far they have read, so that who is behind knows after a few tenths of a second.
The store holds none for over 30 s."""

PEERS_REST_S = 1.0
"""Least time between two reads about gateways, seconds: all introduce themselves at
once, and each record would be a call of each other gateway."""

MAX_FINDINGS = 10
"""Most findings of one configuration in a log line."""


@dataclass(frozen=True)
class Beliefs:
    """Takes in what the store says.

    Attributes:
        adapter: Names the topics and decodes what they hold.
        fleet: The targets and the configuration in force.
        peers: The other gateways.
        orderer: Told of the claims to give orders.
        introduction: Told whether the store holds this gateway's.
        guard: Told of lives that are over.
        keeper: Takes in the quarantine, which lies beside the gateways.
        versions: Takes in the versions' records, which lie there too.
        limits: What callers may send; changed in place.
        is_own: Tells whether a gateway's name is this one's.
        freshness: Told of the age of the configuration.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
        contact_s: Tells how soon after a trouble of the store gateways are held to what
            it says, seconds.
        entries: The targets' entries that can't be used.
        introductions: The gateways' introductions that can't be read.
    """

    adapter: Adapter
    fleet: Fleet
    peers: Peers
    orderer: Orderer
    introduction: Introduction
    guard: Guard
    keeper: QuarantineKeeper
    versions: VersionKeeper
    limits: Limits
    is_own: Callable[[str], bool]
    freshness: Freshness
    clock: Callable[[], float]
    log: Log
    contact_s: Callable[[], float]
    entries: UnusableEntries = field(default_factory=UnusableEntries)
    introductions: UnusableEntries = field(default_factory=UnusableEntries)

    def list_followers(self) -> list[Follower]:
        """List the topics to follow and what takes them in."""
        return [
            self._follow_peers(),
            self._follow_orders(),
            self._follow_configuration(),
            self._follow_targets(),
        ]

    def _follow_configuration(self) -> Follower:
        return Follower(
            topic=self.adapter.configuration_topic,
            apply=self._apply_configuration,
            note_away=lambda: None,
            note_back=lambda: None,
            wait_s=self._find_configuration_wait_s,
            note_newest=self._note_configuration_newest,
        )

    def _follow_targets(self) -> Follower:
        return Follower(
            topic=self.adapter.targets_topic,
            apply=self._apply_target,
            note_away=self._note_away,
            note_back=self._note_back,
            rest_s=self._find_targets_rest_s,
            wait_s=lambda: self._find_wait_s(self._find_targets_rest_s()),
            note_newest=lambda sent_at: targets.note_restored_list_read(
                self.fleet.directory
            ),
        )

    def _follow_peers(self) -> Follower:
        follower = Follower(
            topic=self.adapter.gateways_topic,
            apply=self._apply_peer_or_record,
            note_away=lambda: None,
            note_back=lambda: None,
            rest_s=lambda: PEERS_REST_S,
            wait_s=lambda: LONG_WAIT_S,
            note_newest=self._note_peers_newest,
        )
        self.versions.follower = follower
        return follower

    def _follow_orders(self) -> Follower:
        return Follower(
            topic=self.adapter.orders_topic,
            apply=self._apply_claim,
            note_away=lambda: None,
            note_back=lambda: None,
            wait_s=lambda: LONG_WAIT_S,
            note_end=self._note_claims_end,
        )

    def _find_configuration_wait_s(self) -> float:
        """Find how long polls for configurations are held.

        The lease of freshness counts from when a poll was sent. Relays renew it for
        their groups.
        """
        most_s = self._find_wait_s(0.0)
        if self.peers.is_relay:
            return find_relay_wait_s(self.freshness, most_s)
        return find_wait_s(self.freshness, self.clock(), most_s)

    def _find_targets_rest_s(self) -> float:
        return self.fleet.directory.missing_grace_s

    def _find_wait_s(self, rest_s: float) -> float:
        """Find how long polls are held: relays notice first that the store is away.

        Their groups then hold theirs long, as each call has its price.

        Args:
            rest_s: The rest before each poll, seconds.
        """
        if not self.peers.is_relay:
            return LONG_WAIT_S
        return find_hold_s(self.contact_s(), rest_s)

    def _apply_claim(self, key: str, value: bytes | None) -> None:
        if key == CLAIM_KEY and value is not None:
            self.orderer.note_record(value.decode("utf-8", "replace"))

    def _note_claims_end(self, end: int) -> None:
        self.orderer.authority.end = end

    def _note_unreadable_introduction(self, key: str, value: bytes) -> None:
        reason = f"{len(value)} bytes: {shorten(repr(value[:40]))}"
        if self.introductions.note(key, reason):
            text = "peer's introduction can't be read"
            self.log(text, peer=shorten(key), reason=reason)

    def _note_peers_newest(self, sent_at: float) -> None:
        self.keeper.note_newest()
        self.introduction.is_read = True

    def _apply_peer_or_record(self, key: str, value: bytes | None) -> None:
        """Take in a record of the topic that all share: each topic costs calls."""
        if quarantine.is_key(key):
            self.keeper.apply(key, value)
        elif versionrecords.is_key(key):
            self.versions.apply(key, value)
        else:
            self._apply_peer(key, value)

    def _apply_peer(self, key: str, value: bytes | None) -> None:
        if self.is_own(key):
            self.introduction.is_stored = value is not None
            return
        member = None if value is None else decode_member(key, value)
        if value is None and key in list_heard(self.peers):
            # The store returned from an older copy; the peer introduces itself again.
            return
        if member is None:
            if value is not None:
                self._note_unreadable_introduction(key, value)
            else:
                self.introductions.forget(key)
            forget_member(self.peers, key)
            return
        self.introductions.forget(key)
        if note_member(self.peers, member):
            address = f"{member.host}:{member.port}"
            self.log("peer introduced", peer=key, address=address, zone=member.zone)

    def _note_configuration_newest(self, sent_at: float) -> None:
        """Take note that nothing newer is in force.

        A version that can't be read may have taken keys away; it renews nothing.
        """
        note_store_read(self.freshness, sent_at)

    def _apply_configuration(self, key: str, value: bytes | None) -> None:
        if key != self.adapter.configuration_key or value is None:
            return
        came_at = self.clock()
        try:
            table = self.adapter.decode_configuration(value)
        except BadDocumentError as error:
            note_newest_unreadable(self.freshness)
            self.log(
                "configuration can't be read, the last one stays",
                bytes=len(value),
                error=str(error),
            )
            return
        note_newest_readable(self.freshness)
        if not is_newer(table, self.fleet.table):
            self.log("older configuration passed over", version=table.version)
            return
        self.fleet.apply_table(table, self.clock())
        self.versions.note_configured()
        self.freshness.version = table.version
        self.freshness.has_keys = table.keys is not None
        limits = table.limits
        self.limits.header_bytes = limits.header_bytes
        self.limits.body_bytes = limits.body_bytes
        self.limits.header_s = limits.header_s
        self.limits.idle_s = limits.idle_s
        self.log(
            "configuration in force",
            version=table.version,
            bytes=len(value),
            decode_ms=round((self.clock() - came_at) * 1000),
        )
        if table.findings:
            self.log(
                "parts of the configuration can't be used",
                version=table.version,
                count=len(table.findings),
                findings=table.findings[:MAX_FINDINGS],
            )

    def _apply_target(self, key: str, value: bytes | None) -> None:
        directory, now = self.fleet.directory, self.clock()
        if value is None:
            self.entries.forget(key)
            if targets.note_missing(directory, now, key):
                self.log("target's entry is gone", target=key)
            return
        try:
            announced = self.adapter.decode_announcement(key, value)
        except BadDocumentError as error:
            self._note_unusable(key, str(error))
            return
        taken = targets.apply_announcement(directory, announced, now)
        if taken.is_superseded:
            self._note_unusable(key, "its start went back", is_current=False)
            return
        self.entries.forget(key)
        note_listed(self.fleet.versions, announced, now)
        if not self.versions.may_begin(announced):
            self.versions.note_announced()
        for target in taken.ended:
            self._end_life(target, announced.lifetime)
        if taken.has_changed:
            self.log(
                "target announced",
                target=announced.lifetime,
                service=announced.service,
                role=announced.role,
                leaving=announced.leaving,
            )

    def _note_unusable(self, key: str, reason: str, is_current: bool = True) -> None:
        """Take note of an entry that names no target to use.

        Args:
            key: Its key.
            reason: Why.
            is_current: Whether it speaks of the present; else it is passed over.
        """
        if self.entries.note(key, reason):
            text = "target's entry can't be used"
            self.log(text, target=shorten(key), reason=reason)
        if is_current:
            targets.note_unreadable(self.fleet.directory, key)

    def _end_life(self, target: Target, later: str) -> None:
        """End what waits for a target that has started again since.

        Its answers can't come any more, and what may run once would wait in vain.
        """
        note_listed(self.fleet.versions, target.announced, self.clock())
        ends = silence.list_end_callbacks(target.liveness)
        self.log(
            "target started again",
            target=later,
            earlier=target.announced.lifetime,
            waiting=len(ends),
        )
        for end in ends:
            end()
        self.guard.runs.note_life_over(target)

    def _note_away(self) -> None:
        if targets.note_store_unavailable(self.fleet.directory, self.clock()):
            self.log("store lost")

    def _note_back(self) -> None:
        self.fleet.directory.is_list_read = True
        self.fleet.directory.read_at = self.clock()
        if targets.note_store_recovered(self.fleet.directory, self.clock()):
            self.log("store regained")
