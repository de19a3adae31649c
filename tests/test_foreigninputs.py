"""Whatever comes from outside, a gateway's decoders say so or its code can use it."""

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
from robinspindle.core.fingerprints import FINGERPRINT_BYTES
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
from robinspindle.originlink import Answer, Ask, Keeps, Tell, Tells
from robinspindle.originlog import OriginLog
from robinspindle.platform import store as topics
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


def test_prompts_with_the_longest_part_ids_silence_no_gateway():
    foreign = ForeignGateway()
    parts = [(f"{number}" * 5000, 5) for number in range(3)]
    placement = Placement(LIFETIME, parts, 5)
    foreign.gateway.relay.placements.extend([placement] * MAX_PLACEMENTS)
    foreign.use()
