"""Keys of workspaces: which requests they admit, and that targets never get them."""

import asyncio
from dataclasses import replace

import eliot

from robinspindle.gatewaysettings import Pledges
from standins.rawhttp import LOOPBACK
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
"""Log lines of the running scenario."""

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


def list_values(replica, name):
    """List the values of a header in all requests to a replica."""
    return [request.headers.get(name) for request in replica.arrivals]


def list_errors(lines):
    """List the errors of invalid configurations from log lines."""
    return [line["error"] for line in lines if "can't be read" in line.get("text", "")]


def run_scenario(tmp_path, scenario, pledges=None):
    """Run a scenario, check that no log line contains a key, and return the lines."""
    lines = LINES
    lines.clear()

    async def main():
        async with deploy(tmp_path, configured=False, pledges=pledges) as d:
            await put(d, make_document())
            await scenario(d)

    eliot.add_destinations(lines.append)
    try:
        run(main())
    finally:
        eliot.remove_destination(lines.append)
    assert lines
    assert not any(key in repr(lines) for key in (KEY, OTHER))
    return lines


def test_a_key_selects_the_workspace_and_is_not_forwarded(tmp_path):
    async def scenario(d):
        replica = await d.add("i1")
        reply = await d.call("/safe/x", **bearer(KEY), **{"X-Tenant": "blue"})
        assert reply.status == 200
        assert list_values(replica, "x-tenant") == ["red"]
        assert list_values(replica, "authorization") == [None]

    run_scenario(tmp_path, scenario)


def test_without_a_known_key_nothing_runs(tmp_path):
    async def scenario(d):
        replica = await d.add("i1")
        wrong = [{}, bearer("nobody"), {"Authorization": f"Basic {KEY}"}, bearer("")]
        for headers in wrong:
            reply = await d.call("/safe/x", **headers)
            assert reply.status == 401
            assert reply.headers["www-authenticate"] == "Bearer"
        assert not replica.arrivals

    run_scenario(tmp_path, scenario)


def test_a_request_with_two_keys_is_rejected(tmp_path):
    async def scenario(d):
        replica = await d.add("i1")
        reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
        data = write_request("POST", "/safe/x", "r1", b"hello", bearer(KEY))
        line = f"Authorization: Bearer {OTHER}\r\n".encode()
        writer.write(data.replace(b"Content-Length", line + b"Content-Length"))
        assert (await read_reply(reader)).status == 401
        writer.close()
        assert not replica.arrivals

    run_scenario(tmp_path, scenario)


def test_a_public_route_needs_no_key_and_forwards_none(tmp_path):
    async def scenario(d):
        replica = await d.add("i1")
        for headers in ({"X-Tenant": "red"}, bearer("nobody"), bearer(KEY)):
            assert (await d.call("/free/x", **headers)).status == 200
        assert list_values(replica, "x-tenant") == [None, None, "red"]
        assert list_values(replica, "authorization") == [None] * 3

    run_scenario(tmp_path, scenario)


def test_retries_name_the_workspace_too(tmp_path):
    async def scenario(d):
        first, second = await d.add("i1"), await d.add("i2")
        first.behaviours.append("full")
        second.behaviours.append("full")
        await d.call("/safe/x", **bearer(KEY))
        assert (
            list_values(first, "x-tenant") + list_values(second, "x-tenant")
            == ["red"] * 2
        )
        assert set(
            list_values(first, "authorization") + list_values(second, "authorization")
        ) == {None}

    run_scenario(tmp_path, scenario)


def test_disaggregated_prefill_names_the_workspace_to_both_engines(tmp_path):
    async def scenario(d):
        prefill_engine = await d.add("p1", "lm", "prefill")
        decode_engine = await d.add("d1", "lm", "decode")
        long = d.prompt(parts="aa:4000,bb:50", tokens=4050)
        reply = await d.call("/digest/x", **bearer(OTHER), **long)
        assert reply.status == 200
        workspaces = list_values(prefill_engine, "x-tenant") + list_values(
            decode_engine, "x-tenant"
        )
        assert workspaces and set(workspaces) == {"blue"}
        assert set(
            list_values(prefill_engine, "authorization")
            + list_values(decode_engine, "authorization")
        ) == {None}

    run_scenario(tmp_path, scenario)


def test_a_revoked_key_is_refused_and_a_new_one_works(tmp_path):
    async def scenario(d):
        await d.add("i1")
        await put(d, make_document(2, keys=["new-key"]))
        assert (await d.call("/safe/x", **bearer(KEY))).status == 401
        assert (await d.call("/safe/x", **bearer("new-key"))).status == 200

    run_scenario(tmp_path, scenario)


def test_a_waiting_request_does_not_run_after_its_key_is_revoked(tmp_path):
    """A retry is authorized again: the key was revoked during the first attempt."""

    async def scenario(d):
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

    run_scenario(tmp_path, scenario)


