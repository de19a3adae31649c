"""Whose turn it is to do what only one gateway does at a time."""

from robinspindle.core import presence
from robinspindle.core.presence import Presences
from robinspindle.peers import Peers, list_heard

HEARD_S = 10.0
"""Peers that were heard within this are those that a gateway should hear, seconds."""

SETTLE_S = 2.0
"""How long a gateway has to be a relay without a pause before it acts, seconds: until
then it may not have heard what others counted. Who comes back from a freeze, or as a
new life, and decides at once decides from what it knew before."""

BACK_S = 1.0
"""How long a gateway that was silent has to be heard again until it has told what it
counted, seconds: five of the longest intervals between datagrams, over two hops."""

STALE_S = 0.7
"""A relay that was not heard for this long may have counted what is not known here,
seconds: three of the longest intervals between its datagrams. It is heard again or
taken for silent soon."""


class DutyTurns:
    """The order of the gateways that may act: relays, as they hear of all others."""

    def __init__(self, peers: Peers):
        self._peers = peers
        self._presences = Presences()
        # Since when this gateway has been a relay without a pause; None if it is none.
        self._relay_since: float | None = None
        # Since when it has heard most others without a gap; None if it does not.
        self._hears_since: float | None = None
        self._now = 0.0

    def note_pause(self) -> None:
        """Take note that this process was not run for a while."""
        self._relay_since = None

    def note_heard(self, now: float) -> None:
        """Take note of the peers that are heard now."""
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
        """Find this gateway's place among the relays that are heard; None for none."""
        since = self._relay_since
        if since is None or self._now - since < SETTLE_S:
            return None
        views = self._peers.views
        relays = [name for name, view in views.items() if view.is_relay]
        return sum(name < self._peers.name for name in relays)

    def hears_most(self) -> bool:
        """Whether most others have been heard for a while, without a gap.

        Who was cut off has to hear first what they counted meanwhile.
        """
        since = self._hears_since
        return since is not None and self._now - since >= SETTLE_S

    def hears_all(self) -> bool:
        """Whether all that were heard lately are, and have told what they counted.

        A new life remembers nobody: it waits for all that the store names.
        """
        named = self._peers.members
        return presence.hears_all(self._presences, named, self._now, BACK_S)

    def _hears_now(self, heard: int) -> bool:
        """Whether most that were heard lately still are, and all relays just now."""
        views = self._peers.views.values()
        if any(v.is_relay and self._now - v.heard_at > STALE_S for v in views):
            return False
        lately = presence.count_heard_within(self._presences, self._now, HEARD_S)
        return heard * 2 >= lately

    def is_first(self) -> bool:
        """Whether this gateway is the first in order, and hears most others."""
        return self.find_place() == 0 and self.hears_most()
