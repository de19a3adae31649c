"""What gateways tell each other, with a network of queues in place of sockets."""

import asyncio

import msgspec
import pytest

from robinspindle.core.engines import note_earlier_cache
from robinspindle.core.forwarding import Part
from robinspindle.core.peerdigests import (
    RELAY_TIMEOUT_S,
    Datagram,
    Digest,
    PeerView,
    Placement,
    TargetLoad,
)
from robinspindle.core.prefillmodel import PrefillSample, estimate_seconds, note_sample
from robinspindle.core.priorities import LEVELS
from robinspindle.core.relays import MAX_INTERVAL_S, RELAY_SILENCE_TIMEOUT_S, Member
from robinspindle.core.targets import Announcement, Directory, note_announced
from robinspindle.core.targetspeeds import INTERVAL_S, note_ratio
from robinspindle.fleet import Fleet
from robinspindle.peerlink import (
    MOST_DATAGRAM_BYTES,
    NEWCOMER_S,
    News,
    PeerLink,
    decode,
    encode,
)
from robinspindle.peers import (
    LEARNT_INTERVAL_S,
    Peers,
    find_oldest_s,
    list_heard,
    note_member,
)

STEP_S = 0.1
ENGINES = ("e1", "e2")


def pass_over(*words, **fields):
    """Stand for a log."""


def make_fleet():
    fleet = Fleet(Directory(), None)
    for lifetime in ENGINES:
        announced = Announcement(lifetime, "lm", "x:1", "a", 8, role="prefill")
        note_announced(fleet.directory, announced, 0.0)
        fleet.find_engine_of(lifetime)
    return fleet


def make_load(work_ms):
    return TargetLoad("e1", 1, [0, work_ms] + [0] * (LEVELS - 2))


def make_members(count, zones=2):
    return [
        Member(f"g{n}", f"10.0.0.{n}", 7000, f"z{n % zones}", 9.0 - n / 10)
        for n in range(count)
    ]


class Gateway:
    """One gateway on a network of queues."""

    def __init__(self, network, member, started=1.0):
        self.name = member.name
        self.fleet = make_fleet()
        self.peers = Peers(member, started)
        self.store_news = []
        self.link = PeerLink(
            self.peers,
            self.fleet,
            lambda: network.now,
            pass_over,
            lambda told: self.store_news.append(
                (told.topic_ends, told.is_store_unavailable)
            ),
        )
        self._network = network
        self._host = member.host
        self.link.connection_made(self)

    def sendto(self, data, address):
        self._network.carry(self._host, address[0], data)

    def tell(self, **news):
        self.link.tell(
            self._network.now, News(news.pop("loads", []), **{"placements": [], **news})
        )

    def sum_backlog_s(self, lifetime="e1"):
        return round(sum(self.fleet.find_engine_of(lifetime).peers_backlog_s), 3)


class Network:
    """Carries datagrams at once; cut hosts hear and say nothing."""

    def __init__(self, count, zones=2):
        self.now = 10.0
        self.cut = set()
        self.datagrams = 0
        self.members = make_members(count, zones)
        self.gateways = {}
        for member in self.members:
            self.gateways[member.host] = Gateway(self, member)
        for gateway in self.gateways.values():
            for member in self.members:
                note_member(gateway.peers, member)

    def __getitem__(self, number):
        return self.gateways[f"10.0.0.{number}"]

    def carry(self, sender, receiver, data):
        self.datagrams += 1
        assert len(data) < 65_507
        if not self.cut & {sender, receiver} and receiver in self.gateways:
            link = self.gateways[receiver].link
            link.datagram_received(data, (sender, 7000))

    def step(self, loads=None, times=1):
        """Have all gateways tell once, each what it has under way by its number."""
        for _ in range(times):
            for host, gateway in self.gateways.items():
                if host not in self.cut:
                    number = int(host.rsplit(".")[-1])
                    work = (loads or {}).get(number, 0)
                    gateway.tell(
                        loads=[TargetLoad("e1", 1, [0, work] + [0] * (LEVELS - 2))]
                    )
            self.now += STEP_S


