"""Which versions may have begun streams, by the records in the store."""

import asyncio

import pytest

from fuzz.virtualtime import VirtualSelector, run_virtually
from robinspindle.core.routes import Backend, CallerLimits, Route, make_table
from robinspindle.core.targets import Announcement, Directory, apply_announcement
from robinspindle.core.versionhistory import note_listed
from robinspindle.core.versionrecords import (
    APART_S,
    FORGET_MARGIN_S,
    STREAM_TIME_LIMITS,
    ServiceVersion,
    Use,
    VersionRecord,
    decode_record,
    encode_record,
    make_key,
    read_key,
)
from robinspindle.exceptions import LogConflictError, LogUnavailableError
from robinspindle.fleet import Fleet
from robinspindle.following import Follower, note_new_era
from robinspindle.platform.dialect import decode_answer
from robinspindle.storerecords import KeyedRecord, Records
from robinspindle.versionkeeping import VersionKeeper
from robinspindle.versionwriting import VersionWriter

TOPIC = "keyed.gateways"
LIMIT_S = 5.0
V1, V2 = ServiceVersion("lm", "v1"), ServiceVersion("lm", "v2")
INTRODUCTION = KeyedRecord("gateway-1", b"127.0.0.1:9 zone-b 1")


class KeyedStore:
    """A store with one keyed topic.

    Attributes:
        records: All records.
        era: Its era.
        is_away: Whether it refuses writes.
        writes: Writes so far.
        note_write: Called after each write.
        note_read: Called in the middle of each read.
    """

    def __init__(self):
        self.records = []
        self.era = 1
        self.note_read = lambda: None
        self.is_away = False
        self.writes = 0
        self.note_write = lambda: None

    @property
    def newest(self):
        """The newest value of each key."""
        return {item.key: item.value for item in self.records}

    def restore(self, records):
        """Return from a copy, in a new era."""
        self.records, self.era = records, self.era + 1

    def put(self, version, use=Use.BEGINS, era=1):
        value = encode_record(VersionRecord(use, era))
        self.records.append(KeyedRecord(make_key(version), value))

    async def read_from(self, topic, offset, wait_s):
        await asyncio.sleep(0)
        items, end = tuple(self.records[offset:]), len(self.records)
        self.note_read()
        return Records(items, offset + len(items), end)

    async def append_keyed(self, topic, key, value, expected_end=None):
        await asyncio.sleep(0)
        self.writes += 1
        if self.is_away:
            raise LogUnavailableError("busy")
        if expected_end not in (None, len(self.records)):
            raise LogConflictError(len(self.records))
        self.records.append(KeyedRecord(key, value or None))
        offset = len(self.records) - 1
        self.note_write()
        return offset


class Gateway:
    """What a gateway keeps of versions.

    Attributes:
        now: The present time, seconds.
        told: The services with several versions that it was told of.
        is_store_lost_for_any: Whether a gateway that is heard has lost the store.
    """

    def __init__(self, store, services=("lm",), count=1):
        self.now = 100.0
        self.told = []
        self.is_store_lost_for_any = False
        self.fleet = Fleet(Directory(), decode_answer)
        self.fleet.table = make_stream_table(services)
        self.keeper = VersionKeeper(
            store, TOPIC, self.fleet, lambda: count, lambda: self.now, self._log
        )
        self.keeper.note_several = self.told.append
        self.writer = VersionWriter(
            self.keeper,
            store,
            TOPIC,
            self.fleet,
            lambda: count,
            lambda: self.now,
            self._log,
            lambda: self.is_store_lost_for_any,
        )
        self.follower = Follower(TOPIC, self.keeper.apply, lambda: None, lambda: None)
        self.keeper.follower = self.follower
        self._store = store

    def _log(self, text, **fields):
        """Take a log line."""

    def announce(self, lifetime, version="v1", service="lm", role=""):
        announced = Announcement(
            lifetime,
            service,
            "127.0.0.1:1",
            "a",
            1,
            software_version=version,
            role=role,
        )
        apply_announcement(self.fleet.directory, announced, self.now)
        note_listed(self.fleet.versions, announced, self.now)

    def read(self):
        """Read all that the store holds."""
        for item in self._store.records[self.follower.offset or 0 :]:
            self.keeper.apply(item.key, item.value)
        self.follower.offset = len(self._store.records)


