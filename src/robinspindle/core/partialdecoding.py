"""Decodes as much of a JSON object as can be used.

A value that doesn't fit its field is brought to the nearest one that does, or the field
has its default; each such value gives a finding. Who writes a document for many readers
should not lose all of it to them by one odd value.
"""

from dataclasses import dataclass
from types import UnionType
from typing import Any, Generic, TypeVar, Union, get_args, get_origin

import msgspec

from robinspindle.core.decoding import (
    DECODING_ERRORS,
    MAX_AMOUNT,
    MAX_WHOLE,
    Amount,
    SignedWhole,
    Whole,
    shorten,
)
from robinspindle.exceptions import BadDocumentError

T = TypeVar("T", bound=msgspec.Struct)

MAX_QUOTED_VALUE = 40
"""Longest quotation of a value in a finding, characters."""

BOUNDS = (
    (Whole, int, 0, MAX_WHOLE),
    (SignedWhole, int, -MAX_WHOLE, MAX_WHOLE),
    (Amount, float, -MAX_AMOUNT, MAX_AMOUNT),
)
"""Type, plain type, least and largest value of numbers in documents."""


@dataclass(frozen=True)
class Part(Generic[T]):
    """A decoded object.

    Attributes:
        value: The object.
        findings: What of it could not be used as it was, in words.
    """

    value: T
    findings: tuple[str, ...] = ()


class UnfitError(Exception):
    """A value that can't be brought to fit."""


def decode_part(kind: type[T], data: bytes) -> Part[T]:
    """Decode an object, and use what can be used of it.

    Args:
        kind: Its type.
        data: The object as JSON.

    Raises:
        BadDocumentError: If it is no object, or has no usable value for a field without
            a default.
    """
    try:
        return Part(msgspec.json.decode(data, type=kind))
    except DECODING_ERRORS:
        pass
    findings: list[str] = []
    try:
        values = msgspec.json.decode(data)
        return Part(_build(kind, values, findings), tuple(findings))
    except DECODING_ERRORS as error:
        raise BadDocumentError(shorten(str(error))) from None
    except UnfitError as error:
        text = "; ".join([*findings, str(error)])
        raise BadDocumentError(shorten(text)) from None


def _build(kind: type[T], values: Any, findings: list[str]) -> T:
    """Make a structure of a decoded JSON object; adds what was found to the findings.

    Raises:
        UnfitError: If it is no object, or lacks a field that has no default.
    """
    if not isinstance(values, dict):
        raise UnfitError("no object")
    fitted = {}
    for field in msgspec.structs.fields(kind):
        if field.encode_name not in values:
            if field.required:
                raise UnfitError(f"no {field.encode_name}")
            continue
        value = values[field.encode_name]
        try:
            fitted[field.name] = _fit(field.type, value, findings)
        except UnfitError as error:
            if field.required:
                raise UnfitError(f"{field.encode_name}: {error}") from None
            findings.append(f"{field.encode_name} is left out: {error}")
    return kind(**fitted)


def _fit(kind: Any, value: Any, findings: list[str]) -> Any:
    """Bring a value to fit a type.

    Raises:
        UnfitError: If it can't be.
    """
    try:
        return msgspec.convert(value, kind)
    except DECODING_ERRORS as error:
        reason = shorten(str(error))
    for bounded, plain, least, most in BOUNDS:
        if kind == bounded:
            return _clamp(plain, least, most, value, findings)
    nested = _find_structure(kind)
    if nested is not None and isinstance(value, dict):
        return _build(nested, value, findings)
    if get_origin(kind) is list and isinstance(value, list):
        return _fit_items(get_args(kind)[0], value, findings)
    raise UnfitError(reason)


def _clamp(
    plain: type, least: float, most: float, value: Any, findings: list[str]
) -> float:
    """Bring a number into bounds, and to a whole number where one is needed."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number:
        raise UnfitError("no number")
    bounded = min(most, max(least, value))
    fitted = round(bounded) if plain is int else plain(bounded)
    findings.append(f"{_quote(value)} is taken as {fitted}")
    return fitted


def _fit_items(kind: Any, values: list, findings: list[str]) -> list:
    """Bring the items of a list to fit; those that can't be are left out."""
    fitted = []
    for number, value in enumerate(values):
        try:
            fitted.append(_fit(kind, value, findings))
        except UnfitError as error:
            findings.append(f"item {number} is left out: {error}")
    return fitted


def _find_structure(kind: Any) -> type[msgspec.Struct] | None:
    """Find the structure that a type stands for, or may be beside null."""
    kinds = get_args(kind) if get_origin(kind) in (Union, UnionType) else (kind,)
    for one in kinds:
        if isinstance(one, type) and issubclass(one, msgspec.Struct):
            return one
    return None


def _quote(value: Any) -> str:
    return shorten(ascii(value), MAX_QUOTED_VALUE)