def test_a_datagram_comes_back_as_it_was_and_stays_small():
    loads = [
        TargetLoad(f"i-{number:010x}", 12, [0, 14, 120, 0, 0, 0, 0, 0, 0, 30], 3)
        for number in range(6)
    ]
    parts = [("5c1e07a2", 2520), ("91bd3f06", 3780), ("e4402b7d", 2890)]
    digest = Digest(
        "front-amman-a-1",
        1796223803.41,
        123_456,
        loads,
        [Placement("i-0000000001", parts, 2890, 2)],
        {"huvo11a": 463_102.0},
        [("i-0000000002", "prefill")],
    )
    bundle = Datagram(digest.sender, [digest], 12)
    data = encode(bundle)
    assert decode(data) == bundle
    assert len(data) < 430


def test_each_knows_the_work_of_all_others_and_not_its_own():
    network = Network(12)
    loads = {number: 10 * (number + 1) for number in range(12)}
    network.step(loads, times=5)
    total = sum(loads.values())
    for number in range(12):
        assert network[number].sum_backlog_s() == (total - loads[number]) / 1000
    assert network[5].peers.choice.relay == "g1"
    assert list_heard(network[5].peers) == sorted(f"g{n}" for n in range(12) if n != 5)


def test_what_is_told_does_not_grow_with_the_square_of_the_gateways():
    """68 gateways in five zones told each other in 4,556 datagrams, each to all."""
    network = Network(68, zones=5)
    network.step(times=5)
    network.datagrams = 0
    network.step()
    assert network.datagrams == 2 * (68 - 5) + 5 * 4


def test_news_reach_all_within_three_tellings_and_placements_once():
    network = Network(8)
    network.step(times=4)
    network[7].tell(placements=[Placement("e2", [("aa", 400)], 50)])
    network.now += STEP_S
    network.step(times=3)
    for number in range(7):
        engine = network[number].fleet.find_engine_of("e2")
        assert engine.cached == {"aa": 400}
        assert engine.placed == 1
    assert network[7].fleet.find_engine_of("e2").placed == 0


def test_a_relay_that_dies_is_replaced_and_its_group_is_heard_again():
    network = Network(8)
    loads = dict.fromkeys(range(8), 10)
    network.step(loads, times=5)
    network.cut.add("10.0.0.1")
    steps = round(max(RELAY_SILENCE_TIMEOUT_S, RELAY_TIMEOUT_S) / STEP_S) + 5
    network.step(loads, times=steps)
    assert {network[n].peers.choice.relay for n in (3, 5, 7)} == {"g3"}
    assert [network[n].sum_backlog_s() for n in (0, 2, 3, 5, 7)] == [0.06] * 5


def test_a_relay_that_comes_back_takes_over_again_and_nothing_counts_twice():
    network = Network(8)
    loads = dict.fromkeys(range(8), 10)
    network.step(loads, times=5)
    network.cut.add("10.0.0.1")
    network.step(loads, times=20)
    network.cut.clear()
    network.step(loads, times=60)
    assert {network[n].peers.choice.relay for n in (1, 3, 5, 7)} == {"g1"}
    assert [network[n].sum_backlog_s() for n in range(8)] == [0.07] * 8


def test_a_cut_zone_goes_on_by_itself_and_forgets_the_others():
    network = Network(8)
    loads = dict.fromkeys(range(8), 10)
    network.step(loads, times=5)
    network.cut = {f"10.0.0.{n}" for n in (0, 2, 4, 6)}
    network.step(loads, times=20)
    assert [network[n].sum_backlog_s() for n in (1, 3, 5, 7)] == [0.03] * 4


