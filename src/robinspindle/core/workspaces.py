"""Keys of workspaces: whose a key is, by digests alone.

A key is known by its SHA-256. It is looked up by that digest, so that the time of a
look-up depends neither on how many keys there are nor on how much of a key is right.
"""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass, field

MOST_KEY_BYTES = 1024
"""Longest key, bytes: heads of requests hold 16 KB at the most."""


@dataclass(frozen=True)
class Workspace:
    """A team that shares the deployment.

    Attributes:
        name: Its name, as targets are told.
        priority: The rank of its requests before that of their routes; 0 is the
            highest.
    """

    name: str
    priority: int = 0


@dataclass(frozen=True, repr=False)
class KeyRing:
    """All keys of a configuration.

    Attributes:
        owners: The workspace of each key, by the key's digest.
    """

    owners: dict[bytes, Workspace] = field(default_factory=dict)


def digest_key(key: bytes) -> bytes:
    """Digest a key; nothing else of it is kept."""
    return hashlib.sha256(key).digest()


def digest_bearer_key(key: str) -> str:
    """Write the digest that an operator's configuration holds in place of a key."""
    return digest_key(key.encode()).hex()


def matches_digest(key: str, digest: str) -> bool:
    """Compare a key with a digest, in time that does not depend on them."""
    return hmac.compare_digest(digest_bearer_key(key), digest)


def find_key_fault(key: str) -> str | None:
    """Find why a text can't be a key; None where it can. Does not quote it."""
    if not key:
        return "an empty key"
    if len(key) > MOST_KEY_BYTES:
        return f"a key of over {MOST_KEY_BYTES} bytes"
    if not key.isascii() or not key.isprintable() or " " in key:
        return "a key that holds more than printable ASCII without blanks"
    return None


def make_key_ring(
    keys: Iterable[tuple[bytes, Workspace]],
) -> tuple[KeyRing, list[str]]:
    """Make a key ring.

    Args:
        keys: Digests of keys, and whose they are.

    Returns:
        The ring, and what is wrong: one key in two workspaces. No key is quoted.
    """
    owners: dict[bytes, Workspace] = {}
    findings = []
    for digest, workspace in keys:
        other = owners.setdefault(digest, workspace)
        if other.name != workspace.name:
            findings.append(f"workspaces {other.name} and {workspace.name} share a key")
    return KeyRing(owners), findings


def find_owner(ring: KeyRing, digest: bytes) -> Workspace | None:
    """Find whose key has a digest; None for nobody's."""
    return ring.owners.get(digest)
