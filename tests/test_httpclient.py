"""What a faulty target sends beside its answers reaches nobody."""

import asyncio
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.bodies import LongBody
from robinspindle.httpclient import ClientConnection, Exchange
from robinspindle.platform.dialect import decode_answer

STATUSES = (200, 400, 421, 429, 500, 503)
MOST_REQUESTS = 4


class FakeTransport:
    """Takes all that is sent at once."""

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *option):
        pass

    def abort(self):
        pass


@dataclass(frozen=True)
class Surplus:
    """An answer that belongs to no request, or to one that is answered.

    Attributes:
        status: Its status.
        age: Of how many requests before its id is; 0 for the one whose answer it comes
            beside, None for no id.
        is_marked: Whether it says that the request did not run.
        body: Its body.
    """

    status: int
    age: int | None
    is_marked: bool
    body: bytes


@dataclass(frozen=True)
class Turn:
    """One request, and what comes for it.

    Attributes:
        status: Of its answer.
        is_chunked: Whether the answer comes in chunks.
        before: What comes in its place first; none of it has its id.
        after: What comes behind it.
        cuts: Where the bytes are split.
    """

    status: int
    is_chunked: bool
    before: list[Surplus]
    after: list[Surplus]
    cuts: list[int]


def list_surplus(least_age, least=0):
    ages = st.none() | st.integers(least_age, MOST_REQUESTS)
    body = st.sampled_from([b"", b"foreign"])
    statuses = st.sampled_from(STATUSES)
    surplus = st.builds(Surplus, statuses, ages, st.booleans(), body)
    return st.lists(surplus, min_size=least, max_size=2)


turns = st.lists(
    st.builds(
        Turn,
        st.sampled_from(STATUSES),
        st.booleans(),
        list_surplus(1),
        list_surplus(0),
        st.lists(st.integers(1, 400), max_size=6),
    ),
    min_size=1,
    max_size=MOST_REQUESTS,
)


def write(status, id, body, is_marked=False, is_chunked=False):
    lines = [b"HTTP/1.1 %d Phrase" % status]
    if id:
        lines.append(b"X-Request-Id: " + id.encode())
    if is_marked:
        lines.append(b"X-Not-Executed: 1")
    if is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", b""]) + body


def write_surplus(surplus, number):
    id = "" if surplus.age is None else f"r{number - surplus.age}"
    return write(surplus.status, id, surplus.body, surplus.is_marked)


def write_turn(turn, number):
    true = write(
        turn.status, f"r{number}", b"own %d" % number, is_chunked=turn.is_chunked
    )
    parts = [write_surplus(surplus, number) for surplus in turn.before]
    parts += [true, *(write_surplus(surplus, number) for surplus in turn.after)]
    return b"".join(parts)


def split(data, cuts):
    ends = sorted({min(cut, len(data)) for cut in cuts} | {len(data)})
    return [data[a:b] for a, b in zip([0, *ends], ends, strict=False)]


@given(turns)
def test_each_request_gets_its_own_answer_beside_surplus_ones(played):
    async def play():
        connection = None
        for number, turn in enumerate(played):
            if connection is None or not connection.can_be_reused:
                connection = ClientConnection(decode_answer)
                connection.connection_made(FakeTransport())
            exchange = Exchange(f"r{number}")
            connection.send(exchange, b"request")
            for piece in split(write_turn(turn, number), turn.cuts):
                if connection.is_open:
                    connection.data_received(piece)
            head = await exchange.read_head()
            assert (head.request_id, head.status) == (f"r{number}", turn.status)
            assert await exchange.read_body() == b"own %d" % number
            if turn.before or turn.after:
                assert not connection.can_be_reused

    asyncio.run(play())


@given(list_surplus(1, least=1), st.lists(st.integers(1, 200), max_size=4))
def test_surplus_answers_alone_are_no_answer(surplus, cuts):
    async def play():
        connection = ClientConnection(decode_answer)
        connection.connection_made(FakeTransport())
        exchange = Exchange("r5")
        connection.send(exchange, b"request")
        for piece in split(b"".join(write_surplus(one, 5) for one in surplus), cuts):
            connection.data_received(piece)
        assert exchange.head is None
        assert exchange.error is None

    asyncio.run(play())


class FullTransport(FakeTransport):
    """Takes a first write, and more only where it is told to."""

    def __init__(self, connection):
        super().__init__()
        self.written = b""
        self._connection = connection

    def write(self, data):
        self.written += data
        self._connection.pause_writing()

    def set_write_buffer_limits(self, high):
        self.high = high


def test_a_long_body_is_handed_to_its_connection_as_the_target_takes_it():
    """It was copied whole for each attempt, and again where the target was slow."""

    async def play():
        connection = ClientConnection(decode_answer)
        transport = FullTransport(connection)
        connection.connection_made(transport)
        body = LongBody((b"a" * 20_000, b"b" * 20_000))
        connection.send(Exchange("r0"), b"head", body)
        assert transport.written == b"head"
        connection.resume_writing()
        assert transport.written == b"head" + b"a" * 20_000
        connection.data_received(write(200, "r0", b"early"))
        assert not connection.can_be_reused
        connection.resume_writing()
        assert transport.written == b"head" + bytes(body)

    asyncio.run(play())
