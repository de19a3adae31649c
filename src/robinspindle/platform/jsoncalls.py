"""Writes calls with a JSON body, as engines and the platform's API take them."""

from typing import Any

import msgspec


def write_json_call(
    path: str, host: str, headers: tuple[tuple[str, str | int], ...], values: Any
) -> bytes:
    """Write a POST with a JSON body.

    Args:
        path: Its path.
        host: Whom it is for.
        headers: Its own headers, in order.
        values: What the body holds.
    """
    body = msgspec.json.encode(values)
    own = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {host}\r\n"
        f"{own}"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
