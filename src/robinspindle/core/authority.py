"""Lease claims: which gateway may send orders to engines.

A lease claim is one record in the platform's log. It is appended only if the log still
ends where its author last read it, and its offset is the fencing token. The author uses
the claim for less than a lease, counted from before it sent the claim. Any other
gateway that has read the claim waits for well over a lease before it makes its own. So
orders of two gateways are more than a lease apart, whatever their clocks show.
"""

from dataclasses import dataclass

CLAIM_USE_LEASES = 0.4
"""Time for which a claim may be used, in leases."""

CLAIM_WAIT_LEASES = 1.6
"""Time that must pass after another gateway's claim was read before this gateway
claims, in leases."""


@dataclass
class Authority:
    """One gateway's view of the lease claims.

    Attributes:
        name: This gateway's name.
        lease_s: Length of a lease, seconds.
        holder: The gateway that made the last claim, empty for none.
        seen_at: When that claim was read, monotonic seconds.
        end: End offset of the log of claims as last read, None before the first read.
        era: The store era in which the log was read.
    """

    name: str
    lease_s: float
    holder: str = ""
    seen_at: float = 0.0
    end: int | None = None
    era: int = 0


@dataclass(frozen=True)
class Claim:
    """A lease claim of this gateway that the store accepted.

    Attributes:
        fence: The claim's fencing token.
        sent_at: When the claim was sent, monotonic seconds.
        era: The store era in which the claim was accepted.
    """

    fence: int
    sent_at: float
    era: int = 0


UNKNOWN_HOLDER = "?"
"""Placeholder for the holder of a claim that the store may have lost."""


def note_era(authority: Authority, now: float, era: int) -> None:
    """Record that the store was restored from a backup.

    The backup may lack another gateway's claim. So this gateway waits for well over a
    lease before it claims, and it no longer uses its own earlier claims.
    """
    authority.era = era
    authority.end = None
    note_claim(authority, now, UNKNOWN_HOLDER)


def note_claim(authority: Authority, now: float, holder: str) -> None:
    """Record a lease claim that was read from the log."""
    is_lost = authority.holder == UNKNOWN_HOLDER and _may_be_in_use(authority, now)
    # The last claim in the backup may be older than the one that it lacks.
    authority.holder = UNKNOWN_HOLDER if is_lost else holder
    authority.seen_at = now


def may_claim(authority: Authority, now: float) -> bool:
    """Whether this gateway may try to append a lease claim."""
    if authority.end is None:
        return False
    if authority.holder in ("", authority.name):
        return True
    return not _may_be_in_use(authority, now)


def _may_be_in_use(authority: Authority, now: float) -> bool:
    """Whether the last claim may still be in use."""
    return now - authority.seen_at < CLAIM_WAIT_LEASES * authority.lease_s


def may_use(authority: Authority, claim: Claim, now: float) -> bool:
    """Whether this gateway may still send an order under a lease claim."""
    if claim.era != authority.era:
        return False
    return now - claim.sent_at < CLAIM_USE_LEASES * authority.lease_s


def has_lowest_name(name: str, peers: list[str]) -> bool:
    """Whether a gateway has the lowest name among its peers, and so makes decisions.

    Args:
        name: The gateway's name.
        peers: Names of the peers from which it receives messages.
    """
    return all(name < peer for peer in peers)
