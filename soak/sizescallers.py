"""Callers of a run of sizes: they come whether or not others are served."""

import asyncio

from soak.sizeaccount import Ended
from soak.sizesworld import DUE_S, HOST, SizesWorld
from standins.prompts import Kind, draw_parts
from standins.rawhttp import LOOPBACK

OUT_TOKENS = 473
EXPECTED_TOKENS = 55
BYTES_A_TOKEN = 1
"""The most tokens of an answer, those that callers guess, and bytes of a body for each
token of its prompt."""

MOST_BODY_BYTES = 100_000
LEAST_LEFT_S = 0.3
"""Callers that have less time left than this don't try again, seconds."""

TRIES = 2
"""Tries of a caller: it comes back once after a refusal."""


async def come(world: SizesWorld, kind: Kind, seconds: float) -> None:
    """Send requests of a kind for a while and wait for all their ends."""
    loop, tasks = asyncio.get_running_loop(), []
    ends_at, number = loop.time() + seconds, 0
    next_at = loop.time()
    while next_at < ends_at:
        next_at += world.rng.expovariate(kind.per_s)
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        number += 1
        id = f"{kind.name}-{number}"
        tasks.append(loop.create_task(_ask(world, kind, id)))
    await asyncio.gather(*tasks)


async def _ask(world: SizesWorld, kind: Kind, id: str) -> None:
    """Send one request, once more if it is refused, and note how it ended."""
    loop = asyncio.get_running_loop()
    parts = draw_parts(kind, world.rng)
    tokens = sum(part.tokens for part in parts)
    due, last = loop.time() + DUE_S, ""
    by_fault = False
    for number in range(TRIES):
        chosen = world.rng.randrange(len(world.gateways))
        gateway, link = world.gateways[chosen], world.links[chosen]
        process = gateway.process
        sent = _write_request(kind, f"{id}-{number}", parts, due - loop.time())
        last, retry_s = await _try(link.port, sent, kind.patience_s)
        # A gateway that was killed meanwhile took its callers with it.
        by_fault = process is not gateway.process
        if last not in ("503", "closed") or due - loop.time() < LEAST_LEFT_S:
            break
        await asyncio.sleep(min(retry_s, (due - loop.time()) / 3))
    ended = Ended(kind.name, tokens, last == "200", last, by_fault)
    world.account.ended.append(ended)


async def _try(port: int, sent: bytes, patience_s: float) -> tuple[str, float]:
    """Send one try; returns its status or what went wrong, and Retry-After."""
    writer = None
    try:
        async with asyncio.timeout(DUE_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(sent)
            async with asyncio.timeout(patience_s):
                head = await reader.readuntil(b"\r\n\r\n")
            status = head.split()[1].decode()
            if status == "200":
                await _read_chunks(reader)
            lower = head.decode("latin-1").lower()
            after = lower.partition("retry-after:")[2].split("\r\n")[0].strip()
            return status, float(after or 0.2)
    except TimeoutError:
        return "gave up", 0.0
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return "closed", 0.2
    finally:
        if writer is not None:
            writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    while size := int(await reader.readline(), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)


def _write_request(kind: Kind, id: str, parts, left_s: float) -> bytes:
    tokens = sum(part.tokens for part in parts)
    body = b"x" * min(MOST_BODY_BYTES, tokens * BYTES_A_TOKEN)
    told = ",".join(f"{part.id}:{part.tokens}" for part in parts)
    lines = [
        f"POST /{kind.name}/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {id}",
        f"X-Deadline-Ms: {round(left_s * 1000)}",
        "X-Model: m",
        f"X-Token-Count: {tokens},{OUT_TOKENS}",
        f"X-Prompt-Prefix: {told}",
        f"X-Length-Hint: {EXPECTED_TOKENS}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
