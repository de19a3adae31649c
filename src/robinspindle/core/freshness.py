"""How sure a gateway is that its configuration is the newest one.

A revoked key must stop working everywhere within a promised time, also at a gateway
that is partitioned from the rest. A gateway therefore serves requests with a key only
while it holds a freshness lease: it knows that no newer configuration was in force at
some moment that is less than the promised time before the request came. That moment is
when a call to the store was *sent*, as its response may have been delayed anywhere.

A peer sends its own moment as an age, together with the number of the newest datagram
that it received from this gateway. The peer computed the age after that datagram was
sent, so this gateway subtracts the age from the time at which it sent the datagram.
Delays in the network or in a buffer can therefore only make the result older. All times
are of one clock that counts suspension.
"""

import math
from dataclasses import dataclass

MARGIN_SHARE = 0.02
"""Fraction of the promised time that is not used, as the clocks of two VMs drift."""

WAIT_SHARE = 0.2
"""Fraction of the promised time for which the store holds a poll open. The response is
true as of when the poll was sent, so the age grows to twice this time between two
responses."""

RENEW_SHARE = 0.6
"""Fraction of the promised time after which the store is asked ahead of schedule: more
than the age reaches in normal operation, while polls and peers renew it, and early
enough to retry one call that gets no response."""

PEERS_RENEW_S = 1.0
"""A gateway relies on its peers if one of them renewed its freshness lease within this
time, seconds: the time in which a peer sends five datagrams."""

DENY_SHARE = 0.8
"""Fraction of the time within which a published configuration must be in force. A
gateway rejects keys that are not in its configuration as unknown only while the
configuration is not older than this. Otherwise it responds that it can't tell, as the
key may be new."""


@dataclass
class Freshness:
    """What one gateway knows of the age of its configuration.

    Attributes:
        limit_s: The promised time within which a revoked key stops working, seconds;
            None if this is not promised for partitioned gateways.
        apply_s: The time within which a published configuration must be in force,
            seconds.
        has_keys: Whether the configuration in force requires keys for requests.
        version: Its version; 0 for none.
        newest_at: When it was last known to be the newest, monotonic seconds.
        peer_renewed_at: When a peer last renewed `newest_at`, monotonic seconds.
        newer_version: The highest version that a peer sent.
        newer_at: When that version was received, monotonic seconds.
        is_newest_unreadable: Whether the newest configuration can't be read: it may
            have taken keys away, and changed everything else.
    """

    limit_s: float | None = None
    apply_s: float = 2.0
    has_keys: bool = False
    version: int = 0
    newest_at: float = -math.inf
    peer_renewed_at: float = -math.inf
    newer_version: int = 0
    newer_at: float = -math.inf
    is_newest_unreadable: bool = False


def note_store_read(freshness: Freshness, sent_at: float) -> None:
    """Note that the store held no newer configuration when it was asked.

    This is ignored if a peer has sent a newer version, as a store that was restored
    from a backup may hold less than a peer has read. It is also ignored while the
    newest version can't be read.

    Args:
        freshness: What is known; changed in place.
        sent_at: When the store was asked, monotonic seconds.
    """
    if not _is_behind(freshness, sent_at):
        freshness.newest_at = max(freshness.newest_at, sent_at)


def note_newest_unreadable(freshness: Freshness) -> None:
    """Note that the store holds a version that can't be read."""
    freshness.is_newest_unreadable = True


def note_newest_readable(freshness: Freshness) -> None:
    """Note that the version that the store holds can be read."""
    freshness.is_newest_unreadable = False


def note_peer_version(
    freshness: Freshness, version: int, as_of: float, now: float
) -> None:
    """Note the version that a peer knew to be the newest.

    Args:
        freshness: What is known; changed in place.
        version: The version that the peer holds.
        as_of: The latest moment at which it is certain to have been the newest, by this
            gateway's clock, monotonic seconds.
        now: The current time, monotonic seconds.
    """
    if version > freshness.version:
        freshness.newer_version = max(freshness.newer_version, version)
        freshness.newer_at = now
    elif version == freshness.version and not _is_behind(freshness, now):
        freshness.peer_renewed_at = now
        freshness.newest_at = max(freshness.newest_at, as_of)


def may_serve(freshness: Freshness, received_at: float) -> bool:
    """Whether a request with a known key may run.

    If the key was revoked, the configuration that revoked it came into force after
    `newest_at`. The request was received less than the promised time after `newest_at`,
    so the promise is kept whenever the request runs.

    Args:
        freshness: What is known.
        received_at: When the head of the request was received, monotonic seconds.
    """
    if not _is_promised(freshness):
        return True
    limit_s = freshness.limit_s * (1 - MARGIN_SHARE)
    return received_at - freshness.newest_at <= limit_s


def may_deny(freshness: Freshness, now: float) -> bool:
    """Whether a key that is not in the configuration may be rejected as unknown.

    If not, the configuration may be too old to contain a key that was issued recently.
    """
    if _is_behind(freshness, now):
        return False
    return now - freshness.newest_at <= DENY_SHARE * freshness.apply_s


def must_renew(freshness: Freshness, now: float) -> bool:
    """Whether the store must be asked ahead of schedule."""
    if not _is_promised(freshness) or freshness.is_newest_unreadable:
        return False
    return now - freshness.newest_at > RENEW_SHARE * freshness.limit_s


def find_wait_s(freshness: Freshness, now: float, max_s: float) -> float:
    """Find how long the store may hold a poll for configurations open, seconds.

    Args:
        freshness: What is known.
        now: The current time, monotonic seconds.
        max_s: The longest time, for a gateway whose peers renew its configuration or
            to which the promise doesn't apply, seconds.
    """
    if relies_on_peers(freshness, now):
        return max_s
    return find_relay_wait_s(freshness, max_s)


def find_relay_wait_s(freshness: Freshness, max_s: float) -> float:
    """Find the poll time of a relay, on which its peers rely, seconds."""
    if not _is_promised(freshness):
        return max_s
    return min(max_s, WAIT_SHARE * freshness.limit_s)


def relies_on_peers(freshness: Freshness, now: float) -> bool:
    """Whether peers renew the configuration, so that the store is asked less often."""
    return (
        not _is_promised(freshness) or now - freshness.peer_renewed_at <= PEERS_RENEW_S
    )


def _is_promised(freshness: Freshness) -> bool:
    """Whether the promise applies: it is given, and requests need keys."""
    return freshness.limit_s is not None and freshness.has_keys


def _is_behind(freshness: Freshness, now: float) -> bool:
    """Whether a newer version exists that is not in force here.

    One that a peer sent counts as long as that may be relied on.
    """
    if freshness.is_newest_unreadable:
        return True
    if freshness.newer_version <= freshness.version:
        return False
    return now - freshness.newer_at <= (freshness.limit_s or freshness.apply_s)
