from robinspindle.core.sharing import Digest, Load, PeerView, Placement
from robinspindle.gatewaysettings import HostPort
from robinspindle.peers import (
    News,
    PeerLink,
    Peers,
    decode,
    encode,
    find_interval,
    find_oldest_s,
)


def test_a_datagram_comes_back_as_it_was_and_stays_small():
    loads = [Load(f"i-{number:010x}", 12, 14_000, 3) for number in range(6)]
    parts = [("5c1e07a2", 2520), ("91bd3f06", 3780), ("e4402b7d", 2890)]
    digest = Digest(
        "front-amman-a-1",
        1796223803.41,
        123_456,
        loads,
        [Placement("i-0000000001", parts, 2890)],
        {"huvo11a": 463_102.0},
        [("i-0000000002", "prefill")],
    )
    data = encode(digest)
    assert decode(data) == digest
    assert len(data) < 300


class Sink:
    """Takes datagrams in place of a socket."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append(address)


def make_link(peers):
    link = PeerLink(peers, lambda _: None, lambda *_: None, lambda: 0.0, print)
    link.connection_made(Sink())
    return link


def test_peers_are_told_news_at_an_interval_that_grows_with_their_number():
    peers = Peers("g0", 0.0)
    link = make_link(peers)
    assert not link.may_tell(10.0)
    peers.addresses = {f"g{n}": HostPort("127.0.0.1", n) for n in range(1, 41)}
    news = News([Load("i1", 1, 10)], [])
    assert link.tell(10.0, news)
    assert not link.may_tell(10.0 + find_interval(40) * 0.9)
    assert link.tell(10.0 + find_interval(40) * 1.01, news)
    assert find_interval(1) < find_interval(40)


def test_without_news_peers_are_told_seldom():
    peers = Peers("g0", 0.0, {"g1": HostPort("127.0.0.1", 1)})
    link = make_link(peers)
    assert link.tell(10.0, News([], []))
    assert not link.tell(10.4, News([], []))
    assert link.tell(10.6, News([], []))


def test_the_age_of_the_oldest_news_is_found():
    peers = Peers("g0", 0.0)
    assert find_oldest_s(peers, 10.0) == 0.0
    peers.views = {"g1": PeerView(heard_at=9.5), "g2": PeerView(heard_at=9.9)}
    assert find_oldest_s(peers, 10.0) == 0.5
