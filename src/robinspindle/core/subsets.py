"""Subsets: the targets of a pool that an entry connects to, which bounds the mesh."""

import hashlib
from collections.abc import Iterable


def choose_subset(entry: str, targets: list[str], size: int) -> list[str]:
    """Choose an entry's targets by rendezvous hashing.

    A target that joins or leaves changes one member in the subsets of the entries that
    had it, and none in the others.

    Args:
        entry: The entry's name.
        targets: Names of all targets of one pool.
        size: Maximum number of targets to choose; 0 chooses all.

    Returns:
        The chosen names, sorted.
    """
    if size <= 0 or len(targets) <= size:
        return sorted(targets)
    return sorted(rank_names(entry, targets)[:size])


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Rank names by rendezvous hashing, in an order that hangs on the key.

    A name that joins or leaves doesn't change the order of the others.
    """
    return sorted(names, key=lambda name: _hash_pair(key, name), reverse=True)


def _hash_pair(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
