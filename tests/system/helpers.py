"""Callers for the tests of real processes."""

import json
import threading
from dataclasses import dataclass, field

from standins.batching import digest_prompt, make_token

MODEL = "investor-70b"


@dataclass
class Reply:
    """What a caller got.

    Attributes:
        status: HTTP status.
        headers: Its headers, names in lower case.
        text: The body, or the answer's text of a stream.
        ids: Event ids of a stream.
        is_done: Whether a stream ended with ``[DONE]``.
        error: The error object, if any.
    """

    status: int
    headers: dict
    text: str = ""
    ids: list[str] = field(default_factory=list)
    is_done: bool = False
    error: dict | None = None


def expect_answer(prompt, tokens):
    digest = digest_prompt(f"<|user|>{prompt}<|assistant|>")
    return "".join(make_token(digest, number) for number in range(tokens))


def chat(
    fleet,
    prompt,
    tokens,
    entry=0,
    workspace="ticker-chat",
    stop_after=0,
    on_token=None,
    **headers,
):
    """Send a streamed chat; `stop_after` hangs up after so many events."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }
    sent = {"Authorization": f"Bearer demo-{workspace}"}
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    response = fleet.http.request(
        "POST",
        f"{fleet.callers[entry]}/v1/chat/completions",
        body=json.dumps(body),
        headers=sent,
        preload_content=False,
        timeout=60,
    )
    reply = Reply(response.status, {k.lower(): v for k, v in response.headers.items()})
    if response.status != 200:
        reply.error = json.loads(response.read())["error"]
        return reply
    rest = b""
    for chunk in response.stream(None):
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            _read_event(reply, event.decode())
            if on_token is not None:
                on_token(reply)
        if stop_after and len(reply.ids) >= stop_after:
            response.close()
            return reply
    response.release_conn()
    return reply


def _read_event(reply, event):
    for line in event.splitlines():
        if line.startswith("id: "):
            reply.ids.append(line[4:])
        elif line == "data: [DONE]":
            reply.is_done = True
        elif line.startswith("data: "):
            value = json.loads(line[6:])
            if "error" in value:
                reply.error = value["error"]
            elif value["choices"]:
                reply.text += value["choices"][0]["delta"].get("content") or ""


def notify(fleet, key, entry=0, body=b"price moved", workspace="alert-push"):
    """Send a notification, which may not be repeated."""
    headers = {"Authorization": f"Bearer demo-{workspace}"}
    if key:
        headers["Idempotency-Key"] = key
    response = fleet.http.request(
        "POST",
        f"{fleet.callers[entry]}/services/notification/send",
        body=body,
        headers=headers,
        timeout=30,
    )
    reply = Reply(response.status, {k.lower(): v for k, v in response.headers.items()})
    reply.text = response.data.decode()
    if response.status >= 400:
        reply.error = json.loads(response.data)["error"]
    return reply


def count_calls(fleet, body):
    """Count how often the plain services really ran a call with this body."""
    names = [n for n, t in fleet.configuration.targets.items() if t.service]
    return sum(
        1
        for name in names
        for row in fleet.read_journal(name)
        if row["body"] == body.decode()
    )


def list_harm(fleet):
    """List what the engines say was done to them that must not be."""
    names = [n for n, t in fleet.configuration.targets.items() if t.model]
    return [r for n in names for r in fleet.read_journal(n) if r["kind"] == "harm"]


def run_together(*calls):
    """Run calls at the same time and return their results."""
    results = [None] * len(calls)

    def run(number):
        results[number] = calls[number]()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
