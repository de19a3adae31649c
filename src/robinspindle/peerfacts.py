"""What gateways tell each other besides their work: ages, clocks, counts.

It goes with each datagram, and is told to each receiver for itself: what it was true
after, and what the receiver has confirmed, differ from one to the next.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core import usage
from robinspindle.core.freshness import Freshness, note_peer_version
from robinspindle.core.peerdigests import ConfigurationAge, Facts
from robinspindle.core.peervalidation import MAX_AGE_MS
from robinspindle.core.timeofday import MAX_CLOCK_AGE_S
from robinspindle.core.usagereports import Reports, note_acknowledged
from robinspindle.peers import Peers, list_heard
from robinspindle.usagebook import UsageBook

MOST_REPORTED = 4
"""Windows of which it is told that they were reported, the newest."""


@dataclass
class PeerFacts:
    """Tells facts to peers and takes theirs in.

    Attributes:
        peers: The other gateways.
        freshness: The age of the configuration.
        book: The counts of requests that began to run.
        reports: The reports of windows.
        clock: Tells the present time, steady seconds.
    """

    peers: Peers
    freshness: Freshness
    book: UsageBook
    reports: Reports
    clock: Callable[[], float]

    def describe(self, name: str) -> Facts | None:
        """Describe what one peer is told; None where nothing hangs on it."""
        if not self.freshness.has_keys and self.book.schedule is None:
            return None
        view = self.peers.views.get(name)
        facts = Facts(
            last_received=None if view is None else view.number,
            configuration_age=self._describe_checked(),
            wall_ms=round(self.book.wall() * 1000),
            agreed_ms=round(self.book.read_wall() * 1000),
            reported=sorted(self.reports.acknowledged)[-MOST_REPORTED:],
        )
        if self.book.schedule is not None and self._tells_counts(name):
            started = view.started if view is not None else -math.inf
            facts.counts = self.book.list_unacknowledged(
                name, started, self.peers.number, self._list_left_out()
            )
        return facts

    def take(self, sender: str, facts: Facts) -> None:
        """Take in what a peer tells."""
        view = self.peers.views.get(sender)
        if facts.last_received is not None and view is not None:
            usage.note_received(
                self.book.ledger, sender, view.started, facts.last_received
            )
        as_of = self.peers.sent_times.get(facts.last_received)
        if as_of is not None:
            self._take_checked(facts, as_of)
            if self.clock() - as_of <= MAX_CLOCK_AGE_S:
                own_s, agreed_s = facts.wall_ms / 1000, facts.agreed_ms / 1000
                self.book.note_clock(sender, own_s, agreed_s)
        self.book.take(facts.counts)
        note_acknowledged(self.reports, set(facts.reported))

    def note_silent(self, name: str) -> None:
        """Take note that a peer fell silent: what it counted is told to all again."""
        usage.resend_counts(self.book.ledger, [name])

    def _describe_checked(self) -> ConfigurationAge | None:
        """Describe the age of the configuration at the time of the last telling."""
        if not self.freshness.has_keys:
            return None
        age_s = self.peers.sent_at - self.freshness.newest_at
        return ConfigurationAge(self.freshness.version, _round_up_ms(age_s))

    def _take_checked(self, facts: Facts, as_of: float) -> None:
        """Take in how sure a peer is of its configuration, as of our own digest."""
        checked = facts.configuration_age
        if checked is not None:
            newest_at = as_of - checked.age_ms / 1000
            note_peer_version(self.freshness, checked.version, newest_at, self.clock())

    def _tells_counts(self, name: str) -> bool:
        """Whether a peer is told counts: relays are, by their groups and each other.

        Two relays of one group tell each other too: each knows what those count that
        chose it.
        """
        if not self.peers.is_relay:
            return name == self.peers.choice.relay
        view = self.peers.views.get(name)
        of = self.peers.groups.group_numbers
        is_relay = view is not None and view.is_relay
        return is_relay or of.get(name) != of.get(self.peers.name)

    def _list_left_out(self) -> set[str]:
        """List the gateways whose counts others tell the peers that this one tells.

        Relays tell what their groups count, and what those counted that are gone.
        """
        if not self.peers.is_relay:
            return set()
        of = self.peers.groups.group_numbers
        own = of.get(self.peers.name)
        return {other for other in list_heard(self.peers) if of.get(other) != own}


def _round_up_ms(seconds: float) -> int:
    """Write an age in whole milliseconds, never less than it is."""
    return MAX_AGE_MS if seconds > MAX_AGE_MS / 1000 else math.ceil(seconds * 1000)
