"""Chats with stand-in engines: how callers send them, and what the answer must be."""

import json
from collections.abc import Mapping

import urllib3

from standins.batching import digest_prompt, make_token

TIMEOUT_S = 60


def send_chat(
    http: urllib3.PoolManager,
    url: str,
    model: str,
    prompt: str,
    tokens: int,
    headers: Mapping[str, str],
) -> urllib3.BaseHTTPResponse:
    """Send a streamed chat.

    Args:
        http: The caller's connections.
        url: Where callers are served.
        model: The model.
        prompt: What the user says.
        tokens: Length of the answer, tokens.
        headers: The caller's headers.

    Returns:
        The response, with its body unread.
    """
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }
    return http.request(
        "POST",
        f"{url}/v1/chat/completions",
        body=json.dumps(body),
        headers=headers,
        preload_content=False,
        timeout=TIMEOUT_S,
    )


def make_answer(prompt: str, tokens: int) -> str:
    """Make the text that a stand-in engine answers to a chat."""
    digest = digest_prompt(f"<|user|>{prompt}<|assistant|>")
    return "".join(make_token(digest, number) for number in range(tokens))
