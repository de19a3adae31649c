"""Claims of idempotency keys: a request that may not be repeated runs at most once.

The claims stream is folded like the control stream: the first claim of a key wins,
from whichever entry it came. Codec: msgspec, MessagePack.
"""

from dataclasses import dataclass, field, replace

import msgspec

CLAIMS_KEPT = 100_000


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry claims a key for one reserved attempt.

    Attributes:
        key: Workspace and idempotency key.
        request: The request that claims it.
        attempt: The attempt that claims it; a claim is known by both.
        digest: Digest of the caller's body.
        target: Where a place is reserved.
        incarnation: The agent's incarnation that reserved it.
    """

    key: str
    request: str
    attempt: int
    digest: str
    target: str
    incarnation: str


class Release(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A claim ended without a run; its key is free again.

    Attributes:
        key: The key.
        request: The request whose claim ended.
        attempt: Its attempt.
    """

    key: str
    request: str
    attempt: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The run under a claim ended; its answer is kept for the caller's retries.

    Attributes:
        key: The key.
        request: The request that held the claim.
        attempt: Its attempt.
        status: HTTP status of a call's answer.
        headers: Headers of a call's answer.
        body: The answer; empty when it is longer than ``MAX_STORED_BODY_BYTES``.
        finish: Why a generation ended.
        count: Tokens of a generation.
        whole: Whether the body is here.
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
AnyClaim = Claim | Release | Outcome


class ClaimBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Several claim records in one append."""

    records: tuple[AnyClaim, ...]


_DECODER = msgspec.msgpack.Decoder(ClaimBatch)


@dataclass(frozen=True)
class ClaimedKey:
    """A key that is claimed.

    Attributes:
        offset: Offset of the winning claim.
        claim: The winning claim.
        outcome: How its run ended, if it did.
    """

    offset: int
    claim: Claim
    outcome: Outcome | None = None


@dataclass
class ClaimTable:
    """The folded claims stream.

    Attributes:
        offset: Offset of the last record folded.
        claimed: Claimed keys, oldest first.
    """

    offset: int = -1
    claimed: dict[str, ClaimedKey] = field(default_factory=dict)


def encode_claims(records: list[AnyClaim]) -> bytes:
    """Encode claim records for one append."""
    return msgspec.msgpack.encode(ClaimBatch(records=tuple(records)))


def apply_claims(table: ClaimTable, offset: int, data: bytes) -> tuple[AnyClaim, ...]:
    """Fold one record of the claims stream in place.

    Returns:
        The claim records that it held, in order.
    """
    if offset <= table.offset:
        return ()
    table.offset = offset
    try:
        batch = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return ()
    for record in batch.records:
        _apply_one(table, offset, record)
    return batch.records


def is_same_claim(claim: Claim, record: AnyClaim) -> bool:
    """Whether a record speaks of this claim, and not of another of its key."""
    return (claim.request, claim.attempt) == (record.request, record.attempt)


def _apply_one(table: ClaimTable, offset: int, record: AnyClaim) -> None:
    held = table.claimed.get(record.key)
    if isinstance(record, Claim):
        if held is None:
            table.claimed[record.key] = ClaimedKey(offset, record)
            if len(table.claimed) > CLAIMS_KEPT:
                del table.claimed[next(iter(table.claimed))]
        return
    if held is None or held.outcome or not is_same_claim(held.claim, record):
        return
    if isinstance(record, Release):
        del table.claimed[record.key]
    else:
        table.claimed[record.key] = replace(held, outcome=record)
