"""Fingerprints of requests, to recognize a request when it is sent again.

Each attempt of a caller has its own id. The method, the host, the path with its query,
the caller's credentials or workspace, and the body stay the same. The caller's
description of a prompt is left out, as it contains nothing that the body doesn't.

A fingerprint starts with the head hash: a hash of all of these except the body. Hashing
a long body delays other requests, so it is done only if the head hash is known already.
"""

import hashlib
from functools import cached_property
from typing import NewType

from robinspindle.core.forwarding import Request

Fingerprint = NewType("Fingerprint", bytes)
"""A head hash, followed by a hash of the body."""

HEAD_HASH_BYTES = 8
BODY_HASH_BYTES = 16
"""Lengths of the two hashes, bytes. Among 10,000 head hashes, two are equal by chance
once in 4 * 10^11 cases, which only costs hashing one body in vain. A second body with
the same hash can't be constructed."""

FINGERPRINT_BYTES = HEAD_HASH_BYTES + BODY_HASH_BYTES


def hash_head(request: Request) -> bytes:
    """Hash all that identifies a request, except its body."""
    host = request.host.lower().encode("latin-1", "replace")
    identity = (request.method.encode(), host, request.target, request.caller)
    return hashlib.blake2b(b"\n".join(identity), digest_size=HEAD_HASH_BYTES).digest()


def make_fingerprint(request: Request, head_hash: bytes) -> Fingerprint:
    """Make the fingerprint of a request.

    Args:
        request: The request, with its complete body.
        head_hash: Its head hash (`hash_head`).
    """
    body = hashlib.blake2b(request.body, digest_size=BODY_HASH_BYTES).digest()
    return Fingerprint(head_hash + body)


def get_head_hash(fingerprint: Fingerprint) -> bytes:
    """Return the head hash of a fingerprint."""
    return fingerprint[:HEAD_HASH_BYTES]


def is_fingerprint(value: bytes) -> bool:
    """Whether received bytes have the form of a fingerprint."""
    return len(value) == FINGERPRINT_BYTES


class FingerprintedRequest:
    """A request whose head hash and fingerprint are computed once, on first use.

    Attributes:
        request: The request.
        is_trial: Whether it may be sent once although it is quarantined.
    """

    def __init__(self, request: Request):
        self.request = request
        self.is_trial = False

    @cached_property
    def head_hash(self) -> bytes:
        """The head hash of the request."""
        return hash_head(self.request)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """The fingerprint of the request."""
        return make_fingerprint(self.request, self.head_hash)
