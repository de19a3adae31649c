from types import SimpleNamespace

from robinspindle.core.peerdigests import Digest, PeerView
from robinspindle.core.relays import Member
from robinspindle.following import MAX_PAUSE_S, UNAVAILABLE_PAUSE_S, Follower
from robinspindle.gateway import Gateway
from robinspindle.peers import Peers
from robinspindle.storenews import StoreNews

ERA = 3


def make_news(relay=""):
    peers = Peers(Member("g1", "10.0.0.1", 7000), 0.0)
    peers.choice.relay = relay
    followers = [
        Follower(topic, lambda *_: None, lambda: None, lambda: None)
        for topic in ("configuration", "targets")
    ]
    for follower in followers:
        follower.offset = 5
    news = StoreNews(peers, followers, "configuration", lambda: ERA)
    return news, followers, peers


def tell(news, peer, ends, is_store_unavailable=False, era=ERA):
    """Have a peer tell of the store."""
    told = Digest(
        peer,
        1.0,
        1,
        [],
        [],
        topic_ends=ends,
        is_store_unavailable=is_store_unavailable,
        era=era,
    )
    news.note_told(told)


def test_who_is_behind_reads_at_once_and_nobody_else():
    news, (configuration, targets), _ = make_news()
    tell(news, "g2", {"configuration": 5, "targets": 6}, is_store_unavailable=False)
    assert not configuration.nudge.is_set()
    assert targets.nudge.is_set()
    assert news.list_ends() == {"configuration": 5, "targets": 5}


def test_a_store_that_is_away_for_a_peer_is_checked_by_one_call_each_time():
    news, (configuration, targets), _ = make_news()
    tell(news, "g2", {}, is_store_unavailable=True)
    assert configuration.nudge.is_set()
    assert not targets.nudge.is_set()
    configuration.nudge.clear()
    tell(news, "g2", {}, is_store_unavailable=True)
    assert not configuration.nudge.is_set()


def test_all_are_tried_when_it_is_back_for_a_peer():
    news, _, _ = make_news()
    tell(news, "g2", {}, is_store_unavailable=True)
    back = news.outage.back
    tell(news, "g2", {}, is_store_unavailable=False)
    assert back.is_set()
    assert not news.outage.back.is_set()


def test_who_hears_of_the_store_from_its_relay_asks_less_often():
    news, _, _ = make_news(relay="g2")
    assert news.outage.find_max_pause_s() == MAX_PAUSE_S
    tell(news, "g3", {}, is_store_unavailable=True)
    assert news.outage.find_max_pause_s() == MAX_PAUSE_S
    tell(news, "g2", {}, is_store_unavailable=True)
    assert news.outage.find_max_pause_s() == UNAVAILABLE_PAUSE_S


def test_who_becomes_a_relay_looks_after_its_held_polls():
    news, followers, peers = make_news(relay="g2")
    news.look_after_relaying()
    assert not any(follower.nudge.is_set() for follower in followers)
    peers.choice.relay = "g1"
    news.look_after_relaying()
    assert all(follower.nudge.is_set() for follower in followers)


def test_ends_of_another_era_say_nothing_and_a_newer_one_costs_one_call():
    news, (configuration, targets), _ = make_news()
    tell(news, "g2", {"configuration": 99, "targets": 99}, era=ERA - 1)
    assert not (configuration.nudge.is_set() or targets.nudge.is_set())
    tell(news, "g2", {"targets": 99}, era=ERA + 1)
    assert configuration.nudge.is_set()
    assert not targets.nudge.is_set()
    configuration.nudge.clear()
    tell(news, "g3", {}, era=ERA + 1)
    assert not configuration.nudge.is_set()


def test_a_silent_connection_has_the_polls_of_all_other_topics_looked_after():
    news, (configuration, targets), _ = make_news()
    news.note_silent("targets")
    assert configuration.nudge.is_set()
    assert not targets.nudge.is_set()


def test_who_is_only_told_of_by_a_relay_without_the_store_does_no_better():
    """Guards against all members of a group that stop, as none can read the store."""
    news, _, peers = make_news(relay="g2")
    view = PeerView(is_relay=True, members=["g1", "g3"])
    peers.views["g2"] = view
    gateway = SimpleNamespace(peers=peers, _store_news=news)
    for is_away in (True, False):
        view.is_store_unavailable = is_away
        tell(news, "g2", {}, is_store_unavailable=is_away)
        assert Gateway._do_others_better(gateway) is not is_away
