"""Subsets: the targets of a pool that an entry connects to, which bounds the mesh."""

import hashlib


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
    ranked = sorted(targets, key=lambda name: _hash_pair(entry, name), reverse=True)
    return sorted(ranked[:size])


def _hash_pair(entry: str, target: str) -> bytes:
    return hashlib.blake2b(f"{entry}\0{target}".encode(), digest_size=8).digest()