def start(uses, lists=True):
    """Make a gateway that has read the records of versions, and its store.

    Args:
        uses: What the store holds, by version.
        lists: Whether a target of the first version is listed.
    """
    store = KeyedStore()
    for version, use in uses.items():
        store.put(version, use)
    gateway = Gateway(store)
    if lists:
        gateway.announce("i1")
    gateway.read()
    return store, gateway


def list_uses(store):
    """List whether streams begin at the versions that have records."""
    return {
        read_key(key): decode_record(value).use
        for key, value in store.newest.items()
        if value is not None
    }


def make_stream_table(services, version=1):
    backends = tuple(Backend(service) for service in services)
    route = Route(
        "digest", "h", "/digest/", "stream", LIMIT_S, 1.0,
        backends=backends, resumable=True,
    )  # fmt: skip
    return make_table(version, [route], [], CallerLimits())


async def find_sole(gateway):
    return await gateway.keeper.find_sole(["lm"], LIMIT_S)


def test_a_sole_version_is_found_once_the_store_confirms_it():
    async def scenario():
        store = KeyedStore()
        store.put(V1)
        gateway = Gateway(store)
        gateway.announce("i1")
        assert await find_sole(gateway) is None
        gateway.read()
        assert await find_sole(gateway) == V1
        store.put(V2)
        assert await find_sole(gateway) is None

    asyncio.run(scenario())


def test_a_version_whose_record_can_t_be_read_may_have_begun_streams():
    async def scenario():
        store, gateway = start({V1: Use.BEGINS})
        store.records.append(KeyedRecord(make_key(V2), b'{"use":"paused","era":1}'))
        assert await find_sole(gateway) is None
        gateway.read()
        assert await find_sole(gateway) is None

    asyncio.run(scenario())


def test_no_version_is_sole_by_an_older_answer_that_is_taken_in_after_the_read():
    async def scenario():
        store = KeyedStore()
        store.put(V1)
        store.records.append(KeyedRecord(make_key(V2), None))
        gateway = Gateway(store)
        gateway.announce("i1")
        gateway.read()
        store.put(V2)
        loop = asyncio.get_running_loop()
        # The follower's own read ended before the newest record.
        store.note_read = lambda: loop.call_soon(
            gateway.keeper.apply, make_key(V2), None
        )
        assert await find_sole(gateway) is None

    asyncio.run(scenario())


def test_no_version_is_sole_by_an_offset_that_a_restored_store_gave_out_anew():
    async def scenario():
        store = KeyedStore()
        store.records += [INTRODUCTION] * 2
        store.put(V1)
        gateway = Gateway(store)
        gateway.announce("i1")
        gateway.read()
        # Another gateway records a version whose entry has not been read here yet.
        store.restore([])
        store.put(V2, era=2)
        store.put(V1, era=2)
        store.records.append(INTRODUCTION)
        note_new_era(gateway.follower)
        await gateway.writer.write_due(gateway.now)
        assert await find_sole(gateway) is None

    asyncio.run(scenario())


def test_no_version_is_sole_by_a_read_during_which_the_store_was_restored():
    async def scenario():
        store, gateway = start({V1: Use.BEGINS})

        def restore():
            store.restore([])
            note_new_era(gateway.follower)
            value = encode_record(VersionRecord(Use.BEGINS, 2))
            gateway.keeper.apply(make_key(V1), value)

        store.note_read = restore
        assert await find_sole(gateway) is None

    asyncio.run(scenario())


def test_no_record_is_dropped_by_an_offset_of_an_earlier_era():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        store.restore([])
        store.put(V1, era=2)
        note_new_era(gateway.follower)
        gateway.now += 1000.0
        await gateway.writer.write_due(gateway.now)
        assert store.newest[make_key(V1)] is not None

    asyncio.run(scenario())


def test_a_version_whose_record_a_restore_lost_is_recorded_again_and_not_forgotten():
    async def scenario():
        store, gateway = start({V1: Use.BEGINS, V2: Use.RETIRED})
        store.restore([])
        gateway.keeper.apply(make_key(V1), None)
        gateway.keeper.apply(make_key(V2), None)
        await gateway.writer.write_due(gateway.now)
        later = Gateway(store)
        later.announce("i1")
        later.read()
        assert await find_sole(later) is None
        assert list_uses(store) == {V1: Use.BEGINS, V2: Use.RETIRED}

    asyncio.run(scenario())


