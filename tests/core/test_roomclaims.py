from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.roomclaims import (
    USES_WITH_SLOT,
    Claim,
    ClaimSums,
    Room,
    Use,
    add_claim,
    drop_claim,
    find_oldest_claim_s,
    forget_peer_claims,
    note_peer_claims,
)

claims = st.builds(
    Claim,
    st.sampled_from(list(Use)),
    st.integers(0, 9000),
    st.just(0.0),
)
steps = st.lists(st.tuples(st.sampled_from(["r1", "r2", "r3"]), claims, st.booleans()))


@given(steps)
def test_sums_are_those_of_the_claims_that_are_left(found):
    room = Room()
    for request_id, claim, is_added in found:
        if is_added:
            add_claim(room, request_id, claim)
        else:
            drop_claim(room, request_id, claim.use)
    left = room.claims.values()
    slots = sum(claim.use in USES_WITH_SLOT for claim in left)
    assert room.own == ClaimSums(slots, sum(claim.tokens for claim in left))


def test_a_claim_that_is_made_twice_counts_once():
    room = Room()
    for tokens in (500, 700):
        add_claim(room, "r1", Claim(Use.PROMISED, tokens, 3.0))
    assert (room.set_aside, room.tokens) == (1, 700)
    assert find_oldest_claim_s(room, 5.0) == 2.0


def test_peers_sums_replace_earlier_ones_and_go_with_the_peer():
    room = Room()
    note_peer_claims(room, "g2", ClaimSums(2, 900))
    note_peer_claims(room, "g3", ClaimSums(1, 100))
    note_peer_claims(room, "g2", ClaimSums(1, 300))
    assert (room.set_aside, room.tokens) == (2, 400)
    forget_peer_claims(room, "g3")
    note_peer_claims(room, "g2", ClaimSums())
    assert room.peers == ClaimSums()
    assert not room.peer_claims
