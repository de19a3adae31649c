"""The requests of ``scripts/bench platform`` and the configuration they are served by.

The kinds are those of the users' platform.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core.forwarding import Part, Prompt
from standins.timedreplica import CACHE_TOKENS

HOST = "bench.example"

DOCUMENTS = 60
"""Documents that digests share: with 3,780 tokens each they fill three quarters of one
stand-in's cache, and the digests' own parts push them out."""

HEADS = 4
HEAD_TOKENS = 2520
DOCUMENT_TOKENS = 3780
OWN_TOKENS = 2890
"""Tokens of a digest's parts: of one of a few heads, of its document, and on average of
its own."""

OWN_SPREAD = (0.3, 1.7)
"""Least and most of a digest's own tokens, as shares of their average."""

DIGEST_OUT_TOKENS = 118
"""Tokens of a digest's answer."""

CHAT_HEADS = 8
CHAT_HEAD_TOKENS = 80
CHAT_OWN_TOKENS = 141
"""Tokens of a chat's parts: of one of a few heads, and of its own."""

CHAT_OUT_TOKENS = 5000
"""Tokens that a chat's answer may have."""


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name and its route.
        share: Its share of all requests.
        body: Bytes of its body.
        wait_ms: How long its callers wait, milliseconds.
        aim_ms: The time that its route aims at, milliseconds.
    """

    name: str
    share: float
    body: int
    wait_ms: int
    aim_ms: int


KINDS = (
    Kind("digest", 0.6, 18_000, 2000, 200),
    Kind("chat", 0.1, 440, 15_000, 250),
    Kind("once", 0.2, 600, 600, 100),
    Kind("safe", 0.1, 600, 600, 100),
)


def write_request(kind: Kind, id: str, rng: random.Random) -> bytes:
    """Write a request of a kind, with a prompt drawn at random where it has one."""
    lines = [
        f"POST /{kind.name}/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {id}",
        f"X-Deadline-Ms: {kind.wait_ms}",
        f"Content-Length: {kind.body}",
    ]
    if kind.name in _PROMPTS:
        lines += _describe_prompt(_PROMPTS[kind.name](rng, id))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * kind.body


def _describe_prompt(prompt: Prompt) -> list[str]:
    parts = ",".join(f"{part.id}:{part.tokens}" for part in prompt.parts)
    return [
        f"X-Model: {prompt.model}",
        f"X-Token-Count: {prompt.tokens},{prompt.max_answer_tokens}",
        f"X-Prompt-Prefix: {parts}",
    ]


def _draw_digest(rng: random.Random, id: str) -> Prompt:
    document = rng.randrange(DOCUMENTS)
    own = int(OWN_TOKENS * rng.uniform(*OWN_SPREAD))
    head = Part(f"a{document % HEADS}", HEAD_TOKENS)
    shared = Part(f"d{document}", DOCUMENT_TOKENS)
    return _make_prompt((head, shared, Part(f"e{id}", own)), DIGEST_OUT_TOKENS)


def _draw_chat(rng: random.Random, id: str) -> Prompt:
    head = Part(f"c{rng.randrange(CHAT_HEADS)}", CHAT_HEAD_TOKENS)
    return _make_prompt((head, Part(f"f{id}", CHAT_OWN_TOKENS)), CHAT_OUT_TOKENS)


def _make_prompt(parts: tuple[Part, ...], max_answer_tokens: int) -> Prompt:
    return Prompt("m", parts, sum(part.tokens for part in parts), max_answer_tokens)


_PROMPTS: dict[str, Callable[[random.Random, str], Prompt]] = {
    "digest": _draw_digest,
    "chat": _draw_chat,
}


def _describe_route(kind: Kind, how: str, service: str) -> dict:
    return {
        "Name": kind.name,
        "Hostname": HOST,
        "PathPrefix": f"/{kind.name}/",
        "Kind": how,
        "TimeoutMs": kind.wait_ms,
        "TargetLatencyMs": kind.aim_ms,
        "Service": service,
        "MaxAttempts": 2,
        "Resumable": kind.name == "digest",
    }


def make_configuration() -> dict:
    """Make the configuration that the gateways follow, as the platform writes it."""
    digest, chat, once, safe = KINDS
    engine = {
        "Slots": 48,
        "KvCapacityTokens": CACHE_TOKENS,
        "KvTokenBytes": 131072,
        "LinkMbps": 8_800_000.0,
    }
    return {
        "Version": 1,
        "Routes": [
            _describe_route(digest, "stream", "lm"),
            _describe_route(chat, "stream", "lm"),
            _describe_route(once, "non_idempotent", "push"),
            _describe_route(safe, "idempotent", "push"),
        ],
        "Services": [
            {"Name": "push", "MaxConnections": 200},
            {"Name": "lm", "MaxConnections": 400, "Engine": engine},
        ],
    }