def test_a_record_of_an_earlier_era_is_retired_in_time():
    async def scenario():
        store, gateway = start({V1: Use.BEGINS, V2: Use.BEGINS})
        store.era += 1
        await gateway.writer.write_due(gateway.now)
        gateway.now += 1000.0
        await gateway.writer.write_due(gateway.now)
        assert list_uses(store) == {V1: Use.BEGINS, V2: Use.RETIRED}

    asyncio.run(scenario())


def test_a_record_of_an_earlier_era_is_not_written_before_the_new_ones_were_read():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        store.restore([])
        store.put(V1, era=2)
        note_new_era(gateway.follower)
        await gateway.writer.write_due(gateway.now)
        assert list_uses(store) == {V1: Use.BEGINS}

    asyncio.run(scenario())


def test_a_record_that_another_gateway_drops_is_forgotten():
    gateway = Gateway(KeyedStore())
    gateway.keeper.apply(make_key(V1), encode_record(VersionRecord(Use.RETIRED, 1)))
    gateway.keeper.apply(make_key(V1), None)
    assert gateway.keeper.records.noted == {}


async def look_after(gateway, seconds, hears_all):
    """Let time pass and have what is due written meanwhile."""
    gateway.fleet.hears_all_gateways = hears_all
    for _ in range(round(seconds)):
        gateway.now += 1.0
        await gateway.writer.write_due(gateway.now)
        gateway.read()


def test_no_record_is_dropped_while_gateways_apart_may_begin_streams_by_it():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        kept_s = STREAM_TIME_LIMITS * LIMIT_S + FORGET_MARGIN_S
        await look_after(gateway, 3 * kept_s, hears_all=False)
        assert list_uses(store) == {V1: Use.RETIRED}
        await look_after(gateway, kept_s - 1.0, hears_all=True)
        assert list_uses(store) == {V1: Use.RETIRED}
        await look_after(gateway, 3.0, hears_all=True)
        assert list_uses(store) == {}

    asyncio.run(scenario())


def test_no_record_is_dropped_while_a_gateway_that_is_heard_has_lost_the_store():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        kept_s = STREAM_TIME_LIMITS * LIMIT_S + FORGET_MARGIN_S
        gateway.is_store_lost_for_any = True
        await look_after(gateway, 3 * kept_s, hears_all=True)
        assert list_uses(store) == {V1: Use.RETIRED}
        gateway.is_store_lost_for_any = False
        await look_after(gateway, kept_s - 1.0, hears_all=True)
        assert list_uses(store) == {V1: Use.RETIRED}
        await look_after(gateway, 3.0, hears_all=True)
        assert list_uses(store) == {}

    asyncio.run(scenario())


def test_no_record_is_dropped_after_a_pause_in_which_gateways_may_have_been_apart():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        kept_s = STREAM_TIME_LIMITS * LIMIT_S + FORGET_MARGIN_S
        gateway.now += 3 * kept_s
        gateway.writer.note_pause(gateway.now)
        await look_after(gateway, kept_s - 1.0, hears_all=True)
        assert list_uses(store) == {V1: Use.RETIRED}
        await look_after(gateway, 3.0, hears_all=True)
        assert list_uses(store) == {}

    asyncio.run(scenario())


def test_a_record_that_was_retired_anew_unseen_stays_for_as_long_as_a_new_one():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        kept_s = STREAM_TIME_LIMITS * LIMIT_S + FORGET_MARGIN_S
        await look_after(gateway, kept_s - 2.0, hears_all=True)
        # Only the newest record is read; there were others meanwhile.
        store.put(V1, Use.BEGINS)
        store.put(V1, Use.RETIRED)
        gateway.keeper.apply(make_key(V1), store.newest[make_key(V1)])
        gateway.follower.offset = len(store.records)
        await look_after(gateway, kept_s - 2.0, hears_all=True)
        assert list_uses(store) == {V1: Use.RETIRED}
        await look_after(gateway, 4.0, hears_all=True)
        assert list_uses(store) == {}

    asyncio.run(scenario())


def test_no_record_is_dropped_that_says_again_that_streams_begin():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED, V2: Use.RETIRED}, lists=False)
        gateway.now += 1000.0

        def renew():
            store.note_write = lambda: None
            store.put(V2)
            gateway.read()

        # Another gateway writes while the first record is being dropped.
        store.note_write = renew
        await gateway.writer.write_due(gateway.now)
        assert list_uses(store)[V2] is Use.BEGINS

    asyncio.run(scenario())


