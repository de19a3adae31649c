"""Whatever comes from outside, a gateway's decoders say so or its code can use it."""

import asyncio
import math
import struct
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from robinspindle.core.crashupdates import (
    ClearedUpdate,
    CrashUpdate,
    QuarantineUpdate,
    RequestUpdates,
    RunUpdate,
)
from robinspindle.core.engines import note_earlier_cache
from robinspindle.core.fingerprints import FINGERPRINT_BYTES
from robinspindle.core.forwarding import Send
from robinspindle.core.peerdigests import (
    MAX_PLACEMENTS,
    Cache,
    ConfigurationAge,
    Datagram,
    Digest,
    Facts,
    Placement,
    TargetLoad,
)
from robinspindle.core.priorities import LEVELS
from robinspindle.core.streamorigins import KEY_BYTES
from robinspindle.core.usage import Account
from robinspindle.core.versionrecords import KEY_PREFIX as VERSION_PREFIX
from robinspindle.exceptions import BadDocumentError, LogServiceError
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import ClientConnection, Exchange
from robinspindle.originlink import Answer, Ask, Keeps, Tell, Tells
from robinspindle.originlog import OriginLog
from robinspindle.platform import dialect
from robinspindle.platform import store as topics
from robinspindle.platform.store import Store
from robinspindle.previews import decode_question
from robinspindle.storerecords import Records
from tests.foreigngateway import (
    CONFIGURATION,
    ENGINE_ENTRY,
    ENTRY,
    PEER,
    ForeignGateway,
    run,
)
from tests.foreigninputs import (
    EXTREME_NUMBERS,
    HEADER_VALUES,
    NUMBERS,
    TEXTS,
    json_documents,
    list_extreme_json,
    list_extreme_msgpack,
    msgpack_documents,
)

EXAMPLES = settings(max_examples=60)

INPUTS_BETWEEN_USES = 1
"""Inputs after which a gateway uses what it has taken in."""

FINGERPRINT = bytes(FINGERPRINT_BYTES)
KEY = bytes(KEY_BYTES)
LIFETIME = "e1@1777867435133"

TELL = Tell(KEY, "lm", "v1", LIFETIME, 1777867435133)

ENTRY_OF_QUARANTINE = {
    "standing": "quarantined",
    "at_ms": 1777867435133,
    "lifetimes": [LIFETIME],
    "name": "shop",
    "trials": 0,
    "companions": ["01" * FINGERPRINT_BYTES],
}

DUTY_RECORD = {
    "holder": "g2",
    "fence": 5,
    "offset": 4,
    "window": 9,
    "counts": {"desk": 3},
}

DATAGRAM = Datagram(
    "g2",
    [
        Digest(
            "g2",
            5.0,
            7,
            [TargetLoad(LIFETIME, 1, [0] * LEVELS, 0, 5, 1, 100)],
            [Placement(LIFETIME, [("p1", 100)], 5)],
            {"lm": 0.5},
            [(LIFETIME, "prefill")],
            [],
            ["i1@1777867435133"],
            [Cache(LIFETIME, [("p1", 100)])],
            ["g2"],
            {"keyed.op": 3},
            is_relay=True,
            requests=RequestUpdates(
                [CrashUpdate(LIFETIME, "lm", 5, [RunUpdate(FINGERPRINT, 5, 1, [])])],
                [ClearedUpdate(FINGERPRINT, 5)],
                [QuarantineUpdate(FINGERPRINT, "quarantined", 5, [LIFETIME], "n", 0)],
            ),
            rate_limits={LIFETIME: 5.0},
        )
    ],
    3,
    Facts(7, ConfigurationAge(1, 5), 5, 5, [Account("g2", 5, 9, {"desk": 3})], [4]),
)
"""A datagram that fills nearly every field."""


@dataclass(frozen=True)
class Kind:
    """One kind of input.

    Attributes:
        documents: Generates inputs.
        extremes: Inputs that break decoders most often.
        take: Hands one to a gateway.
    """

    documents: object
    extremes: list
    take: Callable


def records(topic, *keys, sound):
    """Make the kind of the records of a topic."""

    async def take(foreign, value):
        for key in keys:
            foreign.apply(topic, key, value)

    return Kind(json_documents(*sound), list_extreme_json(*sound), take)


def texts(topic, key, *formats):
    """Make the kind of records that are texts with an odd number in some place."""

    async def take(foreign, value):
        foreign.apply(topic, key, value)

    pairs = st.tuples(st.sampled_from(formats), NUMBERS | TEXTS.map(str.encode))
    return Kind(
        pairs.map(lambda pair: pair[0] % pair[1]) | st.binary(max_size=60),
        [text % number for text in formats for number in EXTREME_NUMBERS],
        take,
    )


def keys(topic, value, *formats):
    """Make the kind of records with odd keys."""

    async def take(foreign, key):
        foreign.apply(topic, key, value)

    pairs = st.tuples(st.sampled_from(formats), NUMBERS.map(_decode) | TEXTS)
    return Kind(
        pairs.map(lambda pair: pair[0] % pair[1]) | TEXTS,
        [text % _decode(number) for text in formats for number in EXTREME_NUMBERS],
        take,
    )


def datagrams(receive, *sound):
    """Make the kind of the datagrams of a socket."""
    return Kind(msgpack_documents(*sound), list_extreme_msgpack(*sound), receive)


