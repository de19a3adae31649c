"""Names a request by what it asks for, so that it is known when it comes again.

Each attempt of a caller has an id of its own. What stays the same is the host, the path
with its query, the caller's key and the body; the description of a prompt is left out,
as it says nothing that the body does not. A fingerprint begins with a mark of all but
the body: a body of 100 kB, 0.3 ms beside other work, is read only where its mark is
known already.
"""

import hashlib
from functools import cached_property
from typing import NewType

from robinspindle.core.forwarding import Request

Fingerprint = NewType("Fingerprint", bytes)
"""A mark, and a digest of the body."""

HEAD_HASH_BYTES = 8
BODY_HASH_BYTES = 16
"""Lengths of the two parts, bytes. Two of 10,000 marks agree by chance once in
4 * 10^11 times, which costs one look at a body; nobody finds a second body to a
digest."""

FINGERPRINT_BYTES = HEAD_HASH_BYTES + BODY_HASH_BYTES


def hash_head(request: Request) -> bytes:
    """Digest all that names a request but its body."""
    host = request.host.lower().encode("latin-1", "replace")
    named = (request.method.encode(), host, request.target, request.caller)
    return hashlib.blake2b(b"\n".join(named), digest_size=HEAD_HASH_BYTES).digest()


def make_fingerprint(request: Request, head_hash: bytes) -> Fingerprint:
    """Name a request.

    Args:
        request: The request, with its whole body.
        head_hash: Its mark (`hash_head`).
    """
    body = hashlib.blake2b(request.body, digest_size=BODY_HASH_BYTES).digest()
    return Fingerprint(head_hash + body)


def get_head_hash(fingerprint: Fingerprint) -> bytes:
    """Get the mark that a fingerprint begins with."""
    return fingerprint[:HEAD_HASH_BYTES]


def is_fingerprint(value: bytes) -> bool:
    """Whether bytes from elsewhere have the form of a fingerprint."""
    return len(value) == FINGERPRINT_BYTES


class FingerprintedRequest:
    """A request whose mark and fingerprint are made once, when they are asked for.

    Attributes:
        request: The request.
        is_trial: Whether it may be sent once although it is in quarantine.
    """

    def __init__(self, request: Request):
        self.request = request
        self.is_trial = False

    @cached_property
    def head_hash(self) -> bytes:
        """Its mark."""
        return hash_head(self.request)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Its fingerprint."""
        return make_fingerprint(self.request, self.head_hash)
