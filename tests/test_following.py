import asyncio
from dataclasses import dataclass

from robinspindle.following import Follower, follow


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
