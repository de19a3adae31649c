"""Idempotency claims, which make a request that may not be repeated run at most once.

Each entry applies the records of the claims stream in order. The first claim of a key
wins, whichever entry it came from. Records are encoded as MessagePack by msgspec.
"""

from dataclasses import dataclass, field, replace

import msgspec

from robinspindle.core.decoding import make_msgpack_decoder
from robinspindle.exceptions import BadDocumentError

MAX_CLAIMED_KEYS = 100_000
"""Claimed keys that are kept; the oldest are evicted."""


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A claim of a key for one reserved attempt, identified by request and attempt.

    Attributes:
        key: Workspace and idempotency key.
        request: Id of the request that claims the key.
        attempt: Number of the attempt that claims the key.
        digest: Digest of the caller's body.
        target: The target at which a slot is reserved.
        incarnation: The agent's incarnation that reserved the slot.
    """

    key: str
    request: str
    attempt: int
    digest: str
    target: str
    incarnation: str


class Release(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The release of a claim that had no run. Its key is free again.

    Attributes:
        key: The key.
        request: Id of the request that claimed the key.
        attempt: Number of the attempt that claimed the key.
    """

    key: str
    request: str
    attempt: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The outcome of the run under a claim, stored for the caller's retries.

    Attributes:
        key: The key.
        request: Id of the request that claimed the key.
        attempt: Number of the attempt that claimed the key.
        status: HTTP status of a call's response.
        headers: Headers of a call's response.
        body: The answer, or empty if it is longer than ``MAX_STORED_BODY_BYTES``.
        finish: Why a generation ended.
        count: Number of tokens of a generation.
        whole: Whether the body is included.
    """

    key: str
    request: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    finish: str = ""
    count: int = 0
    whole: bool = True


MAX_STORED_BODY_BYTES = 4096
"""Longer answers are not stored in the claims stream."""

AnyClaim = Claim | Release | Outcome


class ClaimBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Claim records that are appended together."""

    records: tuple[AnyClaim, ...]


_decode = make_msgpack_decoder(ClaimBatch)


@dataclass(frozen=True)
class ClaimedKey:
    """A key that is claimed.

    Attributes:
        offset: Offset of the winning claim's batch in the claims stream.
        claim: The winning claim.
        outcome: The outcome of its run, or None if it has not ended.
    """

    offset: int
    claim: Claim
    outcome: Outcome | None = None


@dataclass
class ClaimTable:
    """The claimed keys, from the claims stream.

    Attributes:
        offset: Offset of the last applied batch, -1 before the first.
        claimed: Claimed keys, oldest first.
    """

    offset: int = -1
    claimed: dict[str, ClaimedKey] = field(default_factory=dict)


def encode_claims(records: list[AnyClaim]) -> bytes:
    """Encode claim records as one batch of the claims stream."""
    return msgspec.msgpack.encode(ClaimBatch(records=tuple(records)))


def apply_claims(table: ClaimTable, offset: int, data: bytes) -> tuple[AnyClaim, ...]:
    """Apply one batch of the claims stream to the table, in place.

    Args:
        table: The claimed keys.
        offset: Offset of the batch.
        data: The encoded batch.

    Returns:
        The claim records of the batch, in order. Empty if the batch was applied
        before or can't be decoded.
    """
    if offset <= table.offset:
        return ()
    table.offset = offset
    try:
        batch = _decode(data)
    except BadDocumentError:
        return ()
    for record in batch.records:
        _apply_one(table, offset, record)
    return batch.records


def is_same_claim(claim: Claim, record: AnyClaim) -> bool:
    """Whether a record belongs to this claim and not to another of the same key."""
    return (claim.request, claim.attempt) == (record.request, record.attempt)


def _apply_one(table: ClaimTable, offset: int, record: AnyClaim) -> None:
    claimed_key = table.claimed.get(record.key)
    if isinstance(record, Claim):
        if claimed_key is None:
            table.claimed[record.key] = ClaimedKey(offset, record)
            if len(table.claimed) > MAX_CLAIMED_KEYS:
                del table.claimed[next(iter(table.claimed))]
        return
    if (
        claimed_key is None
        or claimed_key.outcome
        or not is_same_claim(claimed_key.claim, record)
    ):
        return
    if isinstance(record, Release):
        del table.claimed[record.key]
    else:
        table.claimed[record.key] = replace(claimed_key, outcome=record)
