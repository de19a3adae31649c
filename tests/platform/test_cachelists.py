"""How a gateway that has just started gets the contents of the engines' caches."""

import asyncio
import socket

from robinspindle.cachelists import MOST_AT_ONCE, CacheLists
from robinspindle.core.engines import note_placed
from robinspindle.core.forwarding import Part
from robinspindle.core.peerdigests import Cache, Datagram, Digest, PeerView
from robinspindle.core.relays import Member
from robinspindle.core.targets import Announcement, Directory, note_announced
from robinspindle.core.upstreamaccount import UpstreamAccount
from robinspindle.fleet import Fleet
from robinspindle.peerlink import encode
from robinspindle.peers import Peers
from robinspindle.platform import dialect
from standins.endless import BODIES, Endless, make_behaviour
from standins.rawhttp import LOOPBACK, RawServer
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
    account = UpstreamAccount()
    await CacheLists(fleet, peers, dialect, account, clock, ignore_log).regain()
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


BOUND_BYTES = 1 << 20
MOST_READ_BYTES = 1 << 20
"""More than is read of a connection at a time, and of its last pieces."""


class Received:
    """Counts the bytes that came from engines."""

    def __init__(self):
        self.bytes = 0

    def note_sent(self, size):
        """Count nothing."""

    def note_received(self, size):
        self.bytes += size


def test_lists_without_end_fill_no_memory_and_cost_no_sound_list():
    # A gateway kept 8 MB of each such list, of all engines at once.
    async def scenario():
        endless = [Endless(BODIES["unframed"]) for _ in range(2 * MOST_AT_ONCE)]
        servers = [RawServer(make_behaviour(one, lambda _: {})) for one in endless]
        sound = Replica("p1", "lm", "prefill")
        sound.held = {"aa": 400}
        received, account = Received(), UpstreamAccount(BOUND_BYTES)
        fleet = Fleet(
            Directory(is_list_read=True),
            dialect.decode_answer,
            make_meter=lambda target: received,
        )
        for server in (*servers, sound.server):
            await server.start()
            announced = Announcement(
                f"p{server.port}", "lm", server.address, "a", 8, role="prefill"
            )
            note_announced(fleet.directory, announced, 0.0)
            fleet.find_engine_of(announced.lifetime)
        clock = asyncio.get_running_loop().time
        peers = Peers(Member("g1", "127.0.0.1", 1), 0.0)
        lists = CacheLists(fleet, peers, dialect, account, clock, ignore_log)
        await lists.regain()
        engine = fleet.find_engine_of(f"p{sound.server.port}")
        assert engine.cached == sound.held
        assert account.total == 0
        assert received.bytes < len(endless) * MOST_READ_BYTES + BOUND_BYTES
        for server in (*servers, sound.server):
            await server.stop()

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
