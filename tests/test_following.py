import asyncio
from dataclasses import dataclass

from robinspindle.exceptions import LogUnavailableError
from robinspindle.following import MOST_PAUSE_S, WAIT_S, Follower, follow
from robinspindle.platform.store import CALL_TIMEOUT_S

CONTACT_S = 3.0
"""How soon after a trouble of the store a gateway is held to what the store says,
seconds: the shortest of the users' deployments."""


@dataclass(frozen=True)
class Record:
    value: bytes
    key: str = "config"


@dataclass(frozen=True)
class Found:
    items: tuple
    end: int
    topic_end: int = 0


class Store:
    """Counts reads and has nothing new."""

    calls = 0

    async def read_newest(self, topic):
        return Found((), 0)

    async def read_on(self, topic, offset, wait_s):
        self.calls += 1
        return Found((), 0)


def test_the_rest_between_two_reads_is_asked_for_anew_each_time():
    """A reload of the settings may change it."""
    rests = iter([0.0, 0.0, 0.0, 3600.0])
    store = Store()

    async def play():
        follower = Follower(
            "t", lambda key, value: None, lambda: None, lambda: None, rests.__next__
        )
        task = asyncio.create_task(follow(store, follower, lambda *a, **k: None))
        for _ in range(100):
            await asyncio.sleep(0)
        assert not task.done()
        task.cancel()

    asyncio.run(play())
    assert store.calls == 3


class FailingStore(Store):
    """Answers no more after the first poll, for a while.

    Attributes:
        waits: How long each poll asked to be held, seconds.
    """

    def __init__(self, failures):
        self.waits = []
        self._failures = failures

    async def read_on(self, topic, offset, wait_s):
        self.waits.append(wait_s)
        if 1 < len(self.waits) <= 1 + self._failures:
            raise LogUnavailableError("silent")
        if len(self.waits) > 2 + self._failures:
            await asyncio.Event().wait()
        return Found((), 0)


def test_a_store_that_was_lost_is_asked_without_a_wait_until_it_answers():
    store = FailingStore(failures=2)

    async def play():
        follower = Follower("t", lambda *_: None, lambda: None, lambda: None)
        task = asyncio.create_task(follow(store, follower, lambda *a, **k: None))
        while len(store.waits) < 5:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())
    assert store.waits == [WAIT_S, WAIT_S, 0.0, 0.0, WAIT_S]


def test_a_store_that_is_back_is_read_before_a_gateway_is_held_to_it():
    """A call sent just before the return may be lost, and is waited for in full."""
    assert CALL_TIMEOUT_S + MOST_PAUSE_S + CALL_TIMEOUT_S < CONTACT_S


class GrownStore(Store):
    """Keeps a record of one key that is written often; a read brings one record.

    Attributes:
        reads: What was read, in turn.
    """

    def __init__(self, records):
        self.reads = []
        self._end = records

    async def read_newest(self, topic):
        self.reads.append("newest")
        return Found((Record(str(self._end).encode()),), self._end)

    async def read_on(self, topic, offset, wait_s):
        if offset == self._end:
            await asyncio.Event().wait()
        self.reads.append(offset)
        return Found((Record(str(offset + 1).encode()),), offset + 1, self._end)


def follow_from_the_start(store, applied):
    """Follow a store of which only the first record is known."""

    async def play():
        async def read_first(topic):
            store.read_newest = read_newest
            return Found((), 0)

        read_newest, store.read_newest = store.read_newest, read_first
        follower = Follower("t", lambda _, value: applied.append(value), *[do] * 2)
        task = asyncio.create_task(follow(store, follower, lambda *a, **k: None))
        for _ in range(100):
            await asyncio.sleep(0)
        task.cancel()

    def do():
        pass

    asyncio.run(play())


def test_who_is_behind_reads_the_newest_and_not_what_it_replaced():
    """Over a slow link each version takes seconds, and only the last one counts."""
    store, applied = GrownStore(12), []
    follow_from_the_start(store, applied)
    assert store.reads == [0, "newest"]
    assert applied == [b"1", b"12"]


def test_who_is_one_record_behind_reads_on():
    """The newest records of all keys would be more than the one that is missing."""
    store, applied = GrownStore(2), []
    follow_from_the_start(store, applied)
    assert store.reads == [0, 1]
    assert applied == [b"1", b"2"]
