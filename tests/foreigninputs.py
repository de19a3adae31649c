"""Strategies for what comes from outside: the longest, the deepest, the largest."""

import msgspec
from hypothesis import strategies as st

DEEPEST = 100_000
"""Deepest nesting of a generated document, levels."""

LONGEST = 10_000
"""Most digits of a generated number: more than twice what Python converts."""

LONGEST_TEXT = 16_384
"""Longest text of a generated document, characters: a whole entry of a target."""

DEPTHS = st.sampled_from((1, 30, 400, 999, 1001, 5000, DEEPEST)) | st.integers(1, 2000)
LENGTHS = st.sampled_from((1, 16, 19, 20, 308, 309, 4299, 4300, 4301, 5000, LONGEST))


def nest(depth, opening=b"[", closing=b"]"):
    """Nest a list, or another pair of brackets."""
    return opening * depth + closing * depth


def _quote(text):
    return b'"' + text + b'"'


DIGITS = st.builds(
    lambda sign, zeros, digit, count: sign + b"0" * zeros + digit * count,
    st.sampled_from((b"", b"-", b"+")),
    st.sampled_from((0, 0, 0, 1, 5000)),
    st.sampled_from((b"0", b"1", b"9", "٣".encode(), "²".encode(), b"1_0")),
    LENGTHS,
)
"""Bytes that stand for an integer, or nearly do."""

NUMBERS = DIGITS | st.sampled_from(
    (b"1e400", b"-1e400", b"1e308", b"1e-400", b"nan", b"inf", b"-inf", b"Infinity")
    + (b"1.5", b"-0.0", b"18446744073709551616", b"9223372036854775808", b"0x1f", b"")
)
"""Bytes that stand for a number, or nearly do."""

TEXTS = st.builds(
    lambda piece, count: (piece * count)[:LONGEST_TEXT],
    st.sampled_from(("a", "é", "\r\nX-Model: m", "\x00", "𝄞", " ", "/", ":", "@9", "")),
    st.sampled_from((1, 5, 255, 256, 300, LONGEST_TEXT)),
)

JSON_VALUES = st.one_of(
    st.sampled_from((b"null", b"true", b"false", b"[]", b"{}", b'""', b'[""]')),
    st.builds(int, st.integers(-(2**70), 2**70)).map(lambda n: b"%d" % n),
    NUMBERS,
    NUMBERS.map(_quote),
    TEXTS.map(msgspec.json.encode),
    st.sampled_from((b'"\\ud800"', b'"\xff"', b'"\\u0000"', b'"\xed\xa0\x80"')),
    DEPTHS.map(nest),
    DEPTHS.map(lambda depth: nest(depth, b'{"a":', b"}")),
    DEPTHS.map(lambda depth: b'{"a":' * depth + b"1" + b"}" * depth),
)
"""Pieces of JSON; some are none."""

MSGPACK_VALUES = st.one_of(
    st.sampled_from((0, -1, 1, 2**31, 2**63, 2**64 - 1, -(2**63))).map(
        msgspec.msgpack.encode
    ),
    st.floats().map(msgspec.msgpack.encode),
    st.none().map(msgspec.msgpack.encode),
    st.booleans().map(msgspec.msgpack.encode),
    TEXTS.map(msgspec.msgpack.encode),
    TEXTS.map(str.encode).map(msgspec.msgpack.encode),
    st.sampled_from((b"\xa1\xff", b"\xc1", b"\xc7\x00\x05", b"\xdd" + b"\xff" * 4)),
    DEPTHS.map(lambda depth: b"\x91" * depth + b"\x01"),
    DEPTHS.map(lambda depth: b"\x81\xa1a" * depth + b"\x01"),
    st.sampled_from((b"\x90", b"\x80", b"\x91\x90", b"\x93\x01\x02\x03")),
)
"""Pieces of MessagePack; some are none."""


def _list_paths(value, path=()):
    """List the places in a value of lists and maps, the value itself among them."""
    yield path
    if isinstance(value, dict | list):
        pairs = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in pairs:
            yield from _list_paths(inner, (*path, key))


EXTREME_NUMBERS = (
    b"1" * 4300,
    b"1" * LONGEST,
    b"0" * LONGEST + b"80",
    b"65536",
    b"0",
    b"-1",
    b"1e400",
    b"1e308",
    b"nan",
    b"inf",
    "\u0663".encode(),
    "\u00b2".encode(),
    b"\xff",
    b"",
    b"a" * 100,
    b"a" * LONGEST_TEXT,
)
"""What breaks parsers of numbers most often."""

