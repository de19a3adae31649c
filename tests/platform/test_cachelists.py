"""How a gateway that has just started gets the contents of the engines' caches."""

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
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.platform.deployment import deploy, introduce, run, until


def ignore_log(*words, **fields):
    """Stand in for a log."""


async def restore_caches(replica, others=(), name="g1", placed=()):
    """Query the cache of the only engine, as a gateway that has just started.

    Args:
        replica: The engine.
        others: Names of the peers.
        name: Name of the gateway.
        placed: Parts of prompts that were placed on the engine before the query.

    Returns:
        The state of the engine, and the peers.
    """
    fleet = Fleet(Directory(is_list_read=True), dialect.decode_answer)
    announced = Announcement(
        replica.lifetime, "lm", replica.server.address, "a", 8, role="prefill"
    )
    note_announced(fleet.directory, announced, 0.0)
    note_placed(fleet.find_engine_of(replica.lifetime), placed)
    own = Member(name, "127.0.0.1", 1)
    peers = Peers(own, 0.0, views={other: PeerView() for other in others})
    clock = asyncio.get_running_loop().time
    await CacheLists(fleet, peers, dialect, clock, ignore_log).regain()
    return fleet.find_engine_of(replica.lifetime), peers


def test_the_first_gateway_queries_engines_and_sends_their_caches_to_peers():
    async def scenario():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {"aa": 400, "bb": 100}
        await replica.server.start()
        engine, peers = await restore_caches(replica, others=("g2", "g3"))
        assert engine.cached == {"aa": 400, "bb": 100}
        assert peers.spread_caches == ["p1"]
        await replica.server.stop()

    run(scenario())


def test_other_gateways_query_no_engine():
    async def scenario():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {"aa": 400}
        await replica.server.start()
        engine, _ = await restore_caches(replica, others=("g1",), name="g2")
        assert replica.lists == 0
        assert engine.cached == {}
        await replica.server.stop()

    run(scenario())


def test_an_unreachable_engine_is_assumed_to_have_an_empty_cache():
    async def scenario():
        replica = Replica("p1", "lm", "prefill")
        await replica.server.start()
        await replica.server.stop()
        engine, peers = await restore_caches(replica, others=("g2",))
        assert engine.cached == {}
        assert peers.spread_caches == []

    run(scenario())


def test_a_cache_list_is_merged_with_prompts_placed_meanwhile():
    async def scenario():
        replica = Replica("p1", "lm", "prefill")
        replica.held = {"aa": 400}
        await replica.server.start()
        engine, _ = await restore_caches(replica, placed=[Part("bb", 100)])
        assert list(engine.cached) == ["aa", "bb"]
        await replica.server.stop()

    run(scenario())


def test_a_cache_reported_by_a_peer_is_kept_until_the_engine_is_known(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            caches = [Cache("p1", [("aa", 4000)]), Cache("p2", [("bb", 300)])]
            await introduce(d, "gateway-2")
            digest = Digest("gateway-2", 1.0, 1, [], [], caches=caches)
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.sendto(
                encode(Datagram("gateway-2", [digest])), (LOOPBACK, d.inner_port)
            )
            sender.close()
            await until(lambda: d.gateway.peers.views)
            await d.add("p1", "lm", "prefill")
            engine = d.gateway.fleet.find_engine_of("p1")
            assert engine.cached == {"aa": 4000}

    run(scenario())
