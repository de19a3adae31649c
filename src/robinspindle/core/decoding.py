"""Decodes what other programs send or write: documents, numbers and addresses.

Nothing of it is trusted: a document may be nested deeper than it can be decoded, and a
number have more digits than can be converted. Whatever is wrong, a document raises one
error, whose text is short enough for a log line.
"""

import ipaddress
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from robinspindle.exceptions import BadDocumentError

MAX_WHOLE = 2**53
"""Largest whole number in a document: exact as a float, and it fits all encodings."""

MAX_AMOUNT = 1e12
"""Largest amount in a document: sums and products of such amounts stay finite."""

MAX_PORT = 65535

MAX_DIGITS = 20
"""Most digits of a whole number, zeros before it included."""

MAX_NUMBER_LENGTH = 40
"""Longest decimal number in a header, characters."""

MAX_QUOTE_LENGTH = 200
"""Longest quotation of foreign text in a log line, characters."""

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
"""A whole number in a document."""

SignedWhole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
"""A whole number in a document that may be negative."""

Amount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""An amount in a document that may have a fraction."""

DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)
"""What decoders raise: nesting that is too deep is no error of msgspec."""


@dataclass(frozen=True)
class HostPort:
    """A TCP or UDP address: an IP number and a port."""

    host: str
    port: int


def make_json_decoder(kind: Any, max_bytes: float = math.inf) -> Callable[[bytes], Any]:
    """Make a function that decodes JSON documents.

    Args:
        kind: Type of the documents.
        max_bytes: Longest document, bytes; who reads it may have a bound of its own.

    Returns:
        A function that returns the document, or raises `BadDocumentError`.
    """
    return _make_decoder(msgspec.json.Decoder(kind).decode, max_bytes)


def make_msgpack_decoder(
    kind: Any, max_bytes: float = math.inf
) -> Callable[[bytes], Any]:
    """Make a function that decodes MessagePack documents; see `make_json_decoder`."""
    return _make_decoder(msgspec.msgpack.Decoder(kind).decode, max_bytes)


def _make_decoder(
    decode: Callable[[bytes], Any], max_bytes: float
) -> Callable[[bytes], Any]:
    def decode_document(data: bytes) -> Any:
        if len(data) > max_bytes:
            raise BadDocumentError(f"{len(data)} bytes are more than the limit")
        try:
            return decode(data)
        except DECODING_ERRORS as error:
            raise BadDocumentError(shorten(str(error))) from None

    return decode_document


def parse_whole(text: str | bytes, most: int = MAX_WHOLE) -> int | None:
    """Parse a whole number of ASCII digits, with blanks around it.

    Args:
        text: The number.
        most: The largest valid one.

    Returns:
        The number; None if it is malformed or out of range.
    """
    digits = text.strip()
    # Digits of other scripts count as digits of a string.
    if len(digits) > MAX_DIGITS or not (digits.isdigit() and digits.isascii()):
        return None
    number = int(digits)
    return number if number <= most else None


def parse_amount(text: str | bytes, most: float = MAX_AMOUNT) -> float | None:
    """Parse a decimal number.

    Args:
        text: The number.
        most: The largest valid one.

    Returns:
        The number; None if it is malformed, not finite or out of range.
    """
    if len(text) > MAX_NUMBER_LENGTH or not text.isascii():
        return None
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if -most <= amount <= most else None


def parse_address(text: str) -> HostPort:
    """Parse an IPv4 address and a port: IPv4:PORT.

    Raises:
        BadDocumentError: If it is malformed.
    """
    host, _, digits = text.rpartition(":")
    port = parse_whole(digits, MAX_PORT)
    if not port or not digits.isdigit() or not is_ipv4(host):
        raise BadDocumentError(f"{text[:80]!r} is not IPv4:PORT")
    return HostPort(host, port)


def is_ipv4(host: str) -> bool:
    """Return whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def is_token(text: str, max_length: int) -> bool:
    """Return whether a text can stand in a header and a path as it is."""
    is_short = 0 < len(text) <= max_length
    return is_short and text.isascii() and text.isprintable() and " " not in text


def shorten(text: str, most: int = MAX_QUOTE_LENGTH) -> str:
    """Shorten a foreign text for a log line."""
    return text if len(text) <= most else f"{text[:most]}... ({len(text)})"