EXTREME_JSON = (
    nest(DEEPEST),
    nest(DEEPEST, b'{"a":', b"}"),
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
    b"1" * 4300,
    b"1" * LONGEST,
    b"-" + b"9" * 309,
    b"18446744073709551616",
    b"9223372036854775808",
    b"1e308",
    b"1e400",
    b"-1",
    b"0",
    b"null",
    _quote(b"9" * LONGEST),
    _quote(b"a" * 300),
    _quote(b"a" * 9000),
    _quote(b"a" * LONGEST_TEXT),
    b'"\\ud800"',
    b'"\xff"',
    b'"e1@"',
    b'"e1@%b"' % (b"9" * 5000),
    b'"\\r\\nX-Model: m"',
)
"""What breaks decoders most often, as JSON."""

EXTREME_MSGPACK = (
    b"\x91" * DEEPEST + b"\x01",
    b"\x81\xa1a" * 5000 + b"\x01",
    *map(msgspec.msgpack.encode, (2**64 - 1, 2**63, -(2**63), -1, 0, None, True)),
    *map(msgspec.msgpack.encode, (float("nan"), float("inf"), 1e308)),
    *map(msgspec.msgpack.encode, ("e1@", "e1@" + "9" * 5000, "a" * LONGEST_TEXT, "")),
    msgspec.msgpack.encode(bytes(LONGEST_TEXT)),
    b"\xa1\xff",
    b"\xdd" + b"\xff" * 4,
)
"""The same as MessagePack."""


def list_extreme_json(*sound):
    """List the sound documents with each extreme piece in each place."""
    return list(_list_extremes(sound, EXTREME_JSON, msgspec.json.encode))


def list_extreme_msgpack(*sound):
    """List the sound documents with each extreme piece in each place."""
    return list(_list_extremes(sound, EXTREME_MSGPACK, msgspec.msgpack.encode))


def _list_extremes(sound, pieces, encode):
    for one in sound:
        value = msgspec.to_builtins(one, builtin_types=(bytes,))
        for piece in map(msgspec.Raw, pieces):
            for path in _list_paths(value):
                yield encode(_replace(value, path, piece))
            if isinstance(value, dict):
                yield encode(value | {"Later": piece})
            else:
                yield encode([*value, piece])


def _replace(value, path, new):
    if not path:
        return new
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[path[0]] = _replace(value[path[0]], path[1:], new)
    return copied


@st.composite
def _make_documents(draw, sound, pieces, encode):
    """Documents that begin as sound ones and have odd pieces in some places."""
    value = msgspec.to_builtins(draw(st.sampled_from(sound)), builtin_types=(bytes,))
    action = draw(st.sampled_from(("replace", "add", "drop", "bytes")))
    if action == "bytes":
        return draw(st.binary(max_size=100) | pieces)
    odd = msgspec.Raw(draw(pieces))
    path = draw(st.sampled_from(list(_list_paths(value))))
    if action == "drop" and path:
        value = _drop(value, path)
    elif action == "add" and isinstance(value, dict):
        value = value | {draw(st.sampled_from(("Later", "", "é"))): odd}
    elif action == "add" and isinstance(value, list):
        value = [*value, odd]
    else:
        value = _replace(value, path, odd)
    return _mangle(draw, encode(value))


def _drop(value, path):
    copied = dict(value) if isinstance(value, dict) else list(value)
    if len(path) == 1:
        del copied[path[0]]
    else:
        copied[path[0]] = _drop(value[path[0]], path[1:])
    return copied


def _mangle(draw, data):
    """Truncate a document now and then, repeat a part, or put in broken UTF-8."""
    how = draw(st.sampled_from(("", "", "", "", "cut", "repeat", "break")))
    place = draw(st.integers(0, min(len(data), 2000)))
    if how == "cut":
        return data[:place]
    if how == "repeat":
        return data[:place] + data[: min(place, 200)] + data[place:]
    return data[:place] + b"\xff\xed\xa0" + data[place:] if how == "break" else data


def json_documents(*sound):
    """JSON documents near some sound ones.

    Args:
        sound: Values that encode as sound documents.
    """
    return _make_documents(sound, JSON_VALUES, msgspec.json.encode)


def msgpack_documents(*sound):
    """MessagePack documents near some sound ones.

    Args:
        sound: Values that encode as sound documents.
    """
    return _make_documents(sound, MSGPACK_VALUES, msgspec.msgpack.encode)


HEADER_VALUES = NUMBERS | TEXTS.map(str.encode) | DEPTHS.map(nest)
"""Values of headers: numbers, or nearly, and texts; some no parser of HTTP lets pass"""
