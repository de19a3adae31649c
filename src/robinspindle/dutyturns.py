"""Whose turn it is to do what only one gateway does at a time."""

from robinspindle.peers import Peers, list_heard

HEARD_S = 10.0
"""Peers that were heard within this are those that a gateway should hear, seconds."""


class DutyTurns:
    """The order of the gateways that may act: relays, as they hear of all others."""

    def __init__(self, peers: Peers):
        self._peers = peers
        self._heard_at: dict[str, float] = {}

    def note_heard(self, now: float) -> None:
        """Take note of the peers that are heard now."""
        for name in list_heard(self._peers):
            self._heard_at[name] = now
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if now - at <= HEARD_S
        }

    def find_place(self) -> int | None:
        """Find this gateway's place among the relays that are heard, None for none."""
        if not self._peers.is_relay:
            return None
        views = self._peers.views
        relays = [name for name, view in views.items() if view.is_relay]
        return sum(name < self._peers.name for name in relays)

    def hears_most(self) -> bool:
        """Whether most of those that were heard lately still are."""
        return len(list_heard(self._peers)) * 2 >= len(self._heard_at)

    def is_first(self) -> bool:
        """Whether this gateway is the first in order, and hears most others."""
        return self.find_place() == 0 and self.hears_most()
