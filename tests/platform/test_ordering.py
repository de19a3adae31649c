"""Orders to engines to change their roles, from a gateway to stand-ins."""

import json
import math

from robinspindle.core.peerdigests import PeerView
from robinspindle.core.rebalancing import PrefillDemand
from robinspindle.core.relays import Member
from robinspindle.peers import Peers, list_deciders
from tests.platform.deployment import deploy, run, until


async def raise_prefill_demand(d):
    """Raise the prefill demand far above the capacity of the prefill engines."""
    demand = PrefillDemand(seconds=1e4, at=d.gateway.orderer.now)
    d.gateway.relay.chooser.demands["lm"] = demand


def test_an_engine_is_ordered_under_a_claim_and_gets_no_requests_meanwhile(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("p1", "lm", "prefill")
            decode_engines = [await d.add(f"d{n}", "lm", "decode") for n in (1, 2, 3)]
            await raise_prefill_demand(d)
            await until(lambda: any(engine.orders for engine in decode_engines))
            (ordered,) = [engine for engine in decode_engines if engine.orders]
            order = json.loads(ordered.orders[0].body)
            assert order["Op"] == "Stage"
            assert order["Stage"] == "prefill"
            assert order["Holder"] == "gateway-1"
            assert order["Fence"] == 1
            expected = ordered.orders[0].headers["x-expect-instance"]
            assert expected == ordered.lifetime
            for number in range(6):
                reply = await d.call("/chat/x", id=f"c{number}", **d.prompt("5000"))
                assert reply.status == 200
            assert not ordered.arrivals

    run(scenario())


def test_no_order_is_sent_without_the_store(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("p1", "lm", "prefill")
            decode_engines = [await d.add(f"d{n}", "lm", "decode") for n in (1, 2, 3)]
            await until(lambda: d.gateway.orderer.authority.end is not None)
            d.store.trouble = "busy"
            calls = d.store.calls.count("POST /log-append")
            await raise_prefill_demand(d)
            await until(lambda: d.store.calls.count("POST /log-append") > calls)
            d.store.trouble = "lost"
            await until(lambda: d.store.calls.count("POST /log-append") > calls + 1)
            # Claims whose responses are lost may have taken effect, but none is used.
            assert not any(engine.orders for engine in decode_engines)

    run(scenario())


def test_a_gateway_waits_until_the_claim_of_another_has_expired(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("p1", "lm", "prefill")
            decode_engines = [await d.add(f"d{n}", "lm", "decode") for n in (1, 2, 3)]
            await d.store.put("keyed.orders", "roles", b"gateway-0")
            authority = d.gateway.orderer.authority
            await until(lambda: authority.holder == "gateway-0")
            await raise_prefill_demand(d)
            await until(lambda: any(engine.orders for engine in decode_engines))
            waited_s = d.gateway.orderer.now - authority.seen_at
            assert waited_s >= 1.6 * authority.lease_s or authority.holder != (
                "gateway-0"
            )

    run(scenario())


def test_the_next_gateway_decides_if_the_first_cannot_reach_the_store(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = PeerView(heard_at=math.inf, is_store_unavailable=True)
            d.gateway.peers.views["gateway-0"] = first
            await d.add("p1", "lm", "prefill")
            decode_engines = [await d.add(f"d{n}", "lm", "decode") for n in (1, 2, 3)]
            await raise_prefill_demand(d)
            await until(lambda: any(engine.orders for engine in decode_engines))

    run(scenario())


def test_only_gateways_that_reach_the_store_are_deciders():
    peers = Peers(Member("b", "127.0.0.1", 1), 0.0)
    peers.views["a"] = PeerView(members=["c"])
    assert list_deciders(peers) == ["a", "c"]
    peers.views["a"].is_store_unavailable = True
    assert list_deciders(peers) == ["c"]
