"""Whatever is answered or asked, it is decoded whole, or refused with one error."""

import asyncio
import math
import struct

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from robinspindle.core.engines import note_earlier_cache
from robinspindle.core.forwarding import Send
from robinspindle.exceptions import BadDocumentError, LogServiceError
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import ClientConnection, Exchange
from robinspindle.platform import dialect
from robinspindle.platform import store as topics
from robinspindle.platform.store import Store
from robinspindle.previews import decode_question
from robinspindle.requestparser import Limits, RequestParser
from tests.foreigngateway import (
    ForeignGateway,
    run,
)
from tests.foreigninputs import (
    EXTREME_NUMBERS,
    HEADER_VALUES,
    json_documents,
)

EXAMPLES = settings(max_examples=60)

LIFETIME = "e1@1777867435133"

MOST_STORE_CALLS = 10
"""Calls after which a client reads on for ever."""

STORE_CALL_S = 5.0

NEWEST = {"items": [{"Key": "k", "Value": "dg==", "Offset": 0}], "HasMore": 0, "End": 1}
STORE_ANSWERS = json_documents(
    NEWEST | {"HasMore": False},
    NEWEST | {"HasMore": True},
    {"Offset": 1, "End": 2},
    {"First": 1},
    {"End": 1},
) | st.builds(
    lambda end, lengths: (
        struct.pack(">QQ", end, 0)
        + b"".join(struct.pack(">I", n) + b"\x01kv" for n in lengths)
    ),
    st.sampled_from((0, 3, 2**64 - 1)),
    st.lists(st.sampled_from((0, 1, 3, 2**32 - 1)), max_size=3),
)


class AnsweringStore(Store):
    """A client whose calls all get one answer, with a bound on their number."""

    def __init__(self, status, body, headers):
        super().__init__(HostPort("127.0.0.1", 1), lambda: 0.0)
        self._pool = (status, body, headers)


async def answer_once(answer, clock, data, limits, transfer):
    """Stand for a call to a store whose pool is its one answer."""
    status, body, headers = answer
    await asyncio.sleep(0)
    return dialect.decode_answer(status, b"", headers), body


def run_call(call, status, body, headers=()):
    """Make a call to a store that gives one answer again and again."""
    store = AnsweringStore(status, body, headers)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(topics, "call_once", answer_once)
        try:
            return run(asyncio.wait_for(call(store), STORE_CALL_S))
        finally:
            assert store.calls <= MOST_STORE_CALLS


@settings(max_examples=300)
@given(STORE_ANSWERS, st.sampled_from((200, 200, 410, 412, 503)))
def test_any_answer_of_the_store_is_records_or_an_error_of_the_store(body, status):
    calls = (
        lambda store: store.read_newest("keyed.t"),
        lambda store: store.read_from("keyed.t", 0, 0.0),
        lambda store: store.append_keyed("keyed.t", "k", b"v", 1),
        lambda store: store.read_records("t", 0),
    )
    for call in calls:
        try:
            run_call(call, status, body)
        except LogServiceError as error:
            assert len(str(error)) < 500


def test_a_value_that_is_not_base64_does_not_hide_the_other_records():
    body = msgspec.json.encode(
        {
            "items": [
                {"Key": "a", "Value": "dg=="},
                {"Key": "b", "Value": "é"},
                {"Key": "c", "Value": 5},
                {"Key": "d", "Value": "dw=="},
            ],
            "HasMore": False,
            "End": 4,
        }
    )
    records = run_call(lambda store: store.read_newest("keyed.t"), 200, body)
    values = {item.key: item.value for item in records.items}
    assert (values["a"], values["d"]) == (b"v", b"w")
    assert records.end == 4


ANSWER_HEADERS = (
    *(b"Keep-Alive", b"Server-Limit", b"Retry-After", b"Store-Era", b"Content-Length"),
    *(b"X-Instance-Id", b"Server-Leaving", b"Connection", b"X-Request-Id"),
)
HEADER_NAMES = st.sampled_from(ANSWER_HEADERS)
PREFIXES = st.sampled_from((b"", b"timeout=", b"max=5, timeout="))


@settings(max_examples=200)
@given(HEADER_NAMES, PREFIXES, HEADER_VALUES, st.sampled_from((200, 421, 503, 999)))
def test_any_head_of_an_answer_is_taken_in_or_breaks_only_its_connection(
    name, prefix, value, status
):
    run(take_answers([(name, prefix + value, status)]))


def test_the_longest_numbers_in_the_heads_of_answers_are_borne():
    heads = [
        (name, prefix + number, status)
        for name in ANSWER_HEADERS
        for prefix in (b"", b"timeout=")
        for number in EXTREME_NUMBERS
        for status in (200, 503)
    ]
    run(take_answers(heads))


