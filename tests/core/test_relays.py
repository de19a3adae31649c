import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.relays import (
    GROUP_MEMBERS,
    MAX_INTERVAL_S,
    RELAY_ECHO_TIMEOUT_S,
    RELAY_RETRY_DELAY_S,
    RELAY_SILENCE_TIMEOUT_S,
    Member,
    RelayChoice,
    choose_relay,
    decode_member,
    encode_member,
    find_interval,
    make_groups,
    note_heard,
    stretch_interval,
)

RANKED = ("g1", "g2", "g3")


def make_members(count, zones=5, large=3):
    """Make gateways in several zones; the first ones have more capacity."""
    return [
        Member(
            f"g{n:03}",
            "10.0.0.1",
            7000,
            f"z{n % zones}",
            2.0 if n < large * zones else 0.4,
        )
        for n in range(count)
    ]


@given(st.integers(1, 420), st.integers(1, 8))
def test_each_gateway_is_in_one_small_group_of_its_zone(count, zones):
    members = make_members(count, zones)
    groups = make_groups(members)
    zone_of = {member.name: member.zone for member in members}
    assert sorted(groups.group_numbers) == sorted(zone_of)
    for number, names in enumerate(groups.ranked):
        assert 1 <= len(names) <= GROUP_MEMBERS
        assert {groups.group_numbers[name] for name in names} == {number}
        assert len({zone_of[name] for name in names}) == 1


def test_groups_do_not_depend_on_the_order_of_members():
    members = make_members(68)
    assert make_groups(members) == make_groups(reversed(members))


def test_preferred_relay_of_each_group_has_the_most_capacity():
    members = make_members(300, large=4)
    capacity = {member.name: member.capacity for member in members}
    groups = make_groups(members)
    assert all(capacity[names[0]] == 2.0 for names in groups.ranked)


def test_interval_grows_with_the_load_of_a_relay():
    """Without relays it would be 0.170 s for 68 gateways and 0.75 s for 300."""
    found = {n: find_interval(make_groups(make_members(n))) for n in (5, 23, 68, 300)}
    assert found[5] == 0.02
    assert found[23] < 0.06
    assert found[68] < 0.1
    assert found[300] < 0.18


def test_interval_is_stretched_for_a_slow_link_up_to_that_without_news():
    assert stretch_interval(0.05, 10_000, math.inf) == 0.05
    assert stretch_interval(0.05, 10_000, 1_000_000.0) == pytest.approx(1 / 15)
    assert stretch_interval(0.05, 10_000, 10_000.0) == MAX_INTERVAL_S


def test_member_is_decoded_as_encoded():
    member = Member("g1", "10.1.0.3", 7660, "zone-a", 2.15)
    assert decode_member("g1", encode_member(member)) == member
    assert decode_member("g1", b"10.1.0.3:7660").capacity == 1.0
    for bad in (b"", b"x", b"10.1.0.3:99999 a 1", b"10.1.0.3:1 a much", b"\xff:1x"):
        assert decode_member("g1", bad) is None


def test_first_in_rank_order_is_the_relay_also_for_itself():
    choice = RelayChoice()
    assert choose_relay(choice, RANKED, "g3", 0.0)
    assert choice.relay == "g1"
    assert not choose_relay(choice, RANKED, "g3", 0.1)
    own = RelayChoice()
    choose_relay(own, RANKED, "g1", 0.0)
    assert own.relay == "g1"


def test_timed_out_relay_is_replaced_and_chosen_again_when_back():
    choice = RelayChoice()
    choose_relay(choice, RANKED, "g3", 0.0)
    assert choose_relay(choice, RANKED, "g3", RELAY_SILENCE_TIMEOUT_S + 0.01)
    assert choice.relay == "g2"
    note_heard(choice, "g2", 1.0, has_heard_us=True)
    # The failed relay is not chosen again before it sends datagrams.
    assert not choose_relay(choice, RANKED, "g3", 1.3)
    note_heard(choice, "g1", 2.0, has_heard_us=False)
    note_heard(choice, "g2", 2.0, has_heard_us=True)
    assert not choose_relay(choice, RANKED, "g3", 2.0)
    at = RELAY_SILENCE_TIMEOUT_S + RELAY_RETRY_DELAY_S + 0.1
    note_heard(choice, "g2", at, has_heard_us=True)
    assert choose_relay(choice, RANKED, "g3", at)
    assert choice.relay == "g1"


def test_relay_that_does_not_receive_is_replaced():
    choice = RelayChoice()
    choose_relay(choice, RANKED, "g3", 0.0)
    now = 0.0
    while choice.relay == "g1" and now < 5.0:
        now += 0.1
        note_heard(choice, "g1", now, has_heard_us=False)
        choose_relay(choice, RANKED, "g3", now)
    assert RELAY_ECHO_TIMEOUT_S < now < RELAY_ECHO_TIMEOUT_S + 0.2
    assert choice.relay == "g2"


def test_gateway_is_its_own_relay_if_all_others_fail():
    choice = RelayChoice()
    for step in range(30):
        choose_relay(choice, RANKED, "g3", step * 0.1)
    assert choice.relay == "g3"
    assert math.isinf(choice.contacts["g1"].heard_at)


@pytest.mark.parametrize("zone", ["", "amman-a", "amman a", " a ", "a%20b", "%", "ä b"])
def test_a_gateway_is_known_whatever_its_zone_is_called(zone):
    """Guards against a gateway whose introduction nobody can read."""
    member = Member("g1", "10.0.0.1", 7000, zone, 0.5)
    assert decode_member("g1", encode_member(member)) == member
