import random
from types import SimpleNamespace

from robinspindle.core.peerdigests import PeerView
from robinspindle.core.policy import Policy
from robinspindle.core.relays import Member
from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.core.zoneplacement import UNHEARD_AGE_S
from robinspindle.peers import Peers, note_member
from robinspindle.zonechoices import ENGINES_MEMORY_S, ZoneChoices, find_zone_ages


def make_peers(heard):
    """Make peers of which some were heard, each as the relay of itself alone."""
    peers = Peers(Member("g0", "127.0.0.1", 1, "a"), 0.0)
    for number, zone in enumerate("abbc", 1):
        note_member(peers, Member(f"g{number}", "127.0.0.1", number + 1, zone))
    for name, heard_at in heard.items():
        peers.views[name] = PeerView(heard_at=heard_at, members=[name])
    return peers


def test_a_zone_is_known_as_well_as_its_best_heard_gateway():
    ages_s = find_zone_ages(make_peers({"g2": 9.0, "g3": 9.5, "g4": 10.0}), 10.0)
    assert ages_s["b"] == 0.5
    assert 0.0 < ages_s["c"] < 0.5


def test_a_gateway_is_heard_through_its_relay_and_falls_silent_with_it():
    peers = make_peers({"g2": 9.5})
    peers.views["g2"].members = ["g2", "g4"]
    ages_s = find_zone_ages(peers, 10.0)
    assert (ages_s["b"], ages_s["c"]) == (0.5, 0.5)


def test_a_zone_none_of_whose_gateways_is_heard_is_old():
    ages_s = find_zone_ages(make_peers({"g4": 10.0}), 10.0)
    assert ages_s["b"] == UNHEARD_AGE_S


def test_a_zone_with_too_few_engines_weighs_nothing_but_one_that_lost_some_does():
    """Guards against prompts kept in a zone of three engines, of which one prefills."""
    engines = 3
    means = SimpleNamespace(
        zone="a",
        policy=lambda: Policy(weighs_zones=True),
        zone_terms=lambda: ZoneTerms(least_engines=4),
        fleet=SimpleNamespace(count_zone_engines=lambda zone: engines),
    )
    zones = ZoneChoices(means, random.Random(1))
    assert not zones.find_policy(0.0).weighs_zones
    engines = 5
    assert zones.find_policy(1.0).weighs_zones
    engines = 3
    assert zones.find_policy(2.0).weighs_zones
    assert not zones.find_policy(2.0 + ENGINES_MEMORY_S).weighs_zones