async def take_answers(heads):
    """Have an engine answer with each head, and use what the gateway took of it."""
    foreign = ForeignGateway()
    engine = foreign.gateway.directory.targets[LIFETIME]
    pool = foreign.gateway.fleet.find_pool(engine)
    for name, value, status in heads:
        connection = ClientConnection(dialect.decode_answer, pool._traffic)
        connection.connection_made(Transport())
        exchange = Exchange("r1", foreign.gateway._clock())
        engine.stated.rest_until = 0.0
        engine.stated.limit = None
        connection.send(exchange, b"")
        head = b"HTTP/1.1 %d OK\r\n%b: %b\r\n\r\n" % (status, name, value)
        connection.data_received(head)
        assert 0 <= connection.idle_s < math.inf
        foreign.use()


class Transport:
    """Stands for a connection's transport."""

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *words):
        pass

    def write(self, data):
        pass

    def abort(self):
        pass


BODIES = json_documents(
    {"KvHandle": "h1", "Tokens": 5, "Version": 1},
    {"held": [["", "p1", 100, "m"]]},
    {"KvHandle": "h1", "Created": 5},
)


@EXAMPLES
@given(BODIES)
def test_any_body_of_an_engine_is_read_or_refused(body):
    foreign = ForeignGateway()
    engine = foreign.gateway.fleet.find_engine_of(LIFETIME)
    for read in (
        lambda: dialect.decode_prefill_answer("127.0.0.9:81", body).handle,
        lambda: dialect.decode_move_answer(body),
    ):
        try:
            handle = read()
        except BadDocumentError:
            continue
        assert all(32 < ord(c) < 127 for c in handle)
    try:
        parts = dialect.decode_cache_list(body)
    except BadDocumentError:
        return
    note_earlier_cache(engine, parts)
    foreign.gateway.peers.spread_caches = [LIFETIME]
    foreign.use()


@EXAMPLES
@given(json_documents({"method": "GET", "target": "/x", "headers": [["Host", "a"]]}))
def test_any_question_is_read_or_refused(body):
    try:
        question = decode_question(body)
    except BadDocumentError as error:
        assert len(str(error)) < 500
        return
    assert question.target


CALLER_HEADERS = ("X-Deadline-Ms", "X-Token-Count", "X-Prompt-Prefix", "X-Length-Hint")
CALLER_PREFIXES = ("", "5,", "p1:")


@settings(max_examples=200)
@given(st.sampled_from(CALLER_HEADERS), st.sampled_from(CALLER_PREFIXES), HEADER_VALUES)
def test_any_head_of_a_callers_request_is_read_planned_and_sent_on(name, prefix, value):
    take_request(ForeignGateway(), name, prefix + value.decode("latin-1"))


def test_the_longest_numbers_in_the_heads_of_requests_are_borne():
    foreign = ForeignGateway()
    for name in CALLER_HEADERS:
        for prefix in CALLER_PREFIXES:
            for number in EXTREME_NUMBERS:
                take_request(foreign, name, prefix + number.decode("latin-1"))


def take_request(foreign, name, text):
    """Decode a caller's request with an odd header, send it on, and preview it."""
    headers = (
        (b"Host", b"shop.example"),
        (b"X-Model", b"m"),
        (b"X-Token-Count", b"160,3"),
        (name.encode(), text.encode("latin-1")),
    )
    request = dialect.decode_request("POST", b"/chat/x", headers, 5.0)
    left_s = 1.0 if request.wait_s is None else request.wait_s
    dialect.encode_request(request, Send("e1", left_s, 1))
    foreign.preview(**{name: text})
    foreign.use()


@pytest.mark.parametrize("number", EXTREME_NUMBERS, ids=range(len(EXTREME_NUMBERS)))
def test_an_era_that_is_none_is_passed_over(number):
    async def read(store):
        await store.read_newest("keyed.t")
        return store.era

    body = msgspec.json.encode({"items": [], "HasMore": False, "End": 0})
    era = run_call(read, 200, body, ((b"Store-Era", number),))
    assert era in (None, 0, 65536)


FRAMING_HEADERS = (b"Content-Length", b"Transfer-Encoding", b"Expect", b"Connection")


@EXAMPLES
@given(st.sampled_from(FRAMING_HEADERS), HEADER_VALUES, st.binary(max_size=20))
def test_any_framing_of_a_callers_request_is_parsed_or_refused(name, value, rest):
    parser = RequestParser(Limits(), lambda: 0.0, lambda: None)
    head = b"POST / HTTP/1.1\r\nHost: a\r\n%b: %b\r\n\r\n" % (name, value)
    status = parser.feed(head + rest)
    assert status is None or 400 <= status < 500
