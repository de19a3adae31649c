from robinspindle.core.engines import PrefillStart, make_engine
from robinspindle.core.peerdigests import (
    PEER_TIMEOUT_S,
    Digest,
    Placement,
    TargetLoad,
    apply_digest,
    is_cache_sender,
    remove_timed_out_peers,
)
from robinspindle.core.priorities import LEVELS

WORK = [0, 40, 30] + [0] * (LEVELS - 3)


def make(number=1, started=1.0, loads=(), placements=()):
    return Digest("g2", started, number, list(loads), list(placements))


def test_newest_digest_of_a_peer_counts():
    engines = {"e1": make_engine(True, 1000)}
    peers = {}
    assert apply_digest(
        peers, make(2, loads=[TargetLoad("e1", 1, WORK, 1)]), 0.0, engines.get
    )
    assert not apply_digest(
        peers,
        make(1, loads=[TargetLoad("e1", 9, [0, 900] + [0] * (LEVELS - 2))]),
        0.0,
        engines.get,
    )
    engine = engines["e1"]
    assert (engine.backlog_s, engine.others_in_flight, engine.long_answers) == (
        0.07,
        1,
        1,
    )
    assert apply_digest(peers, make(3), 0.0, engines.get)
    assert (engine.backlog_s, engine.others_in_flight, engine.long_answers) == (0, 0, 0)


def test_restarted_peer_starts_from_nothing():
    engines = {"e1": make_engine(True, 1000)}
    peers = {}
    apply_digest(peers, make(900, loads=[TargetLoad("e1", 1, WORK)]), 0.0, engines.get)
    assert apply_digest(peers, make(1, started=2.0), 0.1, engines.get)
    assert engines["e1"].backlog_s == 0


def test_placements_are_applied_and_unknown_targets_ignored():
    engines = {"e1": make_engine(False, 1000)}
    placements = [Placement("e1", [("a", 100)], 60, 2), Placement("e9", [("a", 100)])]
    apply_digest({}, make(placements=placements), 0.0, engines.get)
    assert engines["e1"].cached == {"a": 100}
    assert list(engines["e1"].recent_prefills) == [PrefillStart(0.0, 0.06, 2)]


def test_timed_out_peer_has_nothing_in_flight():
    engines = {"e1": make_engine(True, 1000)}
    peers = {}
    apply_digest(peers, make(loads=[TargetLoad("e1", 1, WORK)]), 0.0, engines.get)
    assert remove_timed_out_peers(peers, PEER_TIMEOUT_S, engines.get) == []
    assert remove_timed_out_peers(peers, PEER_TIMEOUT_S + 0.1, engines.get) == ["g2"]
    assert engines["e1"].backlog_s == 0


def test_first_two_gateways_send_caches_to_a_starting_one():
    names = ["g1", "g2", "g3", "g4"]
    senders = [
        name
        for name in names
        if is_cache_sender(name, [other for other in names if other != name], "g1")
    ]
    assert senders == ["g2", "g3"]
