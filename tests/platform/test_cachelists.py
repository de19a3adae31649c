"""What a gateway that starts learns of engines' caches, from engines and from peers."""

import asyncio
import socket

from robinspindle.cachelists import CacheLists
from robinspindle.core.engines import note_placed
from robinspindle.core.forwarding import Part
from robinspindle.core.peerdigests import Cache, Datagram, Digest, PeerView
from robinspindle.core.relays import Member
from robinspindle.core.targets import Announcement, Directory, note_announced
from robinspindle.fleet import Fleet
from robinspindle.peerlink import encode
from robinspindle.peers import Peers
from robinspindle.platform import dialect
from standins.replica import Replica
from tests.platform.deployment import deploy, introduce, run, until


def note_nothing(*words, **fields):
    """Stand for a log."""


async def regain(replica, others=(), name="g1", placed=()):
    """Let a gateway that knows one engine and some peers regain what caches hold."""
    fleet = Fleet(Directory(known=True), dialect.decode_answer)
    announced = Announcement(
        replica.lifetime, "lm", replica.server.address, "a", 8, role="prefill"
    )
    note_announced(fleet.directory, announced, 0.0)
    note_placed(fleet.find_engine_of(replica.lifetime), placed)
    own = Member(name, "127.0.0.1", 1)
    peers = Peers(own, 0.0, views={other: PeerView() for other in others})
    clock = asyncio.get_running_loop().time
    await CacheLists(fleet, peers, dialect, clock, note_nothing).regain()
    return fleet.find_engine_of(replica.lifetime), peers


def test_the_first_of_the_gateways_asks_engines_and_tells_the_others():
    async def play():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {"aa": 400, "bb": 100}
        await replica.server.start()
        engine, peers = await regain(replica, others=("g2", "g3"))
        assert engine.cached == {"aa": 400, "bb": 100}
        assert peers.spread_caches == ["p1"]
        await replica.server.stop()

    run(play())


def test_the_other_gateways_ask_none():
    async def play():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {"aa": 400}
        await replica.server.start()
        engine, _ = await regain(replica, others=("g1",), name="g2")
        assert replica.lists == 0
        assert engine.cached == {}
        await replica.server.stop()

    run(play())


def test_an_engine_that_can_not_be_asked_is_believed_to_hold_nothing():
    async def play():
        replica = Replica("p1", "lm", "prefill")
        await replica.server.start()
        await replica.server.stop()
        engine, peers = await regain(replica, others=("g2",))
        assert engine.cached == {}
        assert peers.spread_caches == []

    run(play())


def test_a_list_counts_also_where_prompts_were_placed_meanwhile():
    async def play():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {"aa": 400}
        await replica.server.start()
        engine, _ = await regain(replica, placed=[Part("bb", 100)])
        assert list(engine.cached) == ["aa", "bb"]
        await replica.server.stop()

    run(play())


def test_a_peers_word_of_a_cache_counts_also_before_the_engine_is_known(tmp_path):
    async def play():
        async with deploy(tmp_path) as d:
            caches = [Cache("p1", [("aa", 4000)]), Cache("p2", [("bb", 300)])]
            await introduce(d, "gateway-2")
            digest = Digest("gateway-2", 1.0, 1, [], [], caches=caches)
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.sendto(
                encode(Datagram("gateway-2", [digest])), ("127.0.0.1", d.inner_port)
            )
            sender.close()
            await until(lambda: d.gateway.peers.views)
            await d.add("p1", "lm", "prefill")
            engine = d.gateway.fleet.find_engine_of("p1")
            assert engine.cached == {"aa": 4000}

    run(play())