def test_strangers_and_unsound_digests_are_counted_and_change_nothing():
    network = Network(4)
    gateway = network[0]
    work = [make_load(50)]
    good = Digest("g2", 1.0, 1, work, [])
    bad = Digest("g2", 1.0, 2, [TargetLoad("e1", 1, [0])], [])
    receive = gateway.link.datagram_received
    receive(encode(Datagram("g9", [good])), ("10.0.0.9", 7000))
    receive(encode(Datagram("g2", [good])), ("10.0.0.9", 7000))
    receive(encode(Datagram("g2", [bad])), ("10.0.0.2", 7000))
    receive(encode(Datagram("g2", [good]))[:-3], ("10.0.0.2", 7000))
    receive(b"no datagram of ours", ("10.0.0.2", 7000))
    assert gateway.peers.refused == 5
    assert gateway.sum_backlog_s() == 0.0
    receive(encode(Datagram("g2", [good])), ("10.0.0.2", 7000))
    assert gateway.sum_backlog_s() == 0.05


def test_digests_of_an_older_life_or_that_come_late_are_passed_over():
    network = Network(4)
    gateway = network[0]

    def receive(started, number, work):
        told = Digest(
            "g2",
            started,
            number,
            [TargetLoad("e1", 1, [0, work] + [0] * (LEVELS - 2))],
            [],
        )
        gateway.link.datagram_received(
            encode(Datagram("g2", [told])), ("10.0.0.2", 7000)
        )

    receive(2.0, 5, 50)
    receive(2.0, 4, 900)
    receive(1.0, 99, 900)
    assert gateway.sum_backlog_s() == 0.05
    receive(3.0, 1, 20)
    assert gateway.sum_backlog_s() == 0.02


def test_a_bundle_that_is_too_large_is_told_in_two_datagrams():
    network = Network(4)
    parts = [(f"{n:08x}", 400) for n in range(24)]
    placements = [Placement("e1", parts, 10)] * 24
    network.step(times=3)
    sent = []
    network.carry = lambda sender, receiver, data: sent.append(data)
    relay = network[0]
    told = [
        Digest(f"g{n}", 1.0, 99, [], placements, is_relay=True) for n in range(5, 12)
    ]
    relay.link._passing = {digest.sender: digest for digest in told}
    relay.tell()
    to_member = [data for data in sent if len(data) > 1000]
    assert len(to_member) > 1
    assert all(len(data) <= MOST_DATAGRAM_BYTES for data in to_member)
    assert sum(len(decode(data).digests) for data in to_member) == 8


def test_the_age_of_the_oldest_news_is_found():
    peers = Peers(make_members(1)[0], 0.0)
    assert find_oldest_s(peers, 10.0) == 0.0
    peers.views = {"g1": PeerView(heard_at=9.5), "g2": PeerView(heard_at=9.9)}
    assert find_oldest_s(peers, 10.0) == 0.5


def test_what_was_learnt_of_paces_reaches_all_and_is_forgotten_with_its_author():
    network = Network(6)
    teacher, learner = network[4].fleet, network[5].fleet
    note_sample(teacher.paces.find("lm", True), PrefillSample(3000, 0, 0.3))
    usual_s = estimate_seconds(learner.paces.find("lm", True), 3000, 0)
    for _ in range(round(4 * LEARNT_INTERVAL_S / STEP_S) + 3):
        network[4].tell(prefill_statistics=teacher.paces.list_learnt())
        for number in (0, 1, 2, 3, 5):
            network[number].tell()
        network.now += STEP_S
    assert estimate_seconds(learner.paces.find("lm", True), 3000, 0) > 2 * usual_s
    # Its own readings do not come back to who made them.
    assert teacher.paces.find("lm", True).own.weight == 1.0
    assert all(
        s.weight < 1e-9 for s in teacher.paces.find("lm", True).peer_sums.values()
    )
    network.cut = {f"10.0.0.{n}" for n in range(5)}
    network.now += 2.0
    learner_link = network[5].link
    learner_link.remove_timed_out_peers(network.now)
    assert estimate_seconds(learner.paces.find("lm", True), 3000, 0) < 1.01 * usual_s


