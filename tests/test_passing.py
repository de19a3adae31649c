import asyncio
from types import SimpleNamespace

from robinspindle.core import silence
from robinspindle.core.silence import ExpectedResponse
from robinspindle.core.targets import Announcement, Target
from robinspindle.httpclient import Exchange
from robinspindle.passing import Answer, read_refusal

PIECE_S = 0.5
"""Between two pieces, seconds: less than the shortest silence that is noticed."""


def test_a_body_that_takes_long_to_arrive_is_no_silence_and_not_lost():
    """It was asked for again elsewhere 0.8 s after it had been sent."""
    left, times = [], iter(PIECE_S * n for n in range(20))
    expected = ExpectedResponse(
        since=0.0,
        silent_after_s=silence.find_first_event_timeout(0.0),
        abandon=lambda: left.append("left"),
        lost_after_s=silence.find_lost_timeout(0.0),
    )
    target = Target(Announcement("i1", "push", "127.0.0.1:1", "a", 1))
    target.liveness.expected.add(expected)
    now = 0.0

    def clock():
        nonlocal now
        # Housekeeping looks just before each piece is noted.
        now = next(times)
        assert not silence.is_overdue(target.liveness, now)
        for leave in silence.list_lost_callbacks(target.liveness, now):
            leave()
        return now

    async def play():
        exchange = Exchange("")
        answer = Answer(target, None, exchange, None, expected)
        reading = asyncio.create_task(
            read_refusal(SimpleNamespace(clock=clock), answer)
        )
        for _ in range(6):
            exchange.put(b"x")
            exchange.wake()
            while exchange._chunks:
                await asyncio.sleep(0)
        exchange.is_whole = True
        exchange.wake()
        assert await reading == b"xxxxxx"

    asyncio.run(play())
    assert now > expected.lost_after_s
    assert not left
