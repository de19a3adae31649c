"""How sure a gateway is that the configuration which it holds is the newest.

Where keys must stop working everywhere within a promised time, also at a gateway that
is cut off, a gateway serves requests with a key only while it holds a lease of
freshness: it knows that at some moment, less than that time before the request came,
no newer configuration was in force. The moment is the one at which a call to the store
was *sent*, as the answer may have waited anywhere. A peer passes its own on as an age
beside the number of the newest datagram that it had from us: the peer spoke after we
sent that one, so the age counts from then, and time spent on the way or in a buffer
only makes it older. All times are of one clock that counts suspension.
"""

import math
from dataclasses import dataclass

MARGIN_SHARE = 0.02
"""Part of the promised time that is not used: clocks of two VMs run apart."""

WAIT_SHARE = 0.2
"""Part of the promised time for which the store holds a poll. What its answer says was
true when it was sent: between two answers the age grows to twice as much."""

RENEW_SHARE = 0.6
"""Part of the promised time after which the store is asked out of turn: beyond what
polls and peers leave, and one call that gets no answer may still be made up for."""

PEERS_RENEW_S = 1.0
"""Who was told within this counts on its peers for more, seconds: five datagrams."""

DENY_SHARE = 0.8
"""Part of the time in which a configuration must be in force up to which what it does
not name is called unknown. Who has not heard for longer says that it can't tell."""


@dataclass
class Freshness:
    """What one gateway knows of the age of its configuration.

    Attributes:
        limit_s: The time within which a key that was taken away stops working, seconds;
            None where that is not promised of gateways that are cut off.
        apply_s: The time within which a configuration is in force, seconds.
        has_keys: Whether requests need keys by the configuration in force.
        version: Its version; 0 for none.
        newest_at: When it was last known to be the newest, steady seconds.
        peer_renewed_at: When a peer last renewed that, steady seconds.
        newer_version: The highest version that a peer told of.
        newer_at: When it was told, steady seconds.
    """

    limit_s: float | None = None
    apply_s: float = 2.0
    has_keys: bool = False
    version: int = 0
    newest_at: float = -math.inf
    peer_renewed_at: float = -math.inf
    newer_version: int = 0
    newer_at: float = -math.inf


def note_store_read(freshness: Freshness, sent_at: float) -> None:
    """Take note that the store held nothing newer.

    A store that has returned from a copy may hold less than a peer has seen.

    Args:
        freshness: What is known; changed in place.
        sent_at: When the store was asked, steady seconds.
    """
    if not _is_behind(freshness, sent_at):
        freshness.newest_at = max(freshness.newest_at, sent_at)


def note_peer_version(
    freshness: Freshness, version: int, as_of: float, now: float
) -> None:
    """Take note of the version that a peer knew to be the newest.

    Args:
        freshness: What is known; changed in place.
        version: The version that the peer holds.
        as_of: The latest moment, by our clock, at which it is sure to have been the
            newest.
        now: The present time, steady seconds.
    """
    if version > freshness.version:
        freshness.newer_version = max(freshness.newer_version, version)
        freshness.newer_at = now
    elif version == freshness.version and not _is_behind(freshness, now):
        freshness.peer_renewed_at = now
        freshness.newest_at = max(freshness.newest_at, as_of)


def may_serve(freshness: Freshness, received_at: float) -> bool:
    """Whether a request with a known key may run.

    A configuration that took the key away since came after `newest_at`, so the
    request was sent before the promised time after it had passed, whenever it runs.

    Args:
        freshness: What is known.
        received_at: When the request's head had come, steady seconds.
    """
    if not _is_promised(freshness):
        return True
    limit_s = freshness.limit_s * (1 - MARGIN_SHARE)
    return received_at - freshness.newest_at <= limit_s


def may_deny(freshness: Freshness, now: float) -> bool:
    """Whether a key that is not known here may be called unknown.

    Else it may have been given out since, and this gateway lags.
    """
    if _is_behind(freshness, now):
        return False
    return now - freshness.newest_at <= DENY_SHARE * freshness.apply_s


def must_renew(freshness: Freshness, now: float) -> bool:
    """Whether the store is to be asked out of turn."""
    if not _is_promised(freshness):
        return False
    return now - freshness.newest_at > RENEW_SHARE * freshness.limit_s


def find_wait_s(freshness: Freshness, now: float, most_s: float) -> float:
    """Find how long the store may hold a poll for configurations, seconds.

    Args:
        freshness: What is known.
        now: The present time, steady seconds.
        most_s: How long it may where nothing hangs on the age, or peers renew it.
    """
    if relies_on_peers(freshness, now):
        return most_s
    return find_relay_wait_s(freshness, most_s)


def find_relay_wait_s(freshness: Freshness, most_s: float) -> float:
    """Find the same for a gateway on which others count, seconds."""
    if not _is_promised(freshness):
        return most_s
    return min(most_s, WAIT_SHARE * freshness.limit_s)


def relies_on_peers(freshness: Freshness, now: float) -> bool:
    """Whether peers renew it, so that the store need not be asked often."""
    return (
        not _is_promised(freshness) or now - freshness.peer_renewed_at <= PEERS_RENEW_S
    )


def _is_promised(freshness: Freshness) -> bool:
    """Whether keys hang on the age of the configuration at all."""
    return freshness.limit_s is not None and freshness.has_keys


def _is_behind(freshness: Freshness, now: float) -> bool:
    """Whether a peer has told of a newer version, not too long ago to be believed."""
    if freshness.newer_version <= freshness.version:
        return False
    return now - freshness.newer_at <= (freshness.limit_s or freshness.apply_s)