def test_a_newcomer_is_told_what_caches_hold_and_the_others_are_not():
    network = Network(6)
    network.step(times=round(NEWCOMER_S / STEP_S) + 2)
    for gateway in network.gateways.values():
        for lifetime in ENGINES:
            note_earlier_cache(
                gateway.fleet.find_engine_of(lifetime), [Part("aa", 400)]
            )
    member = network.members[5]
    newcomer = Gateway(network, member, started=2.0)
    network.gateways[member.host] = newcomer
    for other in network.members:
        note_member(newcomer.peers, other)
    network.step(times=4)
    for lifetime in ENGINES:
        assert newcomer.fleet.find_engine_of(lifetime).cached == {"aa": 400}
    assert set(network[1].peers.taught) >= {"g5"}
    assert not any(network[1].peers.untold_caches.get(f"g{n}") for n in (3, 5))
    newcomer_again = newcomer.fleet.find_engine_of("e1")
    assert newcomer_again.is_cache_known


def test_lists_that_one_asked_for_reach_all():
    network = Network(6)
    network.step(times=3)
    asked = network[4]
    note_earlier_cache(asked.fleet.find_engine_of("e1"), [Part("aa", 400)])
    asked.peers.spread_caches = ["e1"]
    network.step(times=4)
    for number in (0, 1, 2, 3, 5):
        assert network[number].fleet.find_engine_of("e1").cached == {"aa": 400}


def test_how_far_the_store_was_read_is_told():
    network = Network(4)
    network.step(times=3)
    network[2].tell(topic_ends={"t": 7})
    network.now += STEP_S
    network.step(times=3)
    for number in (0, 1, 3):
        assert ({"t": 7}, False) in network[number].store_news


def test_news_are_told_at_once_and_without_news_seldom():
    async def play():
        loop = asyncio.get_running_loop()
        network = Network(4)
        gateway = network[3]
        gateway.peers.sent_at = -1.0
        gateway.link._clock = lambda: network.now
        gateway.peers.changed.set()
        await gateway.link.wait_due()
        gateway.peers.changed.clear()
        began = loop.time()
        await gateway.link.wait_due()
        return loop.time() - began

    assert asyncio.run(play()) >= MAX_INTERVAL_S * 0.9


def test_a_limit_that_a_target_names_to_one_gateway_is_known_to_all():
    network = Network(8)
    network.step(times=4)
    network[7].fleet.limits.note_told({"e1": 9.5}, network.now)
    network[7].fleet.directory.targets["e1"].stated.limit.answered_at = network.now
    for _ in range(3):
        for number in range(8):
            fleet = network[number].fleet
            network[number].tell(rate_limits=fleet.limits.list_named(network.now))
        network.now += STEP_S
    limits = [network[n].fleet.directory.targets["e1"].stated.limit for n in range(8)]
    assert [limit.per_s for limit in limits] == [9.5] * 8


def test_measured_speeds_reach_all_and_end_with_their_author():
    network = Network(6)
    for gateway in network.gateways.values():
        gateway.fleet.shares_speeds = True
    measured = network[4].fleet.find_engine_of("e1").speed
    for _ in range(10):
        note_ratio(measured, 3.0, network.now)
    network.step(times=round(4 * INTERVAL_S / STEP_S) + 3)
    engines = [network[n].fleet.find_engine_of("e1") for n in range(6)]
    assert all(engine.slowness > 2.0 for engine in engines)
    # Its own samples do not come back to who measured them.
    assert not any(sum(told.counts) for told in measured.told.values())
    network.cut = {f"10.0.0.{n}" for n in range(5)}
    network.now += 2.0
    network[5].link.remove_timed_out_peers(network.now)
    network[5].fleet.list_speeds(network.now)
    assert engines[5].slowness == pytest.approx(1.0, abs=0.01)


def test_speeds_are_not_believed_while_they_are_not_shared():
    network = Network(2)
    network[0].fleet.shares_speeds = True
    note_ratio(network[0].fleet.find_engine_of("e1").speed, 3.0, network.now)
    network.step(times=30)
    assert network[1].fleet.find_engine_of("e1").speed.told == {}


def test_a_digest_of_an_earlier_release_has_no_speeds():
    digest = Digest("g1", 1.0, 1, [], [])
    raw = msgspec.msgpack.decode(encode(Datagram("g1", [digest], 12)))
    raw[1][0].pop()
    assert decode(msgspec.msgpack.encode(raw)).digests == [digest]
