"""Telling gateways that have just started what the engines' caches hold."""

from typing import Protocol

import msgspec

from robinspindle.core.peerdigests import Cache, Digest, is_cache_sender
from robinspindle.peers import Peers

TOLD_PARTS = 1000
"""Parts of caches in one digest: about 20 KB, so that a datagram stays below 64 KB."""


class KnownCaches(Protocol):
    """What is believed of the engines' caches."""

    def list_known_caches(self) -> list[str]:
        """List the engines of whose caches something is known."""

    def describe_cache(self, lifetime: str) -> Cache | None:
        """Describe what an engine's cache is believed to hold."""


def plan_teaching(peers: Peers, caches: KnownCaches, digest: Digest) -> None:
    """Plan to tell a newcomer what caches hold, once after each of its starts.

    Args:
        peers: The other gateways; changed in place.
        caches: What is believed of caches.
        digest: What the newcomer told.
    """
    newcomer = digest.sender
    is_told = peers.taught.get(newcomer) == digest.started
    if not peers.teaches or not digest.is_new or is_told:
        return
    others = [name for name, view in peers.views.items() if view.is_relay]
    if digest.is_relay and not is_cache_sender(peers.name, others, newcomer):
        return
    peers.taught[newcomer] = digest.started
    peers.untold_caches[newcomer] = caches.list_known_caches()


def take_caches(caches: KnownCaches, lifetimes: list[str]) -> list[Cache]:
    """Take what the next caches hold, as much as a datagram may tell.

    Args:
        caches: What is believed of caches.
        lifetimes: The engines that are still to be told of; those taken are removed.
    """
    found: list[Cache] = []
    parts = 0
    while lifetimes and parts < TOLD_PARTS:
        cache = caches.describe_cache(lifetimes.pop())
        if cache is not None:
            found.append(cache)
            parts += len(cache.parts)
    return found


def add_caches(digest: Digest, caches: list[Cache]) -> Digest:
    """Add what caches hold to a digest."""
    if not caches:
        return digest
    return msgspec.structs.replace(digest, caches=digest.caches + caches)