def list_findings(lines):
    """List what could not be used of configurations from log lines."""
    return [finding for line in lines for finding in line.get("findings", ())]


SHARED = [{"Name": "red", "ApiKeys": [KEY]}, {"Name": "blue", "ApiKeys": [KEY]}]
UNUSABLE = [
    (SHARED, 503, "workspaces red and blue share a key"),
    ([{"Name": "red", "ApiKeys": [""]}], 401, "an empty key"),
    ([{"Name": "red", "ApiKeys": ["k" * 5000]}], 401, "a key of over 1024 bytes"),
    ([{"Name": "red\r\nX", "ApiKeys": [KEY]}], 503, "control characters"),
    ([{"Name": "", "ApiKeys": [KEY]}], 503, "its name is empty"),
    ([{"Name": None, "ApiKeys": [KEY]}], 503, "its name is empty"),
    ([{"Name": " red", "ApiKeys": [KEY]}], 503, "a blank"),
    ([{"Name": "r" * 5000, "ApiKeys": [KEY]}], 503, "longer than 1024 bytes"),
    ([{"Name": "red", "ApiKeys": [7]}], 401, "values that can't be used"),
    ([{"Name": "red", "ApiKeys": "x"}], 401, "values that can't be used"),
    ([[KEY]], 503, "workspace 0 is left out"),
]
"""Workspaces that can't be used, what a request with the key gets, and the finding."""


def test_workspaces_that_cant_be_used_keep_nothing_else_from_coming_into_force(
    tmp_path,
):
    # The version was rejected whole: keys and routes that it took away went on to work.
    async def scenario(d):
        old = await d.add("i1")
        new = await d.add("i2", "lm2")
        routes = [make_route("safe", "idempotent", "lm2", Public=False)]
        for version, (tenants, status, _) in enumerate(UNUSABLE, 2):
            good = {"Name": "green", "ApiKeys": [OTHER]}
            document = make_document(version, Tenants=[*tenants, good], Routes=routes)
            await put(d, document)
            assert (await d.call("/safe/x", **bearer(KEY))).status == status
            assert (await d.call("/safe/x", **bearer(OTHER))).status == 200
        assert not old.arrivals
        assert set(list_values(new, "x-tenant")) == {"green"}

    findings = list_findings(run_scenario(tmp_path, scenario))
    for _, _, finding in UNUSABLE:
        assert any(finding in found for found in findings)


def test_a_workspace_may_have_letters_of_any_script_in_its_name(tmp_path):
    # Such a name kept the whole version from coming into force.
    async def scenario(d):
        replica = await d.add("i1")
        name = "Franchise S\u00fcd \u6771"
        tenants = [{"Name": name, "ApiKeys": [KEY]}]
        await put(d, make_document(2, Tenants=tenants))
        assert (await d.call("/safe/x", **bearer(KEY))).status == 200
        assert (await d.call("/safe/x", **bearer(OTHER))).status == 401
        (sent,) = list_values(replica, "x-tenant")
        assert sent.encode("latin-1").decode() == name

    run_scenario(tmp_path, scenario)


def test_a_configuration_that_cant_be_read_renews_no_lease_of_keys(tmp_path):
    # It may have taken keys away, but was read as proof that nothing newer exists.
    pledges = replace(Pledges(repeat_slack=320.0), revoke_s=1.0)

    async def scenario(d):
        await d.add("i1")
        assert (await d.call("/safe/x", **bearer(KEY))).status == 200
        await d.store.put("keyed.op", "config", make_document(2, Tenants=7))
        await until(lambda: list_errors(LINES))
        assert (await d.call("/later/x", **bearer(KEY))).status == 503
        assert (await d.call("/safe/x", **bearer("later-key"))).status == 503
        await asyncio.sleep(1.2)
        assert (await d.call("/safe/x", **bearer(KEY))).status == 503
        assert await d.ask_ready() == 503
        assert (await d.call("/free/x")).status == 200
        await put(d, make_document(3))
        assert (await d.call("/safe/x", **bearer(KEY))).status == 200
        assert (await d.call("/later/x", **bearer(KEY))).status == 404

    run_scenario(tmp_path, scenario, pledges)


def test_a_disconnected_gateway_accepts_no_key_after_the_revocation_time(tmp_path):
    """Only requests that need a key are refused.

    A request with a known key gets a 503 with Retry-After, not a 401.
    """
    pledges = replace(Pledges(repeat_slack=320.0), revoke_s=1.0)

    async def scenario(d):
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

    run_scenario(tmp_path, scenario, pledges)


def test_without_workspaces_credentials_are_forwarded(tmp_path):
    async def main():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            reply = await d.call("/safe/x", **bearer(KEY), **{"X-Tenant": "mine"})
            assert reply.status == 200
            assert list_values(replica, "authorization") == [f"Bearer {KEY}"]
            assert list_values(replica, "x-tenant") == ["mine"]

    run(main())
