from robinspindle.core.relays import Member
from robinspindle.following import AWAY_PAUSE_S, MOST_PAUSE_S, Follower
from robinspindle.peers import Peers
from robinspindle.storenews import StoreNews


def make_news(relay=""):
    peers = Peers(Member("g1", "10.0.0.1", 7000), 0.0)
    peers.choice.relay = relay
    followers = [
        Follower(topic, lambda *_: None, lambda: None, lambda: None)
        for topic in ("configuration", "targets")
    ]
    for follower in followers:
        follower.offset = 5
    return StoreNews(peers, followers, "configuration"), followers, peers


def test_who_is_behind_reads_at_once_and_nobody_else():
    news, (configuration, targets), _ = make_news()
    news.note_told("g2", {"configuration": 5, "targets": 6}, is_away=False)
    assert not configuration.nudge.is_set()
    assert targets.nudge.is_set()
    assert news.list_ends() == {"configuration": 5, "targets": 5}


def test_a_store_that_is_away_for_a_peer_is_checked_by_one_call_each_time():
    news, (configuration, targets), _ = make_news()
    news.note_told("g2", {}, is_away=True)
    assert configuration.nudge.is_set()
    assert not targets.nudge.is_set()
    configuration.nudge.clear()
    news.note_told("g2", {}, is_away=True)
    assert not configuration.nudge.is_set()


def test_all_are_tried_when_it_is_back_for_a_peer():
    news, _, _ = make_news()
    news.note_told("g2", {}, is_away=True)
    back = news.outage.back
    news.note_told("g2", {}, is_away=False)
    assert back.is_set()
    assert not news.outage.back.is_set()


def test_who_hears_of_the_store_from_its_relay_asks_less_often():
    news, _, _ = make_news(relay="g2")
    assert news.outage.find_most_pause_s() == MOST_PAUSE_S
    news.note_told("g3", {}, is_away=True)
    assert news.outage.find_most_pause_s() == MOST_PAUSE_S
    news.note_told("g2", {}, is_away=True)
    assert news.outage.find_most_pause_s() == AWAY_PAUSE_S


def test_who_becomes_a_relay_looks_after_its_held_polls():
    news, followers, peers = make_news(relay="g2")
    news.look_after_relaying()
    assert not any(follower.nudge.is_set() for follower in followers)
    peers.choice.relay = "g1"
    news.look_after_relaying()
    assert all(follower.nudge.is_set() for follower in followers)