@pytest.mark.parametrize("use", [Use.BEGINS, Use.RETIRED])
def test_what_was_read_behind_an_own_write_is_not_undone_by_its_late_answer(use):
    async def scenario():
        store = KeyedStore()
        gateway = Gateway(store)
        if use is Use.RETIRED:
            store.put(V1, use)
        else:
            gateway.announce("i1")
        gateway.read()
        gateway.now += 1000.0

        def write_and_read():
            store.note_write = lambda: None
            other = Use.RETIRED if use is Use.BEGINS else Use.BEGINS
            store.put(V1, other)
            gateway.read()

        store.note_write = write_and_read
        await gateway.writer.write_due(gateway.now)
        noted = gateway.keeper.records.noted
        uses = {version: known.record.use for version, known in noted.items()}
        assert uses == list_uses(store)

    asyncio.run(scenario())


def test_a_record_is_dropped_in_the_end_though_gateways_are_gone_for_good():
    async def scenario():
        store, gateway = start({V1: Use.RETIRED}, lists=False)
        kept_s = STREAM_TIME_LIMITS * LIMIT_S + FORGET_MARGIN_S
        await look_after(gateway, kept_s + APART_S + 2.0, hears_all=False)
        assert list_uses(store) == {}

    asyncio.run(scenario())


@pytest.mark.parametrize("count", [1, 4, 420])
def test_gateways_that_write_in_vain_don_t_press_the_store_together(count, seconds=60):
    selector = VirtualSelector()
    store = KeyedStore()
    store.is_away = True
    gateway = Gateway(store, count=count)
    gateway.announce("i1")

    async def scenario():
        task = asyncio.create_task(gateway.writer.run())
        await asyncio.sleep(seconds)
        task.cancel()

    run_virtually(scenario(), selector)
    assert 0 < store.writes * count <= 100 * seconds


def test_streams_under_way_are_kept_once_another_service_of_their_route_has_a_version():
    gateway = Gateway(KeyedStore(), ("lm", "lm2"))
    value = encode_record(VersionRecord(Use.BEGINS, 1))
    gateway.keeper.apply(make_key(V1), value)
    assert gateway.told == []
    gateway.keeper.apply(make_key(ServiceVersion("lm2", "v1")), value)
    assert sorted(gateway.told) == ["lm", "lm2"]


def test_streams_under_way_are_kept_once_their_route_is_split():
    gateway = Gateway(KeyedStore())
    value = encode_record(VersionRecord(Use.BEGINS, 1))
    gateway.keeper.apply(make_key(V1), value)
    gateway.keeper.apply(make_key(ServiceVersion("lm2", "v1")), value)
    assert gateway.told == []
    gateway.fleet.table = make_stream_table(("lm", "lm2"), 2)
    gateway.keeper.note_configured()
    assert sorted(gateway.told) == ["lm", "lm2"]
    gateway.keeper.note_configured()
    assert len(gateway.told) == 2


def test_streams_under_way_are_kept_once_a_second_version_has_a_record():
    gateway = Gateway(KeyedStore())
    value = encode_record(VersionRecord(Use.BEGINS, 1))
    gateway.keeper.apply(make_key(V1), value)
    gateway.keeper.apply(make_key(V2), value)
    assert gateway.told == ["lm"]
    gateway.keeper.apply(make_key(V1), None)
    gateway.keeper.apply(make_key(V1), value)
    assert gateway.told == ["lm", "lm"]


def test_streams_under_way_are_kept_again_once_the_store_was_restored():
    store = KeyedStore()
    gateway = Gateway(store)
    store.put(V1)
    gateway.read()
    gateway.keeper.note_era()
    assert gateway.told == []
    store.put(V2)
    gateway.read()
    gateway.keeper.note_era()
    assert gateway.told == ["lm", "lm"]


def test_a_stream_waits_for_the_first_version_that_generates():
    """Guards against streams without a target, where a version only prefills so far."""

    async def play():
        store = KeyedStore()
        gateway = Gateway(store)
        gateway.announce("p1", "v2", role="prefill")
        gateway.announce("d1", "v1", role="decode")
        gateway.keeper.note(V2, VersionRecord(Use.BEGINS, 1))
        waiting = asyncio.create_task(gateway.keeper.await_first(["lm"]))
        await asyncio.sleep(0)
        assert not waiting.done()
        gateway.keeper.note(V1, VersionRecord(Use.BEGINS, 1))
        await waiting

    asyncio.run(play())
