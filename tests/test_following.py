import asyncio
from dataclasses import dataclass

from robinspindle.exceptions import LogUnavailableError
from robinspindle.following import MOST_PAUSE_S, WAIT_S, Follower, follow
from robinspindle.platform.store import CALL_TIMEOUT_S

CONTACT_S = 3.0
"""How soon after a trouble of the store a gateway is held to what the store says,
seconds: the shortest of the users' deployments."""


@dataclass(frozen=True)
class Found:
    items: tuple
    end: int


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
