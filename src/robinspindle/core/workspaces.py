"""API keys of workspaces, stored and looked up as digests only.

Only the SHA-256 digest of a key is stored. Because keys are looked up by digest, the
time of a lookup depends neither on the number of keys nor on how many characters of a
key are correct.
"""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_KEY_BYTES = 1024
"""Longest key, bytes: the header section of a request holds at most 16 KB."""


MAX_NAME_BYTES = 1024
"""Longest name of a workspace, bytes: requests carry it in a header."""

DELETE = 0x7F


@dataclass(frozen=True)
class Workspace:
    """A team that shares the deployment.

    Attributes:
        name: Its name, as sent to targets.
        priority: The priority of its requests, which counts before that of their
            routes; 0 is the highest.
    """

    name: str
    priority: int = 0


@dataclass(frozen=True, repr=False)
class KeyRing:
    """The keys of a configuration.

    Attributes:
        owners: The workspace of each key, by the key's digest.
        withheld: Digests of keys that the configuration has, and that can't be used as
            it is not known for whom.
        is_complete: Whether all keys of the configuration are known.
    """

    owners: dict[bytes, Workspace] = field(default_factory=dict)
    withheld: frozenset[bytes] = frozenset()
    is_complete: bool = True


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key; nothing else of the key is stored."""
    return hashlib.sha256(key).digest()


def digest_bearer_key(key: str) -> str:
    """Return the digest that an operator's configuration holds instead of a key."""
    return digest_key(key.encode()).hex()


def matches_digest(key: str, digest: str) -> bool:
    """Compare a key with a digest in constant time."""
    return hmac.compare_digest(digest_bearer_key(key), digest)


def find_key_fault(key: str) -> str | None:
    """Return why a text is no valid key, without quoting it; None if it is one."""
    if not key:
        return "an empty key"
    if len(key) > MAX_KEY_BYTES:
        return f"a key of over {MAX_KEY_BYTES} bytes"
    if not key.isascii() or not key.isprintable() or " " in key:
        return "a key that holds more than printable ASCII without blanks"
    return None


def find_name_fault(name: str) -> str | None:
    """Return why a workspace's name can't be sent as a header; None if it can.

    Letters of all scripts can: headers carry them as UTF-8.
    """
    try:
        size = len(name.encode())
    except UnicodeEncodeError:
        return "its name holds half a character"
    if not size:
        return "its name is empty"
    if size > MAX_NAME_BYTES:
        return f"its name is longer than {MAX_NAME_BYTES} bytes"
    if any(ord(letter) < ord(" ") or ord(letter) == DELETE for letter in name):
        return "its name holds control characters"
    # The receiver of a header drops blanks around its value.
    return None if name == name.strip(" ") else "its name begins or ends with a blank"


def make_key_ring(
    keys: Iterable[tuple[bytes, Workspace]],
    withheld: Iterable[bytes] = (),
    is_complete: bool = True,
) -> tuple[KeyRing, list[str]]:
    """Make a key ring.

    Args:
        keys: Digests of keys, each with its workspace.
        withheld: Digests of keys that can't be used.
        is_complete: Whether these are all keys of the configuration.

    Returns:
        The key ring, and a finding for each key that two workspaces share: it is
        withheld, as it doesn't tell whose a request is. Findings don't quote keys.
    """
    owners: dict[bytes, Workspace] = {}
    withheld = set(withheld)
    findings = []
    for digest, workspace in keys:
        other = owners.setdefault(digest, workspace)
        if other.name != workspace.name:
            withheld.add(digest)
            findings.append(f"workspaces {other.name} and {workspace.name} share a key")
    for digest in withheld:
        owners.pop(digest, None)
    return KeyRing(owners, frozenset(withheld), is_complete), findings


def find_owner(ring: KeyRing, digest: bytes) -> Workspace | None:
    """Return the workspace whose key has a digest; None for an unknown key."""
    return ring.owners.get(digest)
