"""Keys of workspaces: who may run, what targets are told, and what they never see."""

import asyncio
from dataclasses import replace

import eliot

from robinspindle.gatewaysettings import Pledges
from tests.platform.deployment import (
    deploy,
    make_configuration,
    make_route,
    read_reply,
    run,
    until,
    write_request,
)

LINES = []
"""What was logged in the scene that is played."""

KEY = "open-sesame-1"
OTHER = "open-sesame-2"


def make_document(version=1, keys=(KEY,), **more):
    routes = [
        make_route("safe", "idempotent", "push", Public=False),
        make_route("free", "idempotent", "push", Public=True),
        make_route("digest", "stream", "lm", Resumable=True, Public=False),
    ]
    return {
        **make_configuration(version, routes),
        "Tenants": [
            {"Name": "red", "ApiKeys": list(keys), "Priority": 0},
            {"Name": "blue", "ApiKeys": [OTHER], "Priority": 1},
        ],
        **more,
    }


async def put(d, document):
    await d.store.put("keyed.op", "config", document)
    await until(lambda: d.version == document["Version"])


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


def seen(replica, name):
    """List what a replica was told in a header, in all its requests."""
    return [request.headers.get(name) for request in replica.arrivals]


def list_errors(lines):
    """List why configurations could not be read."""
    return [line["error"] for line in lines if "can't be read" in line.get("text", "")]


def play(tmp_path, scene, pledges=None):
    """Play a scene, and hold that no log line of it tells a key; return the lines."""
    lines = LINES
    lines.clear()

    async def go():
        async with deploy(tmp_path, configured=False, pledges=pledges) as d:
            await put(d, make_document())
            await scene(d)

    eliot.add_destinations(lines.append)
    try:
        run(go())
    finally:
        eliot.remove_destination(lines.append)
    assert lines
    assert not any(key in repr(lines) for key in (KEY, OTHER))
    return lines


def test_a_key_names_the_workspace_and_goes_no_further(tmp_path):
    async def scene(d):
        replica = await d.add("i1")
        reply = await d.call("/safe/x", **bearer(KEY), **{"X-Tenant": "blue"})
        assert reply.status == 200
        assert seen(replica, "x-tenant") == ["red"]
        assert seen(replica, "authorization") == [None]

    play(tmp_path, scene)


def test_without_a_known_key_nothing_runs(tmp_path):
    async def scene(d):
        replica = await d.add("i1")
        wrong = [{}, bearer("nobody"), {"Authorization": f"Basic {KEY}"}, bearer("")]
        for headers in wrong:
            reply = await d.call("/safe/x", **headers)
            assert reply.status == 401
            assert reply.headers["www-authenticate"] == "Bearer"
        assert not replica.arrivals

    play(tmp_path, scene)


def test_two_keys_in_one_request_are_none(tmp_path):
    async def scene(d):
        replica = await d.add("i1")
        reader, writer = await asyncio.open_connection("127.0.0.1", d.port)
        data = write_request("POST", "/safe/x", "r1", b"hello", bearer(KEY))
        line = f"Authorization: Bearer {OTHER}\r\n".encode()
        writer.write(data.replace(b"Content-Length", line + b"Content-Length"))
        assert (await read_reply(reader)).status == 401
        writer.close()
        assert not replica.arrivals

    play(tmp_path, scene)


def test_a_public_route_needs_no_key_and_passes_none_on(tmp_path):
    async def scene(d):
        replica = await d.add("i1")
        for headers in ({"X-Tenant": "red"}, bearer("nobody"), bearer(KEY)):
            assert (await d.call("/free/x", **headers)).status == 200
        assert seen(replica, "x-tenant") == [None, None, "red"]
        assert seen(replica, "authorization") == [None] * 3

    play(tmp_path, scene)


def test_second_sendings_tell_the_workspace_too(tmp_path):
    async def scene(d):
        first, second = await d.add("i1"), await d.add("i2")
        first.behaviours.append("full")
        second.behaviours.append("full")
        await d.call("/safe/x", **bearer(KEY))
        assert seen(first, "x-tenant") + seen(second, "x-tenant") == ["red"] * 2
        assert set(seen(first, "authorization") + seen(second, "authorization")) == {
            None
        }

    play(tmp_path, scene)


