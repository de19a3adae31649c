"""Who may give orders to engines: a claim in the platform's log, for a short time.

A claim is one record, appended only where the log still ends as its author knows it;
its offset is the fencing number. It is used for less than a lease from before it was
sent, and nobody else claims until well over a lease after seeing it: so no two
gateways order within a lease of each other, whatever their clocks say.
"""

from dataclasses import dataclass

CLAIM_USE_LEASES = 0.4
"""Share of a lease for which a claim is used."""

CLAIM_WAIT_LEASES = 1.6
"""Leases that must pass after another's claim was seen."""


@dataclass
class Authority:
    """What one gateway has seen of the claims.

    Attributes:
        name: This gateway.
        lease_s: Length of a lease, seconds.
        holder: The last claim's author, empty for none.
        seen_at: When that claim was seen, steady seconds.
        end: Where the log of claims ends, as far as it was read; None before.
        era: The era of the store in which that was read.
    """

    name: str
    lease_s: float
    holder: str = ""
    seen_at: float = 0.0
    end: int | None = None
    era: int = 0


@dataclass(frozen=True)
class Claim:
    """A claim of this gateway that was accepted.

    Attributes:
        fence: Its fencing number.
        sent_at: When it was sent, steady seconds.
        era: The era of the store that accepted it.
    """

    fence: int
    sent_at: float
    era: int = 0


UNKNOWN_HOLDER = "?"
"""Stands for a holder whose claim the store may have lost."""


def note_era(authority: Authority, now: float, era: int) -> None:
    """Take note that the store has returned from a copy.

    Another gateway may hold a claim that is gone: nobody claims before its lease and
    more has passed, and no claim of this gateway is used any more.
    """
    authority.era = era
    authority.end = None
    note_claim(authority, now, UNKNOWN_HOLDER)


def note_claim(authority: Authority, now: float, holder: str) -> None:
    """Take note of a claim that was read from the log."""
    is_lost = authority.holder == UNKNOWN_HOLDER and _protects(authority, now)
    # The last claim that the copy holds may be older than the one that it lost.
    authority.holder = UNKNOWN_HOLDER if is_lost else holder
    authority.seen_at = now


def may_claim(authority: Authority, now: float) -> bool:
    """Whether this gateway may try to claim."""
    if authority.end is None:
        return False
    if authority.holder in ("", authority.name):
        return True
    return not _protects(authority, now)


def _protects(authority: Authority, now: float) -> bool:
    """Whether the last claim may still be in use."""
    return now - authority.seen_at < CLAIM_WAIT_LEASES * authority.lease_s


def may_use(authority: Authority, claim: Claim, now: float) -> bool:
    """Whether an order may still be sent under a claim."""
    if claim.era != authority.era:
        return False
    return now - claim.sent_at < CLAIM_USE_LEASES * authority.lease_s


def has_lowest_name(name: str, peers: list[str]) -> bool:
    """Whether a gateway is the one that decides, among those it hears."""
    return all(name < peer for peer in peers)
