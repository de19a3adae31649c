import asyncio
from types import SimpleNamespace

from robinspindle.core import silence
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.heldbytes import HeldBytes
from robinspindle.core.silence import ExpectedResponse
from robinspindle.core.targets import Announcement, Target
from robinspindle.httpclient import Exchange
from robinspindle.passing import Answer, pass_body, read_refusal
from robinspindle.replies import Reply

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


class Outlet:
    """A caller that takes nothing."""

    is_stopping = False
    is_closed_by_caller = False

    def __init__(self):
        self.unsent_bytes = 0
        self.on_pause = self.on_resume = None

    def set_flow(self, on_pause, on_resume):
        self.on_pause, self.on_resume = on_pause, on_resume

    def write(self, data):
        self.unsent_bytes += len(data)
        if self.on_pause is not None:
            self.on_pause()

    def finish_reply(self, keep):
        pass


class Connection:
    """Knows whether it is read."""

    is_paused = False

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False


def test_a_connection_is_not_given_back_unread_after_a_whole_body():
    """The next answer on it waited for the slow caller of the answer before."""
    account = HeldBytes(max_bytes=1.0)
    means = SimpleNamespace(
        clock=lambda: 0.0, held=account, log=lambda *args, **values: None
    )
    target = Target(Announcement("i1", "push", "127.0.0.1:1", "a", 1))
    expected = ExpectedResponse(since=0.0, silent_after_s=1.0, lost_after_s=2.0)
    outlet, connection = Outlet(), Connection()
    reply = Reply(outlet, keep=True)
    permit = SimpleNamespace(workspace=None)
    passage = SimpleNamespace(
        request=SimpleNamespace(id="r1"),
        reply=reply,
        permit=permit,
        is_superseded=False,
        hedge=None,
        break_rival=None,
    )

    async def play():
        exchange = Exchange("")
        exchange.put(b"x" * 100)
        exchange.is_whole = True
        head = AnswerHead(200, b"OK", (), "r1", False, "", True, None)
        answer = Answer(target, head, exchange, connection, expected)
        await pass_body(means, passage, answer)

    asyncio.run(play())
    assert account.total >= 100
    assert not connection.is_paused
    # Another request may use the connection by now.
    outlet.on_pause()
    assert not connection.is_paused
    outlet.on_resume()
    assert not account.total