def _decode(data):
    return data.decode(errors="replace")


async def take_duty_record(foreign, value):
    for key in ("claim", "usage/9", "counts/g2/1"):
        foreign.take_duty_record(key, value)


async def receive(foreign, data):
    foreign.receive(data)


async def receive_on_streams(foreign, data):
    address = (PEER[0], PEER[1] + 1)
    foreign.gateway._streams.link.datagram_received(data, address)


async def take_origins(foreign, data):
    kept = OriginLog(OneRecordStore(data), "origins", lambda: 1, pass_over)
    kept.take = foreign.gateway.streams._take_kept
    assert await kept.look()


def pass_over(*words, **fields):
    """Stand for a log."""


class OneRecordStore:
    """A store whose topic holds one record."""

    def __init__(self, record):
        self._record = record

    async def read_records(self, topic, offset):
        return Records((self._record,), 1, 1)


async def take_configuration(foreign, value):
    foreign.gateway.fleet.table = None
    foreign.apply(topics.CONFIGURATION_TOPIC, "config", value)
    if foreign.gateway.fleet.table is None:
        foreign.configure()


DUTY_DOCUMENTS = (DUTY_RECORD, {"accounts": [["g2", 5, 9, {"desk": 3}]]})

INPUTS = {
    "target": records(topics.TARGETS_TOPIC, "i1", "i2", sound=(ENTRY, ENGINE_ENTRY)),
    "target's key": keys(
        topics.TARGETS_TOPIC, msgspec.json.encode(ENTRY), "%s", "a@%s"
    ),
    "target's address": texts(
        topics.TARGETS_TOPIC,
        "i2",
        msgspec.json.encode(ENGINE_ENTRY | {"Address": "127.0.0.9:%b"}),
        msgspec.json.encode(ENGINE_ENTRY | {"Address": "%b:80"}),
    ),
    "configuration": Kind(
        json_documents(CONFIGURATION),
        list_extreme_json(CONFIGURATION),
        take_configuration,
    ),
    "introduction": texts(
        topics.GATEWAYS_TOPIC,
        "g3",
        b"127.0.0.9:%b a 1",
        b"%b:9 a 1",
        b"127.0.0.9:9 %b 1",
        b"127.0.0.9:9 a %b",
    ),
    "gateway's name": keys(topics.GATEWAYS_TOPIC, b"127.0.0.9:9 a 1", "%s"),
    "quarantine": records(
        topics.GATEWAYS_TOPIC,
        "quarantine/" + "00" * FINGERPRINT_BYTES,
        sound=(ENTRY_OF_QUARANTINE,),
    ),
    "quarantine's key": keys(topics.GATEWAYS_TOPIC, b"{}", "quarantine/%s"),
    "version": records(
        topics.GATEWAYS_TOPIC,
        VERSION_PREFIX + "2/lmv1",
        sound=({"use": "begins", "era": 0},),
    ),
    "version's key": keys(
        topics.GATEWAYS_TOPIC,
        b'{"use":"begins","era":0}',
        VERSION_PREFIX + "%s",
        VERSION_PREFIX + "%s/lmv1",
        VERSION_PREFIX + "2/lm%s",
    ),
    "duties": Kind(
        json_documents(*DUTY_DOCUMENTS),
        list_extreme_json(*DUTY_DOCUMENTS),
        take_duty_record,
    ),
    "claim": texts(topics.ORDERS_TOPIC, "roles", b"%b"),
    "datagram": datagrams(receive, DATAGRAM),
    "datagram on streams": datagrams(
        receive_on_streams, Tells([TELL]), Ask(5, KEY), Answer(5, TELL), Keeps([TELL])
    ),
    "origins": datagrams(take_origins, [[TELL]]),
}


@pytest.mark.parametrize("name", list(INPUTS))
@EXAMPLES
@given(st.data())
def test_any_input_is_borne(name, data):
    run(take_all(name, [data.draw(INPUTS[name].documents)]))


@pytest.mark.parametrize("name", list(INPUTS))
def test_the_longest_deepest_and_largest_values_are_borne_in_every_field(name):
    run(take_all(name, INPUTS[name].extremes))


async def take_all(name, values):
    """Have a gateway take in values of one kind and use what it took."""
    foreign = ForeignGateway()
    for number, value in enumerate(values):
        await INPUTS[name].take(foreign, value)
        if number % INPUTS_BETWEEN_USES == 0:
            foreign.use()
    foreign.use()


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

    def __init__(self, status, body):
        super().__init__(HostPort("127.0.0.1", 1), lambda: 0.0)
        self._pool = (status, body)


async def answer_once(answer, clock, data, limits, transfer):
    """Stand for a call to a store whose pool is its one answer."""
    status, body = answer
    await asyncio.sleep(0)
    return dialect.decode_answer(status, b"", ()), body


def run_call(call, status, body):
    """Make a call to a store that gives one answer again and again."""
    store = AnsweringStore(status, body)
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


def test_prompts_with_the_longest_part_ids_silence_no_gateway():
    foreign = ForeignGateway()
    parts = [(f"{number}" * 5000, 5) for number in range(3)]
    placement = Placement(LIFETIME, parts, 5)
    foreign.gateway.relay.placements.extend([placement] * MAX_PLACEMENTS)
    foreign.use()
