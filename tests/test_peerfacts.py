"""What a gateway tells a peer besides its work, and believes of it."""

import pytest

from robinspindle.core.freshness import Freshness
from robinspindle.core.peerdigests import ConfigurationAge, Facts, PeerView
from robinspindle.core.peervalidation import are_facts_valid
from robinspindle.core.relays import Member
from robinspindle.core.usage import Account, sum_by_workspace
from robinspindle.core.usagereports import Reports, Schedule
from robinspindle.peerfacts import PeerFacts
from robinspindle.peers import Peers, note_member, note_sent
from robinspindle.usagebook import UsageBook

WINDOW_S = 5.0


class Side:
    """One gateway of four, two in each of two zones."""

    def __init__(self, name, relay=""):
        self.now = 100.0
        members = {n: Member(n, "h", 1, f"z{n[1]}") for n in ("a1", "b1", "a2", "b2")}
        self.peers = Peers(members[name], 0.0)
        for member in members.values():
            note_member(self.peers, member)
        self.peers.choice.relay = relay or name
        self.freshness = Freshness(5.0, 3.0, True, 1, 99.0)
        self.book = UsageBook(
            name,
            1,
            lambda: self.now,
            lambda *a, **k: None,
            lambda: 1000.0 + self.now,
            Schedule(WINDOW_S, 10.0),
        )
        self.facts = PeerFacts(
            self.peers, self.freshness, self.book, Reports(), lambda: self.now
        )

    def hear(self, name, is_relay=False, number=1):
        self.peers.views[name] = PeerView(1.0, number, self.now, is_relay=is_relay)

    def count(self):
        self.book.count("red", self.now)


@pytest.mark.parametrize(
    ("own", "relay", "to", "is_relay", "told"),
    [
        ("b1", "a1", "a1", True, True),
        ("b1", "a1", "a2", True, False),
        ("a1", "a1", "b1", False, False),
        ("a1", "a1", "b1", True, True),
        ("a1", "a1", "a2", True, True),
    ],
)
def test_relays_are_told_counts(own, relay, to, is_relay, told):
    side = Side(own, relay)
    side.hear(to, is_relay)
    side.count()
    assert bool(side.facts.describe(to).counts) is told


def test_a_relay_leaves_out_what_other_groups_tell_but_not_what_the_dead_counted():
    side = Side("a1")
    side.hear("a2", True)
    side.book.take([Account("b2", 1, 7, {"red": 2})])
    assert side.facts.describe("a2").counts
    side.hear("b2")
    assert not side.facts.describe("a2").counts


def test_an_age_counts_from_our_own_datagram_and_not_from_its_arrival():
    side = Side("a1")
    side.freshness.newest_at = 90.0
    note_sent(side.peers, 100.0)
    number = side.peers.number
    side.now = 109.0
    side.facts.take(
        "a2", Facts(last_received=number, configuration_age=ConfigurationAge(1, 500))
    )
    assert side.freshness.newest_at == 99.5


def test_a_number_of_another_life_renews_nothing():
    side = Side("a1")
    note_sent(side.peers, 100.0)
    side.facts.take(
        "a2",
        Facts(
            last_received=side.peers.number - 1,
            configuration_age=ConfigurationAge(1, 0),
        ),
    )
    assert side.freshness.newest_at == 99.0


def test_counts_are_taken_as_totals():
    side = Side("a1")
    for _ in range(2):
        side.facts.take("a2", Facts(counts=[Account("a2", 1, 7, {"red": 3})]))
    assert sum_by_workspace(side.book.ledger, 7) == {"red": 3}


@pytest.mark.parametrize(
    "facts",
    [
        Facts(configuration_age=ConfigurationAge(-1, 0)),
        Facts(configuration_age=ConfigurationAge(1, -1)),
        Facts(wall_ms=-1),
        Facts(agreed_ms=1 << 60),
        Facts(counts=[Account("a", 1, 7, {"red": -3})]),
        Facts(counts=[Account("a", 1, -7, {"red": 3})]),
        Facts(counts=[Account("a", 1, 7, {"red": 1 << 40})]),
    ],
)
def test_what_can_not_be_is_not_believed(facts):
    assert not are_facts_valid(facts)
