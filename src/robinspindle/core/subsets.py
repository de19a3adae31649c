"""Subsets: which targets of a pool an entry speaks to, so that meshes stay small."""

import hashlib


def choose_subset(entry: str, targets: list[str], size: int) -> list[str]:
    """Choose an entry's targets by rendezvous hashing.

    A target that comes or goes changes one place in the subset of the entries that
    had it, and nothing for the others.

    Args:
        entry: The entry's name.
        targets: Names of all targets of one pool.
        size: Most targets to choose; 0 chooses all.

    Returns:
        The chosen names, sorted.
    """
    if size <= 0 or len(targets) <= size:
        return sorted(targets)
    ranked = sorted(targets, key=lambda name: _weigh(entry, name), reverse=True)
    return sorted(ranked[:size])


def _weigh(entry: str, target: str) -> bytes:
    return hashlib.blake2b(f"{entry}\0{target}".encode(), digest_size=8).digest()
