"""Who began which stream, among gateways in virtual time."""

import asyncio

import pytest

from robinspindle.core.relays import GROUP_MEMBERS, Member
from robinspindle.core.streamorigins import ORIGIN_LIFE_S, choose_asked
from robinspindle.originlink import MOST_TELLS, Answer, Ask, Tells, encode, make_tell
from robinspindle.originlog import WRITES_PER_S, decode
from robinspindle.peers import Peers, note_member
from robinspindle.streammemory import ASK_AGAIN_S, ASK_LIMIT_S, MOST_ASKS
from tests.originfleet import TRANSIT_S, OriginFleet, make_origin, name_stream

SETTLE_S = 1.0
ORIGIN = make_origin(1)
KEY = name_stream(1)


async def begin(fleet, key=KEY):
    """Have a stream begin at the first gateway, and another one not know it yet."""
    fleet.nodes[0].memory.note_begun(key, ORIGIN)
    await asyncio.sleep(SETTLE_S)
    asker = fleet.nodes[1]
    asker.memory.table.entries.clear()
    return asker, fleet.selector.now


def measure_found(count, lost_share, killed_share, is_noticed, streams=500):
    """Kill gateways at once; return the share of streams that others then find."""
    fleet = OriginFleet(count, lost_share)
    rng, finds = fleet.rng, []

    async def play():
        for number in range(streams):
            teller = fleet.nodes[number % count].memory
            teller.note_begun(name_stream(number), make_origin(number % 9))
        await asyncio.sleep(SETTLE_S)
        killed = rng.sample(fleet.nodes, round(killed_share * count))
        living = [node for node in fleet.nodes if node not in killed]
        for node in killed:
            node.is_cut = True
        for node in living if is_noticed else []:
            node.hear(living)
        for number in range(streams):
            others = set(living) - {fleet.nodes[number % count]} or living
            asker = rng.choice(sorted(others, key=lambda node: node.member.name))
            finds.append(asker.memory.find(name_stream(number)))
        found = await asyncio.gather(*finds)
        assert all(o in (None, make_origin(n % 9)) for n, o in enumerate(found))
        return sum(origin is not None for origin in found) / streams

    return fleet.play(play())


@pytest.mark.parametrize("is_noticed", [False, True])
@pytest.mark.parametrize("count", [1, 4, 23, 420])
def test_most_streams_are_found_after_60_of_100_gateways_were_killed(count, is_noticed):
    assert measure_found(count, 0.02, 0.6 if count > 1 else 0.0, is_noticed) > 0.7


@pytest.mark.parametrize("count", [4, 23, 420])
def test_nearly_all_streams_are_found_though_datagrams_are_lost(count):
    assert measure_found(count, 0.05, 0.0, False) > 0.99


@pytest.mark.parametrize(("count", "rate"), [(4, 60), (23, 400), (420, 2300)])
def test_each_stream_costs_less_than_160_bytes(count, rate):
    """Under 1 KB/s a gateway at 420; IP and UDP add 28 bytes to each datagram."""
    fleet = OriginFleet(count)

    async def play():
        for number in range(2 * rate):
            teller = fleet.rng.choice(fleet.nodes).memory
            teller.note_begun(name_stream(number), make_origin(number % 680))
            await asyncio.sleep(1.0 / rate)

    fleet.play(play())
    sizes = [size for node in fleet.nodes for size in node.sizes]
    per_s = 1.0 / (2 * count)
    print(
        f"{count}: {sum(sizes) * per_s:.0f} bytes, {len(sizes) * per_s:.1f} datagrams"
    )
    assert sum(sizes) < 160 * 2 * rate


