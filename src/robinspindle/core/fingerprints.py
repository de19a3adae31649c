"""Fingerprints of requests and of prompt parts, to recognize them when they come again.

Each attempt of a caller has its own id. The method, the host, the path with its query,
the caller's credentials or workspace, and the body stay the same. The caller's
description of a prompt is left out, as it contains nothing that the body doesn't.

Requests that differ may share parts of their prompts. Each part has a fingerprint of
its own, by its model and id, except for the last: it belongs to one request alone.

A fingerprint starts with the head hash: a hash of all of these except the body. Hashing
a long body delays other requests, so it is done only if the head hash is known already.
"""

import hashlib
from collections.abc import Collection, Container
from dataclasses import replace
from functools import cached_property
from typing import NewType

from robinspindle.core.bodies import list_pieces
from robinspindle.core.forwarding import Request

Fingerprint = NewType("Fingerprint", bytes)
"""A head hash, followed by a hash of the body or of a prompt part's id."""

HEAD_HASH_BYTES = 8
BODY_HASH_BYTES = 16
"""Lengths of the two hashes, bytes. Among 10,000 head hashes, two are equal by chance
once in 4 * 10^11 cases, which only costs hashing one body in vain. A second body with
the same hash can't be constructed."""

PART_MARK = b"prompt part\n"
"""What is hashed for a prompt part starts with this, which no request's method does."""

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
    body = hashlib.blake2b(digest_size=BODY_HASH_BYTES)
    for piece in list_pieces(request.body):
        body.update(piece)
    return Fingerprint(head_hash + body.digest())


def get_head_hash(fingerprint: Fingerprint) -> bytes:
    """Return the head hash of a fingerprint."""
    return fingerprint[:HEAD_HASH_BYTES]


def is_fingerprint(value: bytes) -> bool:
    """Whether received bytes have the form of a fingerprint."""
    return len(value) == FINGERPRINT_BYTES


def hash_part_head(model: str) -> bytes:
    """Hash what the fingerprints of all prompt parts for a model start with."""
    identity = PART_MARK + model.encode("latin-1", "replace")
    return hashlib.blake2b(identity, digest_size=HEAD_HASH_BYTES).digest()


def make_part_fingerprint(part_head: bytes, id: str) -> Fingerprint:
    """Make the fingerprint of a prompt part.

    Args:
        part_head: The hash for its model (`hash_part_head`).
        id: Its id as the caller spells it: engines and caches compare ids as texts.
    """
    body = hashlib.blake2b(id.encode("latin-1", "replace"), digest_size=BODY_HASH_BYTES)
    return Fingerprint(part_head + body.digest())


class FingerprintedRequest:
    """A request whose fingerprints are computed once, on first use.

    Attributes:
        request: The request.
        body_bytes: Length of its body.
        is_trial: Whether it may be sent once although it is quarantined.
    """

    def __init__(self, request: Request):
        self.request = request
        self.body_bytes = len(request.body)
        self.is_trial = False

    @property
    def kept_bytes(self) -> int:
        """Bytes of its body that are kept."""
        return len(self.request.body)

    def forget_body(self) -> None:
        """Compute the fingerprint of the whole request, and keep the body no longer."""
        if self.request.body:
            self.fingerprint  # noqa: B018  computed on first use, from the body
            self.request = replace(self.request, body=b"")

    @cached_property
    def head_hash(self) -> bytes:
        """The head hash of the request."""
        return hash_head(self.request)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """The fingerprint of the whole request."""
        return make_fingerprint(self.request, self.head_hash)

    @cached_property
    def part_head(self) -> bytes | None:
        """The head hash of its prompt's parts; None for a request without a prompt."""
        prompt = self.request.prompt
        return None if prompt is None else hash_part_head(prompt.model)

    @cached_property
    def part_ids(self) -> dict[Fingerprint, str]:
        """The ids of all parts that its prompt may share, by their fingerprints."""
        if self.part_head is None:
            return {}
        ids = {part.id for part in self.request.prompt.parts[:-1]}
        return {make_part_fingerprint(self.part_head, id): id for id in ids}

    @cached_property
    def parts(self) -> frozenset[Fingerprint]:
        """The fingerprints of these parts."""
        return frozenset(self.part_ids)

    def has(self, fingerprint: Fingerprint) -> bool:
        """Whether a fingerprint is that of the request or of a part of its prompt."""
        head = get_head_hash(fingerprint)
        if head == self.part_head:
            return fingerprint in self.parts
        return head == self.head_hash and fingerprint == self.fingerprint

    def list_known(
        self, heads: Collection[bytes], known: Container[Fingerprint]
    ) -> list[Fingerprint]:
        """List which of its fingerprints are known.

        Nothing is hashed if nothing is known, and nothing but heads unless a known
        fingerprint starts with one of them.

        Args:
            heads: The head hashes of all known fingerprints.
            known: The known fingerprints.
        """
        if not heads:
            return []
        found = []
        if self.head_hash in heads and self.fingerprint in known:
            found.append(self.fingerprint)
        if self.part_head is not None and self.part_head in heads:
            found += [part for part in self.parts if part in known]
        return found
