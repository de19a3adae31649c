import asyncio

import pytest

from soak.ends import DEADLINE_S, LATE_SHARE, End, EndAccount, ask
from soak.oracle import expect_answer
from standins.rawhttp import RawServer, reset, write_answer, write_half

BODY = expect_answer("r-1", "safe")


async def answer_whole(request, writer):
    write_answer(writer, 200, BODY)
    return False


async def answer_other(request, writer):
    write_answer(writer, 200, b"whose body is this")
    return False


async def refuse(request, writer):
    write_answer(writer, 503, b"busy")
    return False


async def break_off(request, writer):
    write_half(writer, 200, BODY)
    return False


async def break_stream_off(request, writer):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head + b"4\r\nid: \r\n")
    return False


async def reset_at_once(request, writer):
    reset(writer)
    return False


@pytest.mark.parametrize(
    ("answer", "end"),
    [
        (answer_whole, End.WHOLE),
        (answer_other, End.WRONG),
        (refuse, End.REFUSED),
        (break_off, End.CLOSED),
        (break_stream_off, End.CLOSED),
        (reset_at_once, End.CLOSED),
    ],
)
def test_a_caller_tells_the_ends_of_requests_apart(answer, end):
    async def scenario():
        server = RawServer(answer)
        await server.start()
        data = b"POST /safe/x HTTP/1.1\r\n\r\n"
        found = await ask(server.port, data, "r-1", "safe")
        await server.stop()
        return found

    assert asyncio.run(scenario()) is end


def test_a_close_is_excused_only_after_most_of_the_time_was_used():
    account = EndAccount()
    for used_s in (0.1, LATE_SHARE * DEADLINE_S):
        account.note("r-1", "once", End.CLOSED, used_s)
    assert account.closed == [("once r-1", 0.1)]
    assert account.count(End.CLOSED) == account.count(End.EXCUSED) == 1


def test_ends_beside_changes_and_apart_from_them_are_counted_by_themselves():
    account = EndAccount()
    account.note("r-1", "safe", End.WHOLE, 0.1)
    account.is_beside = True
    account.note("r-2", "safe", End.REFUSED, 0.1)
    account.note("r-3", "once", End.REFUSED, 0.1)
    assert account.count(End.REFUSED, is_beside=True) == 2
    assert account.count(End.REFUSED, is_beside=False) == 0
    assert account.count(End.WHOLE) == 1
