import asyncio
from contextlib import asynccontextmanager

from robinspindle.callerlimits import CallerLimits, Relief
from robinspindle.core.calleraccount import CallerAccount
from robinspindle.core.forwarding import Refusal
from robinspindle.httpserver import CallerServer
from robinspindle.requestparser import PIECE_BYTES, Limits, RequestParser

TIMEOUT_S = 10.0
"""Time after which a test that hangs fails, seconds."""

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nX-Id: %d\r\nContent-Length: 100000\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Served:
    """A server whose handler waits for a gate, with an account of its own."""

    def __init__(self, **bounds):
        self.now = 0.0
        self.gate = asyncio.Event()
        self.reliefs = []
        self.refused = []
        self.handled = 0
        self.limits = CallerLimits(
            CallerAccount(**bounds), lambda: self.now, self.reliefs.append
        )
        self.server = CallerServer(
            self._handle,
            Limits(),
            lambda: self.now,
            callers=self.limits,
            note_refused=self.refused.append,
        )

    async def _handle(self, incoming, reply):
        self.handled += 1
        await self.gate.wait()
        reply.refuse(Refusal(404, "no-route"))

    async def open(self):
        address = self.server._server.sockets[0].getsockname()
        return await asyncio.open_connection(*address)

    async def send(self, data, until):
        """Send on a new connection, and wait until the account has heard of it."""
        reader, writer = await self.open()
        writer.write(data)
        while not until():
            await asyncio.sleep(0.001)
        return reader, writer

    @property
    def held(self):
        return self.limits.account.total_bytes


@asynccontextmanager
async def serve(**bounds):
    served = Served(**bounds)
    await served.server.start("127.0.0.1", 0)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield served
    finally:
        for connection in list(served.server.connections):
            connection.abort()
        served.server.close_listener()


def test_who_is_refused_while_it_sends_gets_a_promise_and_when_to_come_back():
    async def scenario():
        async with serve(max_bytes=150_000) as served:
            stalled, first = await served.send(
                HEAD % 1 + b"s" * 90_000, lambda: served.held > 90_000
            )
            served.now = 2.0
            _, second = await served.send(
                HEAD % 2 + b"f" * 90_000, lambda: served.reliefs
            )
            answer = await stalled.read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: 1" in answer
            assert b"Connection: close" in answer
            assert served.reliefs == [Relief.REFUSED]
            assert dict(served.refused[0])[b"X-Id"] == b"1"
            # The other one is still served.
            served.gate.set()
            second.write(b"f" * 10_000)
            while not served.handled:
                await asyncio.sleep(0.001)
            assert served.handled == 1
            first.close()

    asyncio.run(scenario())


def test_the_rest_of_a_refused_request_is_dropped_and_not_run():
    async def scenario():
        async with serve(max_bytes=50_000) as served:
            reader, writer = await served.send(
                HEAD % 1 + b"s" * 60_000, lambda: served.reliefs
            )
            writer.write(b"s" * 40_000 + REQUEST)
            answer = await reader.read()
            assert answer.count(b"HTTP/1.1") == 1
            assert served.handled == 0
            assert served.held < 50_000

    asyncio.run(scenario())


def test_an_answer_under_way_ends_whole_though_what_came_behind_it_is_dropped():
    async def scenario():
        async with serve(max_bytes=30_000) as served:
            reader, writer = await served.open()
            writer.write(REQUEST)
            while not served.handled:
                await asyncio.sleep(0.001)
            writer.write(REQUEST * 2000)
            while not served.reliefs:
                await asyncio.sleep(0.001)
            served.gate.set()
            answers = await reader.read()
            assert answers.count(b"HTTP/1.1 404 ") == 1
            assert b"Connection: close" in answers
            assert answers.endswith(b"no-route\n")
            assert served.reliefs == [Relief.SHORTENED]
            assert served.handled == 1

    asyncio.run(scenario())


def test_a_new_connection_takes_the_place_of_the_eldest_that_rests():
    async def scenario():
        async with serve(max_connections=2) as served:
            eldest, _ = await served.open()
            while len(served.server.connections) < 1:
                await asyncio.sleep(0.001)
            served.now = 1.0
            other, other_writer = await served.open()
            reader, writer = await served.send(REQUEST, lambda: served.handled)
            assert await eldest.read() == b""
            served.gate.set()
            other_writer.write(REQUEST)
            assert b" 404 " in await other.readline()
            assert b" 404 " in await reader.readline()

    asyncio.run(scenario())


