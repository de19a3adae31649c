"""Encodes HTTP requests with a JSON body, for engines and the platform's API."""

from typing import Any

import msgspec


def write_json_call(
    path: str, host: str, headers: tuple[tuple[str, str | int], ...], values: Any
) -> bytes:
    """Encode a POST request with a JSON body.

    Args:
        path: Path of the request.
        host: Value of the ``Host`` header.
        headers: Additional headers, in order.
        values: The value that is encoded as the body.
    """
    body = msgspec.json.encode(values)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {host}\r\n"
        f"{lines}"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
