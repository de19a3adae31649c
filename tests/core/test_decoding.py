import math
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.decoding import (
    MAX_PORT,
    MAX_QUOTE_LENGTH,
    Amount,
    HostPort,
    Whole,
    make_json_decoder,
    make_msgpack_decoder,
    parse_address,
    parse_amount,
    parse_whole,
    shorten,
)
from robinspindle.exceptions import BadDocumentError
from tests.foreigninputs import (
    DIGITS,
    JSON_VALUES,
    MSGPACK_VALUES,
    NUMBERS,
    TEXTS,
    list_extreme_json,
    list_extreme_msgpack,
)

MOST_ERROR_LENGTH = MAX_QUOTE_LENGTH + 50
"""Longest text of an error, characters: a quotation and how long the text was."""


class Document(msgspec.Struct):
    count: Whole = 0
    share: Amount = 0.0
    name: str = ""
    inner: list["Document"] = []


SOUND = Document(5, 0.5, "a", [Document(6)])


def check(decode, data):
    try:
        found = decode(data)
    except BadDocumentError as error:
        assert len(str(error)) <= MOST_ERROR_LENGTH
        return
    assert isinstance(found, Document)
    assert found.count <= sys.maxsize
    assert math.isfinite(found.share)


@given(JSON_VALUES | st.binary())
def test_any_json_is_a_document_or_one_error(data):
    check(make_json_decoder(Document), data)


@given(MSGPACK_VALUES | st.binary())
def test_any_messagepack_is_a_document_or_one_error(data):
    check(make_msgpack_decoder(Document), data)


def test_extremes_in_any_field_are_a_document_or_one_error():
    for data in list_extreme_json(SOUND):
        check(make_json_decoder(Document), data)
    for data in list_extreme_msgpack(SOUND):
        check(make_msgpack_decoder(Document), data)


def test_a_document_that_is_too_long_is_not_decoded():
    decode = make_json_decoder(Document, 10)
    assert decode(b"{}") == Document()
    with pytest.raises(BadDocumentError):
        decode(b"{}" + b" " * 9)


@given(DIGITS | NUMBERS, st.sampled_from((0, 9, MAX_PORT, 2**53)))
def test_a_whole_number_is_parsed_within_its_bounds_or_not_at_all(text, most):
    number = parse_whole(text, most)
    assert number == parse_whole(text.decode("latin-1"), most)
    if number is not None:
        assert 0 <= number <= most
        assert text.strip().lstrip(b"0") in (b"%d" % number, b"")


@pytest.mark.parametrize("text", ["", " ", "+1", "-1", "1_0", "٣", "²", "0x1", "1e3"])
def test_what_only_resembles_a_whole_number_is_none(text):
    assert parse_whole(text) is None


@given(NUMBERS | TEXTS.map(str.encode))
def test_an_amount_is_finite_and_within_its_bounds(text):
    amount = parse_amount(text, 1000.0)
    assert amount is None or -1000.0 <= amount <= 1000.0


def test_an_address_is_parsed():
    assert parse_address("127.0.0.1:80") == HostPort("127.0.0.1", 80)


@pytest.mark.parametrize(
    "text",
    [
        *("", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"),
        *("127.0.0.1: 80", "127.0.0.1:80 ", "127.0.0.1:+80", "127.0.0.1:" + "9" * 5000),
        *("127.0.0.1:" + "0" * 5000 + "80", "::1:80", "host:80", "127.0.0.01:80"),
        *("a" * 100_000 + ":80", "1" * 5000 + ".0.0.1:80", "127.0.0.1:٣"),
    ],
)
def test_what_is_no_address_raises_a_short_error(text):
    with pytest.raises(BadDocumentError) as caught:
        parse_address(text)
    assert len(str(caught.value)) <= MOST_ERROR_LENGTH


def test_a_long_text_is_shortened_and_its_length_told():
    assert shorten("a" * 5, 5) == "aaaaa"
    assert shorten("a" * 6, 5) == "aaaaa... (6)"
