"""Claims on the room of an engine: who takes memory and slots there, and since when."""

from dataclasses import dataclass, field
from enum import Enum


class Use(Enum):
    """What takes room at an engine."""

    TAKEN = "taken"
    """A request that was sent there; its slot counts among the requests in flight."""

    PROMISED = "promised"
    """A request that will be sent there once another engine has read its prompt."""

    READ = "read"
    """A prompt that is read there for another engine."""

    KEPT = "kept"
    """A prompt that was read there for another engine and is not fetched yet."""


USES_WITHOUT_ANSWER = frozenset((Use.READ, Use.KEPT))
"""Uses that take memory for a prompt only."""

USES_WITH_SLOT = frozenset((Use.PROMISED,))
"""Uses that take a slot which is not among the requests in flight."""


@dataclass(frozen=True)
class Claim:
    """Room that one request of this gateway takes.

    Attributes:
        use: What takes it.
        tokens: Memory, tokens.
        since: When it began, monotonic seconds.
    """

    use: Use
    tokens: int
    since: float


@dataclass(slots=True)
class ClaimSums:
    """Sums over the claims of one gateway, or of a group of gateways.

    Attributes:
        set_aside: Slots of uses in `USES_WITH_SLOT`.
        tokens: Memory of all uses, tokens.
    """

    set_aside: int = 0
    tokens: int = 0


@dataclass
class Room:
    """The claims on one engine.

    Attributes:
        claims: This gateway's claims, by holder and use; each run of a request
            is a holder of its own.
        own: Sum of `claims`.
        peer_claims: Sums of the other gateways, by name.
        peers: Sum of `peer_claims`: it is read far more often than it changes.
    """

    claims: dict[tuple[str, Use], Claim] = field(default_factory=dict)
    own: ClaimSums = field(default_factory=ClaimSums)
    peer_claims: dict[str, ClaimSums] = field(default_factory=dict)
    peers: ClaimSums = field(default_factory=ClaimSums)

    @property
    def set_aside(self) -> int:
        """Slots that all gateways have set aside for requests not in flight there."""
        return self.own.set_aside + self.peers.set_aside

    @property
    def tokens(self) -> int:
        """Memory that the claims of all gateways take, tokens."""
        return self.own.tokens + self.peers.tokens


def add_claim(room: Room, holder: str, claim: Claim) -> None:
    """Record a claim; an earlier one of the same holder and use is replaced."""
    drop_claim(room, holder, claim.use)
    room.claims[holder, claim.use] = claim
    _change(room.own, claim, 1)


def drop_claim(room: Room, holder: str, use: Use) -> None:
    """Remove a claim if it is there."""
    claim = room.claims.pop((holder, use), None)
    if claim is not None:
        _change(room.own, claim, -1)


def note_peer_claims(room: Room, peer: str, claims: ClaimSums) -> None:
    """Record the sums of another gateway; they replace its earlier ones."""
    forget_peer_claims(room, peer)
    if claims.set_aside or claims.tokens:
        room.peer_claims[peer] = claims
        room.peers.set_aside += claims.set_aside
        room.peers.tokens += claims.tokens


def forget_peer_claims(room: Room, peer: str) -> None:
    """Remove the sums of another gateway."""
    known = room.peer_claims.pop(peer, None)
    if known is not None:
        room.peers.set_aside -= known.set_aside
        room.peers.tokens -= known.tokens


def find_oldest_claim_s(room: Room, now: float) -> float:
    """Find the age of this gateway's oldest claim, seconds; 0 without any."""
    return max((now - claim.since for claim in room.claims.values()), default=0.0)


def _change(sums: ClaimSums, claim: Claim, sign: int) -> None:
    """Add a claim to sums, or take it away if the sign is -1."""
    sums.set_aside += sign * int(claim.use in USES_WITH_SLOT)
    sums.tokens += sign * claim.tokens
