"""Says which heads begin an answer to a request, for whoever calls anybody."""

from enum import StrEnum
from http import HTTPStatus

from robinspindle.core.forwarding import Headers

FIRST_INTERIM = 100
FIRST_FINAL = 200
LAST_FINAL = 599

CODING_HEADER = b"transfer-encoding"
CHUNKED = b"chunked"


class HeadKind(StrEnum):
    """What a head begins."""

    FINAL = "final"
    """The answer."""

    INTERIM = "interim"
    """News of the request; the answer follows."""

    MALFORMED = "malformed"
    """Nothing that HTTP knows."""


def judge_head(status: int, headers: Headers) -> HeadKind:
    """Judge the head of an answer.

    Nobody asks for another protocol, and the end of a body in any coding but chunks is
    not known.

    Args:
        status: Its status.
        headers: Its headers.
    """
    if FIRST_INTERIM <= status < FIRST_FINAL:
        is_switch = status == HTTPStatus.SWITCHING_PROTOCOLS
        return HeadKind.MALFORMED if is_switch else HeadKind.INTERIM
    if not FIRST_FINAL <= status <= LAST_FINAL:
        return HeadKind.MALFORMED
    codings = [value for name, value in headers if name.lower() == CODING_HEADER]
    if codings and [coding.strip().lower() for coding in codings] != [CHUNKED]:
        return HeadKind.MALFORMED
    return HeadKind.FINAL
