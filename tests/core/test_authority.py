import random

from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.authority import (
    CLAIM_WAIT_LEASES,
    Authority,
    Claim,
    has_lowest_name,
    may_claim,
    may_use,
    note_claim,
    note_era,
)
from robinspindle.core.eras import make_fence

LEASE_S = 3.0


def test_gateway_waits_for_a_claim_that_the_backup_may_lack():
    authority = Authority("a", LEASE_S, end=5)
    note_claim(authority, 10.0, "a")
    note_era(authority, 20.0, 2)
    assert not may_claim(authority, 100.0)
    authority.end = 3
    # The last claim in the backup is older, and may even be this gateway's own.
    note_claim(authority, 20.5, "a")
    assert not may_claim(authority, 24.0)
    assert may_claim(authority, 20.5 + CLAIM_WAIT_LEASES * LEASE_S)


def test_fencing_tokens_rise_over_eras_though_offsets_go_back():
    assert make_fence(1, 7) < make_fence(1, 8) < make_fence(2, 0)


def test_gateway_does_not_claim_before_it_has_read_the_log():
    authority = Authority("a", LEASE_S)
    assert not may_claim(authority, 100.0)
    authority.end = 0
    assert may_claim(authority, 100.0)


def test_claim_is_used_for_only_part_of_a_lease():
    authority = Authority("a", LEASE_S)
    claim = Claim(1, 10.0)
    assert may_use(authority, claim, 11.0)
    assert not may_use(authority, claim, 11.3)


def test_gateway_with_the_lowest_name_decides():
    assert has_lowest_name("a", ["b", "c"])
    assert not has_lowest_name("b", ["a", "c"])
    assert has_lowest_name("b", [])


class Log:
    """A log of claims whose readers lag and have clocks with different offsets."""

    def __init__(self, names, rng):
        self.claims = []
        self.rng = rng
        self.readers = {name: Authority(name, LEASE_S) for name in names}
        self.offsets = {name: rng.uniform(0, 1000) for name in names}
        self.read = dict.fromkeys(names, 0)
        self.claims_by_name = {}

    def clock(self, name, now):
        return now + self.offsets[name]

    def follow(self, name, now):
        reader = self.readers[name]
        for holder in self.claims[self.read[name] :]:
            note_claim(reader, self.clock(name, now), holder)
        self.read[name] = reader.end = len(self.claims)

    def claim(self, name, sent_at, expected_end):
        """Append a claim that may have been sent long before."""
        if expected_end != len(self.claims):
            return
        self.claims.append(name)
        self.claims_by_name[name] = Claim(len(self.claims), self.clock(name, sent_at))


@given(st.integers(0, 10_000))
def test_orders_of_two_gateways_are_over_a_lease_apart_and_fencing_tokens_rise(seed):
    """The guarantee holds for any read lag, append delay and suspended process."""
    rng = random.Random(seed)
    names = ["a", "b", "c"]
    log = Log(names, rng)
    orders, pending, now = [], [], 0.0
    for _ in range(400):
        now += rng.choice([0.01, 0.1, 0.4, 1.0])
        name = rng.choice(names)
        action = rng.choice(["follow", "claim", "order", "order", "arrive"])
        if action == "follow":
            log.follow(name, now)
        elif action == "claim":
            if may_claim(log.readers[name], log.clock(name, now)):
                pending.append((name, now, log.readers[name].end))
        elif action == "arrive" and pending:
            log.claim(*pending.pop(rng.randrange(len(pending))))
        elif action == "order" and name in log.claims_by_name:
            claim = log.claims_by_name[name]
            if may_use(log.readers[name], claim, log.clock(name, now)):
                orders.append((now, name, claim.fence))
    for (at, name, fence), (later, other, higher) in zip(
        orders, orders[1:], strict=False
    ):
        assert higher >= fence
        if other != name:
            assert higher > fence
            assert later - at > LEASE_S
