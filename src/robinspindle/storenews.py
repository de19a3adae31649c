"""What peers say of the store: how far they have read it, and whether it is away."""

from collections.abc import Callable

from robinspindle.core.peerdigests import Digest
from robinspindle.following import (
    MAX_PAUSE_S,
    UNAVAILABLE_PAUSE_S,
    Follower,
    Outage,
    note_doubted,
    note_may_be_back,
    note_told_away,
    note_told_end,
)
from robinspindle.peers import Peers


class StoreNews:
    """Has held polls looked after where peers know more than they brought.

    Attributes:
        outage: What all who follow the store know of its being lost.
    """

    def __init__(
        self,
        peers: Peers,
        followers: list[Follower],
        checked_topic: str,
        find_era: Callable[[], int],
    ):
        """Take over the followers of one store.

        Args:
            peers: The other gateways.
            followers: Who follows the store.
            checked_topic: The topic that is read to see whether the store is away.
            find_era: Tells the newest era of the store that is known.
        """
        self._find_era = find_era
        # The newest era that a peer told; a peer that lies about it costs one call.
        self._told_era = 0
        self.outage = Outage(find_max_pause_s=self._find_max_pause_s)
        self._peers = peers
        self._followers = followers
        self._checked = next(f for f in followers if f.topic == checked_topic)
        self._away_for: set[str] = set()
        self._was_relay = peers.is_relay

    def list_ends(self) -> dict[str, int]:
        """List how far each topic has been read."""
        followers = self._followers
        return {f.topic: f.offset for f in followers if f.offset is not None}

    def note_told(self, digest: Digest) -> None:
        """Take note of how far a peer has read, and whether the store is away.

        Ends of another era say nothing of ours; one call tells whether a new one began.
        """
        peer, is_away = digest.sender, digest.is_store_unavailable
        era = self._find_era()
        if digest.era > max(era, self._told_era):
            self._told_era = digest.era
            note_told_away(self._checked)
        elif digest.era == era:
            for follower in self._followers:
                note_told_end(follower, digest.topic_ends.get(follower.topic, -1))
        was_away = peer in self._away_for
        if is_away and not was_away:
            self._away_for.add(peer)
            # One call tells whether it is away for us too.
            note_told_away(self._checked)
        elif was_away and not is_away:
            self._away_for.discard(peer)
            note_may_be_back(self.outage)

    def is_unavailable_for(self, peer: str) -> bool:
        """Whether the store is away for a peer, as it last told."""
        return peer in self._away_for

    def note_pause(self) -> None:
        """Have all held polls looked after: they may have waited in vain meanwhile."""
        for follower in self._followers:
            note_told_away(follower)
        note_may_be_back(self.outage)

    def note_silent(self, topic: str) -> None:
        """Have the held polls of all topics but one looked after.

        Args:
            topic: The topic whose connection went silent; it was read anew.
        """
        for follower in self._followers:
            if follower.topic != topic:
                note_doubted(follower)

    def look_after_configuration(self) -> None:
        """Have the held poll for configurations looked after."""
        note_told_away(self._checked)

    def look_after_relaying(self) -> None:
        """Have all held polls looked after by a gateway that has become a relay.

        They may be held for long, as those of its group are: nobody else in it would
        notice soon that the store is away.
        """
        if self._peers.is_relay and not self._was_relay:
            for follower in self._followers:
                note_told_away(follower)
        self._was_relay = self._peers.is_relay

    def _find_max_pause_s(self) -> float:
        """Find the longest pause between reads of a lost store, seconds.

        Who is told by its relay when the store is back asks less often itself.
        """
        waits_for_relay = self._peers.choice.relay in self._away_for
        return UNAVAILABLE_PAUSE_S if waits_for_relay else MAX_PAUSE_S