def test_streams_that_begin_together_are_told_together_in_packets():
    fleet = OriginFleet(4)

    async def play():
        for number in range(100):
            fleet.nodes[0].memory.note_begun(name_stream(number), ORIGIN)
        await asyncio.sleep(SETTLE_S)

    fleet.play(play())
    assert len(fleet.nodes[0].sizes) == 3 * -(-100 // MOST_TELLS)
    assert max(fleet.nodes[0].sizes) < 1_400
    assert all(len(node.memory.table.entries) == 100 for node in fleet.nodes)


def test_an_unknown_stream_is_given_up_once_all_that_are_heard_have_answered():
    fleet = OriginFleet(23)
    asker = fleet.nodes[0]
    for node in fleet.nodes[12:]:
        node.is_cut = True
    asker.hear(fleet.nodes[:12])
    assert fleet.play(asker.memory.find(KEY)) is None
    assert fleet.selector.now == pytest.approx(2 * TRANSIT_S)
    assert (asker.memory.counts.asked, asker.memory.counts.unknown) == (1, 1)


def let_write(fleet):
    """Have the gateways write to the store what they note."""
    return [asyncio.create_task(node.kept.run()) for node in fleet.nodes]


def choose_relays(fleet):
    """Have each group send to its first member what is to be written."""
    for number, node in enumerate(fleet.nodes):
        relay = fleet.nodes[number // GROUP_MEMBERS * GROUP_MEMBERS]
        node.peers.choice.relay = relay.member.name


@pytest.mark.parametrize("count", [1, 4, 23, 420])
def test_streams_are_found_after_all_gateways_were_killed(count, streams=300):
    fleet = OriginFleet(count, 0.02)
    later = OriginFleet(count, store=fleet.store)
    choose_relays(fleet)

    async def play():
        tasks = let_write(fleet)
        for number in range(streams):
            teller = fleet.rng.choice(fleet.nodes).memory
            teller.note_begun(name_stream(number), make_origin(number % 9), True)
            await asyncio.sleep(0.001)
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            task.cancel()
        asker = later.nodes[-1].memory
        found = [await asker.find_kept(name_stream(n)) for n in range(streams)]
        assert all(o in (None, make_origin(n % 9)) for n, o in enumerate(found))
        return sum(origin is not None for origin in found) / streams

    assert fleet.play(play()) > 0.95


def test_only_relays_write_to_the_store_and_within_its_rate(
    count=420, rate=2300, seconds=2
):
    fleet = OriginFleet(count)
    choose_relays(fleet)

    async def play():
        tasks = let_write(fleet)
        for number in range(rate * seconds):
            teller = fleet.rng.choice(fleet.nodes).memory
            teller.note_begun(name_stream(number), make_origin(number % 680), True)
            await asyncio.sleep(1.0 / rate)
        for task in tasks:
            task.cancel()

    fleet.play(play())
    first_writes = fleet.count_writers() + 1
    assert 0 < len(fleet.store.records) <= WRITES_PER_S * seconds + first_writes


@pytest.mark.parametrize("cause", ["no socket", "unknown relay"])
def test_a_gateway_that_can_t_send_to_its_relay_writes_to_the_store_itself(cause):
    fleet = OriginFleet(4)
    choose_relays(fleet)
    node = fleet.nodes[-1]
    if cause == "no socket":
        node.link.connection_made(None)
    else:
        node.peers.choice.relay = "gone"

    async def play():
        node.memory.note_begun(KEY, ORIGIN, True)
        await node.kept.write()
        (record,) = fleet.store.records
        assert [tell.key for tell in decode(record).tells] == [KEY]

    fleet.play(play())


@pytest.mark.parametrize("cause", ["relay is cut off", "relay has lost the store"])
def test_an_origin_that_its_relay_did_not_write_is_written_by_who_noted_it(cause):
    fleet = OriginFleet(4)
    choose_relays(fleet)
    relay, node = fleet.nodes[0], fleet.nodes[-1]

    async def play():
        tasks = let_write(fleet)
        if cause == "relay is cut off":
            relay.is_cut = True
        else:
            tasks.pop(0).cancel()
        node.memory.note_begun(KEY, ORIGIN, True)
        node.memory.note_begun(name_stream(2), ORIGIN, True)
        node.memory.note_whole(name_stream(2))
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            task.cancel()
        (record,) = fleet.store.records
        assert [tell.key for tell in decode(record).tells] == [KEY]

    fleet.play(play())


def test_an_origin_that_its_relay_has_written_is_written_once():
    fleet = OriginFleet(4)
    choose_relays(fleet)

    async def play():
        tasks = let_write(fleet)
        for number in range(3 * MOST_TELLS):
            fleet.nodes[-1].memory.note_begun(name_stream(number), ORIGIN, True)
        await asyncio.sleep(2 * SETTLE_S)
        for task in tasks:
            task.cancel()
        tells = [tell.key for r in fleet.store.records for tell in decode(r).tells]
        assert sorted(tells) == sorted(map(name_stream, range(3 * MOST_TELLS)))

    fleet.play(play())


def test_streams_under_way_are_kept_once_a_second_version_may_begin_some():
    fleet = OriginFleet(1)
    memory, kept = fleet.nodes[0].memory, fleet.nodes[0].kept

    async def play():
        whole, running = name_stream(1), name_stream(2)
        for key in (whole, running):
            memory.note_begun(key, ORIGIN)
        memory.note_whole(whole)
        memory.keep_running("another service")
        await kept.write()
        assert fleet.store.records == []
        memory.keep_running(ORIGIN.service)
        await kept.write()
        (record,) = fleet.store.records
        assert [tell.key for tell in decode(record).tells] == [running]

    fleet.play(play())


def test_streams_that_broke_too_long_ago_to_be_taken_up_are_not_kept():
    fleet = OriginFleet(1)
    memory, kept = fleet.nodes[0].memory, fleet.nodes[0].kept

    async def play():
        memory.note_begun(name_stream(1), ORIGIN)
        await asyncio.sleep(ORIGIN_LIFE_S + 1.0)
        memory.note_begun(name_stream(2), ORIGIN)
        memory.keep_running(ORIGIN.service)
        await kept.write()
        (record,) = fleet.store.records
        assert [tell.key for tell in decode(record).tells] == [name_stream(2)]

    fleet.play(play())


def test_frozen_gateways_are_asked_twice_and_waited_for_until_the_limit():
    fleet = OriginFleet(4)
    asker, *others = fleet.nodes
    for node in others:
        node.is_cut = True
    assert fleet.play(asker.memory.find(KEY)) is None
    assert fleet.selector.now == pytest.approx(ASK_LIMIT_S)
    assert len(asker.sizes) == 6


def test_one_answer_is_enough_also_to_the_second_ask():
    fleet = OriginFleet(4)

    async def play():
        asker, began = await begin(fleet)
        fleet.nodes[2].is_cut = fleet.nodes[3].is_cut = True
        fleet.lost_share = 1.0
        find = asyncio.ensure_future(asker.memory.find(KEY))
        await asyncio.sleep(ASK_AGAIN_S / 2)
        fleet.lost_share = 0.0
        assert await find == ORIGIN
        return fleet.selector.now - began

    assert fleet.play(play()) == pytest.approx(ASK_AGAIN_S + 2 * TRANSIT_S)


def test_finds_of_one_stream_share_an_ask_and_outlive_one_that_is_cancelled():
    fleet = OriginFleet(4)

    async def play():
        asker, _ = await begin(fleet)
        finds = [asyncio.ensure_future(asker.memory.find(KEY)) for _ in range(5)]
        await asyncio.sleep(TRANSIT_S / 2)
        finds[0].cancel()
        assert await asyncio.gather(*finds[1:]) == [ORIGIN] * 4
        assert asker.memory.counts.asked == 1

    fleet.play(play())


def test_a_flood_of_unknown_streams_leaves_nothing_and_is_unknown_beyond_the_bound():
    fleet = OriginFleet(4)
    asker, *others = fleet.nodes
    for node in others:
        node.is_cut = True

    async def play():
        keys = [name_stream(number) for number in range(MOST_ASKS + 50)]
        assert set(await asyncio.gather(*map(asker.memory.find, keys))) == {None}

    fleet.play(play())
    assert (asker.memory.counts.asked, len(asker.sizes)) == (MOST_ASKS, 6 * MOST_ASKS)
    assert not asker.memory._asks
    assert not asker.memory._asks_by_number
    assert not asker.memory.table.entries


def test_answers_that_are_late_or_of_others_or_of_another_stream_are_passed_over():
    fleet = OriginFleet(23)
    asker = fleet.nodes[0]
    names = list(asker.peers.members)
    asked = choose_asked(KEY, names, set(names))
    for node in fleet.nodes[1:]:
        node.is_cut = True

    async def play():
        find = asyncio.ensure_future(asker.memory.find(KEY))
        await asyncio.sleep(TRANSIT_S)
        for node in fleet.nodes[1:]:
            key = name_stream(2) if node.member.name in asked[:1] else KEY
            if node.member.name not in asked[1:]:
                asker.receive(encode(Answer(1, make_tell(key, ORIGIN))), node.address)
        assert await find is None
        for node in fleet.nodes[1:]:
            asker.receive(encode(Answer(1, make_tell(KEY, ORIGIN))), node.address)

    fleet.play(play())
    assert not asker.memory.table.entries


def test_a_stream_that_goes_on_is_kept_and_another_is_forgotten_by_frozen_holders():
    fleet = OriginFleet(4)

    async def play():
        await begin(fleet, name_stream(2))
        for _ in range(3):
            await begin(fleet)
            await asyncio.sleep(ORIGIN_LIFE_S * 0.7)
        memory = fleet.nodes[2].memory
        return await memory.find(KEY), await memory.find(name_stream(2))

    assert fleet.play(play()) == (ORIGIN, None)


def test_a_peer_that_tells_another_version_is_not_believed_and_logged_once():
    fleet = OriginFleet(2)
    teller, taker = fleet.nodes

    async def play():
        taker.memory.note_begun(KEY, ORIGIN)
        for _ in range(3):
            other = Tells([make_tell(KEY, make_origin(1, "v2"))])
            taker.receive(encode(other), teller.address)
        assert await taker.memory.find(KEY) == ORIGIN

    fleet.play(play())
    assert taker.logged == ["stream has another origin"]
    assert taker.memory.counts.conflicts == 3


def test_a_gateway_at_an_address_that_another_had_is_heard_under_its_own_name():
    peers = Peers(Member("g0", "10.0.0.1", 7000), 1.0)
    for name, host in (("g1", "10.0.0.2"), ("g2", "10.0.0.3"), ("g1", "10.0.0.3")):
        note_member(peers, Member(name, host, 7000))
    assert peers.names == {("10.0.0.3", 7000): "g1"}


def test_datagrams_of_strangers_and_garbage_are_refused_and_logged_once():
    fleet = OriginFleet(2)
    taker, teller = fleet.nodes
    host, port = teller.address
    good = encode(Tells([make_tell(KEY, ORIGIN)]))
    for address in [(host, port + 1), ("10.9.9.9", port)] * 2:
        taker.receive(good, address)
    garbage = [
        b"",
        b"\xff" * 60_000,
        encode(Tells([make_tell(KEY, ORIGIN)] * (MOST_TELLS + 1))),
        encode(Tells([make_tell(KEY, make_origin(1, "v" * 257))])),
        encode(Ask(1, KEY[1:])),
        encode(Ask(1, KEY + b"k")),
        encode(Ask(-1, KEY)),
    ]
    for data in garbage:
        taker.receive(data, teller.address)
    strange, unreadable = "datagram of a stranger", "datagram can't be read"
    assert taker.logged == [strange, strange, unreadable]
    assert taker.peers.refused == 4 + len(garbage)
    assert not taker.memory.table.entries
