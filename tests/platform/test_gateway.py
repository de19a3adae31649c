"""Whole gateways: failures of the store, leaving targets, shutdown and peers."""

import asyncio
import socket
from dataclasses import replace

import pytest

from robinspindle import stopping
from robinspindle.clocks import read_steady
from robinspindle.core.peerdigests import Datagram, Digest, Placement, TargetLoad
from robinspindle.core.priorities import LEVELS
from robinspindle.core.relays import Member, encode_member
from robinspindle.core.streamorigins import StreamOrigin, make_stream_key, note_origin
from robinspindle.core.targetspeeds import SpeedSums
from robinspindle.exceptions import Finding, InvalidDocumentError
from robinspindle.gatewaysettings import HostPort
from robinspindle.gauges import update_gauges
from robinspindle.logs import make_log
from robinspindle.metrics import format_metrics
from robinspindle.originlink import OriginLink
from robinspindle.originlog import OriginLog
from robinspindle.peerlink import encode
from robinspindle.peers import Peers, note_member
from robinspindle.streammemory import StreamMemory
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.originfleet import MemoryStore
from tests.platform.deployment import (
    deploy,
    introduce,
    read_reply,
    run,
    until,
    write_request,
)


def test_a_leaving_target_gets_nothing_new(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first, second = await d.add("i1"), await d.add("i2")
            await d.announce(first, "draining")
            for number in range(8):
                assert (await d.call("/once/x", id=f"r{number}")).status == 200
            assert not first.arrivals
            assert len(second.arrivals) == 8

    run(scenario())


def test_a_leaving_target_never_becomes_ready_again(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = await d.add("i1")
            await d.announce(first, "draining")
            await d.store.put("keyed.servers", "i1", first.describe("ready"))
            await d.add("i2")
            assert d.gateway.directory.targets["i1"].announced.leaving

    run(scenario())


def test_requests_are_served_during_a_store_outage_and_changes_arrive_after_it(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            for trouble in ("busy", "reset"):
                d.store.trouble = trouble
                d.store.server.reset_all()
                await until(lambda: d.gateway.directory.unavailable_since is not None)
                assert (await d.call("/once/x", id=trouble)).status == 200
                d.store.trouble = ""
                await until(lambda: d.gateway.directory.unavailable_since is None)
            await d.configure(version=9)
            assert len(replica.arrivals) == 2

    run(scenario())


def test_entries_that_expire_during_a_store_outage_have_a_grace_period(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            d.store.trouble = "busy"
            d.store.server.reset_all()
            await until(lambda: d.gateway.directory.unavailable_since is not None)
            await d.store.put("keyed.servers", "i1", None)
            d.store.trouble = ""
            target = d.gateway.directory.targets["i1"]
            await until(lambda: target.gone_at is not None)
            assert target.gone_at >= d.gateway.directory.recovered_at + 2.0
            assert (await d.call("/once/x")).status == 200

    run(scenario())


def test_trimmed_records_are_replaced_by_the_newest_record_of_each_key(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            await d.add("i2")
            d.store.trouble = "busy"
            d.store.server.reset_all()
            await until(lambda: d.gateway.directory.unavailable_since is not None)
            d.store.drop_silently("keyed.servers", "i1")
            await d.store.put("keyed.servers", "i3", d.replicas["i2"].describe())
            d.store.compact("keyed.servers")
            d.store.trouble = ""
            await until(lambda: d.knows("i3"))
            assert d.gateway.directory.targets["i1"].gone_at is not None
            assert d.gateway.directory.targets["i2"].gone_at is None

    run(scenario())


def test_the_newest_records_are_read_page_by_page(tmp_path):
    async def scenario():
        async with deploy(tmp_path, configured=False) as d:
            d.store.page = 2
            for number in range(5):
                entry = Replica(f"i{number}", "push").describe()
                entry["Address"] = "127.0.0.1:9"
                await d.store.put("keyed.servers", f"i{number}", entry)
            d.store.compact("keyed.servers")
            await until(lambda: all(d.knows(f"i{number}") for number in range(5)))

    run(scenario())


def test_a_stopping_gateway_is_unready_at_once_and_completes_its_requests(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            await until(lambda: d.gateway.is_ready)
            replica.behaviours.append("held")
            under_way = asyncio.create_task(d.call("/once/x", id="under-way"))
            await until(lambda: replica.arrivals)
            d.gateway.begin_stop()
            assert await d.ask_ready() == 503
            reply = await d.call("/once/x", id="still-taken")
            assert reply.status == 200
            assert reply.headers["connection"] == "close"
            replica.gate.set()
            assert (await under_way).body == b"body of under-way"

    run(scenario())


def test_a_stopping_gateway_rejects_requests_that_would_end_too_late(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(stopping, "UNREADY_S", 0.3)

    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            replica.behaviours.append("held")
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            begun = write_request("POST", "/once/x", "late", b"hello", {})
            # The request starts before the shutdown and is complete after it.
            writer.write(begun[:40])
            idle, _ = await asyncio.open_connection(LOOPBACK, d.port)
            under_way = asyncio.create_task(d.call("/once/x", id="under-way"))
            await until(lambda: replica.arrivals)
            d.gateway.begin_stop()
            await until(idle.at_eof)
            writer.write(begun[40:])
            reply = await read_reply(reader)
            assert reply.status == 503
            assert [a.headers["x-request-id"] for a in replica.arrivals] == [
                "under-way"
            ]
            replica.gate.set()
            assert (await under_way).status == 200
            await d.gateway.wait_stopped()

    run(scenario())


def test_a_gateway_introduces_itself_and_discovers_others(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.store.put("keyed.gateways", "gateway-2", b"127.0.0.1:9")
            await until(lambda: "gateway-2" in d.gateway.peers.members)
            assert d.store.calls.count("POST /log-append") == 1

    run(scenario())


def test_gateways_tell_and_ask_each_other_who_began_a_stream(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            told, asked = make_stream_key("", "a"), make_stream_key("", "b")
            origin = StreamOrigin("lm", "v1", "i1", 1)
            member = Member("gateway-2", "127.0.0.2", d.inner_port)
            await introduce(d, member.name, encode_member(member))
            peers = Peers(member, 1.0)
            note_member(peers, d.gateway.peers.own)
            link = OriginLink(peers, make_log("streams"))
            await link.start(HostPort(member.host, member.port))
            log = make_log("streams")
            kept = OriginLog(MemoryStore(), "origins", lambda: 1, log)
            other = StreamMemory(peers, link, kept, read_steady, log)
            d.gateway.streams.note_begun(told, origin)
            await until(lambda: told in other.table.entries)
            note_origin(other.table, asked, origin, read_steady())
            assert await d.gateway.streams.find(asked) == origin
            link.close()
            assert await d.gateway.streams.find(make_stream_key("", "c")) is None
            measured = d.gateway._list_measured()
            update_gauges(d.gateway.metrics, measured, read_steady())
            page = format_metrics(d.gateway.metrics.registry).decode()
            for line in ("known 2.0", "begun 1.0", "asked 2.0", "unknown 1.0"):
                assert f"robinspindle_streams_{line}" in page

    run(scenario())


def test_a_peers_load_counts_until_the_peer_times_out(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("p1", "lm", "prefill")
            engine = d.gateway.fleet.find_engine_of("p1")
            await introduce(d, "gateway-2")
            digest = Digest(
                "gateway-2",
                1.0,
                1,
                [TargetLoad("p1", 2, [0, 50] + [0] * (LEVELS - 2), 1)],
                [Placement("p1", [("aa", 4000)], 40), Placement("unknown", [])],
            )
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.sendto(b"no datagram of ours", (LOOPBACK, d.inner_port))
            data = encode(Datagram("gateway-2", [digest]))
            sender.sendto(data, (LOOPBACK, d.inner_port))
            sender.close()
            await until(lambda: engine.backlog_s > 0)
            assert engine.cached == {"aa": 4000}
            await until(lambda: engine.backlog_s == 0)

    run(scenario())


def test_changed_settings_are_applied_and_invalid_ones_are_not(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            gateway = d.gateway
            first = gateway.settings
            pledges = replace(first.pledges, leave_s=1.0, repeat_ratio=0.1)
            d.reread = lambda: replace(first, pledges=pledges)
            gateway.reload()
            assert gateway.settings.pledges.leave_s == 1.0
            assert gateway.budget.ratio == 0.1
            assert gateway.directory.missing_grace_s < 0.5

            def fail():
                raise InvalidDocumentError([Finding("f", "", "Node", 0, "is required")])

            d.reread = fail
            gateway.reload()
            assert gateway.settings.pledges.leave_s == 1.0

    run(scenario())


def test_a_change_of_the_settings_is_applied_without_a_reload(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = d.gateway.settings
            changed = replace(first, pledges=replace(first.pledges, lease_s=9.0))
            d.reread = lambda: changed
            await until(lambda: d.gateway.settings.pledges.lease_s == 9.0)
            assert d.gateway.orderer.authority.lease_s == 9.0

    run(scenario())


def test_the_speed_that_a_peer_measured_is_believed_and_shown(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("p1", "lm", "prefill")
            gateway = d.gateway
            gateway.fleet.shares_speeds = True
            engine = gateway.fleet.find_engine_of("p1")
            await introduce(d, "gateway-2")
            speeds = [SpeedSums("p1", 15, [400])]
            digest = Digest("gateway-2", 1.0, 1, [], [], speeds=speeds)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                data = encode(Datagram("gateway-2", [digest]))
                sender.sendto(data, (LOOPBACK, d.inner_port))
            await until(lambda: engine.slowness > 2.0)
            update_gauges(gateway.metrics, gateway._list_measured(), read_steady())
            page = format_metrics(gateway.metrics.registry).decode()
            assert 'robinspindle_target_slowness{target="p1"} 3.' in page
            # What a silent peer told is dropped with it.
            await until(lambda: engine.slowness == pytest.approx(1.0, abs=0.01))

    run(scenario())
