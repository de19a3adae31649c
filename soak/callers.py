"""Callers that keep their connections until a gateway closes them."""

import asyncio
import random

from soak.gateways import GatewayProcess
from soak.keyed import KeyAccount
from soak.oracle import Oracle, expect_body
from soak.world import HOST
from standins.rawhttp import LOOPBACK

WAIT_S = 4.0
"""Longest wait for an answer, seconds: twice the routes' time-out."""

REFUSED = 503
TURNED_AWAY = b"crashes-targets"
"""How a gateway answers a request that crashes its targets."""

KINDS = ("safe", "once", "chat", "digest")


async def call_on(
    gateway: GatewayProcess,
    oracle: Oracle,
    rng: random.Random,
    name: str,
    keys: KeyAccount | None = None,
) -> None:
    """Send one request after another to a gateway, for ever.

    Args:
        gateway: The gateway.
        oracle: Told what is sent and answered.
        rng: Chooses what is sent.
        name: What the requests' ids begin with.
        keys: Whose keys are sent; None for none.
    """
    number = 0
    reader = writer = None
    while True:
        number += 1
        id, kind = f"{name}-{number}", rng.choice(KINDS)
        await asyncio.sleep(rng.uniform(0.0, 0.05))
        try:
            if writer is None or writer.transport.is_closing() or reader.at_eof():
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, gateway.callers
                )
            oracle.note_sent(id, kind)
            async with asyncio.timeout(WAIT_S):
                key = "" if keys is None else keys.choose_key(id)
                writer.write(write_request(id, kind, rng, key=key))
                keep = await take_answer(reader, oracle, id, keys)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if id in oracle.sent:
                oracle.note_answer(id, 0, b"", False)
            keep = False
        if not keep and writer is not None:
            writer.close()
            writer = None


async def ask_route(
    gateway: GatewayProcess, oracle: Oracle, id: str, route: str
) -> int:
    """Send one request of a plain service and return its status; 0 for no answer."""
    oracle.note_sent(id, "safe")
    try:
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, gateway.callers)
            writer.write(write_request(id, "safe", random.Random(0), route))
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    return int(head.split()[1])


def write_request(
    id: str,
    kind: str,
    rng: random.Random,
    route: str = "",
    key: str = "",
    deadline_ms: int = 0,
) -> bytes:
    """Write a request of a kind, on the route of its name or on another.

    Args:
        id: Its id.
        kind: Its kind.
        rng: Chooses its prompt, and its deadline where none is given.
        route: Another route than that of its kind; empty for none.
        key: The key that it carries; empty for none.
        deadline_ms: How long its caller waits, milliseconds; 0 to choose it.
    """
    body = expect_body(id)
    path = f"/{route or kind}/x"
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}"]
    lines.append(f"X-Deadline-Ms: {deadline_ms or rng.choice([500, 2000])}")
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if kind in ("chat", "digest"):
        document = rng.randint(1, 20)
        out = 5000 if kind == "chat" else 100
        lines.append("X-Model: m")
        lines.append(f"X-Token-Count: 6000,{out}")
        lines.append(f"X-Prompt-Prefix: head:2000,d{document}:3000,{id}:1000")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def take_answer(
    reader, oracle: Oracle, id: str, keys: KeyAccount | None = None
) -> bool:
    """Read an answer and tell the oracle; returns whether the connection stays."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split()[1])
    lower = head.lower()
    body = b""
    if "transfer-encoding: chunked" in lower:
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(lower.partition("content-length:")[2].split()[0])
        body = await reader.readexactly(length)
    oracle.note_answer(id, status, body, True)
    if keys is not None:
        keys.note_status(id, status)
    if status == REFUSED and body.startswith(TURNED_AWAY):
        oracle.findings.append(f"{id}: turned away though it crashes nothing")
    return "connection: close" not in lower