def test_a_prompt_that_is_read_apart_tells_the_workspace_at_both_engines(tmp_path):
    async def scene(d):
        reader = await d.add("p1", "lm", "prefill")
        host = await d.add("d1", "lm", "decode")
        long = d.prompt(parts="aa:4000,bb:50", tokens=4050)
        reply = await d.call("/digest/x", **bearer(OTHER), **long)
        assert reply.status == 200
        told = seen(reader, "x-tenant") + seen(host, "x-tenant")
        assert told and set(told) == {"blue"}
        assert set(seen(reader, "authorization") + seen(host, "authorization")) == {
            None
        }

    play(tmp_path, scene)


def test_a_key_that_was_taken_away_is_refused_and_a_new_one_works(tmp_path):
    async def scene(d):
        await d.add("i1")
        await put(d, make_document(2, keys=["new-key"]))
        assert (await d.call("/safe/x", **bearer(KEY))).status == 401
        assert (await d.call("/safe/x", **bearer("new-key"))).status == 200

    play(tmp_path, scene)


def test_what_waits_for_a_target_does_not_run_once_its_key_is_gone(tmp_path):
    """A second sending is looked at again: the key went while the first was held."""

    async def scene(d):
        first, second = await d.add("i1"), await d.add("i2")
        first.behaviours.append("held_full")
        second.behaviours.append("held_full")
        call = asyncio.create_task(d.call("/safe/x", **bearer(KEY)))
        await until(lambda: first.arrivals or second.arrivals)
        await put(d, make_document(2, keys=["new-key"]))
        first.gate.set()
        second.gate.set()
        reply = await call
        assert reply.status == 401
        assert len(first.arrivals) + len(second.arrivals) == 1

    play(tmp_path, scene)


def test_a_bad_configuration_of_keys_changes_nothing_and_is_told(tmp_path):
    bad = [
        [{"Name": "red", "ApiKeys": [KEY]}, {"Name": "blue", "ApiKeys": [KEY]}],
        [{"Name": "red", "ApiKeys": [""]}],
        [{"Name": "red", "ApiKeys": ["k" * 5000]}],
        [{"Name": "red\r\nX", "ApiKeys": [OTHER]}],
        [{"Name": "red", "ApiKeys": [7]}],
    ]

    async def scene(d):
        await d.add("i1")
        for version, tenants in enumerate(bad, 2):
            await d.store.put(
                "keyed.op", "config", make_document(version, Tenants=tenants)
            )
            await until(lambda n=version - 1: len(list_errors(LINES)) == n)
        await put(d, make_document(9))
        assert (await d.call("/safe/x", **bearer(KEY))).status == 200

    errors = list_errors(play(tmp_path, scene))
    assert any("workspaces red and blue share a key" in error for error in errors)


def test_a_gateway_that_is_cut_off_serves_no_key_beyond_its_promise(tmp_path):
    """Only what needs a key is refused, with a time to come back, and not as denied."""
    pledges = replace(Pledges(repeat_slack=320.0), revoke_s=1.0)

    async def scene(d):
        replica = await d.add("i1")
        assert (await d.call("/safe/x", **bearer(KEY))).status == 200
        assert await d.ask_ready() == 200
        d.store.trouble = "silent"
        await asyncio.sleep(1.2)
        reply = await d.call("/safe/x", **bearer(KEY))
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert (await d.call("/safe/x", **bearer("nobody"))).status in (401, 503)
        assert (await d.call("/free/x")).status == 200
        assert await d.ask_ready() == 503
        assert len(replica.arrivals) == 2
        d.store.trouble = ""
        async with asyncio.timeout(10.0):
            while (await d.call("/safe/x", **bearer(KEY))).status != 200:
                await asyncio.sleep(0.05)

    play(tmp_path, scene, pledges)


def test_without_workspaces_credentials_travel_on(tmp_path):
    async def go():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            reply = await d.call("/safe/x", **bearer(KEY), **{"X-Tenant": "mine"})
            assert reply.status == 200
            assert seen(replica, "authorization") == [f"Bearer {KEY}"]
            assert seen(replica, "x-tenant") == ["mine"]

    run(go())
