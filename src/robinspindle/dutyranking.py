"""Ranks the gateways for singleton duties: which one may make the calls now."""

from robinspindle.core import presence
from robinspindle.core.presence import Presences
from robinspindle.peers import Peers, list_heard

RECENT_S = 10.0
"""Peers that sent something within this time are those that a gateway should receive
from, seconds."""

RELAY_WAIT_S = 2.0
"""How long a gateway has to be a relay without a pause before it acts, seconds: until
then it may not have received what others counted. After a pause or a start, a decision
made at once would be made from what it knew before."""

RETURN_WAIT_S = 1.0
"""How long a gateway that had timed out has to send again until it has sent what it
counted, seconds: five of the longest intervals between datagrams, over two hops."""

MAX_RELAY_AGE_S = 0.7
"""A relay that sent nothing for this long may have counted what is not known here,
seconds: three of the longest intervals between its datagrams. Soon it sends again or
times out."""


class DutyRanking:
    """The rank order of the gateways that may act: relays, as they know of all."""

    def __init__(self, peers: Peers):
        self._peers = peers
        self._presences = Presences()
        # Since when this gateway has been a relay without a pause; None if it is none.
        self._relay_since: float | None = None
        # Since when it has received from most others without a gap, or None.
        self._hears_since: float | None = None
        self._now = 0.0

    def note_pause(self) -> None:
        """Record that this process was paused."""
        self._relay_since = None

    def note_heard(self, now: float) -> None:
        """Record from which peers datagrams are received now."""
        self._now = now
        if not self._peers.is_relay:
            self._relay_since = None
        elif self._relay_since is None:
            self._relay_since = now
        heard = list_heard(self._peers)
        presence.note_heard(self._presences, heard, now)
        if not self._hears_now(len(heard)):
            self._hears_since = None
        elif self._hears_since is None:
            self._hears_since = now

    def find_place(self) -> int | None:
        """Find this gateway's place among the relays, from 0; None if it is none."""
        since = self._relay_since
        if since is None or self._now - since < RELAY_WAIT_S:
            return None
        views = self._peers.views
        relays = [name for name, view in views.items() if view.is_relay]
        return sum(name < self._peers.name for name in relays)

    def hears_most(self) -> bool:
        """Whether it has received from most others for a while, without a gap.

        A gateway that was cut off first has to receive what they counted meanwhile.
        """
        since = self._hears_since
        return since is not None and self._now - since >= RELAY_WAIT_S

    def hears_all(self) -> bool:
        """Whether all that sent lately still do, and have sent what they counted.

        A gateway that has just started remembers nobody: it waits for all that the
        store names.
        """
        named = self._peers.members
        return presence.hears_all(self._presences, named, self._now, RETURN_WAIT_S)

    def _hears_now(self, heard: int) -> bool:
        """Whether most that sent lately still do, and all relays did just now."""
        views = self._peers.views.values()
        if any(v.is_relay and self._now - v.heard_at > MAX_RELAY_AGE_S for v in views):
            return False
        lately = presence.count_heard_within(self._presences, self._now, RECENT_S)
        return heard * 2 >= lately

    def is_first(self) -> bool:
        """Whether this gateway is the first, and receives from most others."""
        return self.find_place() == 0 and self.hears_most()
