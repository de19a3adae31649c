"""What operators are told of where a request would go, on a real gateway."""

import asyncio
import copy
import json
from contextlib import asynccontextmanager
from dataclasses import replace

import eliot
import pytest

from robinspindle import cli
from robinspindle.core.policy import Policy
from robinspindle.explaining import ROUTED
from robinspindle.previewreports import Question, ask_preview, format_preview
from robinspindle.previews import preview_request
from robinspindle.replies import Reply
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import HOST, deploy, read_reply, run

NOBODY = 1
"""A port at which nobody listens."""


@asynccontextmanager
async def deploy_pages(tmp_path, weighs_zones=False):
    async with deploy(tmp_path) as d:
        # On a busy machine, a target may begin to look slow between two requests.
        policy = Policy(weighs_zones=weighs_zones, learns_paces=False)
        settings = replace(d.gateway.settings, policy=policy)
        d.reread = lambda: settings
        d.gateway.reload()
        await d.gateway._figures.start(LOOPBACK, 0)
        yield d, d.gateway._figures._server.sockets[0].getsockname()[1]


async def ask(port, path, headers=(), host=HOST):
    """Ask by the command; returns its exit code and what it printed is captured."""
    args = ["preview", f"{LOOPBACK}:{port}", host, path, "--json"]
    for header in headers:
        args += ["--header", header]
    return await asyncio.to_thread(cli.main, args)


def list_headers(d):
    return [f"{name}: {value}" for name, value in d.prompt().items()]


def read_state(gateway):
    """Read all that a served request's choice would change."""
    chooser, targets = gateway.relay.chooser, gateway.directory.targets.values()
    kept = (
        chooser.demands, chooser._turns, chooser._answer_turns,
        chooser._zones._shares, chooser._zones._loads, chooser._rng.getstate(),
        gateway.lengths, gateway.relay.admission._patience, vars(gateway.budget),
        [(t.in_flight, gateway.fleet.find_engine(t)) for t in targets],
        gateway.relay.placements, gateway.guard.quarantine,
    )  # fmt: skip
    kept = copy.deepcopy(kept)
    for _, engine in kept[9]:
        if engine is not None:
            # Only remembers what follows from the rest of the model.
            engine.prefill_model.last_fit = None
    return repr(kept)


def check_nothing_changes(d, path, headers):
    """Check it in one turn of the loop, so that nothing else changes anything."""
    pairs = [tuple(header.split(": ")) for header in headers]
    question = Question("POST", path, [("Host", HOST), *pairs])
    before = read_state(d.gateway)
    preview_request(d.gateway.relay.admission, question, Reply(None, True))
    assert read_state(d.gateway) == before


@pytest.mark.parametrize("weighs_zones", [False, True])
@pytest.mark.parametrize("path", ["/chat/x", "/safe/x"])
def test_a_preview_names_the_next_target_and_changes_nothing(
    tmp_path, capsys, path, weighs_zones
):
    async def body():
        async with deploy_pages(tmp_path, weighs_zones) as (d, port):
            for number in range(4):
                await d.add(f"lm{number}~1", "lm", "decode")
                await d.add(f"push{number}~1")
            for number in range(4):
                secret = "Authorization: Bearer sesame"
                headers = [*list_headers(d), secret] if "chat" in path else [secret]
                assert await ask(port, path, headers) == 0
                check_nothing_changes(d, path, headers)
                told = json.loads(capsys.readouterr().out)
                assert told["refusal"] == "" and len(told["candidates"]) == 4
                counts = {name: len(r.arrivals) for name, r in d.replicas.items()}
                assert sum(counts.values()) == number
                sent = d.prompt() if "chat" in path else {}
                assert (await d.call(path, f"r{number}", **sent)).status == 200
                gone_to = [
                    n for n, r in d.replicas.items() if len(r.arrivals) > counts[n]
                ]
                assert gone_to == [told["target"]]

    lines = []
    eliot.add_destinations(lines.append)
    # The first destination is also given what was logged before there was any.
    lines.clear()
    try:
        run(body())
    finally:
        eliot.remove_destination(lines.append)
    routed = [line for line in lines if line.get("text") == ROUTED]
    assert len(routed) == 4 and "sesame" not in repr(lines)


def test_a_preview_tells_refusals_and_errors(tmp_path, capsys):
    async def body():
        async with deploy_pages(tmp_path) as (d, port):
            assert await ask(port, "/none/x") == 0
            told = json.loads(capsys.readouterr().out)
            assert (told["status"], told["refusal"]) == (404, "no-route")
            assert await ask(port, "/chat/x", list_headers(d)) == 0
            told = json.loads(capsys.readouterr().out)
            assert (told["status"], told["refusal"]) == (503, "no-target")
            assert await ask(port, "no-path") == 3
            assert await ask(port, "/chat/x", ["Last-Event-Id: 3"]) == 3
            assert await ask(port, "/chat/x", ["malformed"]) == 3
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b"robinspindle_" in (await read_reply(reader)).body
            writer.close()
            assert await ask(NOBODY, "/chat/x") == 4

    run(body())


@pytest.mark.parametrize(
    ("more", "reason"),
    [
        ({"X-Token-Count": "200000,3"}, "too-large"),
        ({"X-Deadline-Ms": "1"}, "too-late"),
    ],
)
def test_a_preview_refuses_as_the_request_itself_is(tmp_path, more, reason):
    async def body():
        async with deploy_pages(tmp_path) as (d, port):
            await d.add("reader~1", "lm", "prefill")
            await d.add("lm~1", "lm", "decode")
            headers = {**d.prompt(), **more}
            question = Question("POST", "/chat/x", [("Host", HOST), *headers.items()])
            told = await asyncio.to_thread(ask_preview, f"{LOOPBACK}:{port}", question)
            reply = await d.call("/chat/x", **headers)
            assert (told.status, told.refusal) == (reply.status, reason)
            assert reply.body.decode().strip() == reason
            print(format_preview(told))
            assert {row.role for row in told.candidates} == {"prefill", "decode"}

    run(body())