def test_requests_wait_while_answers_to_earlier_ones_are_not_read():
    """Answers of our own were written without end to callers that read none."""

    async def answer(incoming, reply):
        counted.append(incoming)
        reply.begin(200, b"OK", (), 100_000)
        reply.write(b"a" * 100_000)
        reply.end()

    counted = []

    async def scenario():
        server = CallerServer(answer, Limits(), lambda: 0.0)
        await server.start("127.0.0.1", 0)
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address, limit=1)
        writer.write(REQUEST * 500)
        async with asyncio.timeout(TIMEOUT_S):
            while not any(c.unsent_bytes for c in server.connections):
                await asyncio.sleep(0.001)
            waits = len(counted)
            await asyncio.sleep(0)
            assert waits < 500
            assert all(c.unsent_bytes < 1_000_000 for c in server.connections)
            received = 0
            while received < 500 * 100_000:
                answers = await reader.read(1 << 20)
                assert answers, "closed"
                received += len(answers)
        assert len(counted) == 500
        writer.close()
        server.close_listener()

    asyncio.run(scenario())


def test_requests_in_pieces_behind_an_unread_answer_keep_their_order():
    served = []

    async def answer(incoming, reply):
        served.append(incoming.target)
        # More comes meanwhile, and is kept.
        await asyncio.sleep(0.005)
        reply.begin(200, b"OK", (), 1_000_000)
        reply.write(b"a" * 1_000_000)
        reply.end()

    async def scenario():
        server = CallerServer(answer, Limits(), lambda: 0.0)
        await server.start("127.0.0.1", 0)
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address, limit=1)
        paths = [b"/%d" % number for number in range(30)]
        data = b"".join(REQUEST.replace(b"/", path, 1) for path in paths)
        async with asyncio.timeout(TIMEOUT_S):
            for start in range(0, len(data), 7):
                writer.write(data[start : start + 7])
                await asyncio.sleep(0.0005)
            received = 0
            while received < len(paths) * 1_000_000:
                answers = await reader.read(1 << 20)
                assert answers, "closed"
                received += len(answers)
        assert served == paths
        writer.close()
        server.close_listener()

    asyncio.run(scenario())


def test_all_is_counted_off_when_callers_leave():
    async def scenario():
        async with serve() as served:
            _, coming = await served.send(
                HEAD % 1 + b"s" * 90_000, lambda: served.held > 90_000
            )
            _, running = await served.send(REQUEST * 100, lambda: served.handled)
            coming.close()
            running.close()
            while served.server.connections:
                await asyncio.sleep(0.001)
            assert served.held == 0
            assert not served.limits.account.holdings

    asyncio.run(scenario())


def test_a_request_whose_caller_left_before_it_was_begun_is_counted_off():
    async def scenario():
        async with serve() as served:
            _, writer = await served.open()
            while not served.server.connections:
                await asyncio.sleep(0.001)
            connection = next(iter(served.server.connections))
            connection.data_received(REQUEST)
            connection.connection_lost(None)
            await asyncio.sleep(0)
            assert served.handled == 0
            assert served.held == 0
            writer.close()

    asyncio.run(scenario())


def test_a_body_that_is_too_long_is_refused_from_its_head_and_not_asked_for():
    """Up to the limit it was read first, and asked for where its caller waited."""
    asked = []
    parser = RequestParser(
        Limits(body_bytes=1000), lambda: 0.0, lambda: asked.append(1)
    )
    head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
    assert parser.feed(head % 1001) == 413
    assert not asked
    parser = RequestParser(
        Limits(body_bytes=1000), lambda: 0.0, lambda: asked.append(1)
    )
    assert parser.feed(head % 1000) is None
    assert asked


def test_a_body_in_the_shortest_chunks_takes_no_more_memory_than_in_one():
    """Each chunk was an object of its own: forty times its length."""
    parser = RequestParser(Limits(), lambda: 0.0, lambda: None)
    parser.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    parser.feed(b"2\r\nab\r\n" * 100_000)
    assert len(parser._body) <= 200_000 / PIECE_BYTES
    parser.feed(b"0\r\n\r\n")
    assert bytes(parser.take().body) == b"ab" * 100_000
    assert parser.held_bytes == 0
